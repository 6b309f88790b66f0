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

// callPoint is a point in a run at which it waits for a downstream call.
type callPoint struct {
	bodyHash      uint64  // of the call that the run requests
	waiting       bool    // no reply has been supplied yet
	calls         []*call // attempts to make the call, oldest first
	suppliedReply []byte
}

// lastCallPoint returns the latest point at which a run waits or waited for a call; nil if it has requested none.
func (r *run) lastCallPoint() *callPoint {
	if len(r.callPoints) == 0 {
		return nil
	}
	return r.callPoints[len(r.callPoints)-1]
}

// call is one downstream call of a server, as observed at the server's machine.
type call struct {
	run       *run
	point     *callPoint
	request   *requestState // nil if no request with that ID reached the server
	id        string        // request ID
	conn      *connState
	askedAt   microtime.Time
	timeout   microtime.Time // stated in the call
	status    vault.Status   // of the reply; 0 before it
	reply     []byte
	abandoned bool // cancelled by the server, or its connection has ended
}

// open reports whether the call still waits for its reply.
func (c *call) open() bool { return c.status == 0 && !c.abandoned }

// neverRan reports whether the reply proves that the call had no effect.
func (c *call) neverRan() bool { return c.status == vault.NotNow || c.status == vault.Pointless }

// attempts returns the number of calls made so far for the same call point.
func (c *call) attempts() int {
	if c.point == nil {
		return 0
	}
	return len(c.point.calls)
}

// vaultBytes parses the bytes on a server's connection to the vault, at the server's end: those that the server
// writes and those that reach it.
func (o *Observer) vaultBytes(conn *connState, event simnet.Event) {
	switch {
	case event.Kind == simnet.Written && event.Dialer:
		o.parseStream(conn, event.Bytes, true)
	case event.Kind == simnet.Arrived && event.Dialer:
		o.parseStream(conn, event.Bytes, false)
	}
}

// parseVaultCommand parses one command from a server to the vault and returns its size; 0 if it is incomplete.
func (o *Observer) parseVaultCommand(conn *connState, in []byte) int {
	command, size, err := vault.ParseCommand(in)
	conn.broken = err != nil
	if conn.broken {
		o.report(ruleCall, conn.server, nil, "unreadable command: %v", err)
	}
	if size > 0 && command.Verb == vault.Ask {
		o.callWritten(conn, command)
	} else if size > 0 {
		o.callCancelled(conn, command.ID)
	}
	return size
}

// parseVaultReply parses one reply of the vault and returns its size; 0 if it is incomplete.
func (o *Observer) parseVaultReply(conn *connState, in []byte) int {
	reply, size, err := vault.ParseReply(in)
	conn.broken = err != nil
	if size > 0 {
		o.callReplied(conn, reply)
	}
	return size
}

// callWritten checks and records a call when the server writes it.
func (o *Observer) callWritten(conn *connState, command vault.Command) {
	server := conn.server
	made := &call{
		id:      command.ID,
		conn:    conn,
		run:     server.runs[command.ID],
		request: server.requests[command.ID],
		askedAt: o.clock.Now(),
		timeout: microtime.Time(command.WaitMS) * microtime.Millisecond,
	}
	o.noteCall(made, "call, for %v", made.timeout.Duration())
	o.checkSingleOpenCall(made)
	o.checkCallNeeded(made)
	o.checkCallAddress(made)
	if made.run == nil || len(made.run.callPoints) == 0 {
		o.report(ruleCall, server, made.request, "for no run: %s", command.ID)
	} else {
		made.point = made.run.lastCallPoint()
		if made.point.bodyHash != xxhash.Sum64(command.Body) {
			o.report(ruleCall, server, made.request, "body changed: of the call of %s", command.ID)
		}
		o.checkCalledOnce(made)
		made.point.calls = append(made.point.calls, made)
	}
	server.calls = append(server.calls, made)
	o.noteSituation(server, fmt.Sprintf("call open%d drain%d tries%d",
		countGroup(len(server.calls)), o.drainPhase(server), made.attempts()))
}

// callCancelled records the cancellation of a call when the server writes it.
func (o *Observer) callCancelled(conn *connState, id string) {
	for _, made := range conn.server.calls {
		if made.id == id && made.conn == conn && made.open() {
			made.abandoned = true
			o.noteCall(made, "call given up")
			o.noteSituation(conn.server, fmt.Sprintf("call given up drain%d", o.drainPhase(conn.server)))
		}
	}
}

// callReplied records a reply when it reaches the server. The status of a reply to a call that the server has already
// cancelled still counts, as it may prove that the call did not run.
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

// noteCall adds an event to the history of a call's request, if the request is known.
func (o *Observer) noteCall(made *call, format string, args ...any) {
	if made.request != nil {
		o.note(made.request, format, args...)
	}
}

// vaultConnEnded handles the end of a connection to the vault at the server: the calls open on it are abandoned.
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
	o.noteSituation(conn.server, fmt.Sprintf("vault link down open%d why%d", countGroup(abandoned), event.Cause))
}

// runBlocked handles the notice that a run waits for a call, when its worker pool sends it.
func (o *Observer) runBlocked(server *serverState, message pool.Message) {
	blocked := server.runs[message.ID]
	if blocked == nil || blocked.ended || message.Notice <= server.lastBlockedNotice {
		return // a repetition of the notice
	}
	server.lastBlockedNotice = message.Notice
	blocked.callPoints = append(blocked.callPoints, &callPoint{bodyHash: xxhash.Sum64(message.Call), waiting: true})
	o.runningChanged(server, -1)
	if request := server.requests[message.ID]; request != nil {
		o.note(request, "waits for call %d", len(blocked.callPoints))
	}
}

// runUnblocked counts a run as running again if it waited for a call.
func (o *Observer) runUnblocked(server *serverState, blocked *run) {
	if point := blocked.lastCallPoint(); point != nil && point.waiting {
		point.waiting = false
		o.runningChanged(server, +1)
	}
}

// auditCalls checks the open calls of a server and removes those that ended a while ago.
func (o *Observer) auditCalls(server *serverState, now microtime.Time) {
	server.calls = slices.DeleteFunc(server.calls, func(made *call) bool {
		return !made.open() && now > made.askedAt+microtime.Second
	})
	if server.pausedAt(now) || server.pausedAt(now-callGrace) {
		return
	}
	for _, made := range server.calls {
		if made.open() {
			o.checkCallAbandoned(server, made, now)
		}
	}
}
