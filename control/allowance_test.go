package control

import (
	"testing"
	"time"
)

// serveRounds plays rounds of one tick each: what runs in one ends in the next, and caller i sends senders[i] requests.
func serveRounds(controller *Controller, rounds int, utilization float64, age time.Duration, senders ...int) {
	var running []RequestID
	for range rounds {
		events := []Event{Tick{Gauges: Gauges{CPUUtilization: utilization}}}
		for _, id := range running {
			events = append(events, RequestFinished{ID: id, Outcome: OutcomeOK})
		}
		running = nil
		for caller, count := range senders {
			for i := range count {
				id := RequestID(controller.now/tickInterval)*1000 + RequestID(caller)*100 + RequestID(i) + 1
				events = append(events, RequestArrived{ID: id, Caller: uint32(caller), QueuedKB: 1, Age: age})
			}
		}
		for _, action := range stepAfter(controller, tickInterval, events...) {
			if start, ok := action.(Start); ok {
				running = append(running, start.ID)
			}
		}
	}
}

func newAllowanceController(t *testing.T) *Controller {
	t.Helper()
	return newTestController(t, func(s *Settings) {
		s.LoadSignal, s.Cores, s.Callers, s.Classes[0].MakesCalls = LoadSignalAllowance, 8, 8, false
	})
}

// One caller of eight sends nearly all: with an even split the cores idled while it rejected its own requests.
func TestAllowanceGrowsForTheCallerThatUsesIt(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 7, 1)
	if allowance := controller.signal.value; allowance < 6 {
		t.Errorf("allowance %v for a caller that has 7 requests open while the cores idle", allowance)
	}
}

// An allowance that nobody uses up says nothing of what the server could do with more.
func TestAllowanceRestsWhileUnused(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 1, 1)
	if allowance := controller.signal.value; allowance > 3 {
		t.Errorf("allowance %v though no caller has more than one request open", allowance)
	}
}

// Full cores that reject work take the allowance back, but callers must go on hearing from the server.
func TestAllowanceShrinksToItsFloor(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 7)
	before := controller.signal.value
	floor := minAllowancePerCore * float64(controller.settings.Cores) / float64(controller.settings.Callers)
	serveRounds(controller, 250, 1, 3*time.Second, 7) // Too late for their objective as they are read.
	if allowance := controller.signal.value; allowance >= before || allowance != floor {
		t.Errorf("allowance %v after %v, want its floor %v", allowance, before, floor)
	}
	stepAfter(controller, tickInterval, DrainRequested{StopAt: controller.now + time.Minute})
	serveRounds(controller, 250, 1, 0, 7)
	if allowance := controller.signal.value; allowance != floor {
		t.Errorf("allowance %v while draining, want %v: who hears nothing sends without bound", allowance, floor)
	}
}
