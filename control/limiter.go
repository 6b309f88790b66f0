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
	// saturatedRunnable is how many want a core, for each core, when the next time slice is already queued for.
	saturatedRunnable = 1.5
	// saturatedUtilization is the CPU utilization below which, while work waits, the limit is what holds it back.
	saturatedUtilization = 0.92
	// limitStepInterval is the distance of fast steps: half of what the gauge of the utilization looks back on.
	limitStepInterval = 250 * time.Millisecond
	// limitEpoch is the distance of hill-climbing steps, which need tens of completions to be seen.
	limitEpoch = 2 * time.Second
	// concurrencyCost is the throughput, as a share, that a core's worth of slots must bring.
	concurrencyCost = 0.05
	// climbCoresDivisor and climbLimitDivisor set the step up while cores idle: the larger part of cores and limit.
	climbCoresDivisor = 6
	climbLimitDivisor = 8
	// stepCoresDivisor and stepLimitDivisor set all other steps, which are half as large.
	stepCoresDivisor = 12
	stepLimitDivisor = 16
)

// concurrencyLimiter learns how many requests run at once. It climbs fast while cores idle and work waits, backs off
// while more wants the cores than they can carry, and hill-climbs on the throughput otherwise.
type concurrencyLimiter struct {
	cores   float64
	limit   float64
	reached bool // the limit is what held work back when requests were last started

	cpuUtilization float64 // as of the last tick; negative: not known
	runnable       float64 // smoothed

	nextStep     time.Duration // no fast step before it
	epochEnd     time.Duration
	epochTicks   int
	limitedTicks int     // ticks of this epoch at which the limit was reached
	epochWork    float64 // slot seconds that the completions of this epoch stand for
	score        float64 // of the last epoch: its work, less the cost of its slots
	direction    float64 // of the hill-climbing: 1 or -1
}

// newConcurrencyLimiter starts with a limit of one request a core.
func newConcurrencyLimiter(cores int) *concurrencyLimiter {
	return &concurrencyLimiter{limit: float64(cores), direction: 1, cpuUtilization: -1}
}

func (l *concurrencyLimiter) configure(cores int) { l.cores = float64(cores) }

// start begins the first epoch.
func (l *concurrencyLimiter) start(now time.Duration) { l.epochEnd = now + limitEpoch }

// observe takes in the gauges of a tick.
func (l *concurrencyLimiter) observe(gauges Gauges) {
	l.cpuUtilization = gauges.CPUUtilization
	l.runnable = smoothed(l.runnable, gauges.Runnable)
}

// checkReached notes and returns whether so many running requests reach the limit.
func (l *concurrencyLimiter) checkReached(running int) bool {
	l.reached = float64(running) >= l.limit
	return l.reached
}

// adjust moves the limit, once a tick, up to at most ceiling.
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

// fastStep is the step that the gauges ask for, 0 if none.
func (l *concurrencyLimiter) fastStep(now time.Duration) float64 {
	switch {
	case now < l.nextStep || l.cpuUtilization < 0:
		return 0
	case l.reached && l.cpuUtilization < saturatedUtilization:
		return math.Max(l.cores/climbCoresDivisor, l.limit/climbLimitDivisor)
	case l.cpuUtilization >= saturatedUtilization && l.runnable > saturatedRunnable*l.cores:
		// Unlike UTSLO: reading shares the cores with the runs. Where more wants them than they can carry, requests
		// age unread, where none is chosen. Guards also against health checks, connections and neighbours on the cores.
		return -l.smallStep()
	default:
		return 0
	}
}

// climb takes a hill-climbing step and turns round if the last one did not pay.
func (l *concurrencyLimiter) climb() {
	score := l.epochWork * (1 - concurrencyCost*l.limit/l.cores)
	if score < l.score {
		l.direction = -l.direction
	}
	l.score = score
	l.limit += l.direction * l.smallStep()
}

// smallStep is the size of a step back and of a hill-climbing step.
func (l *concurrencyLimiter) smallStep() float64 {
	return math.Max(l.cores/stepCoresDivisor, l.limit/stepLimitDivisor)
}
