package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/microtime"
)

// Config says how a Node goes about its changes.
type Config struct {
	AttemptTimeout  microtime.Time // for the holders' answers, before an attempt is made anew
	ProposalTimeout microtime.Time // for a change in all: then it is not known whether it was made
	MaxInFlight     int            // changes under way at once; more are refused
	RepairRate      int            // keys a second that are brought to holders that may lack them
	MaxRepairs      int            // of them under way at once
}

// Validate names what makes no sense.
func (c Config) Validate() error {
	switch {
	case c.AttemptTimeout <= 0 || c.ProposalTimeout < 2*c.AttemptTimeout:
		return fmt.Errorf("wait_ms: %v is not over 0, or %v in all is under twice that", c.AttemptTimeout.Duration(), c.ProposalTimeout.Duration())
	case c.MaxInFlight < 1:
		return errors.New("keys: under 1")
	case c.RepairRate < 1 || c.MaxRepairs < 1:
		return errors.New("repair: under 1 key a second, or under 1 at once")
	}
	return nil
}

// The errors of Begin and of changes of the group. None of them has changed anything.
var (
	ErrTooManyInFlight  = errors.New("copies: too many changes are under way")
	ErrNoMembership     = errors.New("copies: no group is known here yet")
	ErrChangeInProgress = errors.New("copies: a change of members is under way")
	ErrInvalidChange    = errors.New("copies: no such change of members")
)

// SavedRegister is a slot that has to be durable before what comes with it is sent.
type SavedRegister struct {
	Key      string
	Register Register
}

// Result is what a change has come to. Without Known, nobody can say whether it was made: no majority answered in time.
type Result struct {
	ID      uint64
	Key     string
	Known   bool
	Outcome Outcome
	Value   Value
}

// AddressedReply is a reply to whoever asked.
type AddressedReply struct {
	To Identity
	Reply
}

// TransferAck says that a member of an epoch has brought all that it holds to the holders to come.
type TransferAck struct {
	Epoch uint64
	From  Identity
}

// Ready is what the host is to do, in this order: make Group and Save durable, send, and take the results.
type Ready struct {
	Membership   *Membership // nil: as before
	Registers    []SavedRegister
	Requests     []Request
	Replies      []AddressedReply
	Notify       []uint32      // servers that are to hear of the group
	TransferAcks []TransferAck // for all members
	Results      []Result
}

const (
	markEvery   = 500 * microtime.Millisecond // while a group changes: marks may be lost
	rejoinEvery = 2 * microtime.Second
)

// Node is one log server of a group: it holds copies for others, and changes keys for its own intakes. It has no clock and no
// randomness but its seed's.
type Node struct {
	AcceptorID Identity // as a holder: its life ends with its disk
	ProposerID Identity // as a server: its life ends with the process
	cfg        Config
	group      Membership
	score      func(string) uint64
	holder     *Acceptor
	rng        *rand.Rand
	under      []*underway // oldest first
	last       uint64      // id
	number     uint64      // of ballots, the highest that was used or seen
	ready      Ready
	up         map[uint32]bool // servers that can be reached

	scans    []scan
	first    []string          // keys that are owed: they go before all others
	queue    []string          // keys to be brought to holders that may lack them
	queued   map[string]queued // and those under way: two repairs of one key here would only stand in each other's way
	owed     map[string]bool   // of them, those that the members to come have to hold before the change goes on
	repairs  int               // under way
	tokens   float64           // of repair
	counted  microtime.Time    // when tokens were last added
	repaired uint64            // keys so far
	marks    map[Identity]bool
	nextMark microtime.Time
	rejoin   microtime.Time
	deciding uint64 // id of the change of the group that is under way; 0: none
}

// scan goes through the keys that are held, a part at a time: guards a turn against all of them at once.
type scan struct {
	why   scanFor
	id    uint32 // of come
	at    int
	until int // of the order, when it began: what came since needs no look
}

type scanFor uint8

const (
	owes scanFor = iota // the members to come lack a key
	come                // a server can be reached again
	all                 // an operator's word
)

// scanKeys are gone through in one Tick.
const scanKeys = 1000

// queued is how far the repair of a key is.
type queued uint8

const (
	waits queued = iota + 1
	moves        // it is under way
	anew         // it is under way, and due once more: a holder has come back meanwhile
)

// underway is a change under way.
type underway struct {
	id      uint64
	op      *Proposal
	repair  bool
	again   microtime.Time // the next attempt is due
	blocked int            // times that somebody else stood in its way
	until   microtime.Time
	wait    microtime.Time
}

// NewNode returns a node with the group and the slots that it had made durable; none, as a life without a disk has. process is
// unlike that of any process before it on this server.
func NewNode(self Identity, process uint64, cfg Config, group Membership, slots map[string]Register, seed uint64, score func(string) uint64) (*Node, error) {
	if err := cfg.Validate(); err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	if group.Epoch > 0 {
		if err := group.Validate(); err != nil {
			return nil, err
		}
	}
	n := &Node{AcceptorID: self, ProposerID: Identity{self.ID, process}, cfg: cfg, score: score, holder: NewAcceptor(self, slots), rng: rand.New(rand.NewPCG(seed, 5)),
		up: map[uint32]bool{}, queued: map[string]queued{}, owed: map[string]bool{}, marks: map[Identity]bool{}}
	n.take(group)
	return n, nil
}

// Membership is the newest that is known.
func (n *Node) Membership() Membership { return n.group }

// Register is what is held of a key.
func (n *Node) Register(key string) Register { return n.holder.Register(key) }

// KeyCount counts the keys that are held.
func (n *Node) KeyCount() int { return n.holder.Len() }

// RepairProgress counts the keys that wait to be brought to other holders, and those that were.
func (n *Node) RepairProgress() (left int, done uint64) {
	left = len(n.first) + len(n.queue) + n.repairs
	for _, s := range n.scans {
		left += s.until - s.at // may have to be brought
	}
	return left, n.repaired
}

// PendingTransfers counts the keys that have to be brought on before a change of members can end.
func (n *Node) PendingTransfers() int { return len(n.owed) }

// TransferAcks counts the members that have brought what they hold to the holders to come.
func (n *Node) TransferAcks() int { return len(n.marks) }

// InFlight counts the changes under way.
func (n *Node) InFlight() int { return len(n.under) }

// Propose starts a change of a key. The end of a run has the Try of the value that gave the leave.
func (n *Node) Propose(now microtime.Time, key string, c Change) (uint64, error) {
	switch {
	case n.group.Epoch == 0:
		return 0, ErrNoMembership
	case len(n.under)-n.repairs >= n.cfg.MaxInFlight:
		return 0, ErrTooManyInFlight
	}
	if c.Kind == AcquireLease {
		c.Attempt = n.last + 1
	}
	c.ForcedAt = n.group.ForcedAt
	return n.begin(now, key, c, n.group.Replicas(key, n.score), false), nil
}

func (n *Node) begin(now microtime.Time, key string, c Change, sets [][]Identity, repair bool) uint64 {
	n.last++
	c.Proposer = n.ProposerID
	n.number++
	op, asks := NewProposal(key, n.group.Epoch, sets, c, n.number)
	if op.all = repair; repair {
		op.absent = n.absent(sets)
	}
	n.under = append(n.under, &underway{id: n.last, op: op, repair: repair, again: now + n.cfg.AttemptTimeout, until: now + n.cfg.ProposalTimeout, wait: n.cfg.AttemptTimeout})
	n.ready.Requests = append(n.ready.Requests, asks...)
	return n.last
}

// absent are those of whom no answer is to be waited for. Guards repairs against a lost member: each would wait for it for nothing.
func (n *Node) absent(sets [][]Identity) (out []Identity) {
	for _, set := range sets {
		for _, m := range set {
			if p, _ := n.group.Find(m.ID); p.Identity != m || m.ID != n.AcceptorID.ID && !n.up[m.ID] {
				out = append(out, m)
			}
		}
	}
	return out
}

// HandleRequest answers a request of another node, or of this one.
func (n *Node) HandleRequest(from Identity, r Request) {
	reply, changed, ok := n.holder.Handle(r)
	if !ok {
		return // for an earlier life
	}
	if changed {
		n.ready.Registers = append(n.ready.Registers, SavedRegister{r.Key, n.holder.Register(r.Key)})
	}
	if r.Epoch < n.group.Epoch {
		n.tell(from.ID)
	}
	n.ready.Replies = append(n.ready.Replies, AddressedReply{from, reply})
}

func (n *Node) tell(id uint32) {
	if id != n.AcceptorID.ID && !slices.Contains(n.ready.Notify, id) {
		n.ready.Notify = append(n.ready.Notify, id)
	}
}

// HandleReply takes an answer to a request of this node.
func (n *Node) HandleReply(now microtime.Time, r Reply) {
	if !r.OK && r.Epoch < n.group.Epoch {
		n.tell(r.From.ID)
	}
	n.number = max(n.number, r.Promised.Number)
	i := slices.IndexFunc(n.under, func(u *underway) bool { return u.op.Ballot == r.Ballot && u.op.Key == r.Key })
	if i < 0 {
		return
	}
	u := n.under[i]
	n.ready.Requests = append(n.ready.Requests, u.op.HandleReply(r)...)
	if _, _, done := u.op.Done(); done {
		n.end(now, i)
	} else if u.op.Preempted() {
		// Somebody else is at this key. Who waits for how long is drawn, and longer each time, so that two don't go on standing in
		// each other's way; at first it is short, as the number that is known now will be too low after a while.
		u.blocked++
		u.again = min(u.again, now+1+microtime.Time(n.rng.Int64N(int64(min(n.cfg.AttemptTimeout>>5<<min(u.blocked, 10), n.cfg.ProposalTimeout)+1))))
	}
}

// end takes a change off that is over, or whose time is.
func (n *Node) end(now microtime.Time, i int) {
	u := n.under[i]
	n.under = slices.Delete(n.under, i, i+1)
	verdict, value, known := u.op.Done()
	switch {
	case u.repair:
		n.repairs--
		again := n.queued[u.op.Key] == anew
		if delete(n.queued, u.op.Key); again {
			n.enqueue(u.op.Key)
		}
		if known {
			n.repaired++
			if n.owed[u.op.Key] && u.op.Epoch == n.group.Epoch {
				delete(n.owed, u.op.Key)
				// So that a process that starts anew in the middle of a change goes on with the rest: guards the change against
				// servers that die more often than all they hold can be brought on.
				if s, changed := n.holder.moved(u.op.Key); changed {
					n.ready.Registers = append(n.ready.Registers, SavedRegister{u.op.Key, s})
				}
			}
		} else {
			n.enqueue(u.op.Key) // no majority: it stays to be done
		}
	case u.id == n.deciding:
		n.deciding = 0
		if known {
			n.decided(now, value)
		}
	default:
		n.ready.Results = append(n.ready.Results, Result{u.id, u.op.Key, known, verdict, value})
	}
}

func (n *Node) decided(now microtime.Time, v Value) {
	if g, err := ParseMembership(v.Result); v.Kind == KindMembership && err == nil { // it was parsed by whoever proposed it
		_ = n.AdoptMembership(now, g)
	}
}

// Tick makes attempts anew that are due, ends changes whose time is over, and goes on with repairs and with a change of members.
// It returns when the next is due.
func (n *Node) Tick(now microtime.Time) microtime.Time {
	for i := 0; i < len(n.under); i++ {
		u := n.under[i]
		switch {
		case now >= u.until || u.repair && now >= u.again && u.op.SettleForMajority():
			u.op.SettleForMajority()
			n.end(now, i)
			i--
		case now >= u.again:
			n.number++
			n.ready.Requests = append(n.ready.Requests, u.op.Retry(n.number)...)
			n.number = max(n.number, u.op.Ballot.Number)
			u.wait = min(2*u.wait, n.cfg.ProposalTimeout)
			u.again = now + u.wait/2 + microtime.Time(n.rng.Int64N(int64(u.wait)))
		}
	}
	next := min(n.repair(now), n.change(now))
	for _, u := range n.under {
		next = min(next, u.again, u.until)
	}
	return next
}

// Ready takes what the host is to do.
func (n *Node) Ready() Ready {
	out := n.ready
	n.ready = Ready{}
	return out
}

// Expire drops the keys whose window is over; see Holder.Forget.
func (n *Node) Expire(before int64) int { return n.holder.Expire(before) }

// SetReachable says whether a server can be reached now. One that could not may have missed what it should hold.
func (n *Node) SetReachable(id uint32, up bool) {
	was := n.up[id]
	if n.up[id] = up; !up || was {
		return
	}
	n.scan(come, id)
}

// scan begins to go through all keys.
func (n *Node) scan(why scanFor, id uint32) {
	n.scans = slices.DeleteFunc(n.scans, func(s scan) bool { return s.why == why && s.id == id })
	n.scans = append(n.scans, scan{why, id, 0, len(n.holder.order)})
}

// look goes on with the scans; it returns whether there is more to go through.
func (n *Node) look() bool {
	for left := scanKeys; len(n.scans) > 0 && left > 0; {
		s := &n.scans[0]
		for ; s.at < s.until && left > 0; s.at, left = s.at+1, left-1 {
			if key := n.holder.order[s.at]; !isGroupKey(key) && n.holder.slots[key].Value.Kind != KindNone {
				n.lookAt(*s, key)
			}
		}
		if s.at >= s.until {
			n.scans = n.scans[1:]
		}
	}
	if len(n.scans) == 0 {
		n.holder.tidy()
	}
	return len(n.scans) > 0
}

func (n *Node) lookAt(s scan, key string) {
	switch s.why {
	case all:
		n.enqueue(key)
	case owes:
		if h := n.group.Replicas(key, n.score); len(h) > 1 && !same(h[0], h[1]) && n.holder.slots[key].TransferredEpoch != n.group.Epoch && !n.owed[key] {
			if n.owed[key] = true; n.queued[key] <= waits { // else it is under way, and moves on to this group
				n.queued[key] = waits
				n.first = append(n.first, key)
			}
		}
	case come:
		for _, set := range n.group.Replicas(key, n.score) {
			holds := slices.ContainsFunc(set, func(m Identity) bool { return m.ID == s.id })
			// One of those that can be reached sees to it.
			first := slices.IndexFunc(set, func(m Identity) bool { return m.ID != s.id && (m.ID == n.AcceptorID.ID || n.up[m.ID]) })
			if holds && first >= 0 && set[first] == n.AcceptorID {
				n.enqueue(key)
			}
		}
	}
}

// scansOwed says that what is owed is not all known yet.
func (n *Node) scansOwed() bool {
	return slices.ContainsFunc(n.scans, func(s scan) bool { return s.why == owes })
}

// RepairAll has all that is held here brought to all its holders.
func (n *Node) RepairAll() { n.scan(all, 0) }

// keys are those with something to bring, in an order that depends on nothing else.
func (n *Node) keys() (out []string) {
	for key, s := range n.holder.slots {
		if !isGroupKey(key) && s.Value.Kind != KindNone {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// Keys are those behind one that something is held of, in order; at most so many.
func (n *Node) Keys(after string, most int) []string {
	out := slices.DeleteFunc(n.keys(), func(k string) bool { return k <= after })
	return out[:min(most, len(out))]
}

func (n *Node) enqueue(key string) {
	switch n.queued[key] {
	case 0:
		n.queued[key] = waits
		n.queue = append(n.queue, key)
	case moves:
		n.queued[key] = anew
	}
}

// repair begins to bring keys to their holders, as many as its rate allows.
func (n *Node) repair(now microtime.Time) (next microtime.Time) {
	if n.look() {
		defer func() { next = min(next, now+1) }() // the rest in the next turn
	}
	if len(n.first)+len(n.queue) == 0 {
		n.counted = now
		return microtime.Never
	}
	rate := float64(n.cfg.RepairRate)
	n.tokens = min(n.tokens+float64(now-n.counted)/float64(microtime.Second)*rate, max(rate/20, 1)) // 50 ms' worth at once
	n.counted = now
	for len(n.first)+len(n.queue) > 0 && n.repairs < n.cfg.MaxRepairs && n.tokens >= 1 && n.group.Epoch > 0 {
		from := &n.queue
		if len(n.first) > 0 { // guards a change of members against links that come and go, each of which asks for repairs
			from = &n.first
		}
		key := (*from)[0]
		if *from = (*from)[1:]; n.queued[key] != waits {
			continue // it was in both
		}
		s := n.holder.Register(key)
		if s.Value.Kind == KindNone { // its window is over
			delete(n.owed, key)
			delete(n.queued, key)
			continue
		}
		n.tokens--
		n.repairs++
		n.queued[key] = moves
		n.begin(now, key, Change{Kind: ReadValue, AttemptedAt: s.LastAttemptAt}, n.group.Replicas(key, n.score), true)
	}
	if len(n.first)+len(n.queue) == 0 || n.repairs >= n.cfg.MaxRepairs {
		return microtime.Never
	}
	return now + max(microtime.Time((1-n.tokens)/rate*float64(microtime.Second)), microtime.Millisecond)
}

// AdoptMembership takes up a group that was agreed on. One that is no newer changes nothing; one of another name is an error.
func (n *Node) AdoptMembership(now microtime.Time, g Membership) error {
	if err := g.Validate(); err != nil {
		return err
	}
	if n.group.Epoch > 0 && g.ClusterID != n.group.ClusterID {
		return fmt.Errorf("%w: %x is another than this server's, %x", ErrInvalidMembership, g.ClusterID, n.group.ClusterID)
	}
	if g.Epoch <= n.group.Epoch {
		return nil
	}
	n.take(g)
	n.ready.Membership = &g
	for _, p := range g.Members() {
		n.tell(p.ID)
	}
	for i := 0; i < len(n.under); i++ {
		u := n.under[i]
		if isGroupKey(u.op.Key) { // what it was to be followed by is known now
			n.deciding = 0
			n.under = slices.Delete(n.under, i, i+1)
			i--
			continue
		}
		n.number++
		u.op.Change.ForcedAt = g.ForcedAt
		sets := g.Replicas(u.op.Key, n.score)
		if u.repair {
			u.op.absent = n.absent(sets)
		}
		n.ready.Requests = append(n.ready.Requests, u.op.Reconfigure(g.Epoch, sets, n.number)...)
		n.number = max(n.number, u.op.Ballot.Number)
		u.again = now + u.wait
	}
	return nil
}

// take goes by a group from now on.
func (n *Node) take(g Membership) {
	n.group, n.holder.Epoch = g, g.Epoch
	for key := range n.holder.slots { // requests of earlier epochs are taken no more
		if isGroupKey(key) && key != groupKey(g.Epoch) {
			delete(n.holder.slots, key)
		}
	}
	clear(n.marks)
	clear(n.owed)
	n.queue, n.first = append(n.first, n.queue...), nil
	n.scans = slices.DeleteFunc(n.scans, func(s scan) bool { return s.why == owes })
	n.nextMark, n.rejoin = 0, 0
	if len(g.Next) == 0 {
		return
	}
	// Whatever a majority holds by the groups before has to be held by a majority of those to come.
	n.scan(owes, 0)
}

func same(a, b []Identity) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Identity) bool { return !slices.Contains(b, m) })
}

// HandleTransferAck takes a member's word that it has brought all it holds to those to come.
func (n *Node) HandleTransferAck(m TransferAck) {
	if m.Epoch == n.group.Epoch && slices.Contains(members(n.group.Current), m.From) {
		n.marks[m.From] = true
	}
}

// change goes on with a change of members; it returns when the next step is due.
func (n *Node) change(now microtime.Time) microtime.Time {
	g := n.group
	if g.Epoch == 0 {
		return microtime.Never
	}
	if len(g.Next) == 0 {
		// A holder that lost its disk is another member: it takes the place of its old self, by a change like any other.
		if p, ok := g.Find(n.AcceptorID.ID); ok && p.Identity != n.AcceptorID {
			if now >= n.rejoin && n.deciding == 0 {
				n.rejoin = now + rejoinEvery + microtime.Time(n.rng.Int64N(int64(rejoinEvery)))
				next := slices.Clone(g.Current)
				next[slices.Index(next, p)].Incarnation = n.AcceptorID.Incarnation
				n.decide(now, g.follow(next, fmt.Sprintf("server %d has lost its disk", n.AcceptorID.ID)))
			}
			return n.rejoin
		}
		return microtime.Never
	}
	// A newcomer that lost its disk on the way will never hold what it is to hold.
	if p, ok := g.Find(n.AcceptorID.ID); ok && !g.Contains(n.AcceptorID) && now >= n.rejoin && n.deciding == 0 && !slices.Contains(g.Current, p) {
		n.rejoin = now + rejoinEvery + microtime.Time(n.rng.Int64N(int64(rejoinEvery)))
		n.decide(now, g.back())
		return n.rejoin
	}
	if len(n.owed) > 0 || n.scansOwed() {
		return microtime.Never // repairs have a time of their own
	}
	if now < n.nextMark {
		return n.nextMark
	}
	n.nextMark = now + markEvery
	if slices.Contains(members(g.Current), n.AcceptorID) {
		n.marks[n.AcceptorID] = true
		n.ready.TransferAcks = append(n.ready.TransferAcks, TransferAck{g.Epoch, n.AcceptorID})
	}
	// So many members that each key's majority of holders, whichever it was, has one among them; and as each of them goes by this
	// epoch, no change by an earlier one can have a majority any more.
	if len(n.marks) >= len(g.Current)-g.ToleratedFailures() && n.deciding == 0 {
		n.decide(now, g.settle())
	}
	return n.nextMark
}

func (n *Node) decide(now microtime.Time, g Membership) {
	n.deciding = n.begin(now, groupKey(n.group.Epoch), Change{Kind: DecideMembership, AttemptedAt: int64(^uint64(0) >> 1), Result: g.String()}, n.group.sets()[:1], false)
}

// AbandonChange ends a change of members that is under way: the members stay as they were.
func (n *Node) AbandonChange(now microtime.Time) error {
	if len(n.group.Next) == 0 {
		return fmt.Errorf("%w: none is under way", ErrInvalidChange)
	}
	if n.deciding == 0 {
		n.decide(now, n.group.back())
	}
	return nil
}

// ProposeMembership begins a change of members. Whether it was this one that was agreed on, the group that follows tells.
func (n *Node) ProposeMembership(now microtime.Time, next []Member, why string) error {
	g := n.group
	switch {
	case g.Epoch == 0:
		return ErrNoMembership
	case len(g.Next) > 0 || n.deciding != 0:
		return ErrChangeInProgress
	}
	f := g.follow(next, why)
	if err := f.Validate(); err != nil {
		return err
	}
	if len(next) == 0 || max(gone(g.Current, next), gone(next, g.Current)) > 1 {
		return fmt.Errorf("%w: one member at a time", ErrInvalidChange)
	}
	if slices.Equal(g.Current, next) {
		return fmt.Errorf("%w: it would change nothing", ErrInvalidChange)
	}
	n.decide(now, f)
	return nil
}

// gone counts the members of a that are not in b.
func gone(a, b []Member) (n int) {
	for _, p := range a {
		if !slices.ContainsFunc(b, func(o Member) bool { return o.Identity == p.Identity }) {
			n++
		}
	}
	return n
}

// Bootstrap makes the first group of a name, where none is known.
func (n *Node) Bootstrap(now microtime.Time, g Membership) error {
	if n.group.Epoch > 0 {
		return fmt.Errorf("%w: a group is known here, of epoch %d", ErrInvalidChange, n.group.Epoch)
	}
	if g.Epoch = 1; !slices.Contains(members(g.Current), n.AcceptorID) {
		return fmt.Errorf("%w: this server is not of it", ErrInvalidChange)
	}
	return n.AdoptMembership(now, g)
}

// forceSkip is far above what the members that are given up may have agreed on among themselves.
const forceSkip = 1000

// ForceMembership goes on with those members alone, though no majority of the others agrees: an operator's word that they are lost. What
// only they held is lost with them, so that until lost (Unix milliseconds, with room for callers' clocks) plus a window has passed,
// nothing is run of which nothing is known.
func (n *Node) ForceMembership(now microtime.Time, keep []uint32, lost int64, why string) error {
	if n.group.Epoch == 0 {
		return ErrNoMembership
	}
	g := Membership{ClusterID: n.group.ClusterID, Epoch: n.group.Epoch + forceSkip, ReplicationFactor: n.group.ReplicationFactor, ForcedAt: lost, Reason: why}
	for _, p := range n.group.Members() {
		if slices.Contains(keep, p.ID) {
			g.Current = slices.DeleteFunc(g.Current, func(o Member) bool { return o.ID == p.ID })
			g.Current = append(g.Current, p)
		}
	}
	if len(g.Current) != len(keep) || !slices.Contains(members(g.Current), n.AcceptorID) {
		return fmt.Errorf("%w: only members can be kept, this server among them", ErrInvalidChange)
	}
	if err := n.AdoptMembership(now, g); err != nil {
		return err
	}
	n.RepairAll()
	return nil
}

// Restore goes by those slots, and saves again which group it goes by: the disk has failed, and this is what it holds.
func (n *Node) Restore(slots map[string]Register) {
	n.holder = NewAcceptor(n.AcceptorID, slots)
	n.scans = nil
	if g := n.group; g.Epoch > 0 {
		n.take(g) // what is owed is to be looked for anew
		n.ready.Membership = &g
	}
}
