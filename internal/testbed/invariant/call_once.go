package invariant

import "pewterline/control"

// judgeOnce judges that no call of a request with an effect is made twice, unless the one before is proven not to have run: turned
// away, or pointless. Whatever else ended it proves nothing. A refused connection has no call on it.
func (o *Observer) judgeOnce(c *call) {
	if c.request == nil || o.Limits.Settings.Classes[c.request.class].Idempotency == control.Idempotent {
		return
	}
	for _, before := range c.point.calls {
		if !before.neverRan() {
			o.report("call", c.conn.s, c.request, "made twice: of request %s, and the one before may have run", c.id)
			return
		}
	}
}
