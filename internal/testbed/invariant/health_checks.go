package invariant

import (
	"slices"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
)

// maxHealthCheckTime is the time within which a deep health check must be answered.
const maxHealthCheckTime = 1500 * microtime.Millisecond

// healthCheck is an unanswered deep health check that has reached a server.
type healthCheck struct {
	conn       *connState
	sequenceID int32
	arrivedAt  microtime.Time
}

// healthCheckReceived records a deep health check when it reaches the server.
func (o *Observer) healthCheckReceived(conn *connState, message thrift.Call) {
	if message.Deep && !conn.server.stopped {
		conn.server.healthChecks = append(conn.server.healthChecks, healthCheck{conn, message.SequenceID, o.clock.Now()})
	}
}

// healthCheckAnswered records the answer to a health check when the server writes it.
func (o *Observer) healthCheckAnswered(conn *connState, reply thrift.Reply) {
	server := conn.server
	index := slices.IndexFunc(server.healthChecks, func(pending healthCheck) bool {
		return pending.conn == conn && pending.sequenceID == reply.SequenceID
	})
	if index < 0 {
		return
	}
	server.healthChecks = slices.Delete(server.healthChecks, index, index+1)
	if reply.Good {
		o.noteSituation(server, "deep check good")
	} else {
		o.noteSituation(server, "deep check bad")
	}
}

// auditHealthChecks checks that deep health checks are answered in time, in whatever state the worker pool is.
func (o *Observer) auditHealthChecks(server *serverState, now microtime.Time) {
	pending := server.healthChecks[:0]
	for _, check := range server.healthChecks {
		switch {
		case check.conn.callerLeft || check.conn.broken:
		case now > check.arrivedAt+maxHealthCheckTime+o.pausedSince(server, check.arrivedAt):
			o.report(ruleCheck, server, nil, "deep check unanswered: for %v", (now - check.arrivedAt).Duration())
		default:
			pending = append(pending, check)
		}
	}
	server.healthChecks = pending
}
