// Package peers keeps the links between log servers of a group: one that each opens to each other, on the program's loop. What is
// to be said to a server within a turn goes in as few frames as it fits in. It decides nothing.
package peers

import (
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

const (
	pingEvery = 300 * microtime.Millisecond
	deafMost  = 2 * microtime.Second // without an answer; then the link is opened anew
	openAgain = 100 * microtime.Millisecond
	tellAgain = 500 * microtime.Millisecond
	// Bytes of a frame, about, and items: far below the bounds, so that a vote does not wait behind a large one.
	frameBytes = 64 << 10
	frameItems = 256
	// MaxConns are the connections of other servers that may be open at once: each has one, and for a while an old one too.
	MaxConns = 64
)

// EventLoop is what the links need of the event loop.
type EventLoop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (drop func())
}

// Handler is whoever the messages are for. Its methods are called on the loop.
type Handler interface {
	// Hello says who this server is.
	Hello() replicationwire.Hello
	// Take takes a message; who sent it has said hello.
	HandleMessage(from replicationwire.Hello, m replicationwire.Message)
	// Linked says whether a server can be reached.
	PeerStateChanged(id uint32, up bool)
	// Group is the newest that is known; epoch 0: none.
	Group() consensus.Membership
}

// Links are all links of a server.
type Links struct {
	loop  EventLoop
	host  Handler
	logf  func(string, ...any)
	outs  []*out
	ins   []*in
	known map[uint32]replicationwire.Hello // the last that each server said of itself
}

// New returns links to nobody.
func New(loop EventLoop, host Handler, logf func(string, ...any)) *Links {
	return &Links{loop: loop, host: host, logf: logf, known: map[uint32]replicationwire.Hello{}}
}

// out is the link that this server opens.
type out struct {
	p        *Links
	id       uint32
	addr     string
	conn     transport.Conn // nil while it is being opened
	drop     func()
	up       bool
	gone     bool // nobody wants it any more
	heard    microtime.Time
	pinged   microtime.Time
	again    microtime.Time // it is opened anew then
	told     uint64         // the epoch that was told last
	toldAt   microtime.Time
	requests []consensus.Request
	marks    []consensus.TransferAck
	group    bool
}

// in is a link that another server has opened.
type in struct {
	p       *Links
	conn    transport.Conn
	from    replicationwire.Hello
	greeted bool
	replies []consensus.Reply
	pong    bool
	told    uint64
	toldAt  microtime.Time
	group   bool
}

// SetPeers has links to those servers and no others.
func (p *Links) SetPeers(addrs map[uint32]string) {
	for _, o := range slices.Clone(p.outs) {
		if addr, ok := addrs[o.id]; !ok || addr != o.addr {
			o.end()
		}
	}
	for _, id := range sorted(addrs) {
		if !slices.ContainsFunc(p.outs, func(o *out) bool { return o.id == id }) {
			o := &out{p: p, id: id, addr: addrs[id]}
			p.outs = append(p.outs, o)
			o.open()
		}
	}
}

func sorted(addrs map[uint32]string) (ids []uint32) {
	for id := range addrs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// LastHello is what a server last said of itself.
func (p *Links) LastHello(id uint32) (replicationwire.Hello, bool) {
	h, ok := p.known[id]
	return h, ok
}

// Connected says that a server can be reached.
func (p *Links) Connected(id uint32) bool {
	return slices.ContainsFunc(p.outs, func(o *out) bool { return o.id == id && o.up })
}

// SendRequest sends a request, if its server can be reached: whoever asks, asks again in time.
func (p *Links) SendRequest(r consensus.Request) {
	for _, o := range p.outs {
		if o.id == r.To.ID && o.up {
			o.requests = append(o.requests, r)
		}
	}
}

// SendReply sends a reply to whoever asked, if it can be reached still.
func (p *Links) SendReply(to consensus.Identity, r consensus.Reply) {
	for i := len(p.ins) - 1; i >= 0; i-- { // the newest first
		if l := p.ins[i]; l.greeted && l.from.ID == to.ID && l.from.ProcessIncarnation == to.Incarnation {
			l.replies = append(l.replies, r)
			return
		}
	}
}

// BroadcastAck sends a mark to all servers.
func (p *Links) BroadcastAck(k consensus.TransferAck) {
	for _, o := range p.outs {
		o.marks = append(o.marks, k)
	}
}

// QueueMembership has a server hear of the group.
func (p *Links) QueueMembership(id uint32) {
	for _, o := range p.outs {
		if o.id == id {
			o.group = true
		}
	}
	for _, l := range p.ins {
		if l.greeted && l.from.ID == id {
			l.group = true
		}
	}
}

// Check sends what was to be said, opens links anew, and drops those that are deaf. It returns when it is due again.
func (p *Links) Check(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, o := range slices.Clone(p.outs) {
		switch {
		case o.conn != nil && now >= o.heard+deafMost:
			p.logf("peers: server %d at %s has not answered for %v", o.id, o.addr, deafMost.Duration())
			o.conn.Close() // Closed follows
		case o.conn != nil:
			o.flush(now)
			next = min(next, o.pinged+pingEvery, o.heard+deafMost)
		case o.drop == nil && now >= o.again:
			o.open()
		case o.drop == nil:
			next = min(next, o.again)
		}
	}
	for _, l := range p.ins {
		l.flush(now)
	}
	return next
}

func (o *out) open() {
	o.drop = o.p.loop.Dial(o.addr, func(c transport.Conn) transport.Session {
		now := o.p.loop.Now()
		o.conn, o.heard, o.pinged = c, now, now
		h := o.p.host.Hello()
		o.write(replicationwire.Message{Hello: &h, Epoch: o.p.host.Group().Epoch})
		return o
	})
}

func (o *out) end() {
	o.gone = true
	o.p.outs = slices.DeleteFunc(o.p.outs, func(x *out) bool { return x == o })
	if o.conn != nil {
		o.conn.Close()
	} else if o.drop != nil {
		o.drop()
	}
	o.down()
}

func (o *out) down() {
	if o.up {
		o.up = false
		o.p.host.PeerStateChanged(o.id, false)
	}
	o.requests, o.marks, o.group = nil, nil, false
}

func (o *out) write(m replicationwire.Message) { send(o.p, o.conn, m) }

func send(p *Links, c transport.Conn, m replicationwire.Message) {
	b, err := replicationwire.Append(nil, m)
	if err != nil {
		p.logf("peers: %v", err)
		return
	}
	c.Write(b)
}

// group is what a peer that goes by an earlier epoch is told, once in a while.
func (p *Links) group(wanted *bool, told *uint64, at *microtime.Time, now microtime.Time) *consensus.Membership {
	g := p.host.Group()
	if !*wanted || g.Epoch == 0 || *told == g.Epoch && now < *at+tellAgain {
		*wanted = false
		return nil
	}
	*wanted, *told, *at = false, g.Epoch, now
	return &g
}

func (o *out) flush(now microtime.Time) {
	if !o.up {
		return
	}
	epoch := o.p.host.Group().Epoch
	if g := o.p.group(&o.group, &o.told, &o.toldAt, now); g != nil || len(o.marks) > 0 {
		o.write(replicationwire.Message{Epoch: epoch, Membership: g, TransferAcks: o.marks})
		o.marks = nil
	}
	for len(o.requests) > 0 {
		n, size := 0, 0
		for n < len(o.requests) && n < frameItems && (n == 0 || size < frameBytes) {
			size += 100 + len(o.requests[n].Key) + len(o.requests[n].Value.Result)
			n++
		}
		o.write(replicationwire.Message{Epoch: epoch, Requests: o.requests[:n]})
		o.requests = o.requests[n:]
		o.pinged = now
	}
	o.requests = nil
	if now >= o.pinged+pingEvery {
		o.pinged = now
		o.write(replicationwire.Message{Epoch: epoch})
	}
}

func (l *in) flush(now microtime.Time) {
	if !l.greeted {
		return
	}
	epoch := l.p.host.Group().Epoch
	if g := l.p.group(&l.group, &l.told, &l.toldAt, now); g != nil || l.pong {
		send(l.p, l.conn, replicationwire.Message{Epoch: epoch, Membership: g})
		l.pong = false
	}
	for len(l.replies) > 0 {
		n, size := 0, 0
		for n < len(l.replies) && n < frameItems && (n == 0 || size < frameBytes) {
			size += 120 + len(l.replies[n].Key) + len(l.replies[n].Value.Result)
			n++
		}
		send(l.p, l.conn, replicationwire.Message{Epoch: epoch, Replies: l.replies[:n]})
		l.replies = l.replies[n:]
	}
	l.replies = nil
}

// Receive is part of transport.Session.
func (o *out) Receive(in []byte) (int, error) {
	return receive(in, func(m replicationwire.Message) error {
		if o.heard = o.p.loop.Now(); m.Hello != nil {
			if m.Hello.ID != o.id {
				return fmt.Errorf("peers: the server at %s says that it is number %d, not %d", o.addr, m.Hello.ID, o.id)
			}
			if o.p.known[o.id] = *m.Hello; !o.up {
				o.up = true
				o.p.host.PeerStateChanged(o.id, true)
			}
		} else if !o.up {
			return errors.New("peers: a message before any hello")
		}
		if m.Epoch < o.p.host.Group().Epoch {
			o.group = true
		}
		o.p.host.HandleMessage(o.p.known[o.id], m)
		return nil
	})
}

// Idle is part of transport.Session.
func (o *out) Idle() bool { return false }

// Closed is part of transport.Session.
func (o *out) Closed() {
	o.conn, o.drop = nil, nil
	o.again = o.p.loop.Now() + openAgain
	if !o.gone {
		o.down()
	}
}

// Accept is the session of a connection that another server has opened.
func (p *Links) Accept(c transport.Conn) transport.Session {
	l := &in{p: p, conn: c}
	p.ins = append(p.ins, l)
	return l
}

// Receive is part of transport.Session.
func (l *in) Receive(b []byte) (int, error) {
	return receive(b, func(m replicationwire.Message) error {
		if m.Hello != nil {
			l.from, l.greeted = *m.Hello, true
			l.p.known[l.from.ID] = l.from
			l.conn.MarkIdentified()
			h := l.p.host.Hello()
			send(l.p, l.conn, replicationwire.Message{Hello: &h, Epoch: l.p.host.Group().Epoch})
		} else if !l.greeted {
			return errors.New("peers: a message before any hello")
		}
		if l.pong = l.pong || len(m.Requests) == 0; m.Epoch < l.p.host.Group().Epoch {
			l.group = true
		}
		l.p.host.HandleMessage(l.from, m)
		return nil
	})
}

// Idle is part of transport.Session.
func (l *in) Idle() bool { return false }

// Closed is part of transport.Session.
func (l *in) Closed() { l.p.ins = slices.DeleteFunc(l.p.ins, func(x *in) bool { return x == l }) }

func receive(in []byte, take func(replicationwire.Message) error) (int, error) {
	for n := 0; ; {
		m, size, err := replicationwire.Parse(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		if err := take(m); err != nil {
			return n, err
		}
		n += size
	}
}
