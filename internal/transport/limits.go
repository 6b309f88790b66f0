package transport

// connGroup holds the accepted connections that share one limit. A lingering connection stays in the group, because it
// holds a descriptor, but does not count against the limit.
type connGroup struct {
	conns     []*Connection
	limit     int
	lingering int // number of lingering connections in conns
}

// openCount returns the number of connections that count against the limit.
func (g *connGroup) openCount() int { return len(g.conns) - g.lingering }

// full reports whether another connection can be added only after an eviction.
func (g *connGroup) full() bool { return g.openCount() >= g.limit }

// add appends a connection and makes it a member of the group.
func (g *connGroup) add(c *Connection) {
	c.group = g
	c.index = len(g.conns)
	g.conns = append(g.conns, c)
}

// remove removes a connection in constant time: the last connection moves to the freed index.
func (g *connGroup) remove(c *Connection) {
	if c.closed {
		g.lingering--
	}
	last := g.conns[len(g.conns)-1]
	g.conns[c.index], last.index = last, c.index
	g.conns[len(g.conns)-1] = nil
	g.conns = g.conns[:len(g.conns)-1]
}

// connLimits holds the connection limits of all listeners. A dedicated limit separates a listener from the others:
// idle connections of operators cannot use up the proxies' limit, and proxies cannot use up the operators' limit.
type connLimits struct {
	shared    connGroup
	dedicated map[int]*connGroup // by the index of the listener
}

func newConnLimits(maxConns int, dedicated map[int]int) connLimits {
	limits := connLimits{shared: connGroup{limit: maxConns}, dedicated: map[int]*connGroup{}}
	for listener, limit := range dedicated {
		limits.dedicated[listener] = &connGroup{limit: limit}
	}
	return limits
}

// groupOf returns the group that connections to a listener belong to.
func (l *connLimits) groupOf(listener int) *connGroup {
	if group := l.dedicated[listener]; group != nil {
		return group
	}
	return &l.shared
}

// each calls f for all accepted connections: first those under the shared limit, then the others in no fixed order.
func (l *connLimits) each(f func(*Connection)) {
	for _, c := range l.shared.conns {
		f(c)
	}
	for _, group := range l.dedicated {
		for _, c := range group.conns {
			f(c)
		}
	}
}

// SetLimits replaces the shared connection limit and the limit on buffered bytes. If more than maxConns connections
// are open, unidentified and idle ones are closed now; connections in use stay open.
func (l *Loop) SetLimits(maxConns, maxBuffered int) {
	shared := &l.accepted.shared
	shared.limit, l.buffers.limit = maxConns, maxBuffered
	for shared.openCount() > maxConns && l.evict(shared) {
	}
}

// Accept is called by the driver for a new connection to a listener. It returns nil if the driver must close the
// connection.
func (l *Loop) Accept(raw RawConn, listener int) *Connection {
	l.beginTurn()
	if l.shuttingDown {
		return nil
	}
	// Without a limit the process could run out of descriptors, and the driver might then stop listening for good.
	group := l.accepted.groupOf(listener)
	if group.full() && !l.evict(group) {
		l.logf("transport: connection rejected, all are in use: peer=%s open=%d", raw.Remote(), group.openCount())
		return nil
	}
	if len(group.conns) >= group.limit+maxLingeringConns {
		l.lingering.closeOldest(group)
	}
	c := &Connection{loop: l, raw: raw, acceptedAt: l.now, lastActive: l.now}
	group.add(c)
	l.unidentified.add(c)
	c.session = l.handler.Accept(listener, c)
	return c
}

// evict closes one connection of a group: the oldest unidentified one, or else the one that has been idle the longest.
// It returns false if no connection can be evicted.
func (l *Loop) evict(group *connGroup) bool {
	victim := l.unidentified.oldest(group)
	if victim == nil {
		victim = l.longestIdle(group)
	}
	if victim == nil {
		return false
	}
	l.logf("transport: connection evicted: peer=%s open=%d", victim.Remote(), group.openCount())
	victim.Close()
	victim.flush() // immediately, because the new connection needs the capacity
	return true
}

// longestIdle returns the connection of a group that has been idle the longest, or nil.
func (l *Loop) longestIdle(group *connGroup) *Connection {
	var oldest *Connection
	for _, c := range group.conns {
		if c.closing || !c.session.Idle() || c.lastActive+EvictionGrace > l.now {
			continue
		}
		if oldest == nil || c.lastActive < oldest.lastActive {
			oldest = c
		}
	}
	return oldest
}
