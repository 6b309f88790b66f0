package peers

import (
	"maps"
	"slices"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

// MaxConns is the maximum number of open connections that other servers have opened. Each server has one, and after a
// reconnect temporarily its previous one as well.
const MaxConns = 64

// EventLoop is what the links need from the event loop.
type EventLoop interface {
	Now() microtime.Time
	Dial(addr string, open func(transport.Conn) transport.Session) (cancel func())
}

// Handler handles the messages of the links. Its methods are called on the event loop.
type Handler interface {
	// Hello returns the identity of this server.
	Hello() replicationwire.Hello
	// HandleMessage handles a message of a server that has sent its hello.
	HandleMessage(from replicationwire.Hello, message replicationwire.Message)
	// PeerStateChanged is called when a server has become reachable or unreachable.
	PeerStateChanged(id uint32, up bool)
	// Membership returns the latest known membership. Its epoch is 0 if none is known.
	Membership() consensus.Membership
}

// Links are the connections between this server and the others of its group: an outbound one to each server, and an
// inbound one from each server. Requests and transfer acknowledgements are sent on outbound links, replies on inbound
// links.
type Links struct {
	loop     EventLoop
	handler  Handler
	logf     func(string, ...any)
	outbound []*outboundLink
	inbound  []*inboundLink
	hellos   map[uint32]replicationwire.Hello // the latest of each server, by server ID
}

// New returns Links without any peers. SetPeers adds them.
func New(loop EventLoop, handler Handler, logf func(string, ...any)) *Links {
	return &Links{loop: loop, handler: handler, logf: logf, hellos: map[uint32]replicationwire.Hello{}}
}

// SetPeers sets the addresses of the servers, by ID, to which links are kept open. Links to other servers are closed.
func (l *Links) SetPeers(addresses map[uint32]string) {
	for _, link := range slices.Clone(l.outbound) {
		if address, ok := addresses[link.id]; !ok || address != link.address {
			link.remove()
		}
	}
	for _, id := range slices.Sorted(maps.Keys(addresses)) {
		if l.outboundTo(id) != nil {
			continue
		}
		link := &outboundLink{links: l, id: id, address: addresses[id]}
		l.outbound = append(l.outbound, link)
		link.dial()
	}
}

// outboundTo returns the outbound link to a server, or nil if there is none.
func (l *Links) outboundTo(id uint32) *outboundLink {
	for _, link := range l.outbound {
		if link.id == id {
			return link
		}
	}
	return nil
}

// LastHello returns the latest hello of a server, and false if there has been none.
func (l *Links) LastHello(id uint32) (replicationwire.Hello, bool) {
	hello, ok := l.hellos[id]
	return hello, ok
}

// Connected reports whether a server is reachable: its outbound link is open and it has sent its hello.
func (l *Links) Connected(id uint32) bool {
	link := l.outboundTo(id)
	return link != nil && link.up
}

// SendRequest sends a request at the end of the turn, if its acceptor is reachable. It does not retry: package
// consensus repeats requests.
func (l *Links) SendRequest(request consensus.Request) {
	if link := l.outboundTo(request.To.ID); link != nil && link.up {
		link.requests = append(link.requests, request)
	}
}

// SendReply sends a reply at the end of the turn to the process that sent the request, if that is still connected.
func (l *Links) SendReply(to consensus.Identity, reply consensus.Reply) {
	for _, link := range slices.Backward(l.inbound) { // the newest first
		if link.helloReceived && link.hello.ID == to.ID && link.hello.ProcessIncarnation == to.Incarnation {
			link.replies = append(link.replies, reply)
			return
		}
	}
}

// BroadcastAck sends a transfer acknowledgement to all other servers at the end of the turn.
func (l *Links) BroadcastAck(ack consensus.TransferAck) {
	for _, link := range l.outbound {
		link.acks = append(link.acks, ack)
	}
}

// QueueMembership sends the membership to a server at the end of the turn.
func (l *Links) QueueMembership(id uint32) {
	if link := l.outboundTo(id); link != nil {
		link.notice.pending = true
	}
	for _, link := range l.inbound {
		if link.helloReceived && link.hello.ID == id {
			link.notice.pending = true
		}
	}
}

// Check sends the queued messages, reopens links, and closes those that have timed out. It returns the time at which it
// must be called again.
func (l *Links) Check(now microtime.Time) microtime.Time {
	next := microtime.Never
	for _, link := range slices.Clone(l.outbound) {
		next = min(next, link.check(now))
	}
	for _, link := range l.inbound {
		link.flush(now)
	}
	return next
}

// Accept returns the session of a connection that another server has opened.
func (l *Links) Accept(conn transport.Conn) transport.Session {
	link := &inboundLink{links: l, conn: conn}
	l.inbound = append(l.inbound, link)
	return link
}

// membershipEpoch returns the epoch of this server's membership, or 0 if it has none.
func (l *Links) membershipEpoch() uint64 { return l.handler.Membership().Epoch }

// write writes a message to a connection. A message that cannot be encoded is logged and dropped.
func (l *Links) write(conn transport.Conn, message replicationwire.Message) {
	encoded, err := replicationwire.Append(nil, message)
	if err != nil {
		l.logf("peers: message dropped: peer=%s error=%v", conn.Remote(), err)
		return
	}
	conn.Write(encoded)
}

// writeHello sends this server's hello.
func (l *Links) writeHello(conn transport.Conn) {
	hello := l.handler.Hello()
	l.write(conn, replicationwire.Message{Hello: &hello, Epoch: l.membershipEpoch()})
}
