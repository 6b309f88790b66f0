package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Gaps are counted in doublings of the shortest timeout; a caller that is seen for the first time counts as one that
// stayed away for longer than any timeout.
func TestGapsAreCountedInDoublings(t *testing.T) {
	tests := []struct {
		name string
		away time.Duration // before the request reached the machine; negative: never seen
		gap  int
	}{
		{"at once", 0, 0},
		{"shortest timeout", minKeepAlive, 0},
		{"just over it", minKeepAlive + 1, 1},
		{"eight times it", 8 * minKeepAlive, 3},
		{"longer than any timeout", time.Hour, 4},
		{"unknown caller", -1, 4},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			connections := newIdleConnections()
			connections.configure(8 * minKeepAlive)
			require.Len(t, connections.gapCounts, 5)
			now := 2 * time.Hour
			if tc.away >= 0 {
				connections.requestEnded(7, now-tc.away)
			}
			connections.requestArrived(7, now, now)
			want := make([]float64, 5)
			want[tc.gap] = 1
			require.Equal(t, want, connections.gapCounts)
		})
	}
}

// The timeout covers the gaps of callers that return and is told once; callers that stayed away for longer than they
// keep a connection are forgotten.
func TestIdleTimeoutCoversReturns(t *testing.T) {
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

// Another longest time of callers starts the counts anew, the same one keeps them.
func TestIdleConnectionsAreReconfigured(t *testing.T) {
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

// Incident i68f8a4: a thousand callers that hardly return must not hold a connection each; a few that return every
// second keep theirs.
func TestIdleConnectionsFollowReturns(t *testing.T) {
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
		t.Errorf("kept for %v though no caller returns", timeout)
	}
	if timeout := lastTimeout(50); timeout < time.Second { // Each returns after a second.
		t.Errorf("kept for %v though callers return every second", timeout)
	}
}
