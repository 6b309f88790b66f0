package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestCallBudget returns the budget of a server whose share is ten calls in flight.
func newTestCallBudget() *callBudget {
	budget := &callBudget{}
	budget.configure(&Settings{
		Dependency: DependencyShared, CallConcurrencyShare: 10, CallConcurrencyWindow: 5 * time.Second,
		AbandonedCallTime: 200 * time.Millisecond,
	})
	return budget
}

// Without a share there is no limit, and nothing to wait for.
func TestCallBudgetWithoutShare(t *testing.T) {
	for _, dependency := range []Dependency{DependencyNone, DependencyTier, DependencyShared} {
		t.Run(dependency.String(), func(t *testing.T) {
			budget := &callBudget{}
			budget.configure(&Settings{Dependency: dependency})
			budget.advance(0, 1, 1)
			budget.inFlight = 1000
			require.False(t, budget.limited())
			require.True(t, budget.allows(budget.requiredStock()))
			require.Zero(t, budget.wait(1e6))
			require.Equal(t, time.Hour, budget.timeout(time.Hour))
		})
	}
}

// The stock fills to the part of the share that is not used in the mean, and calls in flight spend it.
func TestCallStockFillsAndIsSpent(t *testing.T) {
	budget := newTestCallBudget()
	budget.advance(0, 1, 1)
	require.InDelta(t, 6, budget.stockSeconds, 1e-9)
	budget.advance(0, 100, 1)
	require.InDelta(t, 20, budget.stockSeconds, 1e-9, "four calls over five seconds")
	budget.inFlight = 8
	budget.advance(0, 1, 1)
	require.InDelta(t, 18, budget.stockSeconds, 1e-9)
	require.InDelta(t, 3.5, budget.maxInFlight(), 1e-9)
	require.False(t, budget.allows(0), "over what may be in flight")
	budget.inFlight = 2
	require.True(t, budget.allows(18))
	require.False(t, budget.allows(18.1))
}

// Reconfiguring keeps the stock of the same share and empties that of another one.
func TestCallBudgetKeepsItsStock(t *testing.T) {
	budget := newTestCallBudget()
	budget.advance(0, 1, 1)
	settings := Settings{Dependency: DependencyShared, CallConcurrencyShare: 10}
	budget.configure(&settings)
	require.InDelta(t, 6, budget.stockSeconds, 1e-9)
	require.Equal(t, minCallWindow, budget.window)
	settings.CallConcurrencyShare = 9
	budget.configure(&settings)
	require.Zero(t, budget.stockSeconds)
	settings.Dependency = DependencyNone
	budget.configure(&settings)
	require.True(t, math.IsInf(budget.stockSeconds, 1))
}

// An abandoned call occupies the dependency until its time is over.
func TestAbandonedCallsOccupyTheDependency(t *testing.T) {
	budget := newTestCallBudget()
	budget.abandoned(time.Second)
	require.Equal(t, 1, budget.occupied())
	budget.advance(1199*time.Millisecond, 0, 1)
	require.Equal(t, 1, budget.occupied())
	budget.advance(1200*time.Millisecond, 0, 1)
	require.Zero(t, budget.occupied())
}

// A timeout is no longer than the stock lasts, if it is split among all calls that may be in flight.
func TestCallTimeout(t *testing.T) {
	budget := newTestCallBudget()
	budget.stockSeconds = 7
	require.Equal(t, 1800*time.Millisecond, budget.timeout(time.Hour))
	require.Equal(t, time.Second, budget.timeout(time.Second))
	require.Equal(t, tickInterval, budget.timeout(0))
}

// Recent calls outweigh the long mean, and calls in flight without an end count as well.
func TestCallSecondsFollowTheDependency(t *testing.T) {
	budget := newTestCallBudget()
	budget.succeeded(100 * time.Millisecond)
	before := budget.callSeconds()
	require.InDelta(t, 0.075, before, 1e-9, "three of the mean and one that took no time in flight")
	budget.inFlight = 3
	budget.advance(0, 1, 1)
	require.InDelta(t, 3.3/4, budget.callSeconds(), 1e-9)
	require.Positive(t, budget.wait(100))
}

// dependencyHost makes every started request call a dependency that never answers: each call ends by its timeout.
type dependencyHost struct {
	controller *Controller
	callEnds   map[RequestID]time.Duration
	calls      int
}

// tick ends the calls that have timed out, sends a request and carries out the actions.
func (h *dependencyHost) tick(id RequestID) {
	events := []Event{Tick{Gauges: Gauges{CPUUtilization: 0.5}}}
	for called := RequestID(1); called < id; called++ {
		if end, ok := h.callEnds[called]; ok && h.controller.now+tickInterval >= end {
			events = append(events, CallFinished{ID: called, Outcome: OutcomeTimeout})
			delete(h.callEnds, called)
		}
	}
	events = append(events, RequestArrived{ID: id, QueuedKB: 1})
	actions := stepAfter(h.controller, tickInterval, events...)
	var reactions []Event
	for _, action := range actions {
		switch action := action.(type) {
		case Start:
			reactions = append(reactions, CallNeeded(action))
		case Fail: // It waits for a call: the host ends it.
			reactions = append(reactions, RequestFinished{ID: action.ID, Outcome: OutcomeCancelled})
		}
	}
	for _, action := range append(actions, stepAfter(h.controller, 0, reactions...)...) {
		if call, ok := action.(Call); ok {
			h.callEnds[call.ID] = h.controller.now + call.Timeout
			h.calls++
		}
	}
}

// Invariant broken on agadir-souss-later: hundreds of servers with a call each, for as long as it took, pass what the
// dependency survives. However long calls take, no window holds more than this server's share, below one too.
func TestCallsStayBelowTheShare(t *testing.T) {
	for _, share := range []float64{0.3, 0.47, 0.9, 2.5} {
		controller := newTestController(t, func(s *Settings) {
			s.Dependency, s.CallConcurrencyShare = DependencyShared, share
			s.CallConcurrencyWindow, s.AbandonedCallTime = 5*time.Second, 200*time.Millisecond
		})
		host := &dependencyHost{controller: controller, callEnds: map[RequestID]time.Duration{}}
		var occupied []float64
		for id := RequestID(1); id <= 3000; id++ {
			host.tick(id)
			occupied = append(occupied, float64(len(host.callEnds)+len(controller.calls.abandonedUntil)))
			sum := 0.0
			for _, calls := range occupied[max(0, len(occupied)-int(controller.calls.window/tickInterval)):] {
				sum += calls
			}
			if mean := sum * tickInterval.Seconds() / controller.calls.window.Seconds(); mean > share {
				t.Fatalf("share %v: %.2f calls in the mean of a window at %v", share, mean, controller.now)
			}
		}
		if host.calls < 5 {
			t.Errorf("share %v: %d calls in a minute, starved", share, host.calls)
		}
	}
}
