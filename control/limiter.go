package control

import (
	"math"
	"time"
)

const (
	// minLimitPerCore and maxLimitPerCore bound the concurrency limit. The upper bound applies only if
	// Settings.MaxConcurrencyPerCore is not set.
	minLimitPerCore = 0.34
	maxLimitPerCore = 4.0
	// saturatedRunnable is the number of runnable tasks per core above which the cores are saturated.
	saturatedRunnable = 1.5
	// saturatedUtilization is the CPU utilization from which the cores may be saturated. Below it, a limit that has been
	// reached is too low.
	saturatedUtilization = 0.92
	// limitStepInterval is the interval of fast steps: half of the window of Gauges.CPUUtilization.
	limitStepInterval = 250 * time.Millisecond
	// limitEpoch is the interval of hill-climbing steps, whose effect needs tens of completions to be measured.
	limitEpoch = 2 * time.Second
	// concurrencyCost is the relative gain in throughput that justifies one more slot per core.
	concurrencyCost = 0.05
	// raiseCoresDivisor and raiseLimitDivisor set the upward step while cores are idle: the larger of
	// cores/raiseCoresDivisor and limit/raiseLimitDivisor.
	raiseCoresDivisor = 6
	raiseLimitDivisor = 8
	// smallStepCoresDivisor and smallStepLimitDivisor set all other steps in the same way, at half the size.
	smallStepCoresDivisor = 12
	smallStepLimitDivisor = 16
)

// concurrencyLimiter learns how many requests should run at once. It raises the limit fast while cores are idle and
// requests are queued, lowers it while the cores are saturated, and hill-climbs on the throughput otherwise.
type concurrencyLimiter struct {
	cores   float64
	limit   float64
	reached bool // in the last scheduling pass, the limit kept a queued request from starting

	cpuUtilization float64 // as of the last tick; negative: not known
	runnable       float64 // Gauges.Runnable, smoothed

	nextFastStep time.Duration // earliest time of the next fast step
	epochEnd     time.Duration
	epochTicks   int
	limitedTicks int     // ticks of this epoch at which the limit was reached
	epochWork    float64 // expected slot seconds of the runs completed in this epoch
	score        float64 // of the last epoch: epochWork reduced by concurrencyCost
	direction    float64 // of the next hill-climbing step: 1 or -1
}

// newConcurrencyLimiter returns a limiter with an initial limit of one request per core.
func newConcurrencyLimiter(cores int) *concurrencyLimiter {
	return &concurrencyLimiter{limit: float64(cores), direction: 1, cpuUtilization: -1}
}

func (l *concurrencyLimiter) configure(cores int) { l.cores = float64(cores) }

// start begins the first epoch.
func (l *concurrencyLimiter) start(now time.Duration) { l.epochEnd = now + limitEpoch }

// observe records the gauges of a tick.
func (l *concurrencyLimiter) observe(gauges Gauges) {
	l.cpuUtilization = gauges.CPUUtilization
	l.runnable = smoothed(l.runnable, gauges.Runnable)
}

// checkReached records and returns whether the number of running requests has reached the limit.
func (l *concurrencyLimiter) checkReached(running int) bool {
	l.reached = float64(running) >= l.limit
	return l.reached
}

// adjust moves the limit, which stays at or below ceiling. It is called once per tick.
func (l *concurrencyLimiter) adjust(now time.Duration, ceiling float64) {
	l.epochTicks++
	if l.reached {
		l.limitedTicks++
	}
	step := l.fastStep(now)
	if step == 0 && now < l.epochEnd {
		return
	}
	if step != 0 {
		l.limit += step
		l.score = 0
		l.nextFastStep = now + limitStepInterval
	} else if 2*l.limitedTicks > l.epochTicks {
		l.hillClimb()
	}
	l.limit = clamp(l.limit, minLimitPerCore*l.cores, ceiling)
	l.epochWork, l.limitedTicks, l.epochTicks = 0, 0, 0
	l.epochEnd = now + limitEpoch
}

// fastStep returns the change of the limit that the gauges call for, 0 if none.
func (l *concurrencyLimiter) fastStep(now time.Duration) float64 {
	switch {
	case now < l.nextFastStep || l.cpuUtilization < 0:
		return 0
	case l.reached && l.cpuUtilization < saturatedUtilization:
		return math.Max(l.cores/raiseCoresDivisor, l.limit/raiseLimitDivisor)
	case l.cpuUtilization >= saturatedUtilization && l.runnable > saturatedRunnable*l.cores:
		// Unlike in UTSLO, reading requests takes time on the cores that run them. If the cores are saturated, requests
		// wait in socket buffers, where the scheduler cannot see them. Health checks, handshakes and other processes use
		// the cores too.
		return -l.smallStep()
	default:
		return 0
	}
}

// hillClimb takes a hill-climbing step and reverses the direction if the last one lowered the score.
func (l *concurrencyLimiter) hillClimb() {
	score := l.epochWork * (1 - concurrencyCost*l.limit/l.cores)
	if score < l.score {
		l.direction = -l.direction
	}
	l.score = score
	l.limit += l.direction * l.smallStep()
}

// smallStep returns the size of a fast downward step and of a hill-climbing step.
func (l *concurrencyLimiter) smallStep() float64 {
	return math.Max(l.cores/smallStepCoresDivisor, l.limit/smallStepLimitDivisor)
}
