package copies

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/micro"
	"pewterline/internal/planted"
)

// Config says how a Node goes about its changes.
type Config struct {
	Wait       micro.Time // for the holders' answers, before an attempt is made anew
	Most       micro.Time // for a change in all: then it is not known whether it was made
	Keys       int        // changes under way at once; more are refused
	RepairRate int        // keys a second that are brought to holders that may lack them
	RepairKeys int        // of them under way at once
}

// Check names what makes no sense.
func (c Config) Check() error {
	switch {
	case c.Wait <= 0 || c.Most < 2*c.Wait:
		return fmt.Errorf("wait_ms: %v is not over 0, or %v in all is under twice that", c.Wait.Duration(), c.Most.Duration())
	case c.Keys < 1:
		return errors.New("keys: under 1")
	case c.RepairRate < 1 || c.RepairKeys < 1:
		return errors.New("repair: under 1 key a second, or under 1 at once")
	}
	return nil
}

// The errors of Begin and of changes of the group. None of them has changed anything.
var (
	ErrBusy     = errors.New("copies: too many changes are under way")
	ErrNoGroup  = errors.New("copies: no group is known here yet")
	ErrChanging = errors.New("copies: a change of members is under way")
	ErrMember   = errors.New("copies: no such change of members")
)

// Saved is a slot that has to be durable before what comes with it is sent.
type Saved struct {
	Key  string
	Slot Slot
}

// Result is what a change has come to. Without Known, nobody can say whether it was made: no majority answered in time.
type Result struct {
	ID      uint64
	Key     string
	Known   bool
	Verdict Verdict
	Value   Value
}

// Answer is a reply to whoever asked.
type Answer struct {
	To Member
	Reply
}

// Mark says that a member of an epoch has brought all that it holds to the holders to come.
type Mark struct {
	Epoch uint64
	Of    Member
}

// Ready is what the host is to do, in this order: make Group and Save durable, send, and take the results.
type Ready struct {
	Group    *Group // nil: as before
	Save     []Saved
	Requests []Request
	Replies  []Answer
	Tell     []uint32 // servers that are to hear of the group
	Marks    []Mark   // for all members
	Results  []Result
}

const (
	markEvery   = 500 * micro.Millisecond // while a group changes: marks may be lost
	rejoinEvery = 2 * micro.Second
)

// Node is one log server of a group: it holds copies for others, and changes keys for its own intakes. It has no clock and no
// randomness but its seed's.
type Node struct {
	Self    Member // as a holder: its life ends with its disk
	Process Member // as a server: its life ends with the process
	cfg     Config
	group   Group
	score   func(string) uint64
	holder  *Holder
	rng     *rand.Rand
	under   []*underway // oldest first
	last    uint64      // id
	number  uint64      // of ballots, the highest that was used or seen
	ready   Ready
	up      map[uint32]bool // servers that can be reached

	scans    []scan
	first    []string          // keys that are owed: they go before all others
	queue    []string          // keys to be brought to holders that may lack them
	queued   map[string]queued // and those under way: two repairs of one key here would only stand in each other's way
	owed     map[string]bool   // of them, those that the members to come have to hold before the change goes on
	repairs  int               // under way
	tokens   float64           // of repair
	counted  micro.Time        // when tokens were last added
	repaired uint64            // keys so far
	marks    map[Member]bool
	nextMark micro.Time
	rejoin   micro.Time
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
	op      *Op
	repair  bool
	again   micro.Time // the next attempt is due
	blocked int        // times that somebody else stood in its way
	until   micro.Time
	wait    micro.Time
}

// NewNode returns a node with the group and the slots that it had made durable; none, as a life without a disk has. process is
// unlike that of any process before it on this server.
func NewNode(self Member, process uint64, cfg Config, group Group, slots map[string]Slot, seed uint64, score func(string) uint64) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	if group.Epoch > 0 {
		if err := group.Check(); err != nil {
			return nil, err
		}
	}
	n := &Node{Self: self, Process: Member{self.ID, process}, cfg: cfg, score: score, holder: NewHolder(self, slots), rng: rand.New(rand.NewPCG(seed, 5)),
		up: map[uint32]bool{}, queued: map[string]queued{}, owed: map[string]bool{}, marks: map[Member]bool{}}
	n.take(group)
	return n, nil
}

// Group is the newest that is known.
func (n *Node) Group() Group { return n.group }

// Slot is what is held of a key.
func (n *Node) Slot(key string) Slot { return n.holder.Slot(key) }

// Held counts the keys that are held.
func (n *Node) Held() int { return n.holder.Len() }

// Repairing counts the keys that wait to be brought to other holders, and those that were.
func (n *Node) Repairing() (left int, done uint64) {
	left = len(n.first) + len(n.queue) + n.repairs
	for _, s := range n.scans {
		left += s.until - s.at // may have to be brought
	}
	return left, n.repaired
}

// Owed counts the keys that have to be brought on before a change of members can end.
func (n *Node) Owed() int { return len(n.owed) }

// Marked counts the members that have brought what they hold to the holders to come.
func (n *Node) Marked() int { return len(n.marks) }

// Under counts the changes under way.
func (n *Node) Under() int { return len(n.under) }

// Begin starts a change of a key. The end of a run has the Try of the value that gave the leave.
func (n *Node) Begin(now micro.Time, key string, c Change) (uint64, error) {
	switch {
	case n.group.Epoch == 0:
		return 0, ErrNoGroup
	case len(n.under)-n.repairs >= n.cfg.Keys:
		return 0, ErrBusy
	}
	if c.Act == Leave {
		c.Try = n.last + 1
	}
	c.Lost = n.group.Lost
	return n.begin(now, key, c, n.group.Holders(key, n.score), false), nil
}

func (n *Node) begin(now micro.Time, key string, c Change, sets [][]Member, repair bool) uint64 {
	n.last++
	c.Self = n.Process
	n.number++
	op, asks := NewOp(key, n.group.Epoch, sets, c, n.number)
	if op.all = repair; repair {
		op.absent = n.absent(sets)
	}
	n.under = append(n.under, &underway{id: n.last, op: op, repair: repair, again: now + n.cfg.Wait, until: now + n.cfg.Most, wait: n.cfg.Wait})
	n.ready.Requests = append(n.ready.Requests, asks...)
	return n.last
}

// absent are those of whom no answer is to be waited for. Guards repairs against a lost member: each would wait for it for nothing.
func (n *Node) absent(sets [][]Member) (out []Member) {
	for _, set := range sets {
		for _, m := range set {
			if p, _ := n.group.Find(m.ID); p.Member != m || m.ID != n.Self.ID && !n.up[m.ID] {
				out = append(out, m)
			}
		}
	}
	return out
}

// Asked answers a request of another node, or of this one.
func (n *Node) Asked(from Member, r Request) {
	reply, changed, ok := n.holder.Handle(r)
	if !ok {
		return // for an earlier life
	}
	if changed {
		n.ready.Save = append(n.ready.Save, Saved{r.Key, n.holder.Slot(r.Key)})
	}
	if r.Epoch < n.group.Epoch {
		n.tell(from.ID)
	}
	n.ready.Replies = append(n.ready.Replies, Answer{from, reply})
}

func (n *Node) tell(id uint32) {
	if id != n.Self.ID && !slices.Contains(n.ready.Tell, id) {
		n.ready.Tell = append(n.ready.Tell, id)
	}
}

// Heard takes an answer to a request of this node.
func (n *Node) Heard(now micro.Time, r Reply) {
	if !r.OK && r.Epoch < n.group.Epoch {
		n.tell(r.From.ID)
	}
	n.number = max(n.number, r.Promised.N)
	i := slices.IndexFunc(n.under, func(u *underway) bool { return u.op.Ballot == r.Ballot && u.op.Key == r.Key })
	if i < 0 {
		return
	}
	u := n.under[i]
	n.ready.Requests = append(n.ready.Requests, u.op.Heard(r)...)
	if _, _, done := u.op.Done(); done {
		n.end(now, i)
	} else if u.op.Blocked() {
		// Somebody else is at this key. Who waits for how long is drawn, and longer each time, so that two don't go on standing in
		// each other's way; at first it is short, as the number that is known now will be too low after a while.
		u.blocked++
		u.again = min(u.again, now+1+micro.Time(n.rng.Int64N(int64(min(n.cfg.Wait>>5<<min(u.blocked, 10), n.cfg.Most)+1))))
	}
}

// end takes a change off that is over, or whose time is.
func (n *Node) end(now micro.Time, i int) {
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
					n.ready.Save = append(n.ready.Save, Saved{u.op.Key, s})
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

func (n *Node) decided(now micro.Time, v Value) {
	if g, err := Parse(v.Result); v.Kind == Chosen && err == nil { // it was parsed by whoever proposed it
		_ = n.Adopt(now, g)
	}
}

// Tick makes attempts anew that are due, ends changes whose time is over, and goes on with repairs and with a change of members.
// It returns when the next is due.
func (n *Node) Tick(now micro.Time) micro.Time {
	for i := 0; i < len(n.under); i++ {
		u := n.under[i]
		switch {
		case now >= u.until || u.repair && now >= u.again && u.op.Enough():
			u.op.Enough()
			n.end(now, i)
			i--
		case now >= u.again:
			n.number++
			n.ready.Requests = append(n.ready.Requests, u.op.Again(n.number)...)
			n.number = max(n.number, u.op.Ballot.N)
			u.wait = min(2*u.wait, n.cfg.Most)
			u.again = now + u.wait/2 + micro.Time(n.rng.Int64N(int64(u.wait)))
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

// Forget drops the keys whose window is over; see Holder.Forget.
func (n *Node) Forget(before int64) int { return n.holder.Forget(before) }

// Linked says whether a server can be reached now. One that could not may have missed what it should hold.
func (n *Node) Linked(id uint32, up bool) {
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
			if key := n.holder.order[s.at]; !isGroupKey(key) && n.holder.slots[key].Value.Kind != None {
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
		if h := n.group.Holders(key, n.score); len(h) > 1 && !same(h[0], h[1]) && n.holder.slots[key].Moved != n.group.Epoch && !n.owed[key] {
			if n.owed[key] = true; n.queued[key] <= waits { // else it is under way, and moves on to this group
				n.queued[key] = waits
				n.first = append(n.first, key)
			}
		}
	case come:
		for _, set := range n.group.Holders(key, n.score) {
			holds := slices.ContainsFunc(set, func(m Member) bool { return m.ID == s.id })
			// One of those that can be reached sees to it.
			first := slices.IndexFunc(set, func(m Member) bool { return m.ID != s.id && (m.ID == n.Self.ID || n.up[m.ID]) })
			if holds && first >= 0 && set[first] == n.Self {
				n.enqueue(key)
			}
		}
	}
}

// scansOwed says that what is owed is not all known yet.
func (n *Node) scansOwed() bool {
	return slices.ContainsFunc(n.scans, func(s scan) bool { return s.why == owes })
}

// Repair has all that is held here brought to all its holders.
func (n *Node) Repair() { n.scan(all, 0) }

// keys are those with something to bring, in an order that depends on nothing else.
func (n *Node) keys() (out []string) {
	for key, s := range n.holder.slots {
		if !isGroupKey(key) && s.Value.Kind != None {
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
func (n *Node) repair(now micro.Time) (next micro.Time) {
	if n.look() {
		defer func() { next = min(next, now+1) }() // the rest in the next turn
	}
	if len(n.first)+len(n.queue) == 0 {
		n.counted = now
		return micro.Never
	}
	rate := float64(n.cfg.RepairRate)
	n.tokens = min(n.tokens+float64(now-n.counted)/float64(micro.Second)*rate, max(rate/20, 1)) // 50 ms' worth at once
	n.counted = now
	for len(n.first)+len(n.queue) > 0 && n.repairs < n.cfg.RepairKeys && n.tokens >= 1 && n.group.Epoch > 0 {
		from := &n.queue
		if len(n.first) > 0 { // guards a change of members against links that come and go, each of which asks for repairs
			from = &n.first
		}
		key := (*from)[0]
		if *from = (*from)[1:]; n.queued[key] != waits {
			continue // it was in both
		}
		s := n.holder.Slot(key)
		if s.Value.Kind == None { // its window is over
			delete(n.owed, key)
			delete(n.queued, key)
			continue
		}
		n.tokens--
		n.repairs++
		n.queued[key] = moves
		n.begin(now, key, Change{Act: Look, At: s.At}, n.group.Holders(key, n.score), true)
	}
	if len(n.first)+len(n.queue) == 0 || n.repairs >= n.cfg.RepairKeys {
		return micro.Never
	}
	return now + max(micro.Time((1-n.tokens)/rate*float64(micro.Second)), micro.Millisecond)
}

// Adopt takes up a group that was agreed on. One that is no newer changes nothing; one of another name is an error.
func (n *Node) Adopt(now micro.Time, g Group) error {
	if err := g.Check(); err != nil {
		return err
	}
	if n.group.Epoch > 0 && g.Name != n.group.Name {
		return fmt.Errorf("%w: %x is another than this server's, %x", ErrGroup, g.Name, n.group.Name)
	}
	if g.Epoch <= n.group.Epoch {
		return nil
	}
	n.take(g)
	n.ready.Group = &g
	for _, p := range g.All() {
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
		u.op.Change.Lost = g.Lost
		sets := g.Holders(u.op.Key, n.score)
		if u.repair {
			u.op.absent = n.absent(sets)
		}
		n.ready.Requests = append(n.ready.Requests, u.op.Move(g.Epoch, sets, n.number)...)
		n.number = max(n.number, u.op.Ballot.N)
		u.again = now + u.wait
	}
	return nil
}

// take goes by a group from now on.
func (n *Node) take(g Group) {
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

func same(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !slices.Contains(b, m) })
}

// Mark takes a member's word that it has brought all it holds to those to come.
func (n *Node) Mark(m Mark) {
	if m.Epoch == n.group.Epoch && slices.Contains(members(n.group.Now), m.Of) {
		n.marks[m.Of] = true
	}
}

// change goes on with a change of members; it returns when the next step is due.
func (n *Node) change(now micro.Time) micro.Time {
	g := n.group
	if g.Epoch == 0 {
		return micro.Never
	}
	if len(g.Next) == 0 {
		// A holder that lost its disk is another member: it takes the place of its old self, by a change like any other.
		if p, ok := g.Find(n.Self.ID); ok && p.Member != n.Self {
			if now >= n.rejoin && n.deciding == 0 {
				n.rejoin = now + rejoinEvery + micro.Time(n.rng.Int64N(int64(rejoinEvery)))
				next := slices.Clone(g.Now)
				next[slices.Index(next, p)].Life = n.Self.Life
				n.decide(now, g.follow(next, fmt.Sprintf("server %d has lost its disk", n.Self.ID)))
			}
			return n.rejoin
		}
		return micro.Never
	}
	// A newcomer that lost its disk on the way will never hold what it is to hold.
	if p, ok := g.Find(n.Self.ID); ok && !g.Has(n.Self) && now >= n.rejoin && n.deciding == 0 && !slices.Contains(g.Now, p) {
		n.rejoin = now + rejoinEvery + micro.Time(n.rng.Int64N(int64(rejoinEvery)))
		n.decide(now, g.back())
		return n.rejoin
	}
	if (len(n.owed) > 0 || n.scansOwed()) && !planted.Bug(planted.CopyEarly) {
		return micro.Never // repairs have a time of their own
	}
	if now < n.nextMark {
		return n.nextMark
	}
	n.nextMark = now + markEvery
	if slices.Contains(members(g.Now), n.Self) {
		n.marks[n.Self] = true
		n.ready.Marks = append(n.ready.Marks, Mark{g.Epoch, n.Self})
	}
	// So many members that each key's majority of holders, whichever it was, has one among them; and as each of them goes by this
	// epoch, no change by an earlier one can have a majority any more.
	if len(n.marks) >= len(g.Now)-g.Spare() && n.deciding == 0 {
		n.decide(now, g.settle())
	}
	return n.nextMark
}

func (n *Node) decide(now micro.Time, g Group) {
	n.deciding = n.begin(now, groupKey(n.group.Epoch), Change{Act: Decide, At: int64(^uint64(0) >> 1), Result: g.String()}, n.group.sets()[:1], false)
}

// GiveUp ends a change of members that is under way: the members stay as they were.
func (n *Node) GiveUp(now micro.Time) error {
	if len(n.group.Next) == 0 {
		return fmt.Errorf("%w: none is under way", ErrMember)
	}
	if n.deciding == 0 {
		n.decide(now, n.group.back())
	}
	return nil
}

// Propose begins a change of members. Whether it was this one that was agreed on, the group that follows tells.
func (n *Node) Propose(now micro.Time, next []Peer, why string) error {
	g := n.group
	switch {
	case g.Epoch == 0:
		return ErrNoGroup
	case len(g.Next) > 0 || n.deciding != 0:
		return ErrChanging
	}
	f := g.follow(next, why)
	if err := f.Check(); err != nil {
		return err
	}
	if len(next) == 0 || max(gone(g.Now, next), gone(next, g.Now)) > 1 {
		return fmt.Errorf("%w: one member at a time", ErrMember)
	}
	if slices.Equal(g.Now, next) {
		return fmt.Errorf("%w: it would change nothing", ErrMember)
	}
	n.decide(now, f)
	return nil
}

// gone counts the members of a that are not in b.
func gone(a, b []Peer) (n int) {
	for _, p := range a {
		if !slices.ContainsFunc(b, func(o Peer) bool { return o.Member == p.Member }) {
			n++
		}
	}
	return n
}

// Found makes the first group of a name, where none is known.
func (n *Node) Found(now micro.Time, g Group) error {
	if n.group.Epoch > 0 {
		return fmt.Errorf("%w: a group is known here, of epoch %d", ErrMember, n.group.Epoch)
	}
	if g.Epoch = 1; !slices.Contains(members(g.Now), n.Self) {
		return fmt.Errorf("%w: this server is not of it", ErrMember)
	}
	return n.Adopt(now, g)
}

// forceSkip is far above what the members that are given up may have agreed on among themselves.
const forceSkip = 1000

// Force goes on with those members alone, though no majority of the others agrees: an operator's word that they are lost. What
// only they held is lost with them, so that until lost (Unix milliseconds, with room for callers' clocks) plus a window has passed,
// nothing is run of which nothing is known.
func (n *Node) Force(now micro.Time, keep []uint32, lost int64, why string) error {
	if n.group.Epoch == 0 {
		return ErrNoGroup
	}
	g := Group{Name: n.group.Name, Epoch: n.group.Epoch + forceSkip, Copies: n.group.Copies, Lost: lost, Why: why}
	for _, p := range n.group.All() {
		if slices.Contains(keep, p.ID) {
			g.Now = slices.DeleteFunc(g.Now, func(o Peer) bool { return o.ID == p.ID })
			g.Now = append(g.Now, p)
		}
	}
	if len(g.Now) != len(keep) || !slices.Contains(members(g.Now), n.Self) {
		return fmt.Errorf("%w: only members can be kept, this server among them", ErrMember)
	}
	if err := n.Adopt(now, g); err != nil {
		return err
	}
	n.Repair()
	return nil
}

// Restore goes by those slots, and saves again which group it goes by: the disk has failed, and this is what it holds.
func (n *Node) Restore(slots map[string]Slot) {
	n.holder = NewHolder(n.Self, slots)
	n.scans = nil
	if g := n.group; g.Epoch > 0 {
		n.take(g) // what is owed is to be looked for anew
		n.ready.Group = &g
	}
}
