package control

import (
	"maps"
	"math"
	"time"
)

const (
	// handshakeIdleSeconds is the cost of a handshake, in seconds of holding one idle connection.
	handshakeIdleSeconds = 12.0
	// gapFade is the factor by which the gap counts are multiplied at each refit.
	gapFade = 0.9
	// minKeepAlive is the shortest idle timeout of a connection.
	minKeepAlive = 100 * time.Millisecond
)

// idleConnections chooses the idle timeout that minimizes the cost of handshakes and idle connections. This prevents
// callers that rarely return from filling the connection table, so that other callers cannot connect. The timeout is
// too short if a handshake costs far more than handshakeIdleSeconds.
type idleConnections struct {
	maxKeepAlive time.Duration
	lastSeen     map[uint32]time.Duration // by caller: when it last sent a request or got an answer
	// gapCounts is a histogram of the time since the caller of an arrival was last seen. Bucket i counts gaps up to
	// minKeepAlive << i; the last one counts longer gaps and callers that are seen for the first time.
	gapCounts   []float64
	idleTimeout time.Duration // the result of the last refit; 0 = none yet
}

func newIdleConnections() *idleConnections {
	return &idleConnections{lastSeen: map[uint32]time.Duration{}}
}

// configure sets the longest time that callers keep an idle connection. The counts are reset if the number of buckets
// changes.
func (c *idleConnections) configure(maxKeepAlive time.Duration) {
	c.maxKeepAlive = maxKeepAlive
	doublings := math.Log2(math.Max(1, float64(maxKeepAlive)/float64(minKeepAlive)))
	if n := 2 + int(math.Ceil(doublings)); n != len(c.gapCounts) {
		c.gapCounts = make([]float64, n)
	}
}

// requestArrived counts the gap between the caller's last request or answer and the arrival of this request.
func (c *idleConnections) requestArrived(caller uint32, arrivedAt, now time.Duration) {
	bucket := len(c.gapCounts) - 1
	if last, known := c.lastSeen[caller]; known {
		doublings := math.Ceil(math.Log2(float64(max(arrivedAt-last, 1)) / float64(minKeepAlive)))
		bucket = int(clamp(doublings, 0, float64(bucket)))
	}
	c.gapCounts[bucket]++
	c.lastSeen[caller] = now
}

// requestEnded records that a request of the caller has ended.
func (c *idleConnections) requestEnded(caller uint32, now time.Duration) { c.lastSeen[caller] = now }

// refit returns the idle timeout with the least cost of handshakes and idle connections, and whether it has changed.
func (c *idleConnections) refit(now time.Duration) (timeout time.Duration, changed bool) {
	best, leastCost := time.Duration(0), math.Inf(1)
	handshakes, idleSeconds := 0.0, 0.0
	for _, count := range c.gapCounts {
		handshakes += count
	}
	last := len(c.gapCounts) - 1
	for i, count := range c.gapCounts[:last] {
		candidate := min(minKeepAlive<<i, c.maxKeepAlive)
		handshakes -= count
		idleSeconds += count * candidate.Seconds()
		cost := handshakes + (idleSeconds+handshakes*candidate.Seconds())/handshakeIdleSeconds
		if cost < leastCost {
			best, leastCost = candidate, cost
		}
		c.gapCounts[i] *= gapFade
	}
	c.gapCounts[last] *= gapFade
	maps.DeleteFunc(c.lastSeen, func(_ uint32, seen time.Duration) bool { return now-seen > c.maxKeepAlive })
	if leastCost > 0 && best != c.idleTimeout {
		c.idleTimeout = best
		return best, true
	}
	return c.idleTimeout, false
}
