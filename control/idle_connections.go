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
	// minKeepAlive is the shortest idle timeout of a connection.
	minKeepAlive = 100 * time.Millisecond
)

// idleConnections decides how long idle connections are kept: for as long as returning callers pay for. It guards
// against connection tables full of callers that hardly return, which shut others out. It does harm where a handshake
// is far dearer than handshakeIdleSeconds.
type idleConnections struct {
	maxKeepAlive time.Duration
	lastSeen     map[uint32]time.Duration // by caller: when it last sent a request or got an answer
	// gapCounts are the arrivals by the time since their caller was last seen, in doublings of minKeepAlive. The last
	// one stands for longer gaps and for callers that are seen for the first time.
	gapCounts   []float64
	idleTimeout time.Duration // the timeout that is in force; 0 = none was set
}

func newIdleConnections() *idleConnections {
	return &idleConnections{lastSeen: map[uint32]time.Duration{}}
}

// configure takes up the longest time that callers keep an idle connection. Gaps that were counted under another one
// are dropped.
func (c *idleConnections) configure(maxKeepAlive time.Duration) {
	c.maxKeepAlive = maxKeepAlive
	doublings := math.Log2(math.Max(1, float64(maxKeepAlive)/float64(minKeepAlive)))
	if n := 2 + int(math.Ceil(doublings)); n != len(c.gapCounts) {
		c.gapCounts = make([]float64, n)
	}
}

// requestArrived counts how long the caller had been away when its request reached the machine.
func (c *idleConnections) requestArrived(caller uint32, arrivedAt, now time.Duration) {
	gap := len(c.gapCounts) - 1
	if last, known := c.lastSeen[caller]; known {
		doublings := math.Ceil(math.Log2(float64(max(arrivedAt-last, 1)) / float64(minKeepAlive)))
		gap = int(clamp(doublings, 0, float64(gap)))
	}
	c.gapCounts[gap]++
	c.lastSeen[caller] = now
}

// requestEnded notes that a caller got its answer.
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
