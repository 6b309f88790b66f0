package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

// randomStream separates a node's random numbers from those of other users of the same seed.
const randomStream = 5

// NodeOptions are the arguments of NewNode.
type NodeOptions struct {
	Acceptor           Identity // this server as an acceptor
	ProcessIncarnation uint64   // different from that of every earlier process of this server
	Config             Config
	Membership         Membership              // the durable membership; the zero value if none is known
	Registers          map[string]Register     // the durable registers; nil for a new incarnation
	Seed               uint64                  // of the random backoffs
	Hash               func(key string) uint64 // the same on all servers
}

// Node is the state machine of one server of a cluster: it replicates keys and makes proposals for the requests of its
// callers. It is not safe for concurrent use.
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
	ballotNumber uint64          // the highest number that was used or seen
	reachable    map[uint32]bool // by server ID
	repairs      repairQueue
	change       memberChange
	ready        Ready
}

// NewNode returns a node. The error means that the Config or the Membership is invalid.
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

// Membership returns the membership in force. Its epoch is 0 if none is known.
func (n *Node) Membership() Membership { return n.membership }

// Register returns this server's register of a key; the zero value if there is none.
func (n *Node) Register(key string) Register { return n.acceptor.Register(key) }

// KeyCount returns how many keys have a register at this server.
func (n *Node) KeyCount() int { return n.acceptor.Len() }

// Keys returns the sorted keys that have a value at this server and are greater than after, at most limit of them.
func (n *Node) Keys(after string, limit int) []string {
	keys := slices.DeleteFunc(n.acceptor.valueKeys(), func(key string) bool { return key <= after })
	return keys[:min(limit, len(keys))]
}

// InFlight returns how many proposals are in flight, repairs included.
func (n *Node) InFlight() int { return len(n.inFlight) }

// Ready returns what the host must do as a result of the calls since the last Ready, and clears it.
func (n *Node) Ready() Ready {
	ready := n.ready
	n.ready = Ready{}
	return ready
}

// Expire drops the keys whose last attempt was before a time; see Acceptor.Expire.
func (n *Node) Expire(before int64) int { return n.acceptor.Expire(before) }

// SetReachable records whether a server is reachable. When a server becomes reachable again, its keys are repaired, as
// it may have missed values.
func (n *Node) SetReachable(id uint32, reachable bool) {
	before := n.reachable[id]
	n.reachable[id] = reachable
	if reachable && !before {
		n.repairs.startScan(scanReconnected, id, len(n.acceptor.keyOrder))
	}
}

// Restore replaces the registers by those that are on the disk, after writes to the disk have failed. The next Ready
// contains the membership, so that the host writes it again.
func (n *Node) Restore(registers map[string]Register) {
	n.acceptor = NewAcceptor(n.AcceptorID, registers)
	n.repairs.scans = nil
	if membership := n.membership; membership.Epoch > 0 {
		n.setMembership(membership) // restarts the scan for pending transfers
		n.ready.Membership = &membership
	}
}

// HandleRequest answers a request of a proposer, which may be this node itself.
func (n *Node) HandleRequest(from Identity, r Request) {
	reply, changed, ok := n.acceptor.Handle(r)
	if !ok {
		return // the request is for another incarnation
	}
	if changed {
		n.save(r.Key, n.acceptor.Register(r.Key))
	}
	if r.Epoch < n.membership.Epoch {
		n.notify(from.ID)
	}
	n.ready.Replies = append(n.ready.Replies, AddressedReply{from, reply})
}

// Tick retries and ends proposals, and continues repairs and a change of members. It returns the latest time at which
// it must be called again.
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

// notify queues the membership to be sent to another server.
func (n *Node) notify(id uint32) {
	if id != n.AcceptorID.ID && !slices.Contains(n.ready.Notify, id) {
		n.ready.Notify = append(n.ready.Notify, id)
	}
}
