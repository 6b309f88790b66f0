package invariant

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/vault"
	"pewterline/internal/testbed/simnet"
)

// callPoint is where a run waits for a call.
type callPoint struct {
	bodyHash      uint64  // of the call that the run asks for
	waiting       bool    // no reply has been supplied yet
	calls         []*call // made for it, oldest first
	suppliedReply []byte
}

// lastCallPoint is the latest call that a run waits or waited for; nil: it has made none.
func (r *run) lastCallPoint() *callPoint {
	if len(r.callPoints) == 0 {
		return nil
	}
	return r.callPoints[len(r.callPoints)-1]
}

// call is one call that a server has made, as seen at its machine.
type call struct {
	run       *run
	point     *callPoint
	request   *requestState // nil: of nothing that came to the server
	id        string        // the request's
	conn      *connState
	askedAt   microtime.Time
	timeout   microtime.Time // that the server has stated
	status    vault.Status   // of the reply; 0: none
	reply     []byte
	abandoned bool // given up, or its connection has ended
}

// open reports whether the call still waits for its reply.
func (c *call) open() bool { return c.status == 0 && !c.abandoned }

// neverRan reports whether the call's end proves that it had no effect.
func (c *call) neverRan() bool { return c.status == vault.NotNow || c.status == vault.Pointless }

// attempts counts the calls for the same point so far.
func (c *call) attempts() int {
	if c.point == nil {
		return 0
	}
	return len(c.point.calls)
}

// vaultBytes takes what passes on a server's connection to the vault, as the server writes it and as it reaches the
// server.
func (o *Observer) vaultBytes(conn *connState, event simnet.Event) {
	switch {
	case event.Kind == simnet.Written && event.Dialer:
		o.parseStream(conn, event.Bytes, true)
	case event.Kind == simnet.Arrived && event.Dialer:
		o.parseStream(conn, event.Bytes, false)
	}
}

// parseVaultCommand takes one command of a server off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parseVaultCommand(conn *connState, in []byte) int {
	command, size, err := vault.ParseCommand(in)
	conn.broken = err != nil
	if conn.broken {
		o.report(ruleCall, conn.server, nil, "a command that cannot be read: %v", err)
	}
	if size > 0 && command.Verb == vault.Ask {
		o.callWritten(conn, command)
	} else if size > 0 {
		o.callCancelled(conn, command.ID)
	}
	return size
}

// parseVaultReply takes one reply of the vault off the bytes and returns its size; 0 where it is not whole.
func (o *Observer) parseVaultReply(conn *connState, in []byte) int {
	reply, size, err := vault.ParseReply(in)
	conn.broken = err != nil
	if size > 0 {
		o.callReplied(conn, reply)
	}
	return size
}

// callWritten takes a call as the server writes it.
func (o *Observer) callWritten(conn *connState, command vault.Command) {
	server := conn.server
	made := &call{
		id:      command.ID,
		conn:    conn,
		run:     server.runs[command.ID],
		request: server.requests[command.ID],
		askedAt: o.world.Now(),
		timeout: microtime.Time(command.WaitMS) * microtime.Millisecond,
	}
	o.noteCall(made, "call, for %v", made.timeout.Duration())
	o.judgeSingleOpenCall(made)
	o.judgeCallNeeded(made)
	o.judgeCallAddress(made)
	if made.run == nil || len(made.run.callPoints) == 0 {
		o.report(ruleCall, server, made.request, "for no run: %s", command.ID)
	} else {
		made.point = made.run.lastCallPoint()
		if made.point.bodyHash != xxhash.Sum64(command.Body) {
			o.report(ruleCall, server, made.request, "body changed: of the call of %s", command.ID)
		}
		o.judgeCalledOnce(made)
		made.point.calls = append(made.point.calls, made)
	}
	server.calls = append(server.calls, made)
	o.noteSituation(server, fmt.Sprintf("call open%d drain%d tries%d",
		orderOfMagnitude(len(server.calls)), o.drainPhase(server), made.attempts()))
}

// callCancelled takes the command to give a call up, as the server writes it.
func (o *Observer) callCancelled(conn *connState, id string) {
	for _, made := range conn.server.calls {
		if made.id == id && made.conn == conn && made.open() {
			made.abandoned = true
			o.noteCall(made, "call given up")
			o.noteSituation(conn.server, fmt.Sprintf("call given up drain%d", o.drainPhase(conn.server)))
		}
	}
}

// callReplied takes a reply as it reaches the server. One for a call that the server has given up proves what it
// says all the same.
func (o *Observer) callReplied(conn *connState, reply vault.Reply) {
	server := conn.server
	index := slices.IndexFunc(server.calls, func(made *call) bool {
		return made.id == reply.ID && made.conn == conn && made.status == 0
	})
	if index < 0 {
		o.noteSituation(server, "reply for no call")
		return
	}
	made := server.calls[index]
	if made.abandoned {
		o.noteSituation(server, "reply crosses unask")
	}
	o.Replies[reply.Status.String()]++
	made.status = reply.Status
	made.reply = bytes.Clone(reply.Body)
	o.noteCall(made, "call's reply: %s", reply.Status)
	o.noteSituation(server, fmt.Sprintf("reply %s drain%d", reply.Status, o.drainPhase(server)))
}

// noteCall adds an event to the history of a call's request, where it has one.
func (o *Observer) noteCall(made *call, format string, args ...any) {
	if made.request != nil {
		o.note(made.request, format, args...)
	}
}

// vaultConnEnded says that a connection to the vault has ended at the server: that gives up what was open on it.
func (o *Observer) vaultConnEnded(conn *connState, event simnet.Event) {
	if !event.Dialer {
		return
	}
	abandoned := 0
	for _, made := range conn.server.calls {
		if made.conn == conn && made.open() {
			made.abandoned = true
			o.noteCall(made, "the call's connection ended")
			abandoned++
		}
	}
	o.noteSituation(conn.server, fmt.Sprintf("vault link down open%d why%d", orderOfMagnitude(abandoned), event.Cause))
}

// runBlocked takes a run's notice that it waits for a call, as its worker pool sends it.
func (o *Observer) runBlocked(server *serverState, message pool.Message) {
	blocked := server.runs[message.ID]
	if blocked == nil || blocked.ended || message.Notice <= server.lastBlockedNotice {
		return // the same notice again
	}
	server.lastBlockedNotice = message.Notice
	blocked.callPoints = append(blocked.callPoints, &callPoint{bodyHash: xxhash.Sum64(message.Call), waiting: true})
	o.runningChanged(server, -1)
	if request := server.requests[message.ID]; request != nil {
		o.note(request, "waits for call %d", len(blocked.callPoints))
	}
}

// runUnblocked counts the run back in where it waited for a call.
func (o *Observer) runUnblocked(server *serverState, blocked *run) {
	if point := blocked.lastCallPoint(); point != nil && point.waiting {
		point.waiting = false
		o.runningChanged(server, +1)
	}
}

// auditCalls looks at the calls that are open, and forgets those that are not.
func (o *Observer) auditCalls(server *serverState, now microtime.Time) {
	server.calls = slices.DeleteFunc(server.calls, func(made *call) bool {
		return !made.open() && now > made.askedAt+microtime.Second
	})
	if server.pausedAt(now) || server.pausedAt(now-callGrace) {
		return
	}
	for _, made := range server.calls {
		if made.open() {
			o.judgeCallAbandoned(server, made, now)
		}
	}
}
