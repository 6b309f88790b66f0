package peers

import (
	"fmt"
	"slices"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/gossip"
	"pewterline/internal/transport"
)

const (
	exchangePatience = 500 * microtime.Millisecond
	exchangeConns    = 64 // that are accepted at once
)

// ExchangeEventLoop is what an exchange needs of the event loop.
type ExchangeEventLoop interface {
	Now() microtime.Time
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
}

// ExchangeConfig says who an instance is to the others.
type ExchangeConfig struct {
	Name    string
	Address string   // where others reach it
	Peers   []string // where it reaches others at first
	Seed    uint64
}

// Exchange has this instance and others tell each other what they know of the log servers.
type Exchange struct {
	cfg     ExchangeConfig
	loop    ExchangeEventLoop
	fleet   *loadbalancer.Balancer
	peers   *loadbalancer.PeerScheduler
	logf    func(string, ...any)
	started microtime.Time
	links   []*exchangeLink
	taken   int // connections accepted and open
	out     []byte
	sent    int // bytes so far
}

// exchangeLink is a connection to another instance: one that we opened to ask on, or one that came to us.
type exchangeLink struct {
	at      int // its place among the links
	x       *Exchange
	conn    transport.Conn // nil while it is being opened
	drop    func()
	address string // that we dialled; "" where it came to us
	due     microtime.Time
	asking  bool
}

// NewExchange returns an exchange of what f knows.
func NewExchange(cfg ExchangeConfig, loop ExchangeEventLoop, f *loadbalancer.Balancer, logf func(string, ...any)) *Exchange {
	now := loop.Now()
	return &Exchange{cfg: cfg, loop: loop, fleet: f, logf: logf, started: now, peers: loadbalancer.NewPeerScheduler(now, loadbalancer.PeerSchedulerConfig{}, cfg.Peers, cfg.Seed)}
}

// Ready says that a fresh instance has heard first advice, or has waited long enough for it.
func (x *Exchange) Ready(now microtime.Time) bool { return x.peers.Ready(now) }

func (x *Exchange) add(l *exchangeLink) {
	l.at = len(x.links)
	x.links = append(x.links, l)
}

// remove takes a link out; the last one takes its place, so that the order depends on nothing but what was done.
func (x *Exchange) remove(l *exchangeLink) {
	end := len(x.links) - 1
	x.links[l.at] = x.links[end]
	x.links[l.at].at = l.at
	x.links[end] = nil
	x.links = x.links[:end]
}

// Check does what is due; it returns when to look again.
func (x *Exchange) Check(now microtime.Time) microtime.Time {
	for _, address := range x.peers.NextPeers(now) {
		x.ask(now, address)
	}
	next := x.peers.NextCheck()
	for i := len(x.links) - 1; i >= 0; i-- {
		l := x.links[i]
		switch {
		case !l.asking:
		case now >= l.due:
			l.fail(now)
		default:
			next = min(next, l.due)
		}
	}
	return max(next, now)
}

// ask sends what we know to a peer, on the connection that is there or on a new one, and waits for what it knows.
func (x *Exchange) ask(now microtime.Time, address string) {
	i := slices.IndexFunc(x.links, func(l *exchangeLink) bool { return l.address == address })
	if i >= 0 {
		x.links[i].begin(now)
		return
	}
	l := &exchangeLink{x: x, address: address}
	x.add(l)
	l.begin(now)
	l.drop = x.loop.DialOnce(address, func(c transport.Conn) transport.Session {
		l.conn = c
		l.write(true)
		return l
	}, func() { l.fail(x.loop.Now()) })
}

func (l *exchangeLink) begin(now microtime.Time) {
	l.asking, l.due = true, now+exchangePatience
	if l.conn != nil {
		l.write(true)
	}
}

// fail ends a connection that brings no answer.
func (l *exchangeLink) fail(now microtime.Time) {
	if l.conn != nil {
		l.conn.Close() // Closed follows
		return
	}
	if l.drop != nil {
		l.drop()
	}
	l.gone(now)
}

func (l *exchangeLink) gone(now microtime.Time) {
	l.x.remove(l)
	if l.address == "" {
		l.x.taken--
	} else if l.asking {
		l.asking = false
		l.x.peers.ExchangeFailed(now, l.address)
	}
}

// write tells what we know.
func (l *exchangeLink) write(asking bool) {
	x, now := l.x, l.x.loop.Now()
	m := gossip.Message{Name: x.cfg.Name, Uptime: now - x.started, WantsReply: asking, Observations: x.fleet.ComposeGossip(now, x.cfg.Name, gossip.MaxObservations)}
	for _, p := range x.peers.Peers(now) {
		if p.Alive {
			m.Peers = append(m.Peers, gossip.Peer{Name: p.Name, Address: p.Address})
		}
	}
	out, err := gossip.Append(x.out[:0], m)
	if x.out = out; err != nil {
		x.logf("exchange: %v", err)
		return
	}
	x.sent += len(out)
	l.conn.Write(out)
}

// Accept is the session of a connection that another instance has opened.
func (x *Exchange) Accept(c transport.Conn) transport.Session {
	l := &exchangeLink{x: x, conn: c}
	x.add(l)
	if x.taken++; x.taken > exchangeConns {
		x.logf("exchange: %s turned away: %d connections are open", c.Remote(), x.taken-1)
		c.Close()
	}
	return l
}

// Receive is part of transport.Session.
func (l *exchangeLink) Receive(in []byte) (int, error) {
	n := 0
	for {
		m, size, err := gossip.Parse(in[n:])
		if err != nil || size == 0 {
			return n, err
		}
		n += size
		if err := l.take(m); err != nil {
			return n, err
		}
	}
}

func (l *exchangeLink) take(m gossip.Message) error {
	x, now := l.x, l.x.loop.Now()
	if l.address == "" && !m.WantsReply || l.address != "" && !l.asking {
		return fmt.Errorf("%w: an answer that nobody asked for", gossip.ErrMalformedFrame)
	}
	a := x.fleet.ApplyGossip(now, x.cfg.Name, loadbalancer.GossipSender{Name: m.Name, Uptime: m.Uptime}, m.Observations)
	if a.Err != nil {
		x.logf("exchange: %s: %d of %d facts are faulty, the first: %v", l.conn.Remote(), a.Invalid, len(m.Observations), a.Err)
	}
	for _, p := range m.Peers {
		if p.Address != x.cfg.Address { // our own
			x.peers.AddPeer(p.Address, p.Name)
		}
	}
	if l.address == "" {
		l.conn.MarkIdentified()
		l.write(false)
		return nil
	}
	l.asking = false
	x.peers.ExchangeSucceeded(now, l.address, m.Name)
	return nil
}

// Idle is part of transport.Session.
func (l *exchangeLink) Idle() bool { return !l.asking }

// Closed is part of transport.Session.
func (l *exchangeLink) Closed() { l.gone(l.x.loop.Now()) }
