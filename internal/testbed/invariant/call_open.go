package invariant

// judgeOneOpen judges that a request has one call open at most.
func (o *Observer) judgeOneOpen(c *call) {
	for _, other := range c.conn.s.calls {
		if other.id == c.id && other.open() {
			o.report("call", c.conn.s, c.request, "two open: of request %s", c.id)
			return
		}
	}
}
