package control

import (
	"testing"
	"time"
)

// serveRounds plays rounds of one tick each. The requests that start in a round end in the next one, and in each round
// caller i sends requestsPerCaller[i] requests.
func serveRounds(controller *Controller, rounds int, utilization float64, age time.Duration, requestsPerCaller ...int) {
	var running []RequestID
	for range rounds {
		events := []Event{Tick{Gauges: Gauges{CPUUtilization: utilization}}}
		for _, id := range running {
			events = append(events, RequestFinished{ID: id, Outcome: OutcomeOK})
		}
		running = nil
		for caller, count := range requestsPerCaller {
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

// One of eight callers sends nearly all requests. With an even split of the allowance, that caller rejected its own
// requests while the cores idled.
func TestAllowanceGrowsForBusyCaller(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 7, 1)
	if allowance := controller.signal.value; allowance < 6 {
		t.Errorf("allowance %v for a caller that has 7 requests open while the cores idle", allowance)
	}
}

// An allowance that no caller uses up does not grow, as it does not show whether the server could serve more.
func TestAllowanceDoesNotGrowWhileUnused(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 1, 1)
	if allowance := controller.signal.value; allowance > 3 {
		t.Errorf("allowance %v though no caller has more than one request open", allowance)
	}
}

// The allowance shrinks while the cores are saturated and requests are rejected, but not below its minimum, as callers
// must keep getting answers that carry the load signal.
func TestAllowanceShrinksToMinimum(t *testing.T) {
	controller := newAllowanceController(t)
	serveRounds(controller, 500, 0.3, 0, 7)
	before := controller.signal.value
	minimum := minAllowancePerCore * float64(controller.settings.Cores) / float64(controller.settings.Callers)
	serveRounds(controller, 250, 1, 3*time.Second, 7) // Past their latency objective when they are read.
	if allowance := controller.signal.value; allowance >= before || allowance != minimum {
		t.Errorf("allowance %v after %v, want its minimum %v", allowance, before, minimum)
	}
	stepAfter(controller, tickInterval, DrainRequested{StopAt: controller.now + time.Minute})
	serveRounds(controller, 250, 1, 0, 7)
	if allowance := controller.signal.value; allowance != minimum {
		t.Errorf("allowance %v while draining, want %v: a caller without a load signal sends without bound",
			allowance, minimum)
	}
}
