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

const retention = 1000 // milliseconds

// model is two servers that share a register for each key, as a majority of replicas makes one. A change takes
// effect at once, at some time or never, also after whoever wanted it has given it up; its outcome may be lost.
// Processes crash and come back knowing nothing. All attempts are within one retention.
type model struct {
	values  []consensus.Value // by key
	servers [2]process
	// abandoned are the changes that were given up, or whose processes crashed: they may take effect yet.
	abandoned []change
	runs      []int // by key: runs that were begun
	crashes   int
	violation string
	bounds    *bounds
}

type bounds struct {
	keys, attempts, crashes, lostOutcomes int
	// sameIncarnation has a process that comes back take itself for the one before.
	sameIncarnation bool
}

// process is one server's process.
type process struct {
	incarnation  uint64
	executions   []execution // by key
	lostOutcomes int
}

// execution is that of a key's request in one process.
type execution struct {
	Lifecycle
	attempts  int
	lease     uint64 // number of the last one that was asked for
	change    *change
	running   bool
	succeeded bool
}

// change is one of a register. It has taken effect where it has an outcome.
type change struct {
	key int
	consensus.Change
	outcome consensus.Outcome
}

func (m *model) clone() *model {
	out := *m
	out.values = slices.Clone(m.values)
	out.abandoned = slices.Clone(m.abandoned)
	out.runs = slices.Clone(m.runs)
	for i := range out.servers {
		out.servers[i].executions = slices.Clone(m.servers[i].executions)
		for j := range out.servers[i].executions {
			if pending := out.servers[i].executions[j].change; pending != nil {
				copied := *pending
				out.servers[i].executions[j].change = &copied
			}
		}
	}
	return &out
}

// Fingerprint is part of modelcheck.State.
func (m *model) Fingerprint() string {
	var text strings.Builder
	fmt.Fprint(&text, m.values, m.runs, m.crashes)
	for _, server := range m.servers {
		fmt.Fprint(&text, ";", server.incarnation, server.lostOutcomes)
		for _, e := range server.executions {
			fmt.Fprint(&text, e.Lifecycle, e.attempts, e.lease, e.running, e.succeeded)
			if e.change != nil {
				fmt.Fprint(&text, *e.change)
			}
		}
	}
	abandoned := make([]string, len(m.abandoned))
	for i, c := range m.abandoned {
		abandoned[i] = fmt.Sprint(c)
	}
	slices.Sort(abandoned)
	fmt.Fprint(&text, abandoned)
	return text.String()
}

// Violation is part of modelcheck.State.
func (m *model) Violation() string {
	for key, runs := range m.runs {
		if runs > 1 {
			return fmt.Sprintf("key %d is run twice", key)
		}
	}
	return m.violation
}

// Successors is part of modelcheck.State.
func (m *model) Successors() []modelcheck.Step {
	var steps modelSteps
	for i, server := range m.servers {
		for key, e := range server.executions {
			at := place{server: i, key: key}
			m.addAttempts(&steps, at, e)
			m.addOutcomes(&steps, at, e)
			m.addTimers(&steps, at, e)
			m.addRunEnds(&steps, at, e)
		}
		if m.crashes < m.bounds.crashes {
			steps.add(m, fmt.Sprintf("server %d crashes and comes back", i+1), func(next *model) { next.crash(i) })
		}
	}
	for i, c := range m.abandoned {
		steps.add(m, fmt.Sprintf("a change that was given up takes effect: %v", c), func(next *model) {
			next.abandoned = slices.Delete(next.abandoned, i, i+1)
			// A lease that comes when nobody wants it any more is released, if its process still lives.
			alive := next.servers[c.Proposer.ID-1].incarnation == c.Proposer.Incarnation
			if next.apply(&c) == consensus.OutcomeLeaseGranted && alive {
				released := c
				released.Kind = consensus.ReleaseLease
				next.abandoned = append(next.abandoned, released)
			}
		})
	}
	return steps
}

type modelSteps []modelcheck.Step

// add adds the state that a change makes of a copy of another one.
func (s *modelSteps) add(from *model, description string, change func(*model)) {
	next := from.clone()
	change(next)
	*s = append(*s, modelcheck.Step{Description: description, State: next})
}

// place is a key in a server's process.
type place struct{ server, key int }

func (p place) String() string { return fmt.Sprintf("server %d, key %d", p.server+1, p.key) }

func (m *model) at(p place) *execution { return &m.servers[p.server].executions[p.key] }

func (m *model) addAttempts(steps *modelSteps, at place, e execution) {
	if e.attempts < m.bounds.attempts && (e.State == StateIdle || e.State == StateReleasing || e.State == StateRecorded) {
		steps.add(m, fmt.Sprintf("%v: an attempt", at), func(next *model) {
			next.at(at).attempts++
			next.step(at, EventAttemptArrived)
		})
	}
}

// addOutcomes has the change of a key take effect, and its process hear of it or not.
func (m *model) addOutcomes(steps *modelSteps, at place, e execution) {
	if e.change == nil {
		return
	}
	if e.change.outcome == 0 {
		steps.add(m, fmt.Sprintf("%v: its change takes effect", at), func(next *model) {
			pending := next.at(at).change
			pending.outcome = next.apply(pending)
		})
	} else {
		steps.add(m, fmt.Sprintf("%v: it hears so", at), func(next *model) {
			outcome := next.at(at).change.outcome
			next.at(at).change = nil
			next.step(at, EventOf(outcome, true))
		})
	}
	if m.servers[at.server].lostOutcomes < m.bounds.lostOutcomes {
		steps.add(m, fmt.Sprintf("%v: it hears nothing", at), func(next *model) {
			next.abandon(at)
			next.at(at).change = nil
			next.servers[at.server].lostOutcomes++
			next.step(at, EventUnavailable)
		})
	}
}

func (m *model) addTimers(steps *modelSteps, at place, e execution) {
	if e.State == StateHeldByOther || e.State == StateUnrecorded && e.change == nil {
		steps.add(m, fmt.Sprintf("%v: a retry is due", at), func(next *model) { next.step(at, EventRetryDue) })
	}
	if e.State == StateHeldByOther || e.State == StatePolling || e.State == StateAcquiring {
		steps.add(m, fmt.Sprintf("%v: the deadline", at), func(next *model) { next.step(at, EventDeadlineReached) })
	}
}

func (m *model) addRunEnds(steps *modelSteps, at place, e execution) {
	if !e.running {
		return
	}
	steps.add(m, fmt.Sprintf("%v: its run succeeds", at), func(next *model) {
		next.at(at).running = false
		next.at(at).succeeded = true
		next.step(at, EventRunSucceeded)
	})
	steps.add(m, fmt.Sprintf("%v: its run fails", at), func(next *model) {
		next.at(at).running = false
		next.step(at, EventRunFailed)
	})
}

// step feeds an event to an execution, and carries out its actions.
func (m *model) step(at place, event Event) {
	current := m.at(at)
	for _, action := range current.Step(event) {
		switch action {
		case ActionAcquireLease:
			current.lease++
			m.begin(at, consensus.Change{Kind: consensus.AcquireLease, Attempt: current.lease, NeverStarted: !current.Started})
		case ActionPoll:
			m.begin(at, consensus.Change{Kind: consensus.ReadValue})
		case ActionRecord:
			m.begin(at, consensus.Change{
				Kind: consensus.RecordResult, Attempt: current.lease, Succeeded: current.succeeded, Result: "r",
			})
		case ActionReleaseLease:
			m.begin(at, consensus.Change{Kind: consensus.ReleaseLease, Attempt: current.lease})
		case ActionStart:
			current.running = true
			m.runs[at.key]++
		case ActionServe:
			if m.runs[at.key] == 0 {
				m.violation = "served what never ran"
			}
		case ActionRetryLater, ActionReject, ActionReportFailed, ActionReportIndeterminate, ActionReportUnrecorded:
		}
	}
}

// begin puts a change in flight in place of the one before.
func (m *model) begin(at place, wanted consensus.Change) {
	m.abandon(at)
	wanted.Proposer = consensus.Identity{ID: uint32(at.server + 1), Incarnation: m.servers[at.server].incarnation}
	wanted.AttemptedAt = 1
	wanted.Retention = retention
	m.at(at).change = &change{key: at.key, Change: wanted}
}

// abandon keeps the change in flight, if there is one, as one that may take effect yet.
func (m *model) abandon(at place) {
	if pending := m.at(at).change; pending != nil && pending.outcome == 0 {
		m.abandoned = append(m.abandoned, *pending)
	}
}

func (m *model) crash(server int) {
	m.crashes++
	for key := range m.servers[server].executions {
		at := place{server, key}
		m.abandon(at)
		*m.at(at) = execution{attempts: m.at(at).attempts}
	}
	if !m.bounds.sameIncarnation {
		m.servers[server].incarnation++
	}
}

// apply has a change take effect.
func (m *model) apply(c *change) consensus.Outcome {
	value, outcome := c.Apply(m.values[c.key])
	m.values[c.key] = value
	return outcome
}

var maxStates = flag.Int("states", 160_000, "how many states TestAllOrders visits at most, of each model")

func explore(b bounds, maxStates int) modelcheck.Report {
	start := &model{bounds: &b, values: make([]consensus.Value, b.keys), runs: make([]int, b.keys)}
	for i := range start.servers {
		start.servers[i] = process{incarnation: 1, executions: make([]execution, b.keys)}
	}
	return modelcheck.Explore(start, maxStates)
}

// Guards the execution of a request: whatever crosses whatever, it is run once by one server, and served with what ran.
func TestAllOrders(t *testing.T) {
	for name, limits := range map[string]bounds{
		"an attempt, a lost outcome":               {keys: 1, attempts: 1, lostOutcomes: 1},
		"two attempts, a lost outcome":             {keys: 1, attempts: 2, lostOutcomes: 1},
		"two attempts, a crash, a lost outcome":    {keys: 1, attempts: 2, crashes: 1, lostOutcomes: 1},
		"two attempts, a crash, two lost outcomes": {keys: 1, attempts: 2, crashes: 1, lostOutcomes: 2},
		"two keys, an attempt, a crash, one lost":  {keys: 2, attempts: 1, crashes: 1, lostOutcomes: 1},
		"two keys, two attempts, a lost outcome":   {keys: 2, attempts: 2, lostOutcomes: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			report := explore(limits, *maxStates)
			t.Logf("%+v: %v", limits, report)
			require.Empty(t, report.Violation, "%v", report)
			require.Greater(t, report.States, 500)
		})
	}
}

// A process that comes back and takes itself for the one before runs again what that one ran: the model finds it, so
// that it can find what it looks for.
func TestSameIncarnationIsFound(t *testing.T) {
	report := explore(bounds{keys: 1, attempts: 2, crashes: 1, sameIncarnation: true}, 300_000)
	t.Log(report)
	require.Equal(t, "key 0 is run twice", report.Violation)
}
