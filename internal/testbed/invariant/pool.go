package invariant

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/protocol/pool"
)

// spawnVerb is the command that a worker pool's unknown message names when the pool has declined a run.
const spawnVerb = "spawn"

// parsePoolCommand parses one command to a worker pool and returns its size; 0 if it is incomplete.
func (o *Observer) parsePoolCommand(conn *connState, in []byte) int {
	command, size, err := pool.ParseCommand(in)
	conn.broken = err != nil
	if size > 0 {
		o.poolCommandReceived(conn.server, command)
	}
	return size
}

// parsePoolMessage parses one message of a worker pool and returns its size; 0 if it is incomplete.
func (o *Observer) parsePoolMessage(conn *connState, in []byte) int {
	message, size, err := pool.ParseMessage(in)
	conn.broken = err != nil
	if size > 0 {
		o.poolMessageSent(conn.server, message)
	}
	return size
}

// poolCommandReceived handles a server's command when it arrives at the worker pool.
func (o *Observer) poolCommandReceived(server *serverState, command pool.Command) {
	switch command.Verb {
	case pool.Bind:
		o.checkBind(server, command)
		if command.Notice > 0 {
			o.noteSituation(server, fmt.Sprintf("bound anew run%d", countGroup(server.running)))
		}
	case pool.Spawn:
		o.runSpawned(server, command)
	case pool.Supply:
		o.checkSupply(server, command)
	case pool.Suspend:
		if suspended := server.runs[command.ID]; suspended != nil {
			o.noteSituation(server, fmt.Sprintf("suspend ended%v", suspended.ended))
		}
	case pool.Poll, pool.Verify: // no rule covers the pool's health
	}
}

// runSpawned handles the command to start a run when it arrives at the worker pool.
func (o *Observer) runSpawned(server *serverState, command pool.Command) {
	request := server.requests[command.ID]
	if request == nil {
		return // the worker pool declines it
	}
	previous := server.runs[command.ID]
	if previous != nil && !previous.ended {
		o.noteSituation(server, "command again for a run under way")
		return // the pool ignores the repeated command
	}
	o.checkSpawn(server, request, command)
	started := &run{id: command.ID, requestedAt: request.requestedAt, executed: true, previous: previous}
	o.note(request, "run")
	request.running = true
	if request.idempotencyKey != "" {
		o.checkRunOnce(server, request, started)
	}
	o.checkRunInDrain(server, request)
	server.runs[command.ID] = started
	o.runningChanged(server, +1)
	o.noteSituation(server,
		fmt.Sprintf("run class%d drain%d open%v", request.class, o.drainPhase(server), request.awaitsAnswer()))
}

// checkSpawn checks that a command has its request's body and class, and that only an idempotent request runs again.
func (o *Observer) checkSpawn(server *serverState, request *requestState, command pool.Command) {
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

// poolMessageSent handles a worker pool's message when the pool sends it.
func (o *Observer) poolMessageSent(server *serverState, message pool.Message) {
	current := server.runs[message.ID]
	switch message.Kind {
	case pool.Blocked:
		o.runBlocked(server, message)
	case pool.Finished:
		if current != nil && !current.ended { // a repeated notice is ignored
			o.runFinished(server, current, message)
		}
	case pool.Unknown:
		if current != nil && message.Command == spawnVerb && !current.ended {
			current.ended = true
			current.executed = false
			o.runningChanged(server, -1)
		}
	case pool.Bound, pool.Polled, pool.Chatter, pool.Verified: // they concern no run
	}
}

// runFinished handles the notice of a run's end when the pool sends it.
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

// noticesReceived parses the bytes that reach a server from its worker pool, and records the highest notice and the
// ends of runs that the server knows of.
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
			finished.endReceivedAt = o.clock.Now()
		}
	}
	conn.fromPool = conn.fromPool[:copy(conn.fromPool, conn.fromPool[parsed:])]
}
