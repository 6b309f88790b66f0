package control

import (
	"maps"
	"math"
	"time"
)

const (
	// handshakeIdleSeconds is how many seconds of one idle connection cost as much as one handshake.
	handshakeIdleSeconds = 12.0
	// gapFade is the factor of the gap counts at each refit.
	gapFade = 0.9
	// minKeepAlive is the shortest idle timeout of a connection.
	minKeepAlive = 100 * time.Millisecond
)

// idleConnections chooses the idle timeout that minimizes the cost of handshakes and idle connections. It prevents
// callers that rarely return from filling the connection table and shutting others out. The timeout is too short if a
// handshake costs far more than handshakeIdleSeconds.
type idleConnections struct {
	maxKeepAlive time.Duration
	lastSeen     map[uint32]time.Duration // by caller: when it last sent a request or got an answer
	// gapCounts is a histogram of the time since the caller of an arrival was last seen. Bucket i counts gaps up to
	// minKeepAlive << i; the last one counts longer gaps and callers that are seen for the first time.
	gapCounts   []float64
	idleTimeout time.Duration // the timeout in force; 0 = none was set
}

func newIdleConnections() *idleConnections {
	return &idleConnections{lastSeen: map[uint32]time.Duration{}}
}

// configure applies the longest time that callers keep an idle connection. A change of the number of histogram buckets
// resets the counts.
func (c *idleConnections) configure(maxKeepAlive time.Duration) {
	c.maxKeepAlive = maxKeepAlive
	doublings := math.Log2(math.Max(1, float64(maxKeepAlive)/float64(minKeepAlive)))
	if n := 2 + int(math.Ceil(doublings)); n != len(c.gapCounts) {
		c.gapCounts = make([]float64, n)
	}
}

// requestArrived counts the gap between the caller's last request or answer and the arrival of this request.
func (c *idleConnections) requestArrived(caller uint32, arrivedAt, now time.Duration) {
	gap := len(c.gapCounts) - 1
	if last, known := c.lastSeen[caller]; known {
		doublings := math.Ceil(math.Log2(float64(max(arrivedAt-last, 1)) / float64(minKeepAlive)))
		gap = int(clamp(doublings, 0, float64(gap)))
	}
	c.gapCounts[gap]++
	c.lastSeen[caller] = now
}

// requestEnded records that a caller got its answer.
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
