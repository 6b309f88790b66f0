package peers

import (
	"errors"
	"fmt"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/protocol/gossip"
	"pewterline/internal/transport"
)

const (
	// exchangeTimeout is how long a peer may take to answer.
	exchangeTimeout = 500 * microtime.Millisecond
	// maxExchangeConns is the most connections that peers may have open at once.
	maxExchangeConns = 64
)

// ErrUnexpectedMessage closes a connection on which a peer sends an answer without a request.
var ErrUnexpectedMessage = errors.New("peers: an answer that nobody asked for")

// ExchangeEventLoop is what an exchange needs from the event loop.
type ExchangeEventLoop interface {
	Now() microtime.Time
	DialOnce(addr string, open func(transport.Conn) transport.Session, failed func()) (drop func())
}

// ExchangeConfig configures an Exchange.
type ExchangeConfig struct {
	Name     string
	Address  string   // where peers reach this instance
	Peers    []string // addresses of the peers that are known at the start
	Seed     uint64   // of the random numbers
	Balancer *loadbalancer.Balancer
	Logf     func(format string, args ...any)
}

// Exchange exchanges gossip about upstream endpoints with other instances: an instance sends its observations, and the
// peer answers with its own.
type Exchange struct {
	config    ExchangeConfig
	loop      ExchangeEventLoop
	scheduler *loadbalancer.PeerScheduler
	started   microtime.Time
	links     orderedset.Set[*exchangeLink]
	accepted  int // connections of peers that are open
	scratch   []byte
}

// NewExchange returns an exchange that starts now.
func NewExchange(loop ExchangeEventLoop, config ExchangeConfig) *Exchange {
	now := loop.Now()
	scheduler := loadbalancer.NewPeerScheduler(now, loadbalancer.PeerSchedulerConfig{}, config.Peers, config.Seed)
	return &Exchange{config: config, loop: loop, scheduler: scheduler, started: now}
}

// Ready reports whether an instance that starts has received its first gossip, or has waited long enough for it.
func (x *Exchange) Ready(now microtime.Time) bool { return x.scheduler.Ready(now) }

// Check starts the exchanges that are due and ends those that have timed out. It returns when it has to be called
// again.
func (x *Exchange) Check(now microtime.Time) microtime.Time {
	for _, address := range x.scheduler.NextPeers(now) {
		x.ask(now, address)
	}
	next := x.scheduler.NextCheck()
	for i := x.links.Len() - 1; i >= 0; i-- { // from the end: Remove moves the last link to the index of the removed one
		link := x.links.Items()[i]
		switch {
		case !link.asking:
		case now >= link.answerDue:
			link.fail(now)
		default:
			next = min(next, link.answerDue)
		}
	}
	return max(next, now)
}

// ask sends gossip to a peer, on the connection that is open or on a new one, and waits for its answer.
func (x *Exchange) ask(now microtime.Time, address string) {
	for _, link := range x.links.Items() {
		if link.address == address {
			link.ask(now)
			return
		}
	}
	link := &exchangeLink{exchange: x, address: address}
	x.links.Add(link)
	link.ask(now)
	opened := func(conn transport.Conn) transport.Session {
		link.conn = conn
		link.write(true)
		return link
	}
	link.cancelDial = x.loop.DialOnce(address, opened, func() { link.fail(x.loop.Now()) })
}

// Accept returns the session of a connection that a peer has opened. It is closed at once if too many are open.
func (x *Exchange) Accept(conn transport.Conn) transport.Session {
	link := &exchangeLink{exchange: x, conn: conn}
	x.links.Add(link)
	x.accepted++
	if x.accepted > maxExchangeConns {
		x.config.Logf("exchange: connection rejected, too many are open: peer=%s open=%d", conn.Remote(), x.accepted-1)
		conn.Close()
	}
	return link
}

// message composes a gossip message of this instance.
func (x *Exchange) message(now microtime.Time, wantsReply bool) gossip.Message {
	message := gossip.Message{
		Name:         x.config.Name,
		Uptime:       now - x.started,
		WantsReply:   wantsReply,
		Observations: x.config.Balancer.ComposeGossip(now, x.config.Name, gossip.MaxObservations),
	}
	for _, peer := range x.scheduler.Peers(now) {
		if peer.Alive {
			message.Peers = append(message.Peers, gossip.Peer{Name: peer.Name, Address: peer.Address})
		}
	}
	return message
}

// apply applies the observations and the peer list of a message.
func (x *Exchange) apply(now microtime.Time, remote string, message *gossip.Message) {
	sender := loadbalancer.GossipSender{Name: message.Name, Uptime: message.Uptime}
	result := x.config.Balancer.ApplyGossip(now, x.config.Name, sender, message.Observations)
	if result.Err != nil {
		x.config.Logf("exchange: invalid observations: peer=%s invalid=%d observations=%d first_error=%v",
			remote, result.Invalid, len(message.Observations), result.Err)
	}
	for _, peer := range message.Peers {
		if peer.Address != x.config.Address {
			x.scheduler.AddPeer(peer.Address, peer.Name)
		}
	}
}

// exchangeLink is a connection to a peer: one that this instance opened to ask, or one that the peer opened. It
// implements transport.Session.
type exchangeLink struct {
	orderedset.Position
	exchange   *Exchange
	conn       transport.Conn // nil while it is being opened
	cancelDial func()
	address    string // that was dialled; "" if the peer opened it
	asking     bool   // the peer's answer is outstanding
	answerDue  microtime.Time
}

// ask sends gossip as soon as the connection is open, and waits for the answer.
func (l *exchangeLink) ask(now microtime.Time) {
	l.asking = true
	l.answerDue = now + exchangeTimeout
	if l.conn != nil {
		l.write(true)
	}
}

// fail closes a connection, or cancels its dial, after the peer has not answered in time.
func (l *exchangeLink) fail(now microtime.Time) {
	if l.conn != nil {
		l.conn.Close() // closed follows
		return
	}
	if l.cancelDial != nil {
		l.cancelDial()
	}
	l.ended(now)
}

func (l *exchangeLink) ended(now microtime.Time) {
	l.exchange.links.Remove(l)
	switch {
	case l.address == "":
		l.exchange.accepted--
	case l.asking:
		l.asking = false
		l.exchange.scheduler.ExchangeFailed(now, l.address)
	}
}

// write sends gossip. A message that cannot be encoded is logged and dropped.
func (l *exchangeLink) write(wantsReply bool) {
	x := l.exchange
	encoded, err := gossip.Append(x.scratch[:0], x.message(x.loop.Now(), wantsReply))
	x.scratch = encoded
	if err != nil {
		x.config.Logf("exchange: message dropped: peer=%s error=%v", l.conn.Remote(), err)
		return
	}
	l.conn.Write(encoded)
}

// Receive implements transport.Session.
func (l *exchangeLink) Receive(in []byte) (int, error) {
	consumed := 0
	for {
		message, size, err := gossip.Parse(in[consumed:])
		if err != nil || size == 0 {
			return consumed, err
		}
		consumed += size
		if err := l.handle(&message); err != nil {
			return consumed, err
		}
	}
}

func (l *exchangeLink) handle(message *gossip.Message) error {
	exchange := l.exchange
	now := exchange.loop.Now()
	openedByPeer := l.address == ""
	if openedByPeer && !message.WantsReply || !openedByPeer && !l.asking {
		return fmt.Errorf("%w: %s", ErrUnexpectedMessage, l.conn.Remote())
	}
	exchange.apply(now, l.conn.Remote(), message)
	if openedByPeer {
		l.conn.MarkIdentified()
		l.write(false)
		return nil
	}
	l.asking = false
	exchange.scheduler.ExchangeSucceeded(now, l.address, message.Name)
	return nil
}

// Idle implements transport.Session.
func (l *exchangeLink) Idle() bool { return !l.asking }

// Closed implements transport.Session.
func (l *exchangeLink) Closed() { l.ended(l.exchange.loop.Now()) }
