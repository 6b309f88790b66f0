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

// A fast step is taken only if the limit leaves cores idle or the cores are saturated, and only once the gauges show
// the effect of the previous step.
func TestFastStepsOfTheLimit(t *testing.T) {
	const cores, now = 12, time.Second
	tests := []struct {
		name         string
		reached      bool
		gauges       Gauges
		nextFastStep time.Duration
		want         float64
	}{
		{"cores idle, requests queued", true, Gauges{CPUUtilization: 0.5}, now, 2},
		{"cores idle, nothing queued", false, Gauges{CPUUtilization: 0.5}, now, 0},
		{"cores saturated", true, Gauges{CPUUtilization: 1, Runnable: 24}, now, -1},
		{"cores busy, few runnable tasks", true, Gauges{CPUUtilization: 1, Runnable: 12}, now, 0},
		{"utilization not known", true, Gauges{CPUUtilization: -1, Runnable: 24}, now, 0},
		{"too soon after the last step", true, Gauges{CPUUtilization: 0.5}, now + 1, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			limiter := newTestLimiter(cores)
			limiter.reached, limiter.nextFastStep = tc.reached, tc.nextFastStep
			for range 200 { // Until the smoothed gauge has converged.
				limiter.observe(tc.gauges)
			}
			require.Equal(t, tc.want, limiter.fastStep(now))
		})
	}
}

// The hill climb continues in the same direction while the work done per epoch, less the cost of the slots, does not
// fall, and reverses otherwise.
func TestHillClimbReverses(t *testing.T) {
	limiter := newTestLimiter(12)
	limiter.observe(Gauges{CPUUtilization: saturatedUtilization})
	limiter.reached = true
	runEpoch := func(work float64) float64 {
		before := limiter.limit
		limiter.epochWork = work
		limiter.adjust(limiter.epochEnd, 100)
		return limiter.limit - before
	}
	require.Equal(t, 1.0, runEpoch(10))
	require.Positive(t, runEpoch(11))
	require.Negative(t, runEpoch(11), "the same work with more slots")
	require.Negative(t, runEpoch(11), "the same work with fewer slots")
	require.Positive(t, runEpoch(8), "less work")
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

// The limit is reached when that many requests are running.
func TestLimitIsReached(t *testing.T) {
	limiter := newTestLimiter(2)
	require.False(t, limiter.checkReached(1))
	require.False(t, limiter.reached)
	require.True(t, limiter.checkReached(2))
	require.True(t, limiter.reached)
}

// The limit rises while cores are idle and requests are queued, and falls while the cores are saturated.
func TestLimitFollowsCoreUtilization(t *testing.T) {
	controller := newTestController(t, nil)
	tick := func(gauges Gauges, reached bool) {
		stepAfter(controller, tickInterval, Tick{Gauges: gauges})
		controller.limiter.reached = reached
	}
	for range 100 {
		tick(Gauges{CPUUtilization: 0.5, Runnable: 1}, true)
	}
	raisedLimit := controller.limiter.limit
	if raisedLimit <= float64(controller.settings.Cores) {
		t.Fatalf("limit %v though cores are idle and requests are queued", raisedLimit)
	}
	for range 200 {
		tick(Gauges{CPUUtilization: 1, Runnable: 8}, false)
	}
	if controller.limiter.limit >= raisedLimit/2 {
		t.Errorf("limit %v, was %v, with four runnable tasks per core", controller.limiter.limit, raisedLimit)
	}
}

// Guards against steps of the limit that are too large for a few cores. Steps of half a slot were a quarter of a
// two-core machine, and load shedding, which plans with the slots of the limit, rejected half of the requests that
// could have run.
func TestLimitStepsScaleWithCores(t *testing.T) {
	for _, cores := range []int{1, 2, 6, 16} {
		controller := newTestController(t, func(s *Settings) { s.Cores, s.MaxConcurrencyPerCore = cores, 0 })
		controller.limiter.limit = 2 * float64(cores)
		saturatedTick := Tick{Gauges: Gauges{CPUUtilization: 1, Runnable: 4 * float64(cores)}}
		for range 200 {
			before := controller.limiter.limit
			stepAfter(controller, tickInterval, saturatedTick)
			if step := before - controller.limiter.limit; step > float64(cores)/8+1e-9 {
				t.Fatalf("%d cores: a step of %.2f slots", cores, step)
			}
		}
		if controller.limiter.limit > float64(cores) {
			t.Errorf("%d cores: limit %.2f with four runnable tasks per core", cores, controller.limiter.limit)
		}
	}
}
