package control

import (
	"math"
	"time"
)

const (
	// fadeTime is the time constant of recent counts and sums, so that slow spells are soon forgotten.
	fadeTime = 2 * time.Second
	// slowdownPriorSeconds is the weight, in slot seconds for each core, of the assumption that all is as usual.
	slowdownPriorSeconds = 0.25
	// maxSlowdown bounds the slowdown factor of a machine that hangs.
	maxSlowdown = 50.0
	// usualSlowdownSamples is how many completions the usual slowdown looks back on.
	usualSlowdownSamples = 4000.0
)

// slowdownEstimate is how much longer requests take at present than their classes' means say. Its unit is slot time:
// the time that requests spend on the cores or at the disk.
type slowdownEstimate struct {
	priorSeconds    float64
	factor          float64     // recent slot time spent over the slot time expected
	spentSeconds    float64     // slot time spent, fading with fadeTime
	expectedSeconds float64     // slot time that the completions stand for, fading with fadeTime
	usual           runningMean // the factor, over many completions
	slotSeconds     runningMean // of a request of any class
}

func newSlowdownEstimate() *slowdownEstimate { return &slowdownEstimate{factor: 1} }

func (s *slowdownEstimate) configure(cores int) {
	s.priorSeconds = slowdownPriorSeconds * float64(cores)
}

// advance spends elapsed seconds on so many running requests; recent figures are multiplied by fade.
func (s *slowdownEstimate) advance(elapsed, fade float64, running int) {
	s.spentSeconds *= fade
	s.expectedSeconds *= fade
	s.spentSeconds += elapsed * float64(running)
	s.factor = math.Min((s.spentSeconds+s.priorSeconds)/(s.expectedSeconds+s.priorSeconds), maxSlowdown)
}

// completed learns from a request that was expected to take expectedSeconds and took slot time, and returns that
// time at the usual pace. A slow spell would otherwise count twice: in the slot times that it made longer and in the
// factor.
func (s *slowdownEstimate) completed(expectedSeconds float64, took time.Duration) float64 {
	s.expectedSeconds += expectedSeconds
	s.usual.addWithin(s.factor, usualSlowdownSamples)
	usualSeconds := took.Seconds() * s.usual.value / s.factor
	s.slotSeconds.add(usualSeconds)
	return usualSeconds
}
