package transport

import "pewterline/internal/microtime"

// identificationQueue holds the accepted connections that were unidentified when last checked, oldest first. It
// prevents peers that send no valid message, or only part of one, from using up the proxies' connection limit.
type identificationQueue struct {
	conns []*Connection
}

func (q *identificationQueue) add(c *Connection) { q.conns = append(q.conns, c) }

// oldest returns the first connection of a group that is still unidentified, or nil.
func (q *identificationQueue) oldest(group *connGroup) *Connection {
	for _, c := range q.conns {
		if !c.closing && !c.identified && c.group == group {
			return c
		}
	}
	return nil
}

// popOverdue removes and returns the first connection whose IdentificationTimeout has expired. It also removes the
// connections before it, which are identified or closed. If none is overdue, it returns nil and the time at which the
// next one will be.
func (q *identificationQueue) popOverdue(now microtime.Time) (overdue *Connection, next microtime.Time) {
	for len(q.conns) > 0 {
		c := q.conns[0]
		pending := !c.closed && !c.identified
		if deadline := c.acceptedAt + IdentificationTimeout; pending && now < deadline {
			return nil, deadline
		}
		q.conns = q.conns[1:]
		if pending {
			return c, now
		}
	}
	q.conns = nil
	return nil, microtime.Never
}

// closeUnidentified closes the connections whose IdentificationTimeout has expired. It returns the time at which the
// next one expires.
func (l *Loop) closeUnidentified() microtime.Time {
	for {
		overdue, next := l.unidentified.popOverdue(l.now)
		if overdue == nil {
			return next
		}
		l.logf("transport: connection closed, no valid message within the identification timeout: peer=%s", overdue.Remote())
		overdue.Close()
	}
}
