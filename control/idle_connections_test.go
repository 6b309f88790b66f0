package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The upper bounds of the gap histogram double from minKeepAlive on. The last bucket counts longer gaps and callers
// that are seen for the first time.
func TestGapHistogramBuckets(t *testing.T) {
	tests := []struct {
		name          string
		sinceLastSeen time.Duration // before the request reached the machine; negative: caller never seen
		wantBucket    int
	}{
		{"no gap", 0, 0},
		{"shortest timeout exactly", minKeepAlive, 0},
		{"just over the shortest timeout", minKeepAlive + 1, 1},
		{"longest timeout exactly", 8 * minKeepAlive, 3},
		{"over the longest timeout", time.Hour, 4},
		{"unknown caller", -1, 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			connections := newIdleConnections()
			connections.configure(8 * minKeepAlive)
			require.Len(t, connections.gapCounts, 5)
			now := 2 * time.Hour
			if tc.sinceLastSeen >= 0 {
				connections.requestEnded(7, now-tc.sinceLastSeen)
			}
			connections.requestArrived(7, now, now)
			want := make([]float64, 5)
			want[tc.wantBucket] = 1
			require.Equal(t, want, connections.gapCounts)
		})
	}
}

// The timeout covers the usual gap of callers that return, and refit reports a new timeout only once. Callers that were
// not seen for longer than they keep a connection are removed.
func TestIdleTimeoutCoversCallerGaps(t *testing.T) {
	connections := newIdleConnections()
	connections.configure(30 * time.Second)
	now := time.Hour
	connections.requestEnded(1, now-time.Minute)
	for range 100 {
		connections.requestEnded(2, now-time.Second)
		connections.requestArrived(2, now, now)
	}
	timeout, changed := connections.refit(now)
	require.True(t, changed)
	require.Equal(t, 16*minKeepAlive, timeout)
	require.NotContains(t, connections.lastSeen, uint32(1))
	require.Contains(t, connections.lastSeen, uint32(2))
	_, changed = connections.refit(now)
	require.False(t, changed)
}

// A longer maxKeepAlive that adds a bucket resets the counts; an unchanged one keeps them.
func TestConfigureResetsGapCounts(t *testing.T) {
	connections := newIdleConnections()
	connections.configure(30 * time.Second)
	connections.requestArrived(1, 0, 0)
	before := connections.gapCounts
	connections.configure(30 * time.Second)
	require.Equal(t, before, connections.gapCounts)
	connections.configure(time.Minute)
	require.Len(t, connections.gapCounts, len(before)+1)
	for _, count := range connections.gapCounts {
		require.Zero(t, count)
	}
}

// Guards against incident i68f8a4: a thousand callers that hardly ever return must not hold a connection each. Callers
// that return every second keep their connections.
func TestIdleTimeoutFollowsReturningCallers(t *testing.T) {
	lastTimeout := func(callers int) (timeout time.Duration) {
		controller := newTestController(t, func(s *Settings) { s.MaxKeepAlive = 30 * time.Second })
		for i := range 1000 {
			id := RequestID(i + 1)
			arrived := RequestArrived{ID: id, QueuedKB: 1, Caller: uint32(i % callers)}
			actions := stepAfter(controller, tickInterval, Tick{}, arrived)
			actions = append(actions, stepAfter(controller, 0, RequestFinished{ID: id, Outcome: OutcomeOK})...)
			for _, action := range actions {
				if closeIdle, ok := action.(CloseIdleConnections); ok {
					timeout = closeIdle.IdleTimeout
				}
			}
		}
		return timeout
	}
	if timeout := lastTimeout(1000); timeout != minKeepAlive {
		t.Errorf("idle timeout %v though no caller returns", timeout)
	}
	if timeout := lastTimeout(50); timeout < time.Second { // Each caller returns after a second.
		t.Errorf("idle timeout %v though callers return every second", timeout)
	}
}
