package invariant

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/protocol/pool"
)

// spawnVerb is the command that a worker pool's notice of unknown work names where it has declined a run.
const spawnVerb = "spawn"

// parsePoolCommand takes one command of a server off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parsePoolCommand(conn *connState, in []byte) int {
	command, size, err := pool.ParseCommand(in)
	conn.broken = err != nil
	if size > 0 {
		o.poolCommandRead(conn.server, command)
	}
	return size
}

// parsePoolMessage takes one message of a worker pool off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parsePoolMessage(conn *connState, in []byte) int {
	message, size, err := pool.ParseMessage(in)
	conn.broken = err != nil
	if size > 0 {
		o.poolMessageSent(conn.server, message)
	}
	return size
}

// poolCommandRead takes a server's command to its worker pool, as it arrives there.
func (o *Observer) poolCommandRead(server *serverState, command pool.Command) {
	switch command.Verb {
	case pool.Bind:
		o.judgeBind(server, command)
		if command.Notice > 0 {
			o.noteSituation(server, fmt.Sprintf("bound anew run%d", orderOfMagnitude(server.running)))
		}
	case pool.Spawn:
		o.runSpawned(server, command)
	case pool.Supply:
		o.judgeSupply(server, command)
	case pool.Suspend:
		if suspended := server.runs[command.ID]; suspended != nil {
			o.noteSituation(server, fmt.Sprintf("suspend ended%v", suspended.ended))
		}
	case pool.Poll, pool.Verify: // no rule is about the pool's health
	}
}

// runSpawned takes the command to start a run, as it reaches the worker pool.
func (o *Observer) runSpawned(server *serverState, command pool.Command) {
	request := server.requests[command.ID]
	if request == nil {
		return // the worker pool declines it
	}
	previous := server.runs[command.ID]
	if previous != nil && !previous.ended {
		o.noteSituation(server, "command again for a run under way")
		return // it runs already
	}
	o.judgeSpawn(server, request, command)
	started := &run{id: command.ID, requestedAt: request.requestedAt, executed: true, previous: previous}
	o.note(request, "run")
	request.running = true
	if request.idempotencyKey != "" {
		o.judgeRunOnce(server, request, started)
	}
	o.judgeRunInDrain(server, request)
	server.runs[command.ID] = started
	o.runningChanged(server, +1)
	o.noteSituation(server,
		fmt.Sprintf("run class%d drain%d open%v", request.class, o.drainPhase(server), request.isOwed()))
}

// judgeSpawn judges that a command starts what its request asked for, and that only an idempotent request runs again.
func (o *Observer) judgeSpawn(server *serverState, request *requestState, command pool.Command) {
	class := o.classOf(request)
	previous := server.runs[command.ID]
	switch {
	case previous != nil && previous.executed && class.Idempotency != control.Idempotent:
		o.report(ruleDuplicate, server, request, "run twice: %s, its run had ended", command.ID)
	case xxhash.Sum64(command.Body) != request.bodyHash:
		o.report(ruleResult, server, request, "body changed: request %s", command.ID)
	case class.Name != command.Class:
		o.report(ruleResult, server, request, "class changed: request %s", command.ID)
	}
}

// poolMessageSent takes a worker pool's message to its server, as it is sent.
func (o *Observer) poolMessageSent(server *serverState, message pool.Message) {
	current := server.runs[message.ID]
	switch message.Kind {
	case pool.Blocked:
		o.runBlocked(server, message)
	case pool.Finished:
		if current != nil && !current.ended { // else it is the same notice again
			o.runFinished(server, current, message)
		}
	case pool.Unknown:
		if current != nil && message.Command == spawnVerb && !current.ended {
			current.ended = true
			current.executed = false
			o.runningChanged(server, -1)
		}
	case pool.Bound, pool.Polled, pool.Chatter, pool.Verified: // they tell of no run
	}
}

// runFinished takes the notice of a run's end, as it is sent.
func (o *Observer) runFinished(server *serverState, finished *run, message pool.Message) {
	o.runUnblocked(server, finished)
	finished.ended = true
	finished.outcome = message.Outcome
	finished.result = bytes.Clone(message.Result)
	finished.executed = message.Outcome != pool.Noop
	if message.Outcome == pool.Pass {
		o.resultsMade[string(finished.result)] = true
	}
	o.runningChanged(server, -1)
	request := server.requests[message.ID]
	if request == nil {
		return
	}
	request.running = false
	o.note(request, "run ended: %d", message.Outcome)
	o.noteSituation(server, fmt.Sprintf("ended %d answered%v gaveup%v left%v",
		message.Outcome, request.answers > 0, request.cancelled, request.conn.callerLeft))
}

// noticesReceived looks at what reaches a server from its worker pool: which notices it knows, and which runs have
// ended as far as it can tell.
func (o *Observer) noticesReceived(conn *connState, received []byte) {
	conn.fromPool = append(conn.fromPool, received...)
	parsed := 0
	for {
		message, size, err := pool.ParseMessage(conn.fromPool[parsed:])
		if size == 0 || err != nil {
			break
		}
		parsed += size
		if message.Kind == pool.Finished || message.Kind == pool.Blocked {
			conn.server.lastNotice = max(conn.server.lastNotice, message.Notice)
		}
		finished := conn.server.runs[message.ID]
		if message.Kind == pool.Finished && finished != nil && finished.ended && finished.endReceivedAt == 0 {
			finished.endReceivedAt = o.world.Now()
		}
	}
	conn.fromPool = conn.fromPool[:copy(conn.fromPool, conn.fromPool[parsed:])]
}
