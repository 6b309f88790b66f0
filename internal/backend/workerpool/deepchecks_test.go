package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/dispatch"
	"pewterline/internal/protocol/pool"
)

// verify requests a deep check, and appends its answer to answers.
func (h *harness) verify(answers *[]bool) {
	h.backend.Verify(func(healthy bool) { *answers = append(*answers, healthy) })
}

// The outcome of a verification answers further checks while it is fresh and the connection is the same.
func TestDeepCheckOutcomeIsReused(t *testing.T) {
	tests := map[string]struct {
		between       func(h *harness)
		verifiesAgain bool
	}{
		"fresh": {
			between: func(h *harness) { h.now += checkFreshness - 1 },
		},
		"stale": {
			between:       func(h *harness) { h.now += checkFreshness },
			verifiesAgain: true,
		},
		"on the next connection": {
			between: func(h *harness) {
				h.disconnect()
				h.reconnect("")
			},
			verifiesAgain: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			fixture := newHarness(t)
			var answers []bool
			fixture.verify(&answers)
			fixture.receive("verified check1 FAIL\r\n")
			require.Equal(t, []bool{false}, answers)
			tc.between(fixture)
			fixture.conn.Written = ""
			fixture.verify(&answers)
			if tc.verifiesAgain {
				require.Equal(t, "verify check2\r\n", fixture.conn.Written)
				require.Equal(t, []bool{false}, answers)
				return
			}
			require.Empty(t, fixture.conn.Written)
			require.Equal(t, []bool{false, false}, answers)
		})
	}
}

// A run that has passed recently proves that the pool executes runs: no verification is requested.
func TestPassedRunAnswersDeepChecks(t *testing.T) {
	fixture := newHarness(t)
	fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	fixture.receive(finished(1, repeatableRun, pool.Pass))
	fixture.now += checkFreshness - 1
	var answers []bool
	fixture.verify(&answers)
	require.Equal(t, []bool{true}, answers)
	require.NotContains(t, fixture.conn.Written, "verify")
}

// If the pool does not answer a verification within checkTimeout, a run that has passed meanwhile makes the deep check
// succeed.
func TestPassedRunAnswersPendingCheck(t *testing.T) {
	fixture := newHarness(t)
	fixture.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	var answers []bool
	fixture.verify(&answers)
	fixture.now++
	fixture.receive(finished(1, repeatableRun, pool.Pass))
	fixture.now += checkTimeout
	fixture.backend.Check(fixture.now)
	require.Equal(t, []bool{true}, answers)
}

// All waiting checks share one verification. Beyond maxCheckWaiters a check fails at once.
func TestDeepCheckWaitersAreLimited(t *testing.T) {
	fixture := newHarness(t)
	fixture.conn.Written = ""
	var answers []bool
	for range maxCheckWaiters {
		fixture.verify(&answers)
	}
	require.Equal(t, "verify check1\r\n", fixture.conn.Written)
	require.Empty(t, answers)
	fixture.verify(&answers)
	require.Equal(t, []bool{false}, answers)
	fixture.receive("verified check1 PASS\r\n")
	require.Len(t, answers, maxCheckWaiters+1)
}
