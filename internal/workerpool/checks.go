package workerpool

import (
	"strconv"

	"pewterline/internal/micro"
	"pewterline/internal/protocol/pool"
)

const (
	// checkTimeout is how long the worker pool may take over a deep check before it counts as failed.
	checkTimeout = micro.Second
	// checkFresh is how long the outcome of a deep check answers further ones: it costs the cores as work does.
	checkFresh = micro.Second
	// checkWaiters bounds the deep checks that wait for one outcome; one more fails at once.
	checkWaiters = 64
)

// deepChecks shares one verification by the worker pool among all deep health checks that come while it is under way or fresh.
type deepChecks struct {
	count   int // of verifications; names the one under way
	waiters []func(good bool)
	due     micro.Time // of the verification under way
	known   bool       // there has been an outcome
	good    bool       // that outcome
	at      micro.Time // when it came
}

func tagOf(count int) string { return "check" + strconv.Itoa(count) }

// Verify has the worker pool do the work of a deep health check and tells done whether it went well: at once where the link is
// down or the last outcome is fresh, else within checkTimeout.
func (p *Runner) Verify(done func(good bool)) {
	c, now := &p.checks, p.loop.Now()
	switch {
	case !p.synced || len(c.waiters) >= checkWaiters:
		done(false)
	case c.known && now < c.at+checkFresh:
		done(c.good)
	default:
		c.waiters = append(c.waiters, done)
		if len(c.waiters) == 1 {
			c.count++
			c.due = now + checkTimeout
			p.write(pool.AppendVerify(p.out[:0], tagOf(c.count)))
		}
	}
}

// answered takes up the outcome of the verification of that tag; one that comes too late is dropped.
func (c *deepChecks) answered(now micro.Time, tag string, good bool) {
	if len(c.waiters) == 0 || tag != tagOf(c.count) {
		return
	}
	c.known, c.good, c.at = true, good, now
	c.tell(good)
}

// declined says that the worker pool does not verify here: whoever asks gets what the link itself proves.
func (c *deepChecks) declined(now micro.Time, tag string) { c.answered(now, tag, true) }

// lost fails what waits for an outcome that cannot come any more.
func (c *deepChecks) lost() {
	c.known = false
	c.tell(false)
}

// expire fails the verification under way once its time is up; it returns when that is.
func (c *deepChecks) expire(now micro.Time) micro.Time {
	if len(c.waiters) == 0 {
		return micro.Never
	}
	if now < c.due {
		return c.due
	}
	c.known, c.good, c.at = true, false, now
	c.tell(false)
	return micro.Never
}

func (c *deepChecks) tell(good bool) {
	waiters := c.waiters
	c.waiters = nil
	for _, done := range waiters {
		done(good)
	}
}
