package invariant

import "pewterline/internal/microtime"

// readMost is how long what has reached a server's machine may lie there unread.
const readMost = 20 * microtime.Millisecond

// endKnown is when the server knew that a request is over: it has answered, the caller's giveUp has come, or the caller's
// connection has ended. ok is false while it is not over.
func (r *request) endKnown() (at microtime.Time, ok bool) { return r.overSince, r.overSince > 0 }

// ended notes that the server knows now that a request is over.
func (o *Observer) ended(r *request) {
	if r.overSince == 0 {
		r.overSince = o.w.Now()
	}
}

// judgeNotOver judges that no call is made for a request that is over, but for what crosses on the wire.
func (o *Observer) judgeNotOver(c *call) {
	if c.request == nil {
		return
	}
	at, over := c.request.endKnown()
	if since := o.w.Now() - at - o.pausedSince(c.conn.s, at); over && since > readMost {
		o.report("call", c.conn.s, c.request, "for what is over: request %s, for %v", c.id, since.Duration())
	}
}

// judgeGivenUp judges that an open call is given up soon once its request or its run is over, or the time stated for it has passed.
func (o *Observer) judgeGivenUp(s *server, c *call, now microtime.Time) {
	late := func(from microtime.Time) bool { return now > from+callGrace+o.pausedSince(s, from) }
	if c.request != nil {
		if at, over := c.request.endKnown(); over && late(max(at, c.asked)) {
			o.report("call", s, c.request, "not given up: of request %s, which is over", c.id)
			c.over = true
			return
		}
	}
	switch {
	case c.run != nil && c.run.endHeard > 0 && late(max(c.run.endHeard, c.asked)):
		o.report("call", s, c.request, "not given up: of request %s, whose run has ended", c.id)
	case late(c.asked + c.wait):
		o.report("call", s, c.request, "not given up: of request %s, by the time stated for it", c.id)
	default:
		return
	}
	c.over = true
}
