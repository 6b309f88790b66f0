package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

// randomStream is the second half of the seed of a node's random numbers.
const randomStream = 5

// NodeOptions are what a Node begins with.
type NodeOptions struct {
	Acceptor           Identity // this server as an acceptor
	ProcessIncarnation uint64   // unlike that of any process before it on this server
	Config             Config
	Membership         Membership          // as it was made durable; the zero value: none is known
	Registers          map[string]Register // as they were made durable; nil: none, as a new incarnation has
	Seed               uint64              // of random pauses
	Hash               func(key string) uint64
}

// Node is one server of a cluster: it replicates keys for others, and makes proposals for the requests of its own
// callers. It is for one goroutine.
type Node struct {
	AcceptorID Identity // this server as an acceptor: a new incarnation with each disk
	ProposerID Identity // this server as a proposer: a new incarnation with each process

	config       Config
	hash         func(key string) uint64
	rng          *rand.Rand
	membership   Membership
	acceptor     *Acceptor
	inFlight     []*inFlightProposal // oldest first
	lastID       uint64
	ballotNumber uint64 // the highest that was used or seen
	reachable    map[uint32]bool
	repairs      repairQueue
	change       memberChange
	ready        Ready
}

// NewNode returns a node.
func NewNode(options NodeOptions) (*Node, error) {
	if err := options.Config.Validate(); err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	if options.Membership.Epoch > 0 {
		if err := options.Membership.Validate(); err != nil {
			return nil, err
		}
	}
	node := &Node{
		AcceptorID: options.Acceptor,
		ProposerID: Identity{options.Acceptor.ID, options.ProcessIncarnation},
		config:     options.Config,
		hash:       options.Hash,
		rng:        rand.New(rand.NewPCG(options.Seed, randomStream)),
		acceptor:   NewAcceptor(options.Acceptor, options.Registers),
		reachable:  map[uint32]bool{},
		repairs:    newRepairQueue(),
		change:     memberChange{acks: map[Identity]bool{}},
	}
	node.setMembership(options.Membership)
	return node, nil
}

// Membership returns the newest membership that is known here; of epoch 0: none is.
func (n *Node) Membership() Membership { return n.membership }

// Register returns what this server keeps of a key.
func (n *Node) Register(key string) Register { return n.acceptor.Register(key) }

// KeyCount returns how many keys this server keeps.
func (n *Node) KeyCount() int { return n.acceptor.Len() }

// Keys returns the keys after a given one that have a value here, in their order and at most so many.
func (n *Node) Keys(after string, most int) []string {
	keys := slices.DeleteFunc(n.acceptor.valueKeys(), func(key string) bool { return key <= after })
	return keys[:min(most, len(keys))]
}

// InFlight returns how many proposals are in flight, repairs included.
func (n *Node) InFlight() int { return len(n.inFlight) }

// Ready returns what the host has to do since the last call.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Expire drops the keys whose last attempt came before a time; see Acceptor.Expire.
func (n *Node) Expire(before int64) int { return n.acceptor.Expire(before) }

// SetReachable says whether a server can be reached. One that could not may have missed what it should replicate.
func (n *Node) SetReachable(id uint32, reachable bool) {
	before := n.reachable[id]
	n.reachable[id] = reachable
	if reachable && !before {
		n.repairs.startScan(scanReconnected, id, len(n.acceptor.keyOrder))
	}
}

// Restore goes by these registers from now on, and saves the membership again: the disk has failed, and this is what it
// holds.
func (n *Node) Restore(registers map[string]Register) {
	n.acceptor = NewAcceptor(n.AcceptorID, registers)
	n.repairs.scans = nil
	if membership := n.membership; membership.Epoch > 0 {
		n.setMembership(membership) // the pending transfers have to be looked for anew
		n.ready.Membership = &membership
	}
}

// HandleRequest answers a request of another node's proposer, or of this node's own.
func (n *Node) HandleRequest(from Identity, r Request) {
	reply, changed, ok := n.acceptor.Handle(r)
	if !ok {
		return // it is for an earlier incarnation
	}
	if changed {
		n.save(r.Key, n.acceptor.Register(r.Key))
	}
	if r.Epoch < n.membership.Epoch {
		n.notify(from.ID)
	}
	n.ready.Replies = append(n.ready.Replies, AddressedReply{from, reply})
}

// Tick retries proposals that are due, ends those whose time is over, and goes on with repairs and with a change of
// members. It returns when it is due next.
func (n *Node) Tick(now microtime.Time) microtime.Time {
	n.tickProposals(now)
	next := n.tickRepairs(now)
	next = min(next, n.tickMemberChange(now))
	for _, p := range n.inFlight {
		next = min(next, p.retryAt, p.deadline)
	}
	return next
}

func (n *Node) save(key string, register Register) {
	n.ready.Registers = append(n.ready.Registers, SavedRegister{key, register})
}

// notify has the membership sent to another server.
func (n *Node) notify(id uint32) {
	if id != n.AcceptorID.ID && !slices.Contains(n.ready.Notify, id) {
		n.ready.Notify = append(n.ready.Notify, id)
	}
}
