package invariant

import "pewterline/internal/microtime"

// CallsRoutedTo says that from now on a server's configuration has its calls go to an address of the vault.
func (o *Observer) CallsRoutedTo(name, address string) {
	s := o.servers[name]
	s.callsAt, s.callsMoved = address, o.w.Now()
}

// judgeAddress judges that calls go to the address of the configuration, soon after it has changed.
func (o *Observer) judgeAddress(c *call) {
	s := c.conn.s
	since := o.w.Now() - s.callsMoved - o.pausedSince(s, s.callsMoved)
	if s.callsAt != "" && c.conn.addr != s.callsAt && since > readMost+microtime.Millisecond {
		o.report("call", s, c.request, "to another address: %s, where %s is configured", c.conn.addr, s.callsAt)
	}
}
