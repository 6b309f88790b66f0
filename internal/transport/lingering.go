package transport

import "pewterline/internal/microtime"

const (
	// Bytes that may still come on a lingering connection.
	maxLingeringBytes = 256 << 10
	// Lingering connections of a group that may stand beside the connections in use.
	maxLingeringConns = 4
	// Interval at which a connection that has bytes left to send is looked at, to half-close it behind them.
	lingerPollInterval = 10 * microtime.Millisecond
)

// lingeringConns is the connections that this side has shut down and that their peers have not closed yet, oldest
// first. A close with bytes unread would reset a connection and discard what the peer has not read; a request that
// crosses the shutdown has to find an end instead.
type lingeringConns struct {
	conns []*Connection
}

func (s *lingeringConns) add(c *Connection) { s.conns = append(s.conns, c) }

func (s *lingeringConns) empty() bool { return len(s.conns) == 0 }

// closeOldest closes outright the connection of a group that has lingered the longest.
func (s *lingeringConns) closeOldest(group *connGroup) {
	for _, c := range s.conns {
		if c.group == group && !c.ended {
			c.raw.Close()
			return
		}
	}
}

// closeBuffered closes outright all lingering connections that still have something buffered.
func (s *lingeringConns) closeBuffered() {
	for _, c := range s.conns {
		if c.buffered > 0 && !c.ended {
			c.raw.Close()
		}
	}
}

// sweep closes outright what has lingered too long, drops what has ended, and half-closes what has sent all its bytes.
// It returns when to sweep again.
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

// sweepLingering sweeps the lingering connections; it returns when that, or the end of the shutdown, is due.
func (l *Loop) sweepLingering() microtime.Time {
	next := l.lingering.sweep(l.now)
	if l.shuttingDown {
		next = min(next, l.shutdownDeadline)
	}
	return next
}

// linger ends the connection from this side: the session is notified, and the peer gets what was written and then the
// half-close. The peer closes the connection, or it is closed after LingerTimeout.
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
