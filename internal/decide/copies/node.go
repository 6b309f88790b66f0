package copies

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"pewterline/internal/micro"
)

// Config says how a Node goes about its changes.
type Config struct {
	Copies int        // holders of a key; odd. Up to half of them may be lost: 3 for one loss, 5 for two
	Wait   micro.Time // for the holders' answers, before an attempt is made anew
	Most   micro.Time // for a change in all: then it is not known whether it was made
	Keys   int        // changes under way at once; more are refused
}

// Check names what makes no sense.
func (c Config) Check() error {
	switch {
	case c.Copies < 1 || c.Copies%2 == 0 || c.Copies > 9:
		return fmt.Errorf("copies: %d is not odd and within 1 to 9", c.Copies)
	case c.Wait <= 0 || c.Most < 2*c.Wait:
		return fmt.Errorf("wait_ms: %v is not over 0, or %v in all is under twice that", c.Wait.Duration(), c.Most.Duration())
	case c.Keys < 1:
		return errors.New("keys: under 1")
	}
	return nil
}

// ErrBusy says that too many changes are under way: the intake has not run and may be turned away.
var ErrBusy = errors.New("copies: too many changes are under way")

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

// Ready is what the host is to do, in this order: make Save durable, send, and take the results.
type Ready struct {
	Save     []Saved
	Requests []Request
	Replies  map[Member][]Reply // to whoever asked
	Results  []Result
}

// Node is one log server of a group: it holds copies for others, and changes keys for its own intakes. It has no clock and no
// randomness but its seed's.
type Node struct {
	Self    Member // as a holder: its life ends with its disk
	Process Member // as a server: its life ends with the process
	cfg     Config
	members []Member
	score   func(string) uint64
	holder  *Holder
	rng     *rand.Rand
	under   []*underway // oldest first
	last    uint64      // id
	number  uint64      // of ballots, the highest that was used or seen
	ready   Ready
}

// underway is a change under way.
type underway struct {
	id    uint64
	op    *Op
	again micro.Time // the next attempt is due
	until micro.Time
	wait  micro.Time
}

// NewNode returns a node with the slots that it had made durable; nil: none, as a life without a disk has. process is unlike that
// of any process before it on this server.
func NewNode(self Member, process uint64, cfg Config, members []Member, slots map[string]Slot, seed uint64, score func(string) uint64) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	if len(members) < cfg.Copies {
		return nil, fmt.Errorf("copies: %d members are too few for %d copies", len(members), cfg.Copies)
	}
	return &Node{Self: self, Process: Member{self.ID, process}, cfg: cfg, members: slices.Clone(members), score: score, holder: NewHolder(self, slots),
		rng: rand.New(rand.NewPCG(seed, 5)), ready: Ready{Replies: map[Member][]Reply{}}}, nil
}

// Begin starts a change of a key. The end of a run has the Try of the value that gave the leave.
func (n *Node) Begin(now micro.Time, key string, c Change) (uint64, error) {
	if len(n.under) >= n.cfg.Keys {
		return 0, ErrBusy
	}
	n.last++
	if c.Self = n.Process; !c.Settle {
		c.Try = n.last
	}
	n.number++
	op, asks := NewOp(key, Holders(key, n.members, n.cfg.Copies, n.score), c, n.number)
	n.under = append(n.under, &underway{n.last, op, now + n.cfg.Wait, now + n.cfg.Most, n.cfg.Wait})
	n.ready.Requests = append(n.ready.Requests, asks...)
	return n.last, nil
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
	n.ready.Replies[from] = append(n.ready.Replies[from], reply)
}

// Heard takes an answer to a request of this node.
func (n *Node) Heard(now micro.Time, r Reply) {
	n.number = max(n.number, r.Promised.N)
	for i, u := range n.under {
		if u.op.Ballot != r.Ballot || u.op.Key != r.Key {
			continue
		}
		n.ready.Requests = append(n.ready.Requests, u.op.Heard(r)...)
		if verdict, value, done := u.op.Done(); done {
			n.ready.Results = append(n.ready.Results, Result{u.id, u.op.Key, true, verdict, value})
			n.under = slices.Delete(n.under, i, i+1)
		} else if u.op.Blocked() {
			// Somebody else is at this key. Who waits for how long is drawn, so that two don't go on standing in each other's way.
			u.again = min(u.again, now+1+micro.Time(n.rng.Int64N(int64(n.cfg.Wait))))
		}
		return
	}
}

// Tick makes attempts anew that are due, and ends changes whose time is over. It returns when the next is.
func (n *Node) Tick(now micro.Time) micro.Time {
	next, left := micro.Never, n.under[:0]
	for _, u := range n.under {
		if now >= u.until {
			n.ready.Results = append(n.ready.Results, Result{ID: u.id, Key: u.op.Key})
			continue
		}
		if now >= u.again {
			n.number++
			n.ready.Requests = append(n.ready.Requests, u.op.Again(n.number)...)
			n.number = max(n.number, u.op.Ballot.N)
			u.wait = min(2*u.wait, n.cfg.Most)
			u.again = now + u.wait/2 + micro.Time(n.rng.Int64N(int64(u.wait)))
		}
		next = min(next, u.again, u.until)
		left = append(left, u)
	}
	clear(n.under[len(left):])
	n.under = left
	return next
}

// Ready takes what the host is to do.
func (n *Node) Ready() Ready {
	out := n.ready
	n.ready = Ready{Replies: map[Member][]Reply{}}
	return out
}

// Forget drops the keys whose window is over; see Holder.Forget.
func (n *Node) Forget(before int64) int { return n.holder.Forget(before) }
