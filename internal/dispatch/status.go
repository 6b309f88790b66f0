package dispatch

import "pewterline/internal/microtime"

// unhealthyGrace is how long the decision module may take its machine for unhealthy before callers hear of it. They
// see a change a second or two late and would stay away for as long, so that a doubt of a moment is kept from them.
const unhealthyGrace = 250 * microtime.Millisecond

// healthStatus is what the decision module says of the server's health.
type healthStatus struct {
	healthy        bool
	unhealthySince microtime.Time // where it is not healthy
}

func (h *healthStatus) set(now microtime.Time, healthy bool) {
	if h.healthy && !healthy {
		h.unhealthySince = now
	}
	h.healthy = healthy
}

func (h *healthStatus) inGrace(now microtime.Time) bool { return now < h.unhealthySince+unhealthyGrace }

// loadSignal is the value that the decision module has every response carry.
type loadSignal struct {
	value float64
	known bool
}

// Healthy is the answer to health checks and load reports. A notice to leave is told at once, any other trouble once it
// has lasted for unhealthyGrace.
func (c *Core) Healthy() bool {
	return c.health.healthy || !c.drain.received && c.health.inGrace(c.now)
}

// AdvertisedValue is the load signal that responses carry; its meaning is the settings' LoadSignal. It is false while
// none was set.
func (c *Core) AdvertisedValue() (value float64, known bool) { return c.signal.value, c.signal.known }

// IdleTimeout is how long a connection may stay idle; 0 for any time.
func (c *Core) IdleTimeout() microtime.Time { return c.idleTimeout }
