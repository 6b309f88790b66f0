package control

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// overload plays a server of four cores that is offered 1.4 times what it can do for span, a fifth of it of the
// class that is worth ten of the other, and returns what share of each class was turned away in the last quarter.
func overload(t *testing.T, span time.Duration) (low, high float64) {
	const cores, mean, step = 4, 0.05, 5 * time.Millisecond
	c, err := New(Settings{Seed: 3, Cores: cores, MaxConcurrencyPerCore: 8, MaxConcurrencyWindow: 3 * time.Second,
		Classes: []Class{
			{LatencyObjective: 360 * time.Millisecond, Deadline: 900 * time.Millisecond, Weight: 1},
			{LatencyObjective: 360 * time.Millisecond, Deadline: 900 * time.Millisecond, Weight: 10}}})
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(5, 5))
	type run struct {
		id   RequestID
		left float64 // of its work
	}
	var runs []run
	class := map[RequestID]int{}
	var read, shed [2]float64
	var id RequestID
	var tick time.Duration
	for now := time.Duration(0); now < span; now += step {
		var events []Event
		if now >= tick {
			busy := math.Min(1, float64(len(runs))/cores)
			events = append(events, Tick{Gauges: Gauges{CPUUtilization: busy, Runnable: float64(len(runs))}})
			tick = now + 20*time.Millisecond
		}
		rate := step.Seconds() * math.Min(1, cores/math.Max(1, float64(len(runs))))
		runs = slices.DeleteFunc(runs, func(r run) bool { return r.left <= 0 })
		for i := range runs {
			if runs[i].left -= rate; runs[i].left <= 0 {
				events = append(events, RequestFinished{ID: runs[i].id, Outcome: OutcomeOK})
			}
		}
		for range 8 {
			if rng.Float64() < 1.4*cores/mean*step.Seconds()/8 {
				id++
				a := RequestArrived{ID: id, QueuedKB: 1, Rank: rng.Float64()}
				if rng.Float64() < 0.2 {
					a.Class = 1
				}
				class[id] = a.Class
				events = append(events, a)
				if now > 3*span/4 {
					read[a.Class]++
				}
			}
		}
		for _, a := range c.Step(now, events) {
			switch a := a.(type) {
			case Start:
				runs = append(runs, run{a.ID, mean * rng.ExpFloat64()})
			case Reject:
				if now > 3*span/4 {
					shed[class[a.ID]]++
				}
			}
		}
	}
	return shed[0] / read[0], shed[1] / read[1]
}

// Guards the worthiest class through minutes of overload. Its latencies look good, as what would come late is turned
// away before it runs; alpha fell on them until best effort had nearly all slots, and half of the class was given up.
func TestWorthiestKeepsItsSlots(t *testing.T) {
	if low, high := overload(t, 2*time.Minute); high > 0.05 || low < 0.3 {
		t.Errorf("turned away %.3f of the worthiest, %.3f of best effort; want under 0.05, over 0.3", high, low)
	}
}
