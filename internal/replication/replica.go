package replication

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/protocol/replicationwire"
	"pewterline/internal/transport"
)

const (
	// expiryInterval is the time between two looks for outcomes whose retention is over.
	expiryInterval = microtime.Second
	// maxFlushRounds bounds what one turn of the event loop carries out; what is left comes with the next turn.
	maxFlushRounds = 64
)

// Replica is one server's part in a replication group. Its methods are called on the event loop, except Open and
// Close.
type Replica struct {
	config         Config
	retentionMilli int64
	loop           Loop
	links          *peers.Links
	node           *consensus.Node
	requests       requestTable
	counters       Counters
	nextExpiry     microtime.Time
	flushing       bool // flush is on the stack

	storage  *storage
	broken   bool           // the storage has failed: this server does not vote
	reopenAt microtime.Time // while it is broken: the next attempt to open it again
}

// Open reads what this server holds on its disk. It comes before the event loop runs.
func Open(config Config) (*Replica, error) {
	replica := &Replica{
		config:         config,
		retentionMilli: int64(config.Retention / microtime.Millisecond),
		requests:       newRequestTable(),
	}
	var err error
	if replica.storage, err = replica.openStorage(); err != nil {
		return nil, err
	}
	if err := replica.newNode(); err != nil {
		return nil, errors.Join(fmt.Errorf("replication: %w", err), replica.storage.close())
	}
	node := replica.node
	config.Logf("replication: server %d, incarnation %x, process %x, membership %v, %d keys held",
		config.ID, node.AcceptorID.Incarnation, node.ProposerID.Incarnation, node.Membership(), node.KeyCount())
	return replica, nil
}

// newNode makes the node of what the storage holds.
func (r *Replica) newNode() error {
	process, err := newIncarnation()
	if err != nil {
		return err
	}
	self := consensus.Identity{ID: r.config.ID, Incarnation: r.storage.state.incarnation}
	r.node, err = consensus.NewNode(consensus.NodeOptions{
		Acceptor:           self,
		ProcessIncarnation: process,
		Config:             r.config.Consensus,
		Membership:         r.storage.state.membership,
		Registers:          r.storage.registers(),
		Seed:               process,
		Hash:               xxhash.Sum64String,
	})
	return err
}

// Attach opens the links to the other servers. It comes before all other methods but Close.
func (r *Replica) Attach(loop Loop) {
	r.loop = loop
	r.links = peers.New(loop, r, r.config.Logf)
	r.attachStorage()
	r.connect()
}

// Close makes durable what is on its way to the disk, and closes the log. It comes after the event loop has ended.
func (r *Replica) Close() error { return r.storage.close() }

// Accept returns the session of a connection that another server has opened.
func (r *Replica) Accept(conn transport.Conn) transport.Session { return r.links.Accept(conn) }

// connect keeps links to all members and configured peers. Configured addresses take precedence: they are the ones
// that are reachable from here.
func (r *Replica) connect() {
	addresses := map[uint32]string{}
	for _, members := range [][]consensus.Member{r.node.Membership().Members(), r.config.Peers} {
		for _, member := range members {
			if member.ID != r.config.ID {
				addresses[member.ID] = member.Addr
			}
		}
	}
	r.links.SetPeers(addresses)
}

// Hello implements peers.Handler.
func (r *Replica) Hello() replicationwire.Hello {
	return replicationwire.Hello{
		ID:                 r.config.ID,
		Incarnation:        r.node.AcceptorID.Incarnation,
		ProcessIncarnation: r.node.ProposerID.Incarnation,
		ClusterID:          r.node.Membership().ClusterID,
	}
}

// Membership implements peers.Handler: it returns the latest membership that is known.
func (r *Replica) Membership() consensus.Membership { return r.node.Membership() }

// PeerStateChanged implements peers.Handler.
func (r *Replica) PeerStateChanged(id uint32, up bool) {
	r.config.Logf("replication: server %d is reachable: %v", id, up)
	r.node.SetReachable(id, up)
}

// HandleMessage implements peers.Handler.
func (r *Replica) HandleMessage(from replicationwire.Hello, message replicationwire.Message) {
	now := r.loop.Now()
	if message.Membership != nil {
		if err := r.node.AdoptMembership(now, *message.Membership); err != nil {
			r.config.Logf("replication: membership from server %d: %v", from.ID, err)
		}
	}
	for _, ack := range message.TransferAcks {
		r.node.HandleTransferAck(ack)
	}
	if !r.broken { // a vote that cannot be made durable is none
		sender := consensus.Identity{ID: from.ID, Incarnation: from.ProcessIncarnation}
		for _, request := range message.Requests {
			r.node.HandleRequest(sender, request)
		}
	}
	for _, reply := range message.Replies {
		r.node.HandleReply(now, reply)
	}
}

// Tick carries out what is due, and what has come up in this turn of the event loop. It returns when it is due again.
func (r *Replica) Tick(now microtime.Time) microtime.Time {
	if r.broken && now >= r.reopenAt {
		r.reopenStorage(now)
	}
	if now >= r.nextExpiry {
		r.nextExpiry = now + expiryInterval
		r.expire(now)
	}
	for _, request := range r.requests.due(now) {
		r.step(request, request.dueEvent(now), consensus.Value{})
	}
	next := min(r.nextExpiry, r.node.Tick(now))
	r.flush()
	next = min(next, r.requests.nextEvent())
	if r.broken {
		next = min(next, r.reopenAt)
	}
	return min(next, r.links.Check(now))
}

// flush carries out what the node is ready for, until there is nothing left.
func (r *Replica) flush() {
	if r.flushing {
		return // the result of a proposal has led to another one; the loop below goes on with it
	}
	r.flushing = true
	defer func() { r.flushing = false }()
	for range maxFlushRounds {
		ready := r.node.Ready()
		if isEmpty(ready) {
			return
		}
		if ready.Membership != nil {
			r.config.Logf("replication: membership %v", ready.Membership)
			r.connect()
		}
		r.persistAndSend(ready)
		for _, result := range ready.Results {
			if request := r.requests.finished(result.ID); request != nil {
				r.step(request, execution.EventOf(result.Outcome, result.Known), result.Value)
			}
		}
	}
}

func isEmpty(ready consensus.Ready) bool {
	return ready.Membership == nil && len(ready.Registers) == 0 && len(ready.Requests) == 0 && len(ready.Replies) == 0 &&
		len(ready.Notify) == 0 && len(ready.TransferAcks) == 0 && len(ready.Results) == 0
}

// persistAndSend makes durable what has to be before the messages of ready go out. Requests wait for a new membership
// alone: the vote of this server is a reply.
func (r *Replica) persistAndSend(ready consensus.Ready) {
	if ready.Membership == nil {
		r.sendRequests(ready.Requests)
		if len(ready.Registers) == 0 {
			r.sendReplies(ready)
			return
		}
	}
	if r.broken {
		return
	}
	storage := r.storage
	records := recordsOf(ready)
	last := len(records) - 1
	for _, record := range records[:last] {
		storage.write(record, func() {}) // durable before the last one is
	}
	storage.write(records[last], func() {
		if storage != r.storage || r.broken {
			return // that log has failed since, and was read again
		}
		if ready.Membership != nil {
			r.sendRequests(ready.Requests)
		}
		r.sendReplies(ready)
	})
}

// sendRequests sends requests to acceptors, this server's among them.
func (r *Replica) sendRequests(requests []consensus.Request) {
	for _, request := range requests {
		switch {
		case request.To.ID != r.config.ID:
			r.links.SendRequest(request)
		case !r.broken:
			r.node.HandleRequest(r.node.ProposerID, request)
		}
	}
}

// sendReplies sends all but the requests.
func (r *Replica) sendReplies(ready consensus.Ready) {
	for _, reply := range ready.Replies {
		if reply.To == r.node.ProposerID {
			r.node.HandleReply(r.loop.Now(), reply.Reply)
		} else {
			r.links.SendReply(reply.To, reply.Reply)
		}
	}
	for _, id := range ready.Notify {
		r.links.QueueMembership(id)
	}
	for _, ack := range ready.TransferAcks {
		r.links.BroadcastAck(ack)
	}
}
