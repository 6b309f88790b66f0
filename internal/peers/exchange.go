package peers

import (
	"fmt"
	"slices"

	"pewterline/internal/decide/fleet"
	"pewterline/internal/micro"
	"pewterline/internal/protocol/gossip"
	"pewterline/internal/transport"
)

const (
	exchangePatience = 500 * micro.Millisecond
	exchangeConns    = 64 // that are accepted at once
)

// ExchangeLoop is what an exchange needs of the event loop.
type ExchangeLoop interface {
	Now() micro.Time
	Try(addr string, open func(transport.Link) transport.Session, failed func()) (drop func())
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
	loop    ExchangeLoop
	fleet   *fleet.Fleet
	peers   *fleet.Peers
	logf    func(string, ...any)
	started micro.Time
	links   []*exchangeLink
	taken   int // connections accepted and open
	out     []byte
	sent    int // bytes so far
}

// exchangeLink is a connection to another instance: one that we opened to ask on, or one that came to us.
type exchangeLink struct {
	at      int // its place among the links
	x       *Exchange
	conn    transport.Link // nil while it is being opened
	drop    func()
	address string // that we dialled; "" where it came to us
	due     micro.Time
	asking  bool
}

// NewExchange returns an exchange of what f knows.
func NewExchange(cfg ExchangeConfig, loop ExchangeLoop, f *fleet.Fleet, logf func(string, ...any)) *Exchange {
	now := loop.Now()
	return &Exchange{cfg: cfg, loop: loop, fleet: f, logf: logf, started: now, peers: fleet.NewPeers(now, fleet.PeersConfig{}, cfg.Peers, cfg.Seed)}
}

// Ready says that a fresh instance has heard first advice, or has waited long enough for it.
func (x *Exchange) Ready(now micro.Time) bool { return x.peers.Ready(now) }

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
func (x *Exchange) Check(now micro.Time) micro.Time {
	for _, address := range x.peers.Ask(now) {
		x.ask(now, address)
	}
	next := x.peers.Due()
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
func (x *Exchange) ask(now micro.Time, address string) {
	i := slices.IndexFunc(x.links, func(l *exchangeLink) bool { return l.address == address })
	if i >= 0 {
		x.links[i].begin(now)
		return
	}
	l := &exchangeLink{x: x, address: address}
	x.add(l)
	l.begin(now)
	l.drop = x.loop.Try(address, func(c transport.Link) transport.Session {
		l.conn = c
		l.write(true)
		return l
	}, func() { l.fail(x.loop.Now()) })
}

func (l *exchangeLink) begin(now micro.Time) {
	l.asking, l.due = true, now+exchangePatience
	if l.conn != nil {
		l.write(true)
	}
}

// fail ends a connection that brings no answer.
func (l *exchangeLink) fail(now micro.Time) {
	if l.conn != nil {
		l.conn.Close() // Closed follows
		return
	}
	if l.drop != nil {
		l.drop()
	}
	l.gone(now)
}

func (l *exchangeLink) gone(now micro.Time) {
	l.x.remove(l)
	if l.address == "" {
		l.x.taken--
	} else if l.asking {
		l.asking = false
		l.x.peers.Failed(now, l.address)
	}
}

// write tells what we know.
func (l *exchangeLink) write(asking bool) {
	x, now := l.x, l.x.loop.Now()
	m := gossip.Message{Name: x.cfg.Name, Uptime: now - x.started, Asking: asking, Facts: x.fleet.Tell(now, x.cfg.Name, gossip.MaxFacts)}
	for _, p := range x.peers.Views(now) {
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
func (x *Exchange) Accept(c transport.Link) transport.Session {
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
	if l.address == "" && !m.Asking || l.address != "" && !l.asking {
		return fmt.Errorf("%w: an answer that nobody asked for", gossip.ErrFrame)
	}
	a := x.fleet.Heed(now, x.cfg.Name, fleet.Adviser{Name: m.Name, Uptime: m.Uptime}, m.Facts)
	if a.Err != nil {
		x.logf("exchange: %s: %d of %d facts are faulty, the first: %v", l.conn.Remote(), a.Faulty, len(m.Facts), a.Err)
	}
	for _, p := range m.Peers {
		if p.Address != x.cfg.Address { // our own
			x.peers.Heard(p.Address, p.Name)
		}
	}
	if l.address == "" {
		l.conn.Vouch()
		l.write(false)
		return nil
	}
	l.asking = false
	x.peers.Answered(now, l.address, m.Name)
	return nil
}

// Idle is part of transport.Session.
func (l *exchangeLink) Idle() bool { return !l.asking }

// Closed is part of transport.Session.
func (l *exchangeLink) Closed() { l.gone(l.x.loop.Now()) }
