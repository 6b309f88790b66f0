package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newTestSignal(kind LoadSignalKind) *loadSignal {
	signal := newLoadSignal(kind)
	signal.configure(&Settings{LoadSignal: kind, Cores: 8, Callers: 4, Classes: make([]Class, 4)})
	return signal
}

// Each kind of load signal has its own steps and bounds.
func TestLoadSignalSteps(t *testing.T) {
	steady := loadConditions{concurrencyLimit: 10, cpuUtilization: 1}
	tests := []struct {
		name       string
		kind       LoadSignalKind
		before     float64
		rejections float64 // out of 100 arrivals
		conditions loadConditions
		want       float64
	}{
		{"weight falls", LoadSignalWeight, 0.5, 3, steady, 0.35},
		{"weight recovers", LoadSignalWeight, 0.5, 2, steady, 0.575},
		{"weight stays below one", LoadSignalWeight, 1, 0, steady, 1},
		{"weight of an unhealthy server", LoadSignalWeight, 1, 0, loadConditions{rejectsAll: true}, 0.01},
		{"threshold rises", LoadSignalThreshold, 0.5, 3, steady, 0.55},
		{"threshold falls", LoadSignalThreshold, 0.5, 2, steady, 0.4},
		{"threshold stays above zero", LoadSignalThreshold, 0.05, 0, steady, 0},
		{"threshold admits the class of highest weight", LoadSignalThreshold, 0.74, 50, steady, 0.75},
		{"threshold of an unhealthy server", LoadSignalThreshold, 0.2, 0, loadConditions{rejectsAll: true}, 1},
		{"threshold of an overwhelmed server", LoadSignalThreshold, 0.2, 0, loadConditions{overwhelmed: true}, 1},
		{"allowance grows while cores idle", LoadSignalAllowance, 4, 0,
			loadConditions{concurrencyLimit: 10, cpuUtilization: 0.6}, 4.4},
		{"allowance shrinks with rejections", LoadSignalAllowance, 4, 0,
			loadConditions{concurrencyLimit: 10, cpuUtilization: 1, rejectedShare: 0.2}, 3.6},
		{"allowance of an unhealthy server", LoadSignalAllowance, 10, 0,
			loadConditions{concurrencyLimit: 10, rejectsAll: true}, 7},
		{"allowance stays near an even split", LoadSignalAllowance, 3.1, 0,
			loadConditions{concurrencyLimit: 10, rejectsAll: true}, 3},
		{"allowance is bounded by the concurrency limit", LoadSignalAllowance, 20, 0,
			loadConditions{concurrencyLimit: 10}, 20},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			signal := newTestSignal(tc.kind)
			signal.value, signal.arrivals, signal.rejections, signal.maxOpenPerCaller = tc.before, 100, tc.rejections, 100
			changed := signal.update(time.Second, tc.conditions)
			require.InDelta(t, tc.want, signal.value, 1e-9)
			require.Equal(t, tc.want != tc.before, changed)
			require.Zero(t, signal.arrivals+signal.rejections+float64(signal.maxOpenPerCaller))
		})
	}
}

// An allowance grows only if a caller uses all of it.
func TestUnusedAllowanceDoesNotGrow(t *testing.T) {
	signal := newTestSignal(LoadSignalAllowance)
	signal.value = 4
	for range 3 {
		signal.requestArrived(7)
	}
	signal.requestEnded(7)
	idle := loadConditions{concurrencyLimit: 10}
	require.False(t, signal.update(0, idle), "three of four outstanding")
	for range 2 {
		signal.requestArrived(7)
	}
	require.True(t, signal.update(time.Second, idle), "four of four outstanding")
	require.InDelta(t, 4*weightIncrease, signal.value, 1e-9)
}

// The value changes at most four times a second, and never if there is no load signal.
func TestLoadSignalInterval(t *testing.T) {
	signal := newTestSignal(LoadSignalWeight)
	rejecting := loadConditions{rejectsAll: true}
	require.True(t, signal.update(time.Second, rejecting))
	signal.value = 1
	require.False(t, signal.update(time.Second+loadSignalInterval-1, rejecting))
	require.True(t, signal.update(time.Second+loadSignalInterval, rejecting))
	none := newTestSignal(LoadSignalNone)
	require.False(t, none.update(time.Second, rejecting))
	require.Zero(t, none.value)
}

// A caller without open requests is removed.
func TestCallersWithoutRequestsAreRemoved(t *testing.T) {
	signal := newTestSignal(LoadSignalAllowance)
	signal.requestArrived(7)
	signal.requestArrived(7)
	signal.requestEnded(7)
	require.Equal(t, map[uint32]int{7: 1}, signal.openPerCaller)
	signal.requestEnded(7)
	require.Empty(t, signal.openPerCaller)
	signal.undoArrival()
	require.Equal(t, 1.0, signal.arrivals)
}

// Guards against a threshold that stays high after an overload, so that callers hold back requests while cores are
// idle. One second without rejections must undo the rise of two seconds of load shedding.
func TestThresholdFallsAfterOverload(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.LoadSignal = LoadSignalThreshold })
	for now := time.Duration(0); now <= 2*time.Second; now += tickInterval {
		controller.signal.arrivals, controller.signal.rejections = 10, 5
		controller.Step(now, []Event{Tick{}})
	}
	if controller.signal.value < 0.3 {
		t.Fatalf("threshold %v after two seconds of load shedding", controller.signal.value)
	}
	for end := controller.now + time.Second; controller.now < end; {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.signal.value > 0.2 {
		t.Errorf("threshold %v one second after the load shedding", controller.signal.value)
	}
}

// Guards against oscillating load: callers use a value for a second, so large steps make all of them start and stop
// sending at the same time. The threshold changes four times a second, by a tenth at most.
func TestThresholdMovesInSmallSteps(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.LoadSignal = LoadSignalThreshold })
	threshold, moves := 0.0, 0
	for controller.now < 2*time.Second {
		controller.signal.arrivals, controller.signal.rejections = 10, 5
		if controller.now > time.Second {
			controller.signal.rejections = 0
		}
		for _, action := range stepAfter(controller, tickInterval, Tick{}) {
			if signal, ok := action.(SetLoadSignal); ok {
				if step := signal.Value - threshold; step > 0.11 || step < -0.11 {
					t.Errorf("at %v the threshold changes by %v", controller.now, step)
				}
				threshold = signal.Value
				moves++
			}
		}
	}
	if moves < 5 {
		t.Errorf("the threshold changed %d times in two seconds, want at least 5", moves)
	}
}

// Guards tenants within their quotas: the threshold applies to the requests of all tenants, so rejections of requests
// beyond a quota must not raise it.
func TestThresholdIgnoresRejectionsOverQuota(t *testing.T) {
	for _, overQuota := range []bool{false, true} {
		controller := newTestController(t, func(s *Settings) { s.LoadSignal = LoadSignalThreshold })
		for id := RequestID(1); controller.now < time.Second; id++ {
			stepAfter(controller, tickInterval, Tick{}, RequestArrived{ID: id, QueuedKB: 1})
			controller.requests.byID[id].overQuota = overQuota
			controller.reject(controller.requests.byID[id], false)
		}
		if raised := controller.signal.value > 0; raised == overQuota {
			t.Errorf("beyond a quota %v: threshold %v", overQuota, controller.signal.value)
		}
	}
}
