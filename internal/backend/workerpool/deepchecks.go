package workerpool

import (
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

const (
	// checkTimeout is how long a deep check waits for the worker pool.
	checkTimeout = microtime.Second
	// checkFreshness is how long a run that passed, or the outcome of a verification, answers further deep checks: a
	// verification uses the cores of the pool as a run does.
	checkFreshness = microtime.Second
	// maxCheckWaiters is the most deep checks that wait for one outcome. Further ones fail at once.
	maxCheckWaiters = 64
	// never is before any time of the clock.
	never = microtime.Time(-1 << 62)
)

// deepChecks answers deep health checks, which ask whether the worker pool executes runs. A run that has passed
// recently proves that. Otherwise the pool is asked for a verification, which serves all checks that come while it is
// pending or its outcome is fresh.
type deepChecks struct {
	count     int // of verifications; names the pending one
	waiters   []func(good bool)
	startedAt microtime.Time // the pending verification
	known     bool           // there is an outcome from this connection
	good      bool           // that outcome
	knownAt   microtime.Time // when it came
	lastPass  microtime.Time // when a run last passed
}

// checkTag is the tag of the verification with the given number.
func checkTag(count int) string { return "check" + strconv.Itoa(count) }

// Verify calls done with whether the worker pool executes runs: at once if that is known, or else within checkTimeout.
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
		if b.synced { // otherwise resync sends it
			b.sendVerify()
		}
	}
}

// sendVerify sends the command of the pending verification.
func (b *Backend) sendVerify() {
	b.write(pool.AppendVerify(b.scratch[:0], checkTag(b.checks.count)))
}

// pending reports whether a verification is in progress.
func (c *deepChecks) pending() bool { return len(c.waiters) > 0 }

// answered handles the outcome of the verification with the given tag. Late outcomes are ignored.
func (c *deepChecks) answered(now microtime.Time, tag string, good bool) {
	if c.pending() && tag == checkTag(c.count) {
		c.end(now, good)
	}
}

// declined handles the answer of a pool that does not know the verify command. The check succeeds, because the answer
// proves that the connection works.
func (c *deepChecks) declined(now microtime.Time, tag string) { c.answered(now, tag, true) }

// connectionChanged drops the last outcome, which does not apply to the next connection.
func (c *deepChecks) connectionChanged() { c.known = false }

// expire ends the pending verification after checkTimeout. Its outcome is good if a run has passed meanwhile. It
// returns when it has to be called again.
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

// end records an outcome and reports it to all waiters.
func (c *deepChecks) end(now microtime.Time, good bool) {
	c.known, c.good, c.knownAt = true, good, now
	waiters := c.waiters
	c.waiters = nil
	for _, done := range waiters {
		done(good)
	}
}
