package workerpool

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/dispatch"
	"pewterline/internal/protocol/pool"
)

// verify asks for a deep check, whose answer is appended to the others.
func (b *testBench) verify(answers *[]bool) {
	b.backend.Verify(func(good bool) { *answers = append(*answers, good) })
}

// An outcome answers further checks while it is fresh, on the same connection.
func TestDeepCheckOutcomeIsReused(t *testing.T) {
	tests := map[string]struct {
		meanwhile func(b *testBench)
		asksAgain bool
	}{
		"fresh": {
			meanwhile: func(b *testBench) { b.now += checkFreshness - 1 },
		},
		"stale": {
			meanwhile: func(b *testBench) { b.now += checkFreshness },
			asksAgain: true,
		},
		"on the next connection": {
			meanwhile: func(b *testBench) {
				b.disconnect()
				b.reconnect("")
			},
			asksAgain: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			bench := newBench(t)
			var answers []bool
			bench.verify(&answers)
			bench.sends("verified check1 FAIL\r\n")
			require.Equal(t, []bool{false}, answers)
			tc.meanwhile(bench)
			bench.conn.Written = ""
			bench.verify(&answers)
			if tc.asksAgain {
				require.Equal(t, "verify check2\r\n", bench.conn.Written)
				require.Equal(t, []bool{false}, answers)
				return
			}
			require.Empty(t, bench.conn.Written)
			require.Equal(t, []bool{false, false}, answers)
		})
	}
}

// A run that has passed proves that work gets done: no verification is asked for.
func TestPassedRunAnswersDeepChecks(t *testing.T) {
	bench := newBench(t)
	bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	bench.sends(finished(1, repeatableRun, pool.Pass))
	bench.now += checkFreshness - 1
	var answers []bool
	bench.verify(&answers)
	require.Equal(t, []bool{true}, answers)
	require.NotContains(t, bench.conn.Written, "verify")
}

// A run that passes while a verification is pending makes that good, where the pool never answers it.
func TestPassedRunMakesPendingCheckGood(t *testing.T) {
	bench := newBench(t)
	bench.backend.Start(dispatch.Run{ID: repeatableRun, Class: "c"})
	var answers []bool
	bench.verify(&answers)
	bench.now++
	bench.sends(finished(1, repeatableRun, pool.Pass))
	bench.now += checkTimeout
	bench.backend.Check(bench.now)
	require.Equal(t, []bool{true}, answers)
}

// All checks that wait share one verification; one more than may wait fails at once.
func TestDeepCheckWaitersAreLimited(t *testing.T) {
	bench := newBench(t)
	bench.conn.Written = ""
	var answers []bool
	for range maxCheckWaiters {
		bench.verify(&answers)
	}
	require.Equal(t, "verify check1\r\n", bench.conn.Written)
	require.Empty(t, answers)
	bench.verify(&answers)
	require.Equal(t, []bool{false}, answers)
	bench.sends("verified check1 PASS\r\n")
	require.Len(t, answers, maxCheckWaiters+1)
}
