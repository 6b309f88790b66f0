package workerpool

import (
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

const (
	// checkTimeout is how long a deep check waits for the worker pool.
	checkTimeout = microtime.Second
	// checkFresh is how long a run that ended well, or the outcome of a verification, answers deep checks: a verification costs
	// the cores as work does.
	checkFresh = microtime.Second
	// checkWaiters bounds the deep checks that wait for one outcome; one more fails at once.
	checkWaiters = 64
	// never is before any time of the clock.
	never = microtime.Time(-1 << 62)
)

// deepChecks tells deep health checks whether work gets done. A run that has ended well lately proves that it does. Else the
// worker pool is asked to verify it, once for all checks that come while that is under way or fresh.
type deepChecks struct {
	count    int // of verifications; names the one under way
	waiters  []func(good bool)
	began    microtime.Time // the verification under way
	known    bool           // there has been an outcome on this link
	good     bool           // that outcome
	at       microtime.Time // when it came
	lastPass microtime.Time // when a run last ended well
}

func tagOf(count int) string { return "check" + strconv.Itoa(count) }

// Verify tells done whether work gets done: at once where that is known, else within checkTimeout.
func (p *Backend) Verify(done func(good bool)) {
	c, now := &p.checks, p.loop.Now()
	switch {
	case now < c.lastPass+checkFresh:
		done(true)
	case c.known && now < c.at+checkFresh:
		done(c.good)
	case len(c.waiters) >= checkWaiters:
		done(false)
	case c.underWay():
		c.waiters = append(c.waiters, done)
	default:
		c.waiters = append(c.waiters, done)
		c.count++
		c.began = now
		if p.synced { // else once it is
			p.sendVerify()
		}
	}
}

func (p *Backend) sendVerify() { p.write(pool.AppendVerify(p.out[:0], tagOf(p.checks.count))) }

func (c *deepChecks) underWay() bool { return len(c.waiters) > 0 }

// answered takes up the outcome of the verification of that tag; one that comes too late is dropped.
func (c *deepChecks) answered(now microtime.Time, tag string, good bool) {
	if c.underWay() && tag == tagOf(c.count) {
		c.end(now, good)
	}
}

// declined says that the worker pool does not verify here: whoever asks gets what the link itself proves.
func (c *deepChecks) declined(now microtime.Time, tag string) { c.answered(now, tag, true) }

// forget says that the link has changed: what was found on the one before says nothing of this one.
func (c *deepChecks) forget() { c.known = false }

// expire ends the verification under way once its time is up: it went well if a run has ended well meanwhile. It returns when that
// is due.
func (c *deepChecks) expire(now microtime.Time) microtime.Time {
	if !c.underWay() {
		return microtime.Never
	}
	if due := c.began + checkTimeout; now < due {
		return due
	}
	c.end(now, c.lastPass >= c.began)
	return microtime.Never
}

func (c *deepChecks) end(now microtime.Time, good bool) {
	c.known, c.good, c.at = true, good, now
	waiters := c.waiters
	c.waiters = nil
	for _, done := range waiters {
		done(good)
	}
}
