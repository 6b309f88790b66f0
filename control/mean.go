package control

import (
	"math"
	"time"
)

// sampleWindow is how many completions the estimates of a class look back on, as in UTSLO.
const sampleWindow = 1000

// runningMean is a mean over about the last samples. It starts from a guess that weighs as much as count samples.
type runningMean struct{ count, value float64 }

// add takes in one sample and looks back on about sampleWindow of them.
func (m *runningMean) add(sample float64) { m.addWithin(sample, sampleWindow) }

// addWithin takes in one sample and looks back on about maxCount of them.
func (m *runningMean) addWithin(sample, maxCount float64) {
	m.count = math.Min(m.count+1, maxCount)
	m.value += (sample - m.value) / m.count
}

// smoothed moves a gauge that is read once a tick towards its sample. It follows changes within limitStepInterval.
func smoothed(gauge, sample float64) float64 {
	return gauge + (sample-gauge)*tickInterval.Seconds()/limitStepInterval.Seconds()
}

func clamp(x, lowest, highest float64) float64 { return math.Min(math.Max(x, lowest), highest) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
