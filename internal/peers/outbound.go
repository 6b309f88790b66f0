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
	// pingInterval is the time after the last request or ping on a link at which the next ping is sent.
	pingInterval = 300 * microtime.Millisecond
	// silenceTimeout is the time without a message from the other server after which a link is reopened.
	silenceTimeout = 2 * microtime.Second
	// redialDelay is the time after which a closed link is reopened.
	redialDelay = 100 * microtime.Millisecond
)

// ErrNoHello closes a connection on which the other server sends another message before its hello.
var ErrNoHello = errors.New("peers: message received before the hello")

// WrongServerError closes a connection to an address at which a server with another ID answers.
type WrongServerError struct {
	Address string
	Want    uint32
	Got     uint32
}

// Error implements error.
func (e *WrongServerError) Error() string {
	return fmt.Sprintf("peers: server at %s has ID %d, want %d", e.Address, e.Got, e.Want)
}

// outboundLink is a link that this server opens to another. It implements transport.Session.
type outboundLink struct {
	links      *Links
	id         uint32
	address    string
	conn       transport.Conn // nil while it is being opened
	cancelDial func()         // nil if no dial is in progress and no connection is open
	up         bool           // the other server has sent its hello
	removed    bool           // remove has been called
	lastReadAt microtime.Time
	lastPingAt microtime.Time
	redialAt   microtime.Time
	notice     membershipNotice
	requests   []consensus.Request
	acks       []consensus.TransferAck
}

func (o *outboundLink) dial() {
	o.cancelDial = o.links.loop.Dial(o.address, func(conn transport.Conn) transport.Session {
		now := o.links.loop.Now()
		o.conn = conn
		o.lastReadAt = now
		o.lastPingAt = now
		o.links.writeHello(conn)
		return o
	})
}

// check runs the link's timers and sends its queued messages. It returns the time at which it must be called again.
func (o *outboundLink) check(now microtime.Time) microtime.Time {
	switch {
	case o.conn != nil && now >= o.lastReadAt+silenceTimeout:
		o.links.logf("peers: link timed out: server=%d address=%s silent_for=%v",
			o.id, o.address, silenceTimeout.Duration())
		o.conn.Close() // the transport then calls Closed
	case o.conn != nil:
		o.flush(now)
		return min(o.lastPingAt+pingInterval, o.lastReadAt+silenceTimeout)
	case o.cancelDial == nil && now >= o.redialAt:
		o.dial()
	case o.cancelDial == nil:
		return o.redialAt
	}
	return microtime.Never
}

// remove closes the link permanently.
func (o *outboundLink) remove() {
	o.removed = true
	o.links.outbound = slices.DeleteFunc(o.links.outbound, func(other *outboundLink) bool { return other == o })
	if o.conn != nil {
		o.conn.Close()
	} else if o.cancelDial != nil {
		o.cancelDial()
	}
	o.markDown()
}

// markDown marks the server as unreachable and drops the messages queued for it.
func (o *outboundLink) markDown() {
	if o.up {
		o.up = false
		o.links.handler.PeerStateChanged(o.id, false)
	}
	o.requests = nil
	o.acks = nil
	o.notice.pending = false
}

// flush sends the queued messages, and a ping if one is due.
func (o *outboundLink) flush(now microtime.Time) {
	if !o.up {
		return
	}
	membership := o.links.handler.Membership()
	notice := o.notice.take(now, &membership)
	if notice != nil || len(o.acks) > 0 {
		o.write(replicationwire.Message{Epoch: membership.Epoch, Membership: notice, TransferAcks: o.acks})
		o.acks = nil
	}
	for batch := range batches(o.requests, requestSize) {
		o.write(replicationwire.Message{Epoch: membership.Epoch, Requests: batch})
		o.lastPingAt = now
	}
	o.requests = nil
	if now >= o.lastPingAt+pingInterval {
		o.lastPingAt = now
		o.write(replicationwire.Message{Epoch: membership.Epoch})
	}
}

func (o *outboundLink) write(message replicationwire.Message) { o.links.write(o.conn, message) }

// Receive implements transport.Session.
func (o *outboundLink) Receive(in []byte) (int, error) { return receiveMessages(in, o.handle) }

func (o *outboundLink) handle(message replicationwire.Message) error {
	o.lastReadAt = o.links.loop.Now()
	if message.Hello != nil {
		if err := o.handleHello(*message.Hello); err != nil {
			return err
		}
	} else if !o.up {
		return ErrNoHello
	}
	if message.Epoch < o.links.membershipEpoch() {
		o.notice.pending = true
	}
	o.links.handler.HandleMessage(o.links.hellos[o.id], message)
	return nil
}

func (o *outboundLink) handleHello(hello replicationwire.Hello) error {
	if hello.ID != o.id {
		return &WrongServerError{Address: o.address, Want: o.id, Got: hello.ID}
	}
	o.links.hellos[o.id] = hello
	if !o.up {
		o.up = true
		o.links.handler.PeerStateChanged(o.id, true)
	}
	return nil
}

// Idle implements transport.Session. It returns false, so that the link is never evicted.
func (o *outboundLink) Idle() bool { return false }

// Closed implements transport.Session.
func (o *outboundLink) Closed() {
	o.conn = nil
	o.cancelDial = nil
	o.redialAt = o.links.loop.Now() + redialDelay
	if !o.removed {
		o.markDown()
	}
}
