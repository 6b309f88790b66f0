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
	// exchangeTimeout is the time within which a peer must reply.
	exchangeTimeout = 500 * microtime.Millisecond
	// maxExchangeConns is the maximum number of open connections that peers have opened.
	maxExchangeConns = 64
)

// ErrUnexpectedMessage closes a connection on which a peer sends a reply without a request.
var ErrUnexpectedMessage = errors.New("peers: gossip reply without a request")

// ExchangeEventLoop is what an exchange needs from the event loop.
type ExchangeEventLoop interface {
	Now() microtime.Time
	DialOnce(addr string, open func(transport.Conn) transport.Session, onFailure func()) (cancel func())
}

// ExchangeConfig configures an Exchange.
type ExchangeConfig struct {
	Name     string
	Address  string   // at which peers reach this instance
	Peers    []string // addresses of the initial peers
	Seed     uint64   // of the random number generator
	Balancer *loadbalancer.Balancer
	Logf     func(format string, args ...any)
}

// Exchange exchanges gossip about upstream endpoints with other instances: an instance sends its observations, and the
// peer replies with its own.
type Exchange struct {
	config        ExchangeConfig
	loop          ExchangeEventLoop
	scheduler     *loadbalancer.PeerScheduler
	started       microtime.Time
	links         orderedset.Set[*exchangeLink]
	acceptedConns int // open connections that peers have opened
	scratch       []byte
}

// NewExchange returns an Exchange whose uptime counts from now.
func NewExchange(loop ExchangeEventLoop, config ExchangeConfig) *Exchange {
	now := loop.Now()
	scheduler := loadbalancer.NewPeerScheduler(now, loadbalancer.PeerSchedulerConfig{}, config.Peers, config.Seed)
	return &Exchange{config: config, loop: loop, scheduler: scheduler, started: now}
}

// Ready reports whether this instance has received its first gossip since the start, or need not wait for it.
func (x *Exchange) Ready(now microtime.Time) bool { return x.scheduler.Ready(now) }

// Check starts the exchanges that are due and ends those that have timed out. It returns the time at which it must be
// called again.
func (x *Exchange) Check(now microtime.Time) microtime.Time {
	for _, address := range x.scheduler.NextPeers(now) {
		x.startExchange(now, address)
	}
	next := x.scheduler.NextCheck()
	for i := x.links.Len() - 1; i >= 0; i-- { // from the end: Remove moves the last link to the index of the removed one
		link := x.links.Items()[i]
		switch {
		case !link.awaitingReply:
		case now >= link.replyDeadline:
			link.fail(now)
		default:
			next = min(next, link.replyDeadline)
		}
	}
	return max(next, now)
}

// startExchange sends gossip to a peer and awaits its reply. It uses the open connection or opens a new one.
func (x *Exchange) startExchange(now microtime.Time, address string) {
	for _, link := range x.links.Items() {
		if link.address == address {
			link.sendRequest(now)
			return
		}
	}
	link := &exchangeLink{exchange: x, address: address}
	x.links.Add(link)
	link.sendRequest(now)
	opened := func(conn transport.Conn) transport.Session {
		link.conn = conn
		link.write(true)
		return link
	}
	link.cancelDial = x.loop.DialOnce(address, opened, func() { link.fail(x.loop.Now()) })
}

// Accept returns the session of a connection that a peer has opened. If too many are open, it closes the connection.
func (x *Exchange) Accept(conn transport.Conn) transport.Session {
	link := &exchangeLink{exchange: x, conn: conn}
	x.links.Add(link)
	x.acceptedConns++
	if x.acceptedConns > maxExchangeConns {
		x.config.Logf("exchange: connection rejected, too many are open: peer=%s open=%d",
			conn.Remote(), x.acceptedConns-1)
		conn.Close()
	}
	return link
}

// newMessage returns a gossip message of this instance.
func (x *Exchange) newMessage(now microtime.Time, wantsReply bool) gossip.Message {
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

// exchangeLink is a connection to a peer, opened by this instance to send requests, or by the peer. It implements
// transport.Session.
type exchangeLink struct {
	orderedset.Position
	exchange      *Exchange
	conn          transport.Conn // nil while it is being opened
	cancelDial    func()
	address       string // dialled address; "" if the peer opened the connection
	awaitingReply bool   // the peer's reply to a request is outstanding
	replyDeadline microtime.Time
}

// sendRequest sends gossip, once the connection is open, and awaits the reply.
func (l *exchangeLink) sendRequest(now microtime.Time) {
	l.awaitingReply = true
	l.replyDeadline = now + exchangeTimeout
	if l.conn != nil {
		l.write(true)
	}
}

// fail closes the connection or cancels its dial, after the dial has failed or the peer has not replied in time.
func (l *exchangeLink) fail(now microtime.Time) {
	if l.conn != nil {
		l.conn.Close() // the transport then calls Closed
		return
	}
	if l.cancelDial != nil {
		l.cancelDial()
	}
	l.handleClosed(now)
}

func (l *exchangeLink) handleClosed(now microtime.Time) {
	l.exchange.links.Remove(l)
	switch {
	case l.address == "":
		l.exchange.acceptedConns--
	case l.awaitingReply:
		l.awaitingReply = false
		l.exchange.scheduler.ExchangeFailed(now, l.address)
	}
}

// write sends gossip. A message that cannot be encoded is logged and dropped.
func (l *exchangeLink) write(wantsReply bool) {
	x := l.exchange
	encoded, err := gossip.Append(x.scratch[:0], x.newMessage(x.loop.Now(), wantsReply))
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
	if openedByPeer && !message.WantsReply || !openedByPeer && !l.awaitingReply {
		return fmt.Errorf("%w: %s", ErrUnexpectedMessage, l.conn.Remote())
	}
	exchange.apply(now, l.conn.Remote(), message)
	if openedByPeer {
		l.conn.MarkIdentified()
		l.write(false)
		return nil
	}
	l.awaitingReply = false
	exchange.scheduler.ExchangeSucceeded(now, l.address, message.Name)
	return nil
}

// Idle implements transport.Session.
func (l *exchangeLink) Idle() bool { return !l.awaitingReply }

// Closed implements transport.Session.
func (l *exchangeLink) Closed() { l.handleClosed(l.exchange.loop.Now()) }
