package peers

import (
	"slices"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

// inboundLink is a link that another server has opened. It implements transport.Session.
type inboundLink struct {
	links   *Links
	conn    transport.Conn
	greeted bool // the server has said hello
	from    replicationwire.Hello
	replies []consensus.Reply
	pong    bool // a ping is unanswered
	notice  membershipNotice
}

// flush sends the queued messages.
func (i *inboundLink) flush(now microtime.Time) {
	if !i.greeted {
		return
	}
	membership := i.links.handler.Membership()
	notice := i.notice.take(now, &membership)
	if notice != nil || i.pong {
		i.links.write(i.conn, replicationwire.Message{Epoch: membership.Epoch, Membership: notice})
		i.pong = false
	}
	for batch := range batches(i.replies, replySize) {
		i.links.write(i.conn, replicationwire.Message{Epoch: membership.Epoch, Replies: batch})
	}
	i.replies = nil
}

// Receive implements transport.Session.
func (i *inboundLink) Receive(in []byte) (int, error) { return receiveMessages(in, i.handle) }

func (i *inboundLink) handle(message replicationwire.Message) error {
	if message.Hello != nil {
		i.greet(*message.Hello)
	} else if !i.greeted {
		return ErrNoHello
	}
	if len(message.Requests) == 0 {
		i.pong = true
	}
	if message.Epoch < i.links.membershipEpoch() {
		i.notice.pending = true
	}
	i.links.handler.HandleMessage(i.from, message)
	return nil
}

func (i *inboundLink) greet(hello replicationwire.Hello) {
	i.from = hello
	i.greeted = true
	i.links.hellos[hello.ID] = hello
	i.conn.MarkIdentified()
	i.links.writeHello(i.conn)
}

// Idle implements transport.Session. A link is never evicted.
func (i *inboundLink) Idle() bool { return false }

// Closed implements transport.Session.
func (i *inboundLink) Closed() {
	i.links.inbound = slices.DeleteFunc(i.links.inbound, func(other *inboundLink) bool { return other == i })
}
