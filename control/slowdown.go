package control

import (
	"math"
	"time"
)

const (
	// fadeTime is the time constant of the exponential decay of recent counts and sums.
	fadeTime = 2 * time.Second
	// slowdownPriorSeconds is the weight of the prior slowdown factor of 1, in slot seconds per core.
	slowdownPriorSeconds = 0.25
	// maxSlowdown bounds the slowdown factor of a machine that hangs.
	maxSlowdown = 50.0
	// usualSlowdownSamples is how many completions the usual slowdown is based on.
	usualSlowdownSamples = 4000.0
)

// slowdownEstimate estimates the factor by which requests currently take longer than the means of their classes. It
// compares slot times: the time that requests use the cores or the disk.
type slowdownEstimate struct {
	priorSeconds    float64     // slowdownPriorSeconds times the number of cores
	factor          float64     // recent slot time spent divided by the slot time expected
	spentSeconds    float64     // slot time spent, fading with fadeTime
	expectedSeconds float64     // expected slot time of the completed runs, fading with fadeTime
	usual           runningMean // mean of factor over many completions
	slotSeconds     runningMean // mean slot time of the requests of all classes
}

func newSlowdownEstimate() *slowdownEstimate { return &slowdownEstimate{factor: 1} }

func (s *slowdownEstimate) configure(cores int) {
	s.priorSeconds = slowdownPriorSeconds * float64(cores)
}

// advance multiplies the recent sums by fade and adds the slot time that the running requests spent in elapsed seconds.
func (s *slowdownEstimate) advance(elapsed, fade float64, running int) {
	s.spentSeconds *= fade
	s.expectedSeconds *= fade
	s.spentSeconds += elapsed * float64(running)
	s.factor = math.Min((s.spentSeconds+s.priorSeconds)/(s.expectedSeconds+s.priorSeconds), maxSlowdown)
}

// completed updates the estimate with a run whose slot time was expected to be expectedSeconds and was slotTime. It
// returns the slot time in seconds that the run would have needed at the usual speed. The slot times of the classes are
// learned at that speed, as a slow period would otherwise count twice: in the slot times and in the factor.
func (s *slowdownEstimate) completed(expectedSeconds float64, slotTime time.Duration) float64 {
	s.expectedSeconds += expectedSeconds
	s.usual.addWithin(s.factor, usualSlowdownSamples)
	usualSeconds := slotTime.Seconds() * s.usual.value / s.factor
	s.slotSeconds.add(usualSeconds)
	return usualSeconds
}
