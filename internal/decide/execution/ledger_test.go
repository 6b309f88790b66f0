package execution

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/testbed/modelcheck"
)

const window = 1000

// model is two servers that share a register for each key, as a majority of holders makes one: a change takes effect at once, at
// some time or never, also after whoever wanted it has given it up; its answer may be lost. Processes die and come back knowing
// nothing. All tries are within one window.
type model struct {
	values  []consensus.Value // by key
	servers [2]process
	floats  []change // given up, or of dead processes: they may take effect yet
	ran     []int    // by key: runs that were begun
	deaths  int
	wrong   string
	bounds  *bounds
}

type bounds struct {
	keys, tries, deaths, lost int
	sameLife                  bool // a process that comes back takes itself for the one before
}

// process is one server's process.
type process struct {
	life uint64
	keys []intake
	lost int // answers, so far
}

// intake is a key in one process.
type intake struct {
	Lifecycle
	tries   int
	try     uint64
	op      *change
	running bool
	passed  bool
}

type change struct {
	key int
	consensus.Change
	verdict consensus.Outcome // 0: it has not taken effect
	value   consensus.Value
}

func (m *model) clone() *model {
	n := *m
	n.values, n.floats, n.ran = slices.Clone(m.values), slices.Clone(m.floats), slices.Clone(m.ran)
	for i := range n.servers {
		n.servers[i].keys = slices.Clone(m.servers[i].keys)
		for j := range n.servers[i].keys {
			if op := n.servers[i].keys[j].op; op != nil {
				c := *op
				n.servers[i].keys[j].op = &c
			}
		}
	}
	return &n
}

func (m *model) Fingerprint() string {
	var b strings.Builder
	fmt.Fprint(&b, m.values, m.ran, m.deaths)
	for _, s := range m.servers {
		fmt.Fprint(&b, ";", s.life, s.lost)
		for _, k := range s.keys {
			fmt.Fprint(&b, k.Lifecycle, k.tries, k.try, k.running, k.passed)
			if k.op != nil {
				fmt.Fprint(&b, *k.op)
			}
		}
	}
	floats := make([]string, len(m.floats))
	for i, f := range m.floats {
		floats[i] = fmt.Sprint(f)
	}
	slices.Sort(floats)
	fmt.Fprint(&b, floats)
	return b.String()
}

func (m *model) Violation() string {
	for key, n := range m.ran {
		if n > 1 {
			return fmt.Sprintf("key %d is run twice", key)
		}
	}
	return m.wrong
}

// move feeds an event to a key, and does what it says.
func (m *model) move(i, j int, ev Event) {
	s := &m.servers[i]
	k := &s.keys[j]
	ask := func(c consensus.Change) {
		if k.op != nil && k.op.verdict == 0 {
			m.floats = append(m.floats, *k.op)
		}
		c.Proposer, c.AttemptedAt, c.Retention = consensus.Identity{ID: uint32(i + 1), Incarnation: s.life}, 1, window
		k.op = &change{key: j, Change: c}
	}
	for _, d := range k.Step(ev) {
		switch d {
		case ActionAcquireLease:
			k.try++
			ask(consensus.Change{Kind: consensus.AcquireLease, Attempt: k.try, NeverStarted: !k.Started})
		case ActionPoll:
			ask(consensus.Change{Kind: consensus.ReadValue})
		case ActionRecord:
			ask(consensus.Change{Kind: consensus.RecordResult, Attempt: k.try, Succeeded: k.passed, Result: "r"})
		case ActionReleaseLease:
			ask(consensus.Change{Kind: consensus.ReleaseLease, Attempt: k.try})
		case ActionStart:
			k.running = true
			m.ran[j]++
		case ActionServe:
			if m.ran[j] == 0 {
				m.wrong = "served what never ran"
			}
		}
	}
}

func (m *model) Successors() (out []modelcheck.Step) {
	add := func(what string, f func(*model)) {
		n := m.clone()
		f(n)
		out = append(out, modelcheck.Step{Description: what, State: n})
	}
	for i, s := range m.servers {
		for j, k := range s.keys {
			name := fmt.Sprintf("server %d, key %d", i+1, j)
			if k.tries < m.bounds.tries && (k.State == StateIdle || k.State == StateReleasing || k.State == StateRecorded) {
				add(name+": a try", func(n *model) {
					n.servers[i].keys[j].tries++
					n.move(i, j, EventAttemptArrived)
				})
			}
			if k.op != nil && k.op.verdict == 0 {
				add(name+": its change takes effect", func(n *model) { n.servers[i].keys[j].op.verdict = n.effect(n.servers[i].keys[j].op) })
			}
			if k.op != nil && k.op.verdict != 0 {
				add(name+": it hears so", func(n *model) {
					v := n.servers[i].keys[j].op.verdict
					n.servers[i].keys[j].op = nil
					n.move(i, j, EventOf(v, true))
				})
			}
			if k.op != nil && s.lost < m.bounds.lost {
				add(name+": it hears nothing", func(n *model) {
					k := &n.servers[i].keys[j]
					if k.op.verdict == 0 {
						n.floats = append(n.floats, *k.op)
					}
					k.op = nil
					n.servers[i].lost++
					n.move(i, j, EventUnavailable)
				})
			}
			switch {
			case k.State == StateHeldByOther, k.State == StateUnrecorded && k.op == nil:
				add(name+": again", func(n *model) { n.move(i, j, EventRetryDue) })
			}
			if k.State == StateHeldByOther || k.State == StatePolling || k.State == StateAcquiring {
				add(name+": due", func(n *model) { n.move(i, j, EventDeadlineReached) })
			}
			if k.running {
				add(name+": its run ends well", func(n *model) {
					n.servers[i].keys[j].running, n.servers[i].keys[j].passed = false, true
					n.move(i, j, EventRunSucceeded)
				})
				add(name+": its run fails", func(n *model) {
					n.servers[i].keys[j].running = false
					n.move(i, j, EventRunFailed)
				})
			}
		}
		if m.deaths < m.bounds.deaths {
			add(fmt.Sprintf("server %d dies and comes back", i+1), func(n *model) {
				n.deaths++
				for j := range n.servers[i].keys {
					k := &n.servers[i].keys[j]
					if k.op != nil && k.op.verdict == 0 {
						n.floats = append(n.floats, *k.op)
					}
					*k = intake{tries: k.tries}
				}
				if !n.bounds.sameLife {
					n.servers[i].life++
				}
			})
		}
	}
	for f := range m.floats {
		add(fmt.Sprintf("a change that was given up takes effect: %v", m.floats[f]), func(n *model) {
			c := n.floats[f]
			n.floats = slices.Delete(n.floats, f, f+1)
			// A leave that comes when nobody wants it any more is taken back, if its process still lives.
			if n.effect(&c) == consensus.OutcomeLeaseGranted && n.servers[c.Proposer.ID-1].life == c.Proposer.Incarnation {
				c.Kind = consensus.ReleaseLease
				n.floats = append(n.floats, c)
			}
		})
	}
	return out
}

func (m *model) effect(c *change) consensus.Outcome {
	v, verdict := c.Apply(m.values[c.key])
	m.values[c.key] = v
	return verdict
}

var statesMost = flag.Int("states", 160_000, "how many states TestAllOrders visits at most, of each model")

func visit(b bounds, most int) modelcheck.Report {
	m := &model{bounds: &b, values: make([]consensus.Value, b.keys), ran: make([]int, b.keys)}
	for i := range m.servers {
		m.servers[i] = process{life: 1, keys: make([]intake, b.keys)}
	}
	return modelcheck.Explore(m, most)
}

// Guards the life of an intake: whatever crosses whatever, it is run once by one server, and served with what ran.
func TestAllOrders(t *testing.T) {
	for _, b := range []bounds{{keys: 1, tries: 1, lost: 1}, {keys: 1, tries: 2, lost: 1}, {keys: 1, tries: 2, deaths: 1, lost: 1}, {keys: 1, tries: 2, deaths: 1, lost: 2},
		{keys: 2, tries: 1, deaths: 1, lost: 1}, {keys: 2, tries: 2, lost: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			r := visit(b, *statesMost)
			t.Logf("%+v: %v", b, r)
			require.Empty(t, r.Violation, "%v", r)
			require.Greater(t, r.States, 500)
		})
	}
}

// A process that comes back and takes itself for the one before runs again what that one ran: the model finds it, so that it can find
// what it looks for.
func TestSameLifeIsFound(t *testing.T) {
	r := visit(bounds{keys: 1, tries: 2, deaths: 1, sameLife: true}, 300_000)
	t.Log(r)
	require.Equal(t, "key 0 is run twice", r.Violation)
}

// Every event at every state: what a state does not expect changes nothing, and whoever waits is told one thing at most.
func TestEveryEventAtEveryState(t *testing.T) {
	final := map[Action]bool{ActionServe: true, ActionReportFailed: true, ActionReportIndeterminate: true, ActionReportUnrecorded: true, ActionReject: true, ActionReportCancelled: true}
	for s := State(0); s < States; s++ {
		for e := Event(0); e < Events; e++ {
			k := Lifecycle{State: s}
			does := k.Step(e)
			told := 0
			for _, d := range does {
				if final[d] {
					told++
				}
			}
			require.LessOrEqual(t, told, 1, "state %d, event %d", s, e)
			if len(does) == 0 && k.State != s {
				require.Contains(t, []State{StateIdle}, k.State, "state %d, event %d: a silent move", s, e)
			}
			// Whoever is told something is not told again by what may still come, but for a result that is copied late.
			if told == 1 && k.State != StateUnrecorded && k.State != StateRecorded {
				require.Contains(t, []State{StateIdle, StateReleasing}, k.State, "state %d, event %d", s, e)
			}
		}
	}
}

// Whoever has asked for leave and was told to wait is told something once it is due.
func TestDueEndsEachWait(t *testing.T) {
	for _, s := range []State{StateAcquiring, StateHeldByOther, StatePolling} {
		k := Lifecycle{State: s}
		require.NotEmpty(t, k.Step(EventDeadlineReached))
		require.Contains(t, []State{StateIdle, StateReleasing}, k.State)
	}
}
