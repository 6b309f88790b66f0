package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestLimiter(cores int) *concurrencyLimiter {
	limiter := newConcurrencyLimiter(cores)
	limiter.configure(cores)
	limiter.start(0)
	return limiter
}

// The gauges ask for a fast step only where the limit or the cores are what is short, and not before the last one can
// be seen in them.
func TestFastStepsOfTheLimit(t *testing.T) {
	const cores, now = 12, time.Second
	tests := []struct {
		name    string
		reached bool
		gauges  Gauges
		next    time.Duration
		want    float64
	}{
		{"cores idle and work waits", true, Gauges{CPUUtilization: 0.5}, now, 2},
		{"cores idle and nothing waits", false, Gauges{CPUUtilization: 0.5}, now, 0},
		{"cores full", true, Gauges{CPUUtilization: 1, Runnable: 24}, now, -1},
		{"cores full of little that wants them", true, Gauges{CPUUtilization: 1, Runnable: 12}, now, 0},
		{"utilization not known", true, Gauges{CPUUtilization: -1, Runnable: 24}, now, 0},
		{"too soon after the last step", true, Gauges{CPUUtilization: 0.5}, now + 1, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limiter := newTestLimiter(cores)
			limiter.reached, limiter.nextStep = tc.reached, tc.next
			for range 200 { // Until the smoothed gauge is there.
				limiter.observe(tc.gauges)
			}
			require.Equal(t, tc.want, limiter.fastStep(now))
		})
	}
}

// The hill climb goes on as long as the work that the completions stand for grows by more than the slots cost, and
// turns round when it does not.
func TestHillClimbTurnsRound(t *testing.T) {
	limiter := newTestLimiter(12)
	limiter.observe(Gauges{CPUUtilization: saturatedUtilization})
	limiter.reached = true
	epoch := func(work float64) float64 {
		before := limiter.limit
		limiter.epochWork = work
		limiter.adjust(limiter.epochEnd, 100)
		return limiter.limit - before
	}
	require.Equal(t, 1.0, epoch(10))
	require.Positive(t, epoch(11))
	require.Negative(t, epoch(11), "the same work with more slots")
	require.Negative(t, epoch(11), "the same work with fewer slots")
	require.Positive(t, epoch(8), "less work")
}

// The limit stays between a third of the cores and its ceiling.
func TestLimitStaysInBounds(t *testing.T) {
	limiter := newTestLimiter(10)
	limiter.observe(Gauges{CPUUtilization: 0.1})
	limiter.reached = true
	for now := time.Duration(0); now < time.Minute; now += limitStepInterval {
		limiter.adjust(now, 17)
	}
	require.Equal(t, 17.0, limiter.limit)
	for now := time.Minute; now < 2*time.Minute; now += limitStepInterval {
		limiter.observe(Gauges{CPUUtilization: 1, Runnable: 1000})
		limiter.adjust(now, 17)
	}
	require.InDelta(t, 3.4, limiter.limit, 1e-9)
}

// The limit is reached when as many run as it says.
func TestLimitIsReached(t *testing.T) {
	limiter := newTestLimiter(2)
	require.False(t, limiter.checkReached(1))
	require.False(t, limiter.reached)
	require.True(t, limiter.checkReached(2))
	require.True(t, limiter.reached)
}

// Cores that are full of reading take the limit down; idle cores with work queued take it up.
func TestLimitFollowsTheCores(t *testing.T) {
	controller := newTestController(t, nil)
	tick := func(gauges Gauges, reached bool) {
		stepAfter(controller, tickInterval, Tick{Gauges: gauges})
		controller.limiter.reached = reached
	}
	for range 100 {
		tick(Gauges{CPUUtilization: 0.5, Runnable: 1}, true)
	}
	high := controller.limiter.limit
	if high <= float64(controller.settings.Cores) {
		t.Fatalf("limit %v though cores idle and work waits", high)
	}
	for range 200 {
		tick(Gauges{CPUUtilization: 1, Runnable: 8}, false)
	}
	if controller.limiter.limit >= high/2 {
		t.Errorf("limit %v, was %v, with four for each core", controller.limiter.limit, high)
	}
}

// On two cores the limit moves in parts of a slot: half a slot at a time it was a quarter of the machine, and the plan,
// which counts slots, rejected half of what could run.
func TestLimitStepsScaleWithCores(t *testing.T) {
	for _, cores := range []int{1, 2, 6, 16} {
		controller := newTestController(t, func(s *Settings) { s.Cores, s.MaxConcurrencyPerCore = cores, 0 })
		controller.limiter.limit = 2 * float64(cores)
		crowded := Tick{Gauges: Gauges{CPUUtilization: 1, Runnable: 4 * float64(cores)}}
		for range 200 {
			before := controller.limiter.limit
			stepAfter(controller, tickInterval, crowded)
			if step := before - controller.limiter.limit; step > float64(cores)/8+1e-9 {
				t.Fatalf("%d cores: a step of %.2f slots", cores, step)
			}
		}
		if controller.limiter.limit > float64(cores) {
			t.Errorf("%d cores: limit %.2f though four for each want them", cores, controller.limiter.limit)
		}
	}
}
