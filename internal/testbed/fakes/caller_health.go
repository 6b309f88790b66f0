package fakes

import (
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/testbed/simnet"
)

const (
	// healthCheckInterval is the mean pause between two health checks of a caller.
	healthCheckInterval = 2 * microtime.Second
	// healthCheckTimeout is how long an unanswered health check keeps its connection open.
	healthCheckTimeout = 3 * microtime.Second
)

// scheduleHealthCheck schedules the next health check, which schedules the one after it.
func (c *Caller) scheduleHealthCheck() {
	incarnation := c.incarnation
	c.env.Clock.In(healthCheckInterval/2+randomUpTo(c.rng, healthCheckInterval), func() {
		if !c.alive(incarnation) || c.env.Clock.Now() > c.until {
			return
		}
		c.scheduleHealthCheck()
		if len(c.endpoints) > 0 {
			c.checkHealth()
		}
	})
}

// checkHealth sends a health check to a random server of the endpoint list, on a connection of its own.
func (c *Caller) checkHealth() {
	deep := c.env.Deployment.HasVault && c.rng.IntN(2) == 0
	c.node.Dial(c.randomEndpoint()+"/thrift", func(stream *simnet.Stream, err error) {
		if err != nil {
			return
		}
		stream.SetHandler(healthChecker{})
		stream.Write(thrift.AppendProbe(nil, 1, deep))
		c.env.Clock.In(healthCheckTimeout, stream.Close)
	})
}

// healthChecker closes the connection of a health check when the answer arrives.
type healthChecker struct{ discardHandler }

// Received implements simnet.Handler.
func (healthChecker) Received(stream *simnet.Stream, _ []byte) { stream.Close() }
