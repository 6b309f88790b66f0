package control

import (
	"math"
	"time"
)

// concurrencySafetyShare is the part of the survivable concurrency that may be used. Requests that wait for calls count
// too.
const concurrencySafetyShare = 0.8

// concurrencyCeiling computes how many running requests the server survives. A cold server is assumed to warm up no
// faster than the settings state. The ceiling bounds the concurrency limit; it is not a target.
type concurrencyCeiling struct {
	cores      float64
	perCore    float64 // running requests per core that a warm server survives; 0 = not stated
	coldStart  bool
	minSpeed   float64 // a cold server starts at no less than this share of its speed
	warmUpTime time.Duration
	startedAt  time.Duration
}

// configure applies the settings.
func (c *concurrencyCeiling) configure(settings *Settings) {
	c.cores = float64(settings.Cores)
	c.perCore = settings.MaxConcurrencyPerCore
	c.coldStart = settings.ColdStart
	c.minSpeed = settings.WarmUpMinSpeed
	c.warmUpTime = settings.WarmUpTime
}

// safeConcurrency returns how many running requests are safe now.
func (c *concurrencyCeiling) safeConcurrency(now time.Duration) float64 {
	speed := 1.0
	if c.coldStart && c.warmUpTime > 0 {
		speed = math.Min(1, c.minSpeed+(1-c.minSpeed)*float64(now-c.startedAt)/float64(c.warmUpTime))
	}
	return concurrencySafetyShare * (c.cores * (1 + (c.perCore-1)*speed))
}

// limit returns the current upper bound of the concurrency limit.
func (c *concurrencyCeiling) limit(now time.Duration) float64 {
	if c.perCore > 0 {
		return c.safeConcurrency(now)
	}
	return maxLimitPerCore * c.cores
}

// allows reports whether the given number of requests may run now.
func (c *concurrencyCeiling) allows(now time.Duration, running int) bool {
	return c.perCore <= 0 || float64(running) <= c.safeConcurrency(now)
}
