package loadbalancer

import (
	"cmp"
	"fmt"

	"pewterline/internal/microtime"
)

// maxClasses bounds the number of request classes, because each endpoint has latency statistics for every class.
const maxClasses = 64

// Config holds the parameters of a Balancer. Zero values take the defaults.
type Config struct {
	// Classes is the number of request classes. Request.Class is an index below it.
	Classes int
	// SuspectAfterFailures is the number of consecutive failures that make an endpoint Suspect.
	SuspectAfterFailures int
	// DownAfterFailures is the number of consecutive failures that make an endpoint Down.
	DownAfterFailures int
	// InitialProbeBackoff is the mean wait before the first health probe. The wait doubles with each failure.
	InitialProbeBackoff microtime.Time
	// MaxProbeBackoff bounds the mean wait before a health probe.
	MaxProbeBackoff microtime.Time
	// SlowStart is how long a recovered endpoint gets less than its full share of the traffic.
	SlowStart microtime.Time
	// SlowStartShare is the fraction of its normal traffic that an endpoint gets at the beginning of slow start: over 0
	// and at most 1.
	SlowStartShare float64
	// MaxEjectedShare is the fraction of the endpoints that may be ejected. While more are unhealthy, unhealthy
	// endpoints are selected too.
	MaxEjectedShare float64
	// InitialConcurrency is the initial concurrency limit of an endpoint.
	InitialConcurrency float64
	// MaxConcurrency bounds the concurrency limit of an endpoint.
	MaxConcurrency float64
	// GossipThreshold is the total weight of gossip that ejects an endpoint which this instance has not observed itself.
	GossipThreshold float64
	// GossipHopFactor multiplies the weight of an observation at each hop: over 0 and under 1.
	GossipHopFactor float64
}

// ConfigError reports a parameter that is out of bounds.
type ConfigError struct {
	// Setting is the key of the parameter in the operators' settings.
	Setting string
	// Reason describes the violated bounds and the value.
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string { return "loadbalancer: " + e.Setting + ": " + e.Reason }

func configErrorf(setting, format string, args ...any) error {
	return &ConfigError{Setting: setting, Reason: fmt.Sprintf(format, args...)}
}

func (c *Config) applyDefaults() {
	c.SuspectAfterFailures = cmp.Or(c.SuspectAfterFailures, 2)
	c.DownAfterFailures = cmp.Or(c.DownAfterFailures, 5)
	c.InitialProbeBackoff = cmp.Or(c.InitialProbeBackoff, 250*microtime.Millisecond)
	c.MaxProbeBackoff = cmp.Or(c.MaxProbeBackoff, 8*microtime.Second)
	c.SlowStart = cmp.Or(c.SlowStart, 15*microtime.Second)
	c.SlowStartShare = cmp.Or(c.SlowStartShare, 0.2)
	c.MaxEjectedShare = cmp.Or(c.MaxEjectedShare, 0.5)
	c.InitialConcurrency = cmp.Or(c.InitialConcurrency, 8)
	c.MaxConcurrency = cmp.Or(c.MaxConcurrency, 256)
	c.GossipThreshold = cmp.Or(c.GossipThreshold, 1)
	c.GossipHopFactor = cmp.Or(c.GossipHopFactor, 0.5)
}

// Validate returns a *ConfigError for the first parameter that is out of bounds, with the defaults applied.
func (c Config) Validate() error {
	c.applyDefaults()
	switch {
	case c.Classes < 1 || c.Classes > maxClasses:
		return configErrorf("classes", "%d is not within 1 to %d", c.Classes, maxClasses)
	case c.SuspectAfterFailures < 1 || c.DownAfterFailures < c.SuspectAfterFailures:
		return configErrorf("suspect_after, down_after", "%d and %d: expected 1 or more, and the second not below the first",
			c.SuspectAfterFailures, c.DownAfterFailures)
	case c.InitialProbeBackoff <= 0 || c.MaxProbeBackoff < c.InitialProbeBackoff:
		return configErrorf("probe_first, probe_most", "%v and %v: expected more than 0, and the second not below the first",
			c.InitialProbeBackoff.Duration(), c.MaxProbeBackoff.Duration())
	}
	return c.validateRatios()
}

// validateRatios checks the floating-point parameters. Each check states the valid range, so that NaN fails it.
func (c *Config) validateRatios() error {
	slowStartShareOK := c.SlowStartShare > 0 && c.SlowStartShare <= 1
	maxEjectedShareOK := c.MaxEjectedShare >= 0 && c.MaxEjectedShare < 1
	concurrencyOK := c.InitialConcurrency >= 1 && c.MaxConcurrency >= c.InitialConcurrency
	gossipHopFactorOK := c.GossipHopFactor > 0 && c.GossipHopFactor < 1
	switch {
	case !slowStartShareOK:
		return configErrorf("warm_from", "%v is not over 0 and at most 1", c.SlowStartShare)
	case !maxEjectedShareOK:
		return configErrorf("eject_most", "%v is not at least 0 and under 1", c.MaxEjectedShare)
	case !concurrencyOK:
		return configErrorf("limit_first, limit_most", "%v and %v: expected 1 or more, and the second not below the first",
			c.InitialConcurrency, c.MaxConcurrency)
	case !gossipHopFactorOK:
		return configErrorf("hearsay_keep", "%v is not over 0 and under 1", c.GossipHopFactor)
	}
	return nil
}
