package workerpool

import (
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

const (
	// checkTimeout is how long a deep check waits for the worker pool.
	checkTimeout = microtime.Second
	// checkFreshness is how long a run that passed, or the outcome of a verification, answers deep checks: a
	// verification costs the cores as work does.
	checkFreshness = microtime.Second
	// maxCheckWaiters limits the deep checks that wait for one outcome; one more fails at once.
	maxCheckWaiters = 64
	// never is before any time of the clock.
	never = microtime.Time(-1 << 62)
)

// deepChecks answers deep health checks: whether work gets done. A run that has passed recently proves that it does.
// Else the worker pool is asked to verify it, once for all checks that come while that is pending or its outcome fresh.
type deepChecks struct {
	count     int // of verifications; names the pending one
	waiters   []func(good bool)
	startedAt microtime.Time // the pending verification
	known     bool           // there has been an outcome on this connection
	good      bool           // that outcome
	knownAt   microtime.Time // when it came
	lastPass  microtime.Time // when a run last passed
}

// checkTag marks the verification of a number.
func checkTag(count int) string { return "check" + strconv.Itoa(count) }

// Verify reports to done whether work gets done: at once where that is known, else within checkTimeout.
func (b *Backend) Verify(done func(good bool)) {
	checks, now := &b.checks, b.loop.Now()
	switch {
	case now < checks.lastPass+checkFreshness:
		done(true)
	case checks.known && now < checks.knownAt+checkFreshness:
		done(checks.good)
	case len(checks.waiters) >= maxCheckWaiters:
		done(false)
	case checks.pending():
		checks.waiters = append(checks.waiters, done)
	default:
		checks.waiters = append(checks.waiters, done)
		checks.count++
		checks.startedAt = now
		if b.synced { // else once it is
			b.sendVerify()
		}
	}
}

// sendVerify asks the pool for the pending verification.
func (b *Backend) sendVerify() {
	b.write(pool.AppendVerify(b.scratch[:0], checkTag(b.checks.count)))
}

// pending reports that a verification has no outcome yet.
func (c *deepChecks) pending() bool { return len(c.waiters) > 0 }

// answered takes the outcome of the verification of that tag; one that comes too late is dropped.
func (c *deepChecks) answered(now microtime.Time, tag string, good bool) {
	if c.pending() && tag == checkTag(c.count) {
		c.end(now, good)
	}
}

// declined says that the worker pool does not verify here: a check gets what the connection itself proves.
func (c *deepChecks) declined(now microtime.Time, tag string) { c.answered(now, tag, true) }

// connectionChanged forgets the last outcome: it says nothing of the connection that follows.
func (c *deepChecks) connectionChanged() { c.known = false }

// expire ends the pending verification once its time is up: it was good if a run has passed meanwhile. It returns when
// that is due.
func (c *deepChecks) expire(now microtime.Time) microtime.Time {
	if !c.pending() {
		return microtime.Never
	}
	if due := c.startedAt + checkTimeout; now < due {
		return due
	}
	c.end(now, c.lastPass >= c.startedAt)
	return microtime.Never
}

// end notes an outcome and reports it to all that wait.
func (c *deepChecks) end(now microtime.Time, good bool) {
	c.known, c.good, c.knownAt = true, good, now
	waiters := c.waiters
	c.waiters = nil
	for _, done := range waiters {
		done(good)
	}
}
