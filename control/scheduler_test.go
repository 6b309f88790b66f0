package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulatedServer simulates a server with simulatedCores cores, which all runs share equally.
type simulatedServer struct {
	controller *Controller
	rng        *rand.Rand
	runs       []simulatedRun
	classes    map[RequestID]int
	lastID     RequestID
	nextTick   time.Duration
}

type simulatedRun struct {
	id       RequestID
	workLeft float64 // seconds on a core
}

const (
	simulatedCores      = 4
	simulatedMeanWork   = 0.05 // seconds on a core
	simulatedOverload   = 1.4  // load, as a multiple of the server's capacity
	simulatedStep       = 5 * time.Millisecond
	arrivalDrawsPerStep = 8
)

// tick returns a tick event if one is due.
func (s *simulatedServer) tick(now time.Duration) []Event {
	if now < s.nextTick {
		return nil
	}
	s.nextTick = now + 20*time.Millisecond
	runnable := float64(len(s.runs))
	return []Event{Tick{Gauges: Gauges{CPUUtilization: math.Min(1, runnable/simulatedCores), Runnable: runnable}}}
}

// advanceRuns shares the cores among the runs for one step and returns the events of those that have ended.
func (s *simulatedServer) advanceRuns() (events []Event) {
	rate := simulatedStep.Seconds() * math.Min(1, simulatedCores/math.Max(1, float64(len(s.runs))))
	s.runs = slices.DeleteFunc(s.runs, func(run simulatedRun) bool { return run.workLeft <= 0 })
	for i := range s.runs {
		s.runs[i].workLeft -= rate
		if s.runs[i].workLeft <= 0 {
			events = append(events, RequestFinished{ID: s.runs[i].id, Outcome: OutcomeOK})
		}
	}
	return events
}

// arrivals draws the requests of one step, a fifth of them of the second class.
func (s *simulatedServer) arrivals() (events []Event) {
	const perDraw = simulatedOverload * simulatedCores / simulatedMeanWork / arrivalDrawsPerStep
	for range arrivalDrawsPerStep {
		if s.rng.Float64() >= perDraw*simulatedStep.Seconds() {
			continue
		}
		s.lastID++
		arrived := RequestArrived{ID: s.lastID, QueuedKB: 1, Rank: s.rng.Float64()}
		if s.rng.Float64() < 0.2 {
			arrived.Class = 1
		}
		s.classes[arrived.ID] = arrived.Class
		events = append(events, arrived)
	}
	return events
}

// step simulates one step and returns the arrivals and rejections by class.
func (s *simulatedServer) step(now time.Duration) (arrived, rejected [2]float64) {
	events := append(s.tick(now), s.advanceRuns()...)
	for _, event := range s.arrivals() {
		arrived[event.(RequestArrived).Class]++
		events = append(events, event)
	}
	for _, action := range s.controller.Step(now, events) {
		switch action := action.(type) {
		case Start:
			s.runs = append(s.runs, simulatedRun{action.ID, simulatedMeanWork * s.rng.ExpFloat64()})
		case Reject:
			rejected[s.classes[action.ID]]++
		}
	}
	return arrived, rejected
}

// Guards against rejections in the class of highest weight during minutes of overload. Its latencies stay good, because
// requests that would be late are rejected before they run. When the priority share was adjusted by the latencies
// alone, it fell until the best-effort class had nearly all slots and half of the requests of the priority class were
// rejected.
func TestPriorityClassKeepsItsSlots(t *testing.T) {
	controller, err := New(Settings{
		Seed: 3, Cores: simulatedCores, MaxConcurrencyPerCore: 8, MaxConcurrencyWindow: 3 * time.Second,
		Classes: []Class{
			{LatencyObjective: 360 * time.Millisecond, Deadline: 900 * time.Millisecond, Weight: 1},
			{LatencyObjective: 360 * time.Millisecond, Deadline: 900 * time.Millisecond, Weight: 10},
		},
	})
	require.NoError(t, err)
	server := &simulatedServer{
		controller: controller, rng: rand.New(rand.NewPCG(5, 5)), classes: map[RequestID]int{},
	}
	const span = 2 * time.Minute
	var arrived, rejected [2]float64 // Counted in the last quarter of span.
	for now := time.Duration(0); now < span; now += simulatedStep {
		stepArrived, stepRejected := server.step(now)
		if now <= 3*span/4 {
			continue
		}
		for class := range arrived {
			arrived[class] += stepArrived[class]
			rejected[class] += stepRejected[class]
		}
	}
	bestEffort, priority := rejected[0]/arrived[0], rejected[1]/arrived[1]
	if priority > 0.05 || bestEffort < 0.3 {
		t.Errorf("rejected %.3f of the priority class, %.3f of best effort; want under 0.05, over 0.3",
			priority, bestEffort)
	}
}

// The priority share grows by a quarter if the worst class misses its target. If the classes meet their targets, the
// share falls by priorityShareStep divided by the mean coefficient of variation (CV) of their latencies.
func TestPriorityShare(t *testing.T) {
	controller, err := New(Settings{Cores: 2, Classes: []Class{
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 2},
	}})
	require.NoError(t, err)
	require.True(t, controller.classes.all[0].bestEffort, "the class of the lowest weight is best effort")
	class := controller.classes.all[1]
	require.False(t, class.bestEffort)
	meetTarget := func() {
		for i := range class.latencies {
			class.latencies[i] = 0.1 + 0.1*float64(i%2)
		}
	}
	class.latencies = make([]float64, int(priorSamples))
	meetTarget()
	before := controller.lanes.priorityShare
	controller.fitBudgets()
	// A tenth of sampleWindow is filled, so the share changes by a tenth of a step.
	require.InDelta(t, before-priorityShareStep/class.cv/10, controller.lanes.priorityShare, 1e-9, "after a met target")

	for i := range class.latencies {
		class.latencies[i] = 3
	}
	controller.lanes.priorityShare = 0.5
	controller.fitBudgets()
	require.InDelta(t, 0.5*(1+priorityShareGrowth/10), controller.lanes.priorityShare, 1e-9, "after a missed target")

	// Rejected requests count as missed targets, even if the latencies of the others are good.
	meetTarget()
	controller.lanes.priorityShare = 0.6
	for id := RequestID(1); id <= 4; id++ {
		controller.handle(RequestArrived{ID: id, Class: 1, QueuedKB: 1})
		controller.reject(controller.requests.byID[id], false)
	}
	controller.fitBudgets()
	require.InDelta(t, 0.6*(1+priorityShareGrowth/10), controller.lanes.priorityShare, 1e-9, "after four rejections")
}

// newTestLanes returns a scheduler and four classes, of which the first two are best effort.
func newTestLanes() (*laneScheduler, *classTable) {
	classes := &classTable{}
	classes.configure(&Settings{Classes: []Class{
		{Name: "a", Weight: 1, LatencyObjective: time.Second},
		{Name: "b", Weight: 1, LatencyObjective: time.Second, MakesCalls: true},
		{Name: "c", Weight: 2, LatencyObjective: time.Second},
		{Name: "d", Weight: 3, LatencyObjective: 2 * time.Second},
	}})
	return newLaneScheduler(1), classes
}

func queueRequest(classes *classTable, class int, arrivedAt time.Duration) *request {
	req := &request{arrivedAt: arrivedAt}
	req.Class = class
	classes.of(req).enqueue(req)
	return req
}

// The priority lane starts the request with the earliest due start, and the best-effort lane serves its classes
// round-robin. If one lane is empty, the other one is served.
func TestLaneOrder(t *testing.T) {
	lanes, classes := newTestLanes()
	require.Nil(t, lanes.next(classes, false))
	start := func(want *request) {
		t.Helper()
		require.Same(t, want, lanes.next(classes, false))
		classes.of(want).dequeue(want)
	}
	longObjective := queueRequest(classes, 3, 0)
	early := queueRequest(classes, 2, 900*time.Millisecond)
	late := queueRequest(classes, 2, 1100*time.Millisecond)
	start(early)
	start(longObjective)
	start(late)
	firstOfA, secondOfA := queueRequest(classes, 0, 0), queueRequest(classes, 0, 1)
	firstOfB := queueRequest(classes, 1, 2)
	start(firstOfA)
	start(firstOfB)
	start(secondOfA)
}

// The priority lane gets its share of the slots while both lanes have queued requests.
func TestLaneShares(t *testing.T) {
	lanes, classes := newTestLanes()
	queueRequest(classes, 0, 0)
	priority := queueRequest(classes, 2, 0)
	lanes.priorityShare = 0.7
	starts := 0
	for range 10_000 {
		if lanes.next(classes, false) == priority {
			starts++
		}
	}
	require.InDelta(t, 7000, starts, 200)
}

// While there is a backlog of downstream calls, the scheduler skips the classes that make such calls.
func TestClassesWithCallsAreSkippedDuringCallBacklog(t *testing.T) {
	lanes, classes := newTestLanes()
	withCalls := queueRequest(classes, 1, 0)
	require.Nil(t, lanes.next(classes, true))
	require.Same(t, withCalls, lanes.next(classes, false))
	withoutCalls := queueRequest(classes, 0, 1)
	require.Same(t, withoutCalls, lanes.next(classes, true))
}
