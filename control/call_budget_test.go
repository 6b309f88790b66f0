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

// If the settings state no share, calls are not limited and do not wait.
func TestCallBudgetWithoutShare(t *testing.T) {
	for _, dependency := range []Dependency{DependencyNone, DependencyTier, DependencyShared} {
		t.Run(dependency.String(), func(t *testing.T) {
			budget := &callBudget{}
			budget.configure(&Settings{Dependency: dependency})
			budget.advance(0, 1, 1)
			budget.inFlight = 1000
			require.False(t, budget.limited())
			require.True(t, budget.allows(budget.requiredTokens()))
			require.Zero(t, budget.wait(1e6))
			require.Equal(t, time.Hour, budget.timeout(time.Hour))
		})
	}
}

// The bucket is refilled up to the part of the share that is left for bursts, and calls in flight use up its tokens.
func TestCallTokensAreRefilledAndUsed(t *testing.T) {
	budget := newTestCallBudget()
	budget.advance(0, 1, 1)
	require.InDelta(t, 6, budget.tokens, 1e-9)
	budget.advance(0, 100, 1)
	require.InDelta(t, 20, budget.tokens, 1e-9, "four calls for five seconds")
	budget.inFlight = 8
	budget.advance(0, 1, 1)
	require.InDelta(t, 18, budget.tokens, 1e-9)
	require.InDelta(t, 3.5, budget.maxInFlight(), 1e-9)
	require.False(t, budget.allows(0), "more calls than may be in flight")
	budget.inFlight = 2
	require.True(t, budget.allows(18))
	require.False(t, budget.allows(18.1))
}

// Reconfiguring keeps the tokens if the share stays the same, and empties the bucket if it changes.
func TestReconfiguredCallBudgetKeepsTokens(t *testing.T) {
	budget := newTestCallBudget()
	budget.advance(0, 1, 1)
	settings := Settings{Dependency: DependencyShared, CallConcurrencyShare: 10}
	budget.configure(&settings)
	require.InDelta(t, 6, budget.tokens, 1e-9)
	require.Equal(t, minCallWindow, budget.window)
	settings.CallConcurrencyShare = 9
	budget.configure(&settings)
	require.Zero(t, budget.tokens)
	settings.Dependency = DependencyNone
	budget.configure(&settings)
	require.True(t, math.IsInf(budget.tokens, 1))
}

// An abandoned call occupies the dependency until AbandonedCallTime has passed.
func TestAbandonedCallsOccupyTheDependency(t *testing.T) {
	budget := newTestCallBudget()
	budget.callAbandoned(time.Second)
	require.Equal(t, 1, budget.occupied())
	budget.advance(1199*time.Millisecond, 0, 1)
	require.Equal(t, 1, budget.occupied())
	budget.advance(1200*time.Millisecond, 0, 1)
	require.Zero(t, budget.occupied())
}

// A timeout is no longer than the tokens last when they are split evenly over the calls that may be in flight.
func TestCallTimeout(t *testing.T) {
	budget := newTestCallBudget()
	budget.tokens = 7
	require.Equal(t, 1800*time.Millisecond, budget.timeout(time.Hour))
	require.Equal(t, time.Second, budget.timeout(time.Second))
	require.Equal(t, tickInterval, budget.timeout(0))
}

// The estimate follows recent calls rather than the long-term mean, and includes calls that are still in flight.
func TestCallSecondsFollowRecentCalls(t *testing.T) {
	budget := newTestCallBudget()
	budget.callSucceeded(100 * time.Millisecond)
	before := budget.callSeconds()
	require.InDelta(t, 0.075, before, 1e-9, "three calls of the long-term mean and one that took no time in flight")
	budget.inFlight = 3
	budget.advance(0, 1, 1)
	require.InDelta(t, 3.3/4, budget.callSeconds(), 1e-9)
	require.Positive(t, budget.wait(100))
}

// dependencyHost makes every started request call a dependency that never answers, so that each call times out.
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
		case Fail: // The request waits for a call, so the host ends it.
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

// Guards against the invariant violation on agadir-souss-later: hundreds of servers, each with one call in flight for
// as long as it took, together exceeded what the dependency survives. However long calls take, the mean number of calls
// over any window must not exceed this server's share, even if the share is below 1.
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
				t.Fatalf("share %v: a mean of %.2f calls over the window that ends at %v", share, mean, controller.now)
			}
		}
		if host.calls < 5 {
			t.Errorf("share %v: only %d calls in a minute", share, host.calls)
		}
	}
}
