package transport

import "pewterline/internal/microtime"

const (
	// maxLingeringBytes is the most bytes that may still arrive on a lingering connection before it is closed.
	maxLingeringBytes = 256 << 10
	// maxLingeringConns is how many connections beyond its limit a group may hold while some of them linger.
	maxLingeringConns = 4
	// lingerPollInterval is the interval at which a lingering connection with unsent bytes is checked. It is
	// half-closed once they are sent.
	lingerPollInterval = 10 * microtime.Millisecond
)

// lingeringConns holds the connections that this side has half-closed and that their peers have not closed yet, oldest
// first. Closing a socket with unread bytes resets the connection, and the peer loses responses that it has not read
// yet. To avoid this when a request arrives during the shutdown, the connection lingers first.
type lingeringConns struct {
	conns []*Connection
}

func (s *lingeringConns) add(c *Connection) { s.conns = append(s.conns, c) }

func (s *lingeringConns) empty() bool { return len(s.conns) == 0 }

// closeOldest closes the connection of a group that has lingered the longest, without waiting for its peer.
func (s *lingeringConns) closeOldest(group *connGroup) {
	for _, c := range s.conns {
		if c.group == group && !c.ended {
			c.raw.Close()
			return
		}
	}
}

// closeBuffered closes all lingering connections with buffered bytes, without waiting for their peers.
func (s *lingeringConns) closeBuffered() {
	for _, c := range s.conns {
		if c.buffered > 0 && !c.ended {
			c.raw.Close()
		}
	}
}

// sweep closes the connections that have lingered too long, drops those that have ended, and half-closes those that
// have sent all their bytes. It returns the time of the next sweep.
func (s *lingeringConns) sweep(now microtime.Time) microtime.Time {
	next := microtime.Never
	left := s.conns[:0]
	for _, conn := range s.conns {
		if !conn.ended && now >= conn.lingerDeadline {
			conn.raw.Close()
		}
		if conn.ended {
			continue
		}
		left = append(left, conn)
		next = min(next, conn.lingerDeadline)
		conn.accountBuffers()
		if conn.raw.Unsent() > 0 {
			next = min(next, now+lingerPollInterval)
		} else {
			conn.raw.CloseWrite()
		}
	}
	clear(s.conns[len(left):])
	s.conns = left
	return next
}

// sweepLingering sweeps the lingering connections. It returns the time at which the next sweep or the end of the
// shutdown is due.
func (l *Loop) sweepLingering() microtime.Time {
	next := l.lingering.sweep(l.now)
	if l.shuttingDown {
		next = min(next, l.shutdownDeadline)
	}
	return next
}

// linger shuts the connection down from this side: the session is notified, and the peer gets the written bytes and
// then the half-close. The connection is closed when the peer closes its side, or after LingerTimeout.
func (c *Connection) linger() {
	c.endSession()
	if c.ended {
		return
	}
	if c.group != nil {
		c.group.lingering++
	}
	c.lingerDeadline = c.loop.now + LingerTimeout
	c.loop.lingering.add(c)
	c.raw.CloseWrite()
}
