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
	links         *Links
	conn          transport.Conn
	helloReceived bool // the other server has sent its hello
	hello         replicationwire.Hello
	replies       []consensus.Reply
	pongDue       bool // a ping has not been answered yet
	notice        membershipNotice
}

// flush sends the queued messages.
func (i *inboundLink) flush(now microtime.Time) {
	if !i.helloReceived {
		return
	}
	membership := i.links.handler.Membership()
	notice := i.notice.take(now, &membership)
	if notice != nil || i.pongDue {
		i.links.write(i.conn, replicationwire.Message{Epoch: membership.Epoch, Membership: notice})
		i.pongDue = false
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
		i.handleHello(*message.Hello)
	} else if !i.helloReceived {
		return ErrNoHello
	}
	if len(message.Requests) == 0 {
		i.pongDue = true
	}
	if message.Epoch < i.links.membershipEpoch() {
		i.notice.pending = true
	}
	i.links.handler.HandleMessage(i.hello, message)
	return nil
}

func (i *inboundLink) handleHello(hello replicationwire.Hello) {
	i.hello = hello
	i.helloReceived = true
	i.links.hellos[hello.ID] = hello
	i.conn.MarkIdentified()
	i.links.writeHello(i.conn)
}

// Idle implements transport.Session. It returns false, so that the link is never evicted.
func (i *inboundLink) Idle() bool { return false }

// Closed implements transport.Session.
func (i *inboundLink) Closed() {
	i.links.inbound = slices.DeleteFunc(i.links.inbound, func(other *inboundLink) bool { return other == i })
}
