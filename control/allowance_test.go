package control

import (
	"testing"
	"time"
)

// serveRounds plays rounds of one tick each: what ran in one ends in the next, and caller i sends senders[i] requests.
func serveRounds(c *Controller, rounds int, busy float64, age time.Duration, senders ...int) {
	var running []RequestID
	for range rounds {
		events := []Event{Tick{Gauges: Gauges{CPUUtilization: busy}}}
		for _, id := range running {
			events = append(events, RequestFinished{ID: id, Outcome: OutcomeOK})
		}
		running = nil
		for caller, n := range senders {
			for i := range n {
				id := RequestID(c.now/tickInterval)*1000 + RequestID(caller)*100 + RequestID(i) + 1
				events = append(events, RequestArrived{ID: id, Caller: uint32(caller), QueuedKB: 1, Age: age})
			}
		}
		for _, action := range c.Step(c.now+tickInterval, events) {
			if run, ok := action.(Start); ok {
				running = append(running, run.ID)
			}
		}
	}
}

func allowanceController(t *testing.T) *Controller {
	return testController(t, func(s *Settings) {
		s.LoadSignal, s.Cores, s.Callers, s.Classes[0].MakesCalls = LoadSignalAllowance, 8, 8, false
	})
}

// One caller of eight sends nearly all: with an even split the cores idled while it turned its own requests away.
func TestAllowanceGrowsForTheCallerThatUsesIt(t *testing.T) {
	c := allowanceController(t)
	serveRounds(c, 500, 0.3, 0, 7, 1)
	if c.signal.value < 6 {
		t.Errorf("allowance %v for a caller that has 7 requests open while the cores idle", c.signal.value)
	}
}

// An allowance that nobody uses up says nothing of what the server could do with more.
func TestAllowanceRestsWhileUnused(t *testing.T) {
	c := allowanceController(t)
	serveRounds(c, 500, 0.3, 0, 1, 1)
	if c.signal.value > 3 {
		t.Errorf("allowance %v though no caller has more than one request open", c.signal.value)
	}
}

// Full cores that turn work away take the allowance back, but callers must go on hearing from the server.
func TestAllowanceShrinksToItsFloor(t *testing.T) {
	c := allowanceController(t)
	serveRounds(c, 500, 0.3, 0, 7)
	before, floor := c.signal.value, minAllowancePerCore*float64(c.settings.Cores)/float64(c.settings.Callers)
	serveRounds(c, 250, 1, 3*time.Second, 7) // too late for their aim as they are read
	if c.signal.value >= before || c.signal.value != floor {
		t.Errorf("allowance %v after %v, want its floor %v", c.signal.value, before, floor)
	}
	c.Step(c.now+tickInterval, []Event{DrainRequested{StopAt: c.now + time.Minute}})
	serveRounds(c, 250, 1, 0, 7)
	if c.signal.value != floor {
		t.Errorf("allowance %v while draining, want %v: who hears nothing sends without bound", c.signal.value, floor)
	}
}
