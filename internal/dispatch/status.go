package dispatch

import "pewterline/internal/microtime"

// unhealthyGrace is how long the server must be unhealthy before health checks report it. Callers poll the health, so
// even a shorter fault would make them avoid the server for one or two seconds.
const unhealthyGrace = 250 * microtime.Millisecond

// healthStatus is the health of the server, as set by the decision module.
type healthStatus struct {
	healthy        bool
	unhealthySince microtime.Time // only if not healthy
}

func (h *healthStatus) set(now microtime.Time, healthy bool) {
	if h.healthy && !healthy {
		h.unhealthySince = now
	}
	h.healthy = healthy
}

func (h *healthStatus) inGrace(now microtime.Time) bool { return now < h.unhealthySince+unhealthyGrace }

// loadSignal is the load signal that every response carries, as set by the decision module.
type loadSignal struct {
	value float64
	known bool
}

// Healthy returns the health for health checks and load reports. It is false as soon as a drain starts, and for any
// other cause once the server has been unhealthy for unhealthyGrace.
func (c *Core) Healthy() bool {
	return c.health.healthy || !c.drain.received && c.health.inGrace(c.now)
}

// AdvertisedValue returns the load signal that responses carry, whose meaning Settings.LoadSignal defines. known is
// false if none was set.
func (c *Core) AdvertisedValue() (value float64, known bool) { return c.signal.value, c.signal.known }

// IdleTimeout returns how long a connection may stay idle; 0 means without limit.
func (c *Core) IdleTimeout() microtime.Time { return c.idleTimeout }
