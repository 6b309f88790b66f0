package control

import (
	"maps"
	"math"
	"time"
)

const (
	// handshakeIdleSeconds is how many seconds of idle connections cost as much as a handshake.
	handshakeIdleSeconds = 12.0
	// gapFade is the part of the counted gaps that is kept at each refit.
	gapFade = 0.9
	// minKeepAlive is the shortest life of an idle connection.
	minKeepAlive = 100 * time.Millisecond
)

// noteCaller notes how long the caller of r had been away, in doublings of keepMin; the last stands for ever.
func (c *Controller) noteCaller(r *request) {
	i := len(c.gapCounts) - 1
	if last, known := c.callerLastSeen[r.Caller]; known {
		i = int(clamp(math.Ceil(math.Log2(float64(max(r.arrivedAt-last, 1))/float64(minKeepAlive))), 0, float64(i)))
	}
	c.gapCounts[i]++
	c.callerLastSeen[r.Caller] = c.now
}

// closeIdleConnections keeps idle connections for as long as returning callers pay for. Guards against tables full of
// callers that hardly return, which shut others out; harm where a handshake is far dearer than connWorth.
func (c *Controller) closeIdleConnections() {
	best, low, later, idle := time.Duration(0), math.Inf(1), 0.0, 0.0
	for i := range c.gapCounts {
		later += c.gapCounts[i]
	}
	for i, n := range c.gapCounts[:len(c.gapCounts)-1] {
		t := min(minKeepAlive<<i, c.settings.MaxKeepAlive)
		later -= n
		idle += n * t.Seconds()
		if cost := later + (idle+later*t.Seconds())/handshakeIdleSeconds; cost < low {
			best, low = t, cost
		}
		c.gapCounts[i] *= gapFade
	}
	c.gapCounts[len(c.gapCounts)-1] *= gapFade
	if low > 0 && best != c.idleTimeout {
		c.idleTimeout = best
		c.emit(CloseIdleConnections{IdleTimeout: best})
	}
	maps.DeleteFunc(c.callerLastSeen, func(_ uint32, t time.Duration) bool { return c.now-t > c.settings.MaxKeepAlive })
}
