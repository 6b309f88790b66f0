package control

import (
	"math"
	"time"
)

const (
	// fadeTime is the time constant with which recent counts and sums decay.
	fadeTime = 2 * time.Second
	// slowdownPriorSeconds is the weight, in slot seconds per core, of the prior slowdown factor of 1.
	slowdownPriorSeconds = 0.25
	// maxSlowdown bounds the slowdown factor of a machine that hangs.
	maxSlowdown = 50.0
	// usualSlowdownSamples is how many completions the usual slowdown rests on.
	usualSlowdownSamples = 4000.0
)

// slowdownEstimate is the factor by which requests currently take longer than the means of their classes. It compares
// slot times: the time that requests spend on the cores or at the disk.
type slowdownEstimate struct {
	priorSeconds    float64     // slowdownPriorSeconds of all cores
	factor          float64     // recent slot time spent divided by the slot time expected
	spentSeconds    float64     // slot time spent, fading with fadeTime
	expectedSeconds float64     // expected slot time of the completed runs, fading with fadeTime
	usual           runningMean // mean of factor over many completions
	slotSeconds     runningMean // of a request of any class
}

func newSlowdownEstimate() *slowdownEstimate { return &slowdownEstimate{factor: 1} }

func (s *slowdownEstimate) configure(cores int) {
	s.priorSeconds = slowdownPriorSeconds * float64(cores)
}

// advance adds elapsed seconds × running to the slot time spent and multiplies the recent sums by fade.
func (s *slowdownEstimate) advance(elapsed, fade float64, running int) {
	s.spentSeconds *= fade
	s.expectedSeconds *= fade
	s.spentSeconds += elapsed * float64(running)
	s.factor = math.Min((s.spentSeconds+s.priorSeconds)/(s.expectedSeconds+s.priorSeconds), maxSlowdown)
}

// completed updates the estimate with a run that was expected to take expectedSeconds of slot time and took took. It
// returns the slot time in seconds that the run would have taken at the usual speed. Otherwise a slow period would
// count twice, in the slot times of the class and in the factor.
func (s *slowdownEstimate) completed(expectedSeconds float64, took time.Duration) float64 {
	s.expectedSeconds += expectedSeconds
	s.usual.addWithin(s.factor, usualSlowdownSamples)
	usualSeconds := took.Seconds() * s.usual.value / s.factor
	s.slotSeconds.add(usualSeconds)
	return usualSeconds
}
