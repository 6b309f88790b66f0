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
	// concurrencySafetyShare is the part of the survivable concurrency that is used, calls included.
	concurrencySafetyShare = 0.8
)

// adjustLimit climbs fast while cores idle and work waits, then hill-climbs on throughput.
func (c *Controller) adjustLimit() {
	cores, fast, ceiling := float64(c.settings.Cores), 0.0, maxLimitPerCore*float64(c.settings.Cores)
	c.epochTicks++
	if c.limitReached {
		c.limitedTicks++
	}
	switch {
	case c.now < c.nextLimitStep || c.cpuUtilization < 0:
	case c.limitReached && c.cpuUtilization < saturatedUtilization:
		fast = math.Max(cores/6, c.concurrencyLimit/8)
	case c.cpuUtilization >= saturatedUtilization && c.runnable > saturatedRunnable*cores:
		// Departure: reading shares the cores with the runs. Where more wants them than they can carry, requests
		// age unread, where none is chosen. Guards also against checks, connections and neighbours on the cores.
		fast = -math.Max(cores/12, c.concurrencyLimit/16)
	}
	if fast == 0 && c.now < c.epochEnd {
		return
	}
	if fast != 0 {
		c.concurrencyLimit, c.epochScore, c.nextLimitStep = c.concurrencyLimit+fast, 0, c.now+limitStepInterval
	} else if 2*c.limitedTicks > c.epochTicks {
		score := c.epochWork * (1 - concurrencyCost*c.concurrencyLimit/cores)
		if score < c.epochScore {
			c.limitDirection = -c.limitDirection
		}
		c.epochScore = score
		c.concurrencyLimit += c.limitDirection * math.Max(cores/12, c.concurrencyLimit/16)
	}
	if c.settings.MaxConcurrencyPerCore > 0 {
		ceiling = concurrencySafetyShare * c.survivableConcurrency()
	}
	c.concurrencyLimit = clamp(c.concurrencyLimit, minLimitPerCore*cores, ceiling)
	c.epochWork, c.limitedTicks, c.epochTicks, c.epochEnd = 0, 0, 0, c.now+limitEpoch
}

// survivableConcurrency is how many running requests this server survives now, warming no faster than it must.
func (c *Controller) survivableConcurrency() float64 {
	share := 1.0
	if c.settings.ColdStart && c.settings.WarmUpTime > 0 {
		share = math.Min(1,
			c.settings.WarmUpMinSpeed+(1-c.settings.WarmUpMinSpeed)*float64(c.now-c.startedAt)/float64(c.settings.WarmUpTime))
	}
	return float64(c.settings.Cores) * (1 + (c.settings.MaxConcurrencyPerCore-1)*share)
}
