// Package consensus agrees on what becomes of each once-key among the log servers that hold copies of it, so that the loss of a
// minority of them, disks included, loses nothing that was promised. It is without I/O, goroutines or a clock.
//
// Each key is a register of its own (D. Rystsov, "CASPaxos: Replicated State Machines without logs", 2018): whoever wants to
// change it asks a majority of its holders for their promise and for what they hold, changes the newest of that, and has a
// majority accept the change. There is no leader whose stall others would have to wait out, and no order between keys.
package consensus

import (
	"cmp"
	"maps"
	"slices"
)

// Ballot orders attempts to change a key. No two attempts have the same one: a server that starts anew may not know which
// numbers it had used, and is another.
type Ballot struct {
	Number   uint64
	Proposer Identity
}

// Less says that b comes before o.
func (b Ballot) Less(o Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, o.Number), cmp.Compare(b.Proposer.ID, o.Proposer.ID), cmp.Compare(b.Proposer.Incarnation, o.Proposer.Incarnation)) < 0
}

// ValueKind is how far an intake has come.
type ValueKind uint8

// The kinds.
const (
	KindNone       ValueKind = iota
	KindLeased               // Owner may run it, and may have
	KindSucceeded            // it ran, with Result
	KindFailed               // it ran and failed, or its run's end is lost
	KindMembership           // Result is the group that follows one
)

// Value is what is agreed on a key. Times are Unix milliseconds of the tries themselves, so that no clock matters.
type Value struct {
	Kind        ValueKind
	Owner       uint32 // the server that may run it
	Incarnation uint64 // of that server's process: one that starts anew is another, and knows nothing of what this one ran
	Attempt     uint64 // of that process: two changes of one process are two as well
	AttemptedAt int64  // of the try that runs
	Result      string
}

// Identity is a holder. One whose disk was lost comes back with another life: it is a new member, and no vote of it counts as
// its old self's.
type Identity struct {
	ID          uint32
	Incarnation uint64
}

// Request is what a holder is asked.
type Request struct {
	To          Identity
	Key         string
	Epoch       uint64 // of the group that the asker goes by
	AttemptedAt int64  // of the try that it is for: by that the key is forgotten
	Ballot      Ballot
	Accept      bool  // Value; else only the promise and what is held are wanted
	Read        bool  // what is held, and no promise
	Value       Value // of Accept
}

// Reply is its answer.
type Reply struct {
	From     Identity
	Key      string
	Epoch    uint64 // that the holder goes by; it takes no request of another one
	Ballot   Ballot // of the request
	Accept   bool
	Read     bool
	OK       bool
	Promised Ballot // where it is not OK: what stands in the way
	Accepted Ballot // of Value
	Value    Value  // that is held
}

// Register is what a holder keeps of a key. It has to be durable before the reply goes out that it was changed for.
type Register struct {
	Promised, Accepted Ballot
	Value              Value
	LastAttemptAt      int64  // the last try that it was asked for
	TransferredEpoch   uint64 // the last epoch in which this holder has seen to it that those to come hold it
}

// Acceptor is the holder's side.
type Acceptor struct {
	Self  Identity
	Epoch uint64 // of the group
	slots map[string]Register
	order []string // the keys as they came, so that they can be gone through a part at a time; some are forgotten, or twice here
}

// NewAcceptor returns a holder with the slots that it had; nil: none, as a new life has.
func NewAcceptor(self Identity, slots map[string]Register) *Acceptor {
	if slots == nil {
		slots = map[string]Register{}
	}
	return &Acceptor{Self: self, slots: slots, order: slices.Sorted(maps.Keys(slots))}
}

// Handle answers a request. changed says that the key's slot is to be made durable before the reply goes out. ok is false
// where there is no reply: the request is for an earlier life.
func (h *Acceptor) Handle(r Request) (_ Reply, changed, ok bool) {
	if r.To != h.Self {
		return Reply{}, false, false
	}
	s, known := h.slots[r.Key]
	out := Reply{From: h.Self, Key: r.Key, Epoch: h.Epoch, Ballot: r.Ballot, Accept: r.Accept, Read: r.Read}
	if r.Epoch != h.Epoch {
		return out, false, true
	}
	if r.Read {
		out.OK, out.Accepted, out.Value = true, s.Accepted, s.Value
		return out, false, true
	}
	if r.Ballot.Less(s.Promised) {
		out.Promised = s.Promised
		return out, false, true
	}
	if s.Promised = r.Ballot; r.Accept {
		s.Accepted, s.Value = r.Ballot, r.Value
	}
	s.LastAttemptAt = max(s.LastAttemptAt, r.AttemptedAt)
	if h.slots[r.Key] = s; !known {
		h.order = append(h.order, r.Key)
	}
	out.OK, out.Accepted, out.Value = true, s.Accepted, s.Value
	return out, true, true
}

// Register is what is held of a key.
func (h *Acceptor) Register(key string) Register { return h.slots[key] }

// Expire drops the keys of tries that came before a time: their window is over. All holders of a key have to be past it by
// more than any request is on its way.
func (h *Acceptor) Expire(before int64) (n int) {
	for key, s := range h.slots {
		if s.LastAttemptAt < before {
			delete(h.slots, key)
			n++
		}
	}
	return n
}

// tidy drops from the order what is not held any more, where that is most of it.
func (h *Acceptor) tidy() {
	if len(h.order) > 2*len(h.slots)+1000 {
		seen := make(map[string]bool, len(h.slots))
		h.order = slices.DeleteFunc(h.order, func(key string) bool {
			_, held := h.slots[key]
			gone := !held || seen[key]
			seen[key] = true
			return gone
		})
	}
}

// moved notes that a majority of the holders to come has what is agreed on a key.
func (h *Acceptor) moved(key string) (s Register, changed bool) {
	s, ok := h.slots[key]
	if !ok || s.TransferredEpoch == h.Epoch {
		return s, false
	}
	s.TransferredEpoch = h.Epoch
	h.slots[key] = s
	return s, true
}

// Len counts the keys that are held.
func (h *Acceptor) Len() int { return len(h.slots) }

// Outcome is what a change has come to.
type Outcome uint8

// The verdicts.
const (
	OutcomeLeaseGranted      Outcome = iota + 1 // the asker may run it, once
	OutcomeSucceeded                            // Result is what a run made
	OutcomeFailed                               // a run has failed
	OutcomeIndeterminate                        // another server, or an earlier life, may have run it: nobody knows before its window is over
	OutcomeLeaseLost                            // the asker does not own it any more
	OutcomeVacant                               // nothing is known that would stand in a run's way
	OutcomeMembershipDecided                    // Result is the group that follows
)

// ChangeKind is what a change is for.
type ChangeKind uint8

// The acts.
const (
	AcquireLease     ChangeKind = iota // to run it
	RecordResult                       // of a run
	ReadValue                          // at what is agreed; it changes nothing, and has a majority hold that
	ReleaseLease                       // takes the leave back: the run was not begun
	DecideMembership                   // the group that follows one
)

// Change is a change of a key that a server wants.
type Change struct {
	Kind         ChangeKind
	Proposer     Identity
	Attempt      uint64 // of Self's process: another for each leave to run; the end of a run has that of its leave
	AttemptedAt  int64  // of the try
	Retention    int64  // milliseconds
	Succeeded    bool   // of End
	Result       string // of End and Decide
	NeverStarted bool   // of Leave: no leave that Self's process has had for the key before led to a run, or will
	ForcedAt     int64  // until then it is not known what ran, where nothing says so: holders were given up. 0: none were
}

// Apply is what a change makes of a value, and what that means for the asker. It may be called several times, with whatever
// is agreed by then: a change that was made already is made no second time.
func (c Change) Apply(v Value) (Value, Outcome) {
	own := v.Owner == c.Proposer.ID && v.Incarnation == c.Proposer.Incarnation
	ours := own && v.Attempt == c.Attempt && v.AttemptedAt == c.AttemptedAt
	mine := v.Kind == KindLeased && ours
	switch c.Kind {
	case RecordResult:
		switch {
		case (mine || v.Kind == KindNone) && c.Succeeded: // None: what was agreed was given up with its holders, and it did run
			return Value{KindSucceeded, c.Proposer.ID, c.Proposer.Incarnation, c.Attempt, c.AttemptedAt, c.Result}, OutcomeSucceeded
		case mine:
			v.Kind = KindFailed
			return v, OutcomeFailed
		case v.Kind == KindSucceeded && ours:
			return v, OutcomeSucceeded
		case v.Kind == KindFailed && ours:
			return v, OutcomeFailed
		}
		return v, OutcomeLeaseLost
	case ReleaseLease:
		if mine {
			return Value{}, OutcomeVacant
		}
		return v, OutcomeLeaseLost
	case DecideMembership:
		if v.Kind == KindNone {
			v = Value{Kind: KindMembership, Result: c.Result}
		}
		return v, OutcomeMembershipDecided
	}
	// Only times of tries are compared: what counts is when a repeat came, by its own 'at'.
	switch past := v.Kind == KindNone || c.AttemptedAt >= v.AttemptedAt+c.Retention; {
	case past && c.AttemptedAt < c.ForcedAt+c.Retention && c.ForcedAt > 0:
		return v, OutcomeIndeterminate
	case past && c.Kind == ReadValue:
		return v, OutcomeVacant
	// Not in the place of a later one's: guards a run against a leave that was given up before it and is agreed on behind it.
	case past, v.Kind == KindLeased && own && c.NeverStarted && v.Attempt < c.Attempt && c.Kind == AcquireLease:
		return Value{Kind: KindLeased, Owner: c.Proposer.ID, Incarnation: c.Proposer.Incarnation, Attempt: c.Attempt, AttemptedAt: c.AttemptedAt}, OutcomeLeaseGranted
	case mine && c.Kind == AcquireLease:
		return v, OutcomeLeaseGranted
	case v.Kind == KindSucceeded:
		return v, OutcomeSucceeded
	case v.Kind == KindFailed:
		return v, OutcomeFailed
	}
	return v, OutcomeIndeterminate
}

// Proposal is one change on its way.
type Proposal struct {
	Key     string
	Change  Change
	Ballot  Ballot
	Epoch   uint64
	sets    [][]Identity // a majority of each is needed: while a group changes, there are two
	all     bool         // and, if they answer in time, all of them but those absent
	absent  []Identity   // who can't be reached, or is another by now
	peek    bool         // the round before both, of a look: where holders agree, neither is needed
	accept  bool         // the second of both rounds
	votes   []Identity
	newest  Ballot
	value   Value
	verdict Outcome
	seen    uint64 // the highest number that stands in the way
	over    bool
}

// NewProposal begins a change at the holders of a key; n is a number above any that this server has used for it.
func NewProposal(key string, epoch uint64, sets [][]Identity, c Change, n uint64) (*Proposal, []Request) {
	o := &Proposal{Key: key, Change: c, Epoch: epoch, sets: sets, Ballot: Ballot{n, c.Proposer}, peek: c.Kind == ReadValue}
	return o, o.ask()
}

// Retry begins the change anew, under a number of at least n that stands above what was in the way.
func (o *Proposal) Retry(n uint64) []Request {
	o.Ballot = Ballot{max(n, o.seen+1), o.Change.Proposer}
	o.peek, o.accept, o.votes, o.newest, o.value = false, false, nil, Ballot{}, Value{}
	return o.ask()
}

// Reconfigure has the change made by another group.
func (o *Proposal) Reconfigure(epoch uint64, sets [][]Identity, n uint64) []Request {
	o.Epoch, o.sets = epoch, sets
	return o.Retry(n)
}

func (o *Proposal) ask() (out []Request) {
	var asked []Identity
	for _, set := range o.sets {
		for _, m := range set {
			if !slices.Contains(asked, m) {
				asked = append(asked, m)
				out = append(out, Request{To: m, Key: o.Key, Epoch: o.Epoch, AttemptedAt: o.Change.AttemptedAt, Ballot: o.Ballot, Accept: o.accept, Read: o.peek, Value: o.value})
			}
		}
	}
	return out
}

// agreed says that a majority of each set has voted, or all.
func (o *Proposal) agreed(all bool) bool {
	for _, set := range o.sets {
		n, want := 0, len(set)/2+1
		if all {
			want = max(want, len(slices.DeleteFunc(slices.Clone(set), func(m Identity) bool { return slices.Contains(o.absent, m) })))
		}
		for _, m := range set {
			if slices.Contains(o.votes, m) {
				n++
			}
		}
		if n < want {
			return false
		}
	}
	return true
}

// HandleReply takes a reply; it returns what to ask next. Replies to earlier attempts and repeated ones change nothing.
func (o *Proposal) HandleReply(r Reply) []Request {
	if o.over || r.Key != o.Key || r.Ballot != o.Ballot || r.Accept != o.accept || r.Read != o.peek || r.Epoch != o.Epoch ||
		!slices.ContainsFunc(o.sets, func(set []Identity) bool { return slices.Contains(set, r.From) }) {
		return nil
	}
	if !r.OK {
		o.seen = max(o.seen, r.Promised.Number)
		return nil
	}
	if slices.Contains(o.votes, r.From) {
		return nil
	}
	o.votes = append(o.votes, r.From)
	if o.peek {
		return o.peeked(r)
	}
	if !o.accept && o.newest.Less(r.Accepted) {
		o.newest, o.value = r.Accepted, r.Value
	}
	switch {
	case !o.agreed(false):
	case o.accept:
		o.over = !o.all || o.agreed(true)
	default:
		was := o.value
		o.value, o.verdict = o.Change.Apply(o.value)
		if o.Change.Kind == ReadValue && was.Kind == KindNone { // nothing that holders would have to hold
			o.over = true
			return nil
		}
		o.accept, o.votes = true, nil
		return o.ask()
	}
	return nil
}

// peeked takes a holder's word in the round before both. Where a majority holds what was accepted under one ballot, that is agreed on,
// and nothing newer was when the look began: a newer change would have a majority too, and one of its holders would have said so.
// Guards whoever changes a key against those that only look at it, each of which would stand in its way with a ballot of its own.
func (o *Proposal) peeked(r Reply) []Request {
	if len(o.votes) > 1 && r.Accepted != o.newest {
		o.peek, o.votes, o.newest, o.value = false, nil, Ballot{}, Value{}
		return o.ask()
	}
	o.newest, o.value = r.Accepted, r.Value
	if o.agreed(o.all) {
		o.value, o.verdict = o.Change.Apply(o.value)
		o.over = true
	}
	return nil
}

// SettleForMajority ends a change that waits for those that have not answered, beyond a majority. It returns whether it is over.
func (o *Proposal) SettleForMajority() bool {
	o.over = o.over || o.accept && o.agreed(false)
	return o.over
}

// Preempted says that an attempt under a higher number stands in the way: Again is due, after a while that differs by server.
func (o *Proposal) Preempted() bool { return !o.over && o.seen >= o.Ballot.Number }

// Done is the verdict, and the value that is agreed; false while it is not known.
func (o *Proposal) Done() (Outcome, Value, bool) { return o.verdict, o.value, o.over }

// Replicas are the n members that hold a key: the highest of a hash of both (D. Thaler and C. Ravishankar, rendezvous hashing,
// 1998), so that one member more or less moves only the keys that it holds. score is a hash of the key, which is mixed with each
// member's number (G. Steele, D. Lea and C. Flood, "Fast Splittable Pseudorandom Number Generators", 2014, for the mix).
func Replicas(key string, members []Identity, n int, score func(string) uint64) []Identity {
	type ranked struct {
		m Identity
		s uint64
	}
	best := make([]ranked, 0, n+1)
	hash := score(key)
	for _, m := range members {
		x := hash + uint64(m.ID)*0x9e3779b97f4a7c15
		x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		r := ranked{m, x ^ x>>31}
		i := len(best)
		for i > 0 && (best[i-1].s < r.s || best[i-1].s == r.s && best[i-1].m.ID > m.ID) {
			i--
		}
		if i < n {
			if best = slices.Insert(best, i, r); len(best) > n {
				best = best[:n]
			}
		}
	}
	out := make([]Identity, len(best))
	for i, r := range best {
		out[i] = r.m
	}
	return out
}
