package workerpool

import (
	"strconv"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
)

const (
	// checkTimeout is how long a deep check waits for the worker pool.
	checkTimeout = microtime.Second
	// checkFreshness is how long a run that passed, or the outcome of a verification, answers further deep checks. This
	// limits the number of verifications, which use the cores of the pool as runs do.
	checkFreshness = microtime.Second
	// maxCheckWaiters is the maximum number of deep checks that wait for one outcome. Further checks fail at once.
	maxCheckWaiters = 64
	// never is earlier than any time of the event loop.
	never = microtime.Time(-1 << 62)
)

// deepChecks answers deep health checks, which ask whether the worker pool executes runs. A run that has passed
// recently proves that. Otherwise a verification is requested from the pool. Its outcome answers all checks that arrive
// while the verification is pending or its outcome is fresh.
type deepChecks struct {
	verifications int // how many have been requested; also the number of the pending one
	waiters       []func(healthy bool)
	startedAt     microtime.Time // when the pending verification was requested
	hasOutcome    bool           // healthy and outcomeAt are valid for the current connection
	healthy       bool           // the outcome of the last verification
	outcomeAt     microtime.Time // when the last verification ended
	lastPass      microtime.Time // when a run last passed
}

// checkTag is the tag of the verification with the given number.
func checkTag(number int) string { return "check" + strconv.Itoa(number) }

// Verify reports to done whether the worker pool executes runs: at once if that is known, or otherwise within
// checkTimeout.
func (b *Backend) Verify(done func(healthy bool)) {
	checks, now := &b.checks, b.loop.Now()
	switch {
	case now < checks.lastPass+checkFreshness:
		done(true)
	case checks.hasOutcome && now < checks.outcomeAt+checkFreshness:
		done(checks.healthy)
	case len(checks.waiters) >= maxCheckWaiters:
		done(false)
	case checks.pending():
		checks.waiters = append(checks.waiters, done)
	default:
		checks.waiters = append(checks.waiters, done)
		checks.verifications++
		checks.startedAt = now
		if b.synced { // otherwise resync sends it
			b.sendVerify()
		}
	}
}

// sendVerify sends the verify command of the pending verification.
func (b *Backend) sendVerify() {
	b.write(pool.AppendVerify(b.scratch[:0], checkTag(b.checks.verifications)))
}

// pending reports whether a verification is in progress.
func (c *deepChecks) pending() bool { return len(c.waiters) > 0 }

// handleOutcome handles the outcome of the verification with the given tag. Late outcomes are ignored.
func (c *deepChecks) handleOutcome(now microtime.Time, tag string, healthy bool) {
	if c.pending() && tag == checkTag(c.verifications) {
		c.finish(now, healthy)
	}
}

// handleUnsupported handles the answer of a pool that does not support the verify command. The check succeeds, because
// the answer proves that the connection works.
func (c *deepChecks) handleUnsupported(now microtime.Time, tag string) {
	c.handleOutcome(now, tag, true)
}

// connectionChanged drops the last outcome, which does not apply to the next connection.
func (c *deepChecks) connectionChanged() { c.hasOutcome = false }

// expire ends the pending verification after checkTimeout. The pool counts as healthy if a run has passed meanwhile.
// It returns when it has to be called again.
func (c *deepChecks) expire(now microtime.Time) microtime.Time {
	if !c.pending() {
		return microtime.Never
	}
	if due := c.startedAt + checkTimeout; now < due {
		return due
	}
	c.finish(now, c.lastPass >= c.startedAt)
	return microtime.Never
}

// finish records an outcome and reports it to all waiters.
func (c *deepChecks) finish(now microtime.Time, healthy bool) {
	c.hasOutcome, c.healthy, c.outcomeAt = true, healthy, now
	waiters := c.waiters
	c.waiters = nil
	for _, done := range waiters {
		done(healthy)
	}
}
