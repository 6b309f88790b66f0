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
	// expiryInterval is the time between two scans for outcomes whose retention window has ended.
	expiryInterval = microtime.Second
	// maxFlushRounds is the maximum number of Ready values that one call of flush processes. The next turn of the event
	// loop processes the rest.
	maxFlushRounds = 64
)

// Replica is one server's replica in a replication group. Its methods must be called on the event loop, except Close.
type Replica struct {
	config         Config
	retentionMilli int64
	loop           Loop
	links          *peers.Links
	node           *consensus.Node
	requests       requestTable
	counters       Counters
	nextExpiry     microtime.Time
	flushing       bool // flush is running

	storage    *storage
	diskFailed bool           // the storage has failed; this server does not vote
	reopenAt   microtime.Time // if diskFailed: the time of the next attempt to reopen the storage
}

// Open opens the storage and restores the replica's state from it. It blocks on the disk, so it must be called before
// the event loop runs.
func Open(config Config) (*Replica, error) {
	replica := &Replica{
		config:         config,
		retentionMilli: int64(config.Retention / microtime.Millisecond),
		requests:       newRequestTable(),
	}
	var err error
	if replica.storage, err = replica.openConfiguredStorage(); err != nil {
		return nil, err
	}
	if err := replica.newNode(); err != nil {
		return nil, errors.Join(fmt.Errorf("replication: %w", err), replica.storage.close())
	}
	node := replica.node
	config.Logf("replication: opened: server=%d incarnation=%x process=%x membership=%v keys=%d",
		config.ID, node.AcceptorID.Incarnation, node.ProposerID.Incarnation, node.Membership(), node.KeyCount())
	return replica, nil
}

// newNode creates the consensus node from the state in the storage.
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

// Attach opens the links to the other servers. It must be called before all other methods except Close.
func (r *Replica) Attach(loop Loop) {
	r.loop = loop
	r.links = peers.New(loop, r, r.config.Logf)
	r.attachStorage()
	r.connect()
}

// Close writes and syncs the queued records, and closes the log. It must be called after the event loop has ended.
func (r *Replica) Close() error { return r.storage.close() }

// Accept returns the session of a connection that another server has opened.
func (r *Replica) Accept(conn transport.Conn) transport.Session { return r.links.Accept(conn) }

// connect sets the links to all members and configured peers. Configured addresses take precedence, because they are
// known to be reachable from this server.
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

// Membership implements peers.Handler. It returns the latest membership known to this server.
func (r *Replica) Membership() consensus.Membership { return r.node.Membership() }

// PeerStateChanged implements peers.Handler.
func (r *Replica) PeerStateChanged(id uint32, up bool) {
	r.config.Logf("replication: reachability of a server changed: server=%d reachable=%v", id, up)
	r.node.SetReachable(id, up)
}

// HandleMessage implements peers.Handler.
func (r *Replica) HandleMessage(from replicationwire.Hello, message replicationwire.Message) {
	now := r.loop.Now()
	if message.Membership != nil {
		if err := r.node.AdoptMembership(now, *message.Membership); err != nil {
			r.config.Logf("replication: membership of another server rejected: server=%d error=%v", from.ID, err)
		}
	}
	for _, ack := range message.TransferAcks {
		r.node.HandleTransferAck(ack)
	}
	if !r.diskFailed { // a vote must be durable before it is sent
		sender := consensus.Identity{ID: from.ID, Incarnation: from.ProcessIncarnation}
		for _, request := range message.Requests {
			r.node.HandleRequest(sender, request)
		}
	}
	for _, reply := range message.Replies {
		r.node.HandleReply(now, reply)
	}
}

// Tick runs the timers that are due and flushes the node. It must be called in each turn of the event loop, and returns
// the latest time of the next call.
func (r *Replica) Tick(now microtime.Time) microtime.Time {
	if r.diskFailed && now >= r.reopenAt {
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
	next = min(next, r.requests.nextEventAt())
	if r.diskFailed {
		next = min(next, r.reopenAt)
	}
	return min(next, r.links.Check(now))
}

// flush processes the node's Ready values until none are left, or maxFlushRounds of them.
func (r *Replica) flush() {
	if r.flushing {
		return // a step in the loop below started a proposal, which that loop processes
	}
	r.flushing = true
	defer func() { r.flushing = false }()
	for range maxFlushRounds {
		ready := r.node.Ready()
		if isEmpty(ready) {
			return
		}
		if ready.Membership != nil {
			r.config.Logf("replication: membership changed: membership=%v", ready.Membership)
			r.connect()
		}
		r.persistAndSend(ready)
		for _, result := range ready.Results {
			if request := r.requests.endProposal(result.ID); request != nil {
				r.step(request, execution.EventOf(result.Outcome, result.Known), result.Value)
			}
		}
	}
}

func isEmpty(ready consensus.Ready) bool {
	return ready.Membership == nil && len(ready.Registers) == 0 && len(ready.Requests) == 0 && len(ready.Replies) == 0 &&
		len(ready.Notify) == 0 && len(ready.TransferAcks) == 0 && len(ready.Results) == 0
}

// persistAndSend writes the state of ready to the log, and sends its messages once that state is durable. Requests wait
// only for a new membership to be durable, because, unlike replies, they carry no vote of this server.
func (r *Replica) persistAndSend(ready consensus.Ready) {
	if ready.Membership == nil {
		r.sendRequests(ready.Requests)
		if len(ready.Registers) == 0 {
			r.sendReplies(ready)
			return
		}
	}
	if r.diskFailed {
		return
	}
	storage := r.storage
	records := recordsOf(ready)
	last := len(records) - 1
	for _, record := range records[:last] {
		storage.write(record, func() {}) // becomes durable before the last record
	}
	storage.write(records[last], func() {
		if storage != r.storage || r.diskFailed {
			return // this storage has failed since the write was queued
		}
		if ready.Membership != nil {
			r.sendRequests(ready.Requests)
		}
		r.sendReplies(ready)
	})
}

// sendRequests sends requests to their acceptors, which may include this server.
func (r *Replica) sendRequests(requests []consensus.Request) {
	for _, request := range requests {
		switch {
		case request.To.ID != r.config.ID:
			r.links.SendRequest(request)
		case !r.diskFailed:
			r.node.HandleRequest(r.node.ProposerID, request)
		}
	}
}

// sendReplies sends all messages of ready except the requests.
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
