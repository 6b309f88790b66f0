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

const retentionMillis = 1000

// model is the state of two servers that share one register for each key, which stands for a majority of replicas. A
// change of a register takes effect at any time or never, even after its proposer has abandoned it, and its outcome may
// be lost. Processes crash and restart without their state. All attempts are made within one retention window.
type model struct {
	values  []consensus.Value // by key
	servers [2]process
	// abandoned are the changes that their processes have abandoned, or whose processes crashed. They may still take
	// effect.
	abandoned []change
	runs      []int // started runs, by key
	crashes   int
	violation string
	bounds    *bounds
}

type bounds struct {
	keys, attempts, crashes, lostOutcomes int
	// reusedIncarnation makes a restarted process reuse the incarnation of the crashed one.
	reusedIncarnation bool
}

// process is one server's process.
type process struct {
	incarnation  uint64
	executions   []execution // by key
	lostOutcomes int
}

// execution is the execution of the request of one key in one process.
type execution struct {
	Lifecycle
	attempts  int
	lease     uint64 // number of the latest proposed lease
	change    *change
	running   bool
	succeeded bool
}

// change is a change of a register. It has taken effect if its outcome is not 0.
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

// Fingerprint implements modelcheck.State.
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

// Violation implements modelcheck.State.
func (m *model) Violation() string {
	for key, runs := range m.runs {
		if runs > 1 {
			return fmt.Sprintf("key %d is run twice", key)
		}
	}
	return m.violation
}

// Successors implements modelcheck.State.
func (m *model) Successors() []modelcheck.Step {
	var steps modelSteps
	for i, server := range m.servers {
		for key, e := range server.executions {
			at := location{server: i, key: key}
			m.addAttempts(&steps, at, e)
			m.addOutcomes(&steps, at, e)
			m.addTimers(&steps, at, e)
			m.addRunEnds(&steps, at, e)
		}
		if m.crashes < m.bounds.crashes {
			steps.add(m, fmt.Sprintf("server %d crashes and restarts", i+1), func(next *model) { next.crash(i) })
		}
	}
	for i, c := range m.abandoned {
		steps.add(m, fmt.Sprintf("an abandoned change takes effect: %v", c), func(next *model) {
			next.abandoned = slices.Delete(next.abandoned, i, i+1)
			// A lease that is granted after its proposer has abandoned it is released, if that process is still alive.
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

// add adds a step from a state to a copy of it to which mutate was applied.
func (s *modelSteps) add(from *model, description string, mutate func(*model)) {
	next := from.clone()
	mutate(next)
	*s = append(*s, modelcheck.Step{Description: description, State: next})
}

// location identifies an execution by its server and key.
type location struct{ server, key int }

func (l location) String() string { return fmt.Sprintf("server %d, key %d", l.server+1, l.key) }

func (m *model) execution(at location) *execution { return &m.servers[at.server].executions[at.key] }

func (m *model) addAttempts(steps *modelSteps, at location, e execution) {
	if e.attempts < m.bounds.attempts && (e.State == StateIdle || e.State == StateReleasing || e.State == StateRecorded) {
		steps.add(m, fmt.Sprintf("%v: an attempt", at), func(next *model) {
			next.execution(at).attempts++
			next.step(at, EventAttemptArrived)
		})
	}
}

// addOutcomes adds the steps in which the pending change takes effect, and its process receives or loses the outcome.
func (m *model) addOutcomes(steps *modelSteps, at location, e execution) {
	if e.change == nil {
		return
	}
	if e.change.outcome == 0 {
		steps.add(m, fmt.Sprintf("%v: its change takes effect", at), func(next *model) {
			pending := next.execution(at).change
			pending.outcome = next.apply(pending)
		})
	} else {
		steps.add(m, fmt.Sprintf("%v: it receives the outcome", at), func(next *model) {
			outcome := next.execution(at).change.outcome
			next.execution(at).change = nil
			next.step(at, EventOf(outcome, true))
		})
	}
	if m.servers[at.server].lostOutcomes < m.bounds.lostOutcomes {
		steps.add(m, fmt.Sprintf("%v: the outcome is lost", at), func(next *model) {
			next.abandon(at)
			next.execution(at).change = nil
			next.servers[at.server].lostOutcomes++
			next.step(at, EventUnavailable)
		})
	}
}

func (m *model) addTimers(steps *modelSteps, at location, e execution) {
	if e.State == StateHeldByOther || e.State == StateUnrecorded && e.change == nil {
		steps.add(m, fmt.Sprintf("%v: a retry is due", at), func(next *model) { next.step(at, EventRetryDue) })
	}
	if e.State == StateHeldByOther || e.State == StatePolling || e.State == StateAcquiring {
		steps.add(m, fmt.Sprintf("%v: deadline reached", at), func(next *model) { next.step(at, EventDeadlineReached) })
	}
}

func (m *model) addRunEnds(steps *modelSteps, at location, e execution) {
	if !e.running {
		return
	}
	steps.add(m, fmt.Sprintf("%v: its run succeeds", at), func(next *model) {
		next.execution(at).running = false
		next.execution(at).succeeded = true
		next.step(at, EventRunSucceeded)
	})
	steps.add(m, fmt.Sprintf("%v: its run fails", at), func(next *model) {
		next.execution(at).running = false
		next.step(at, EventRunFailed)
	})
}

// step passes an event to an execution and carries out the actions.
func (m *model) step(at location, event Event) {
	current := m.execution(at)
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
				m.violation = "the result of a request that never ran is served"
			}
		case ActionRetryLater, ActionReject, ActionReportFailed, ActionReportIndeterminate, ActionReportUnrecorded:
		}
	}
}

// begin makes a change the pending one, and abandons the previous one.
func (m *model) begin(at location, proposed consensus.Change) {
	m.abandon(at)
	proposed.Proposer = consensus.Identity{ID: uint32(at.server + 1), Incarnation: m.servers[at.server].incarnation}
	proposed.AttemptedAt = 1
	proposed.Retention = retentionMillis
	m.execution(at).change = &change{key: at.key, Change: proposed}
}

// abandon adds the pending change to the abandoned ones, unless it has taken effect.
func (m *model) abandon(at location) {
	if pending := m.execution(at).change; pending != nil && pending.outcome == 0 {
		m.abandoned = append(m.abandoned, *pending)
	}
}

func (m *model) crash(server int) {
	m.crashes++
	for key := range m.servers[server].executions {
		at := location{server, key}
		m.abandon(at)
		*m.execution(at) = execution{attempts: m.execution(at).attempts}
	}
	if !m.bounds.reusedIncarnation {
		m.servers[server].incarnation++
	}
}

// apply applies a change to its register.
func (m *model) apply(c *change) consensus.Outcome {
	value, outcome := c.Apply(m.values[c.key])
	m.values[c.key] = value
	return outcome
}

var maxStates = flag.Int("states", 160_000, "maximum number of states that TestAllOrders visits in each model")

func explore(b bounds, maxStates int) modelcheck.Report {
	start := &model{bounds: &b, values: make([]consensus.Value, b.keys), runs: make([]int, b.keys)}
	for i := range start.servers {
		start.servers[i] = process{incarnation: 1, executions: make([]execution, b.keys)}
	}
	return modelcheck.Explore(start, maxStates)
}

// Guards against a request that runs twice, and against a result that is served although the request never ran, in all
// orders of events with crashes and lost outcomes.
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

// A restarted process that reuses the incarnation of the crashed one runs its request again. The model must find this,
// which shows that it can find a request that runs twice.
func TestReusedIncarnationIsFound(t *testing.T) {
	report := explore(bounds{keys: 1, attempts: 2, crashes: 1, reusedIncarnation: true}, 300_000)
	t.Log(report)
	require.Equal(t, "key 0 is run twice", report.Violation)
}
