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

// Each kind moves by its own steps, between its own bounds.
func TestLoadSignalSteps(t *testing.T) {
	calm := loadConditions{concurrencyLimit: 10, cpuUtilization: 1}
	tests := []struct {
		name       string
		kind       LoadSignalKind
		before     float64
		rejections float64 // of a hundred arrivals
		conditions loadConditions
		want       float64
	}{
		{"weight falls", LoadSignalWeight, 0.5, 3, calm, 0.35},
		{"weight recovers", LoadSignalWeight, 0.5, 2, calm, 0.575},
		{"weight stays below one", LoadSignalWeight, 1, 0, calm, 1},
		{"weight of an unhealthy server", LoadSignalWeight, 1, 0, loadConditions{rejectsAll: true}, 0.01},
		{"threshold rises", LoadSignalThreshold, 0.5, 3, calm, 0.55},
		{"threshold falls", LoadSignalThreshold, 0.5, 2, calm, 0.4},
		{"threshold stays above zero", LoadSignalThreshold, 0.05, 0, calm, 0},
		{"threshold asks for the class of most weight", LoadSignalThreshold, 0.74, 50, calm, 0.75},
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
		{"allowance stays below what the limit bears", LoadSignalAllowance, 20, 0,
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

// An allowance that no caller uses up does not grow.
func TestUnusedAllowanceDoesNotGrow(t *testing.T) {
	signal := newTestSignal(LoadSignalAllowance)
	signal.value = 4
	for range 3 {
		signal.requestArrived(7)
	}
	signal.requestEnded(7)
	idle := loadConditions{concurrencyLimit: 10}
	require.False(t, signal.update(0, idle), "three of four")
	for range 2 {
		signal.requestArrived(7)
	}
	require.True(t, signal.update(time.Second, idle), "four of four")
	require.InDelta(t, 4*weightIncrease, signal.value, 1e-9)
}

// The value moves four times a second, and never where there is no signal.
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

// A caller that has nothing open is forgotten.
func TestCallersWithoutRequestsAreForgotten(t *testing.T) {
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

// Guards against a threshold that outlasts its overload: callers would still hold back what the idle cores could run.
// What two seconds of shedding raised, one second without any takes back.
func TestThresholdFallsAfterOverload(t *testing.T) {
	controller := newTestController(t, func(s *Settings) { s.LoadSignal = LoadSignalThreshold })
	for now := time.Duration(0); now <= 2*time.Second; now += tickInterval {
		controller.signal.arrivals, controller.signal.rejections = 10, 5
		controller.Step(now, []Event{Tick{}})
	}
	if controller.signal.value < 0.3 {
		t.Fatalf("threshold %v after two seconds of shedding", controller.signal.value)
	}
	for end := controller.now + time.Second; controller.now < end; {
		stepAfter(controller, tickInterval, Tick{})
	}
	if controller.signal.value > 0.2 {
		t.Errorf("threshold %v a second later", controller.signal.value)
	}
}

// Guards the cores against waves: callers keep a value for a second, and large steps have them all come and go
// together. The threshold moves four times a second, by a tenth at most.
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
					t.Errorf("at %v the threshold moves by %v", controller.now, step)
				}
				threshold = signal.Value
				moves++
			}
		}
	}
	if moves < 5 {
		t.Errorf("the threshold moved %d times in two seconds of change", moves)
	}
}

// Guards the tenants within their quotas: the threshold bars all of a rank alike, so what is rejected beyond a quota is
// no reason to raise it.
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
