package invariant

import (
	"fmt"
	"strings"

	"pewterline/internal/protocol/ajp"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

// Tap takes what happens on the network.
func (o *Observer) Tap(v simnet.Event) {
	switch v.Kind {
	case simnet.Opened:
		o.opened(v)
		return
	case simnet.DatagramArrived:
		return
	case simnet.ConnectAttempted:
		if s := o.servers[v.Node]; s != nil && v.Peer[0] == 'w' {
			s.tried = v.At
		}
		if o.servers[v.Peer] == nil && v.Peer[0] == 'x' {
			o.SituationCounts["tried nobody"]++
		}
		return
	}
	c := o.conns[v.Conn]
	if c == nil || c.kind == other {
		return
	}
	if c.kind == vaultLink {
		if v.Kind == simnet.Closed {
			o.vaultEnded(c, v)
		} else {
			o.vaultBytes(c, v)
		}
		return
	}
	switch v.Kind {
	case simnet.HalfClosed: // who sends no more has left, as far as the program can tell
		if v.Dialer || v.Cause == simnet.CauseCut && c.kind != link {
			c.left = true
		} else if c.kind != link { // a server that sends no more answers nothing, and takes nothing that comes later
			o.connEnded(c, v)
			c.broken = true
		}
	case simnet.Closed:
		o.connEnded(c, v)
	case simnet.Arrived:
		if c.kind == link && !v.Dialer || c.kind != link && !v.Dialer {
			o.read(c, v.Bytes, true)
		} else if c.kind == link {
			o.reads(c, v.Bytes)
		}
	case simnet.Written:
		// What the server writes counts from then on, and so does what the worker pool tells.
		if c.kind == link && !v.Dialer {
			o.read(c, v.Bytes, false)
		} else if c.kind != link && !v.Dialer {
			o.read(c, v.Bytes, false)
		}
	}
}

func (o *Observer) opened(v simnet.Event) {
	host, what, _ := strings.Cut(v.Addr, "/")
	c := &conn{s: o.servers[host], addr: v.Addr, from: v.Node, fromLife: v.Incarnation}
	switch {
	case host[0] == 'w':
		c.kind, c.s = link, o.servers["s"+host[1:]]
	case host[0] == 'v':
		c.kind, c.s = vaultLink, o.servers[v.Node]
	case what == "thrift":
		c.kind, c.open = front, map[int32]*request{}
	case what == "ajp":
		c.kind = office
	}
	if c.s == nil {
		c.kind = other
	}
	if c.kind == link {
		c.s.links++
		o.reach(c.s, "link up")
	}
	o.conns[v.Conn] = c
}

func (o *Observer) connEnded(c *conn, v simnet.Event) {
	if c.kind == link {
		if v.Dialer && v.Cause == simnet.CauseCut && len(c.got) > 0 {
			o.reach(c.s, "link broke inside a notice")
		}
		if v.Dialer && c.s.links > 0 {
			c.s.links--
			o.reach(c.s, fmt.Sprintf("link down run%d", size(c.s.running)))
		}
		return
	}
	if !v.Dialer {
		for _, r := range c.s.open {
			if r.c == c {
				o.ended(r)
			}
		}
	}
	if v.Dialer || v.Cause == simnet.CauseCut || v.Cause == simnet.CauseReset {
		c.left = true
		n := 0
		for _, r := range c.s.open {
			if r.c == c && r.answers == 0 && !r.gaveUp {
				n++
			}
		}
		o.reach(c.s, fmt.Sprintf("caller left open%d drain%d", size(n), o.drainPhase(c.s)))
		return
	}
	if v.Cause == simnet.CauseKilled { // what is owed then, Gone judges
		return
	}
	o.judgeClosed(c)
}

// read takes bytes to the server's side of the protocol (up), or from it.
func (o *Observer) read(c *conn, p []byte, up bool) {
	if c.broken {
		return
	}
	buf := &c.out
	if up {
		buf = &c.in
	}
	in := p
	if len(*buf) > 0 {
		*buf = append(*buf, p...)
		in = *buf
	}
	n := 0
	for !c.broken {
		size := o.message(c, in[n:], up)
		if size == 0 {
			break
		}
		n += size
	}
	left := in[n:]
	if len(*buf) > 0 {
		*buf = (*buf)[:copy(*buf, left)]
	} else {
		*buf = append((*buf)[:0], left...)
	}
}

// message takes one message off in and returns its size; 0 where it is not whole.
func (o *Observer) message(c *conn, in []byte, up bool) int {
	switch {
	case c.kind == link && up:
		m, n, err := pool.ParseCommand(in)
		c.broken = err != nil
		if n > 0 {
			o.command(c.s, m)
		}
		return n
	case c.kind == link:
		m, n, err := pool.ParseMessage(in)
		c.broken = err != nil
		if n > 0 {
			o.told(c.s, m)
		}
		return n
	case c.kind == vaultLink:
		return o.vaultMessage(c, in, up)
	case c.kind == front:
		payload, n, err := thrift.SplitFrame(in)
		if c.broken = err != nil; payload == nil {
			return 0
		}
		if up {
			m, _, err := thrift.DecodeCall(payload)
			if c.broken = err != nil; !c.broken {
				o.called(c, m)
			}
		} else if p, err := thrift.DecodeReply(payload); err != nil {
			c.broken = true
			o.report("lost", c.s, nil, "an answer that cannot be read: %v", err)
		} else {
			o.replied(c, p)
		}
		return n
	default:
		side := ajp.FromServer
		if !up {
			side = ajp.FromContainer
		}
		payload, n, err := ajp.SplitPacket(in, side)
		if c.broken = err != nil; payload == nil {
			return 0
		}
		if up {
			o.packetUp(c, payload)
		} else {
			o.packetDown(c, payload)
		}
		return n
	}
}

// reads looks at what reaches a log server from its worker pool, for the number of the last notice alone.
func (o *Observer) reads(c *conn, p []byte) {
	c.got = append(c.got, p...)
	n := 0
	for {
		m, size, err := pool.ParseMessage(c.got[n:])
		if size == 0 || err != nil {
			break
		}
		n += size
		if m.Kind == pool.Finished || m.Kind == pool.Blocked {
			c.s.notice = max(c.s.notice, m.Notice)
		}
		if u := c.s.runs[m.ID]; m.Kind == pool.Finished && u != nil && u.ended && u.endHeard == 0 {
			u.endHeard = o.w.Now()
		}
	}
	c.got = c.got[:copy(c.got, c.got[n:])]
}
