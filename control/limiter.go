package control

import (
	"math"
	"time"
)

const (
	// minLimitPerCore and maxLimitPerCore bound the concurrency limit; the upper one holds where the settings state no
	// concurrency that the server survives.
	minLimitPerCore = 0.34
	maxLimitPerCore = 4.0
	// saturatedRunnable is the number of runnable tasks per core above which the cores are saturated.
	saturatedRunnable = 1.5
	// saturatedUtilization is the CPU utilization below which a reached limit is too low.
	saturatedUtilization = 0.92
	// limitStepInterval is the interval of fast steps: half of the window of Gauges.CPUUtilization.
	limitStepInterval = 250 * time.Millisecond
	// limitEpoch is the interval of hill-climbing steps, whose effect needs tens of completions to be measured.
	limitEpoch = 2 * time.Second
	// concurrencyCost is the share of throughput that one more slot per core must gain to be worth it.
	concurrencyCost = 0.05
	// climbCoresDivisor and climbLimitDivisor set the upward step while cores idle: the larger of
	// cores/climbCoresDivisor and limit/climbLimitDivisor.
	climbCoresDivisor = 6
	climbLimitDivisor = 8
	// stepCoresDivisor and stepLimitDivisor set all other steps in the same way, half as large.
	stepCoresDivisor = 12
	stepLimitDivisor = 16
)

// concurrencyLimiter learns how many requests should run at once. It raises the limit fast while cores idle and work
// waits, lowers it while the cores are saturated, and hill-climbs on the throughput otherwise.
type concurrencyLimiter struct {
	cores   float64
	limit   float64
	reached bool // at the last scheduling, the limit kept a queued request from starting

	cpuUtilization float64 // as of the last tick; negative: not known
	runnable       float64 // Gauges.Runnable, smoothed

	nextStep     time.Duration // no fast step before it
	epochEnd     time.Duration
	epochTicks   int
	limitedTicks int     // ticks of this epoch at which the limit was reached
	epochWork    float64 // expected slot seconds of the runs completed in this epoch
	score        float64 // of the last epoch: its work, reduced by concurrencyCost
	direction    float64 // of the hill-climbing: 1 or -1
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
		l.nextStep = now + limitStepInterval
	} else if 2*l.limitedTicks > l.epochTicks {
		l.climb()
	}
	l.limit = clamp(l.limit, minLimitPerCore*l.cores, ceiling)
	l.epochWork, l.limitedTicks, l.epochTicks = 0, 0, 0
	l.epochEnd = now + limitEpoch
}

// fastStep returns the change of the limit that the gauges call for, 0 if none.
func (l *concurrencyLimiter) fastStep(now time.Duration) float64 {
	switch {
	case now < l.nextStep || l.cpuUtilization < 0:
		return 0
	case l.reached && l.cpuUtilization < saturatedUtilization:
		return math.Max(l.cores/climbCoresDivisor, l.limit/climbLimitDivisor)
	case l.cpuUtilization >= saturatedUtilization && l.runnable > saturatedRunnable*l.cores:
		// Unlike UTSLO: reading shares the cores with the runs. If the cores are saturated, requests wait in socket
		// buffers, where the scheduler cannot see them. Health checks, handshakes and other processes count as well.
		return -l.smallStep()
	default:
		return 0
	}
}

// climb takes a hill-climbing step and reverses the direction if the last one lowered the score.
func (l *concurrencyLimiter) climb() {
	score := l.epochWork * (1 - concurrencyCost*l.limit/l.cores)
	if score < l.score {
		l.direction = -l.direction
	}
	l.score = score
	l.limit += l.direction * l.smallStep()
}

// smallStep is the size of a downward step and of a hill-climbing step.
func (l *concurrencyLimiter) smallStep() float64 {
	return math.Max(l.cores/stepCoresDivisor, l.limit/stepLimitDivisor)
}
