package consensus

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/testbed/modelcheck"
)

const window = 1000

// group is a model: three holders of one key, or of two, and two servers that want to run their intakes. A holder's answer comes at once or never;
// what a server has asked a holder to accept may reach it at any time, again and again, or never, whatever became of the
// attempt. (A late request for a promise would only stand in the way, and is left out.) Servers die and come back knowing
// nothing; a holder's disk may be lost, and it comes back as another life, or, where amnesia is on, as its old self.
type group struct {
	holders [3][2]Register // by key
	lives   [3]uint64
	servers []asker   // two for each key
	accepts []Request // sorted by text; To is whoever it reaches
	wipes   int
	deaths  int
	runs    [2]int
	bounds  *bounds
}

type bounds struct {
	attempts, wipes, deaths int
	amnesia                 bool
	keys                    int // 0: one
}

// asker is a server's part in one key.
type asker struct {
	server   int
	key      int
	life     uint64
	attempts int
	op       *Proposal
	ran      bool
	ended    bool
}

var three = []Identity{{0, 1}, {1, 1}, {2, 1}}

func (g *group) Fingerprint() string {
	b := make([]byte, 0, 256)
	num := func(ns ...uint64) {
		for _, n := range ns {
			b = append(strconv.AppendUint(b, n, 36), ' ')
		}
	}
	yes := func(x bool) uint64 {
		if x {
			return 1
		}
		return 0
	}
	ballot := func(x Ballot) { num(x.Number, uint64(x.Proposer.ID), x.Proposer.Incarnation) }
	value := func(v Value) {
		num(uint64(v.Kind), uint64(v.Owner), v.Incarnation, uint64(v.AttemptedAt), uint64(len(v.Result)))
	}
	for i, h := range g.holders {
		num(g.lives[i])
		for _, s := range h[:max(g.bounds.keys, 1)] {
			ballot(s.Promised)
			ballot(s.Accepted)
			value(s.Value)
		}
	}
	for _, s := range g.servers {
		num(s.life, uint64(s.attempts), yes(s.ran), yes(s.ended))
		if o := s.op; o != nil {
			num(uint64(o.Change.Kind), yes(o.phase == phaseAccept), yes(o.phase == phaseRead), yes(o.done), uint64(o.outcome), o.preemptedBy, uint64(len(o.voters)))
			ballot(o.Ballot)
			ballot(o.newest)
			value(o.value)
			for _, m := range o.voters {
				num(uint64(m.ID))
			}
		}
		b = append(b, ';')
	}
	for _, r := range g.accepts {
		b = append(b, r.Key...)
		ballot(r.Ballot)
		value(r.Value)
	}
	num(uint64(g.wipes), uint64(g.deaths), uint64(g.runs[0]), uint64(g.runs[1]))
	return string(b)
}

func (g *group) Violation() string {
	if max(g.runs[0], g.runs[1]) > 1 {
		return "run twice"
	}
	for _, s := range g.servers {
		if s.op != nil && s.op.done && s.op.outcome == OutcomeSucceeded && g.runs[s.key] == 0 {
			return "served what never ran"
		}
	}
	return ""
}

func (g *group) clone() *group {
	n := *g
	n.accepts, n.servers = slices.Clone(g.accepts), slices.Clone(g.servers)
	for i := range n.servers {
		if op := n.servers[i].op; op != nil {
			c := *op
			c.voters = slices.Clone(op.voters)
			n.servers[i].op = &c
		}
	}
	return &n
}

// sent keeps what holders were asked to accept.
func (g *group) sent(rs []Request) {
	if len(rs) == 0 || !rs[0].Accept {
		return
	}
	r := rs[0]
	r.To = Identity{}
	g.accepts = append(g.accepts, r)
	slices.SortFunc(g.accepts, func(a, b Request) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
}

// reach has a request come to a holder.
func (g *group) reach(i int, r Request) (Reply, bool) {
	self := Identity{uint32(i), 1 + g.lives[i]}
	if g.bounds.amnesia {
		self.Incarnation = 1
	}
	r.To = three[i]
	key := int(r.Key[0] - '0')
	h := NewAcceptor(self, map[string]Register{r.Key: g.holders[i][key]})
	out, _, ok := h.Handle(r)
	g.holders[i][key] = h.Register(r.Key)
	return out, ok
}

func (g *group) Successors() (out []modelcheck.Step) {
	add := func(what string, f func(*group)) {
		n := g.clone()
		f(n)
		out = append(out, modelcheck.Step{Description: what, State: n})
	}
	for i, s := range g.servers {
		self, key, name := Identity{uint32(10 + s.server), s.life}, fmt.Sprint(s.key), fmt.Sprintf("server %d, key %d,", s.server, s.key)
		switch {
		case s.op == nil && s.attempts < g.bounds.attempts:
			add(name+" asks", func(n *group) {
				n.servers[i].attempts++
				n.servers[i].op, _ = newProposal(key, three, Change{Proposer: self, AttemptedAt: int64(s.life), Retention: window}, 1)
			})
		case s.op != nil && !s.op.done && s.attempts < g.bounds.attempts:
			add(name+" asks again", func(n *group) {
				n.servers[i].attempts++
				n.servers[i].op.Retry(uint64(n.servers[i].attempts))
			})
		case s.op != nil && s.op.done && s.op.outcome == OutcomeLeaseGranted && !s.ran:
			add(name+" runs", func(n *group) {
				n.servers[i].ran = true
				n.runs[s.key]++
			})
		case s.ran && !s.ended && s.op.done:
			add(name+" run ends", func(n *group) {
				n.servers[i].ended = true
				n.servers[i].op, _ = newProposal(key, three, Change{Kind: RecordResult, Proposer: self, AttemptedAt: int64(s.life), Retention: window, Succeeded: true, Result: "r"}, s.op.Ballot.Number+1)
			})
		}
		if s.op != nil && g.deaths < g.bounds.deaths {
			add(name+" dies and comes back", func(n *group) {
				n.deaths++
				n.servers[i] = asker{server: s.server, key: s.key, life: s.life + 1}
			})
		}
		if s.op != nil && !s.op.done {
			for h := range g.holders {
				add(fmt.Sprintf("holder %d answers %s", h, name), func(n *group) {
					op := n.servers[i].op
					if r, ok := n.reach(h, Request{Key: key, Ballot: op.Ballot, Accept: op.phase == phaseAccept, Read: op.phase == phaseRead, Value: op.value}); ok {
						n.sent(op.HandleReply(r))
					}
				})
			}
		}
	}
	for _, r := range g.accepts {
		for h := range g.holders {
			add(fmt.Sprintf("holder %d is asked late to accept %v of key %s: %v", h, r.Ballot, r.Key, r.Value), func(n *group) { n.reach(h, r) })
		}
	}
	if g.wipes < g.bounds.wipes {
		for i := range g.holders {
			add(fmt.Sprintf("holder %d loses its disk", i), func(n *group) {
				n.wipes++
				n.holders[i] = [2]Register{}
				n.lives[i]++
			})
		}
	}
	return out
}

func visit(t *testing.T, b bounds, most int) modelcheck.Report {
	g := &group{bounds: &b}
	for key := range max(b.keys, 1) {
		for server := range 2 {
			g.servers = append(g.servers, asker{server: server, key: key, life: 1})
		}
	}
	r := modelcheck.Explore(g, most)
	t.Logf("%+v: %v", b, r)
	return r
}

// Guards the once-only rule among several servers: whatever messages are lost, doubled or overtaken, whoever dies, and with a
// disk lost, no intake is run twice, and none is served that did not run.
func TestAllOrders(t *testing.T) {
	for _, b := range []bounds{{attempts: 1}, {attempts: 2}, {attempts: 1, deaths: 1}, {attempts: 1, wipes: 1}, {attempts: 1, keys: 2}, {attempts: 1, keys: 2, wipes: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			r := visit(t, b, *statesMost)
			require.Empty(t, r.Violation, "%v", r)
			require.Greater(t, r.States, 1000)
		})
	}
}

var statesMost = flag.Int("states", 150_000, "how many states TestAllOrders visits at most, of each model")

// A holder whose disk was lost must not vote as its old self: with that, the model finds an intake that is run twice. So the
// model can find what it looks for.
func TestAmnesiaIsFound(t *testing.T) {
	r := visit(t, bounds{attempts: 1, wipes: 1, amnesia: true}, 1_000_000)
	require.Equal(t, "run twice", r.Violation)
}

// A group on a network that loses, doubles and delays, with servers that die and disks that are lost and replaced by members of
// another life: played from seeds, to the end.
func TestSeeds(t *testing.T) {
	verdicts, blocked := map[Outcome]int{}, 0
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 3))
		members := []Identity{{0, 1}, {1, 1}, {2, 1}, {3, 1}, {4, 1}}
		holders := map[uint32]*Acceptor{}
		for _, m := range members {
			holders[m.ID] = NewAcceptor(m, nil)
		}
		lost, runs := 0, 0
		var result *Value
		for try := range 6 {
			self := Identity{uint32(10 + rng.IntN(3)), uint64(1 + try)}
			c := Change{Proposer: self, Attempt: uint64(try), AttemptedAt: int64(100 + try), Retention: window}
			for step := 0; step < 2; step++ {
				op, net := newProposal("k", members, c, 1)
				var inbox []any
				for _, r := range net {
					inbox = append(inbox, r)
				}
				attempts := 1
				for {
					if len(inbox) == 0 || rng.IntN(40) == 0 {
						if _, _, done := op.Done(); done || attempts == 8 {
							break
						}
						if op.Preempted() {
							blocked++
						}
						attempts++
						for _, r := range op.Retry(uint64(attempts)) {
							inbox = append(inbox, r)
						}
					}
					i := rng.IntN(len(inbox))
					m := inbox[i]
					if rng.IntN(8) > 0 { // else it comes once more
						inbox = slices.Delete(inbox, i, i+1)
					}
					if rng.IntN(6) == 0 {
						continue // lost
					}
					switch m := m.(type) {
					case Request:
						if r, _, ok := holders[m.To.ID].Handle(m); ok {
							inbox = append(inbox, r)
						}
					case Reply:
						for _, r := range op.HandleReply(m) {
							inbox = append(inbox, r)
						}
					}
					if lost < 2 && rng.IntN(200) == 0 {
						i := uint32(rng.IntN(5))
						if holders[i].Self.Incarnation == 1 { // its place stays empty: nobody asks the new life yet
							lost++
							holders[i] = NewAcceptor(Identity{i, 2}, nil)
						}
					}
				}
				v, value, done := op.Done()
				if !done {
					break
				}
				verdicts[v]++
				if v == OutcomeSucceeded && result != nil {
					require.Equal(t, *result, value, "seed %d", seed)
				}
				if v != OutcomeLeaseGranted || step > 0 {
					if v == OutcomeSucceeded {
						result = &value
					}
					break
				}
				if runs++; runs > 1 {
					t.Fatalf("seed %d: run twice", seed)
				}
				if rng.IntN(3) == 0 {
					break // it dies before its end is agreed
				}
				c.Kind, c.Succeeded, c.Result = RecordResult, true, fmt.Sprint(try)
			}
		}
	}
	t.Logf("verdicts %v, %d attempts blocked", verdicts, blocked)
	for v := OutcomeLeaseGranted; v < OutcomeLeaseLost; v++ {
		if v != OutcomeFailed {
			require.Positive(t, verdicts[v], v)
		}
	}
}

// One server more or less moves only the keys that it holds.
func TestHolders(t *testing.T) {
	var ms []Identity
	for i := range uint32(16) {
		ms = append(ms, Identity{i, 1})
	}
	moved, load := 0, map[uint32]int{}
	for i := range 5000 {
		key := fmt.Sprint("key", i)
		before, after := Replicas(key, ms, 3, xxhash.Sum64String), Replicas(key, ms[:15], 3, xxhash.Sum64String)
		for _, m := range before {
			load[m.ID]++
			if !slices.Contains(after, m) {
				moved++
				require.Equal(t, uint32(15), m.ID, "only what it held")
			}
		}
	}
	require.Equal(t, load[15], moved)
	for _, n := range load {
		require.InDelta(t, 5000*3/16, n, 100)
	}
}

func newProposal(key string, replicas []Identity, change Change, number uint64) (*Proposal, []Request) {
	return NewProposal(ProposalConfig{Key: key, Change: change, Number: number, Configurations: [][]Identity{replicas}})
}
