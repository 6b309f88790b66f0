package control

import (
	"math"
	"time"
)

// sampleWindow is how many completions the estimates of a class are based on, as in UTSLO.
const sampleWindow = 1000

// runningMean is an arithmetic mean that becomes exponentially weighted once count reaches its bound. The initial value
// has the weight of count samples.
type runningMean struct{ count, value float64 }

// add adds one sample to the mean over about the last sampleWindow samples.
func (m *runningMean) add(sample float64) { m.addWithin(sample, sampleWindow) }

// addWithin adds one sample to the mean over about the last maxCount samples.
func (m *runningMean) addWithin(sample, maxCount float64) {
	m.count = math.Min(m.count+1, maxCount)
	m.value += (sample - m.value) / m.count
}

// smoothed returns the exponentially smoothed gauge after a further sample. With one sample per tick its time constant
// is limitStepInterval.
func smoothed(gauge, sample float64) float64 {
	return gauge + (sample-gauge)*tickInterval.Seconds()/limitStepInterval.Seconds()
}

func clamp(x, lowest, highest float64) float64 { return math.Min(math.Max(x, lowest), highest) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
