package loadbalancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

func newRetryPolicy(t *testing.T, config RetryConfig) *RetryPolicy {
	t.Helper()
	policy, err := NewRetryPolicy(config)
	require.NoError(t, err)
	return policy
}

// failedAttempt returns a failed first attempt of an idempotent request. A retry could finish before the deadline.
func failedAttempt(outcome Outcome) FailedAttempt {
	return FailedAttempt{
		Caller:         1,
		Idempotent:     true,
		Attempts:       1,
		Outcome:        outcome,
		EarliestFinish: 2 * second,
		Deadline:       4 * second,
	}
}

// Under full overload, where no attempt succeeds, the attempts exceed the requests by at most a tenth. A caller that
// uses up its budget does not use up the budgets of other callers.
func TestAmplificationIsBounded(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{MaxTokens: 20})
	for i := range 10_000 {
		now := microtime.Time(i) * microtime.Millisecond
		policy.RecordFirstAttempt(now, uint32(i%7))
		for range 3 {
			failed := failedAttempt(Rejected)
			failed.Caller = uint32(i % 7)
			failed.EarliestFinish = now
			failed.Deadline = now + second
			if policy.Decide(now, failed) != RetryElsewhere {
				break
			}
		}
	}
	require.LessOrEqual(t, policy.Amplification(), 1.1)

	shared := newRetryPolicy(t, RetryConfig{})
	for range 100 {
		shared.RecordSuccess(0, 1)
		shared.RecordSuccess(0, 2)
	}
	for shared.SpendToken(0, 1) {
	}
	require.True(t, shared.SpendToken(0, 2))
}

// A request is not retried if the retry cannot finish in time, if the endpoint requested none, or after MaxAttempts
// attempts. It then spends no token.
func TestRetryNotAllowed(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{})
	require.Equal(t, RetryElsewhere, policy.Decide(second, failedAttempt(Rejected)))
	for name, modify := range map[string]func(*FailedAttempt){
		"endpoint forbids retry":   func(a *FailedAttempt) { a.NoRetry = true },
		"no attempts left":         func(a *FailedAttempt) { a.Attempts = 3 },
		"deadline would be missed": func(a *FailedAttempt) { a.EarliestFinish = a.Deadline },
		"no endpoint has capacity": func(a *FailedAttempt) { a.EarliestFinish = microtime.Never },
	} {
		t.Run(name, func(t *testing.T) {
			failed := failedAttempt(Rejected)
			modify(&failed)
			before := policy.budget.tokens
			require.Equal(t, ReportRejected, policy.Decide(second, failed))
			require.Equal(t, before, policy.budget.tokens, "no token is spent")
		})
	}
	failed := failedAttempt(ConnectFailed)
	failed.EarliestFinish = microtime.Never
	require.Equal(t, ReportRejected, policy.Decide(second, failed), "without a connection, the request was not executed")
	failed = failedAttempt(ConnectionLost)
	failed.Idempotent = false
	require.Equal(t, ReportFailed, policy.Decide(second, failed), "a retry could execute the request again")
}

// Until the retention window of its key ends, a request is sent only to the endpoint that may have executed it. If that
// endpoint is lost, the outcome is reported as indeterminate.
func TestKeyedRequestsAreSticky(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{})
	key := IdempotencyKey{1, "k"}
	endpoint, ok := policy.StickyEndpoint(second, key)
	require.True(t, ok)
	require.Empty(t, endpoint)
	policy.RecordSent(second, key, "s3", 13*second)
	endpoint, _ = policy.StickyEndpoint(2*second, key)
	require.Equal(t, "s3", endpoint)

	failed := failedAttempt(Failed)
	failed.Keyed = true
	failed.Idempotent = false
	failed.Key = key
	policy.RecordOutcome(key, Failed)
	require.Equal(t, RetrySameEndpoint, policy.Decide(2*second, failed))
	failed.Outcome = ConnectionLost
	policy.RecordOutcome(key, ConnectionLost)
	require.Equal(t, ReportIndeterminate, policy.Decide(2*second, failed))
	until, unknown := policy.Indeterminate(2*second, key)
	require.True(t, unknown)
	require.Equal(t, 14*second, until)
	endpoint, _ = policy.StickyEndpoint(14*second-1, key)
	require.Equal(t, "s3", endpoint, "no other endpoint until the retention window ends")
	endpoint, _ = policy.StickyEndpoint(14*second, key)
	require.Empty(t, endpoint)
}

// A rejection proves that the attempt was not executed, so the key is removed unless another attempt may have been
// executed.
func TestRejectionRemovesKey(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{})
	key := IdempotencyKey{1, "k"}
	policy.RecordSent(second, key, "s3", 13*second)
	policy.RecordOutcome(key, Rejected)
	require.False(t, policy.MayHaveExecuted(second, key))
	policy.RecordSent(second, key, "s3", 13*second)
	policy.RecordSent(2*second, key, "s3", 13*second)
	policy.RecordOutcome(key, Rejected)
	require.True(t, policy.MayHaveExecuted(3*second, key), "the other attempt is in flight")
	policy.RecordOutcome(key, TimedOut)
	policy.RecordSent(4*second, key, "s3", 13*second)
	policy.RecordOutcome(key, Rejected)
	require.True(t, policy.MayHaveExecuted(4*second, key), "the attempt that timed out may have been executed")
	keys, _ := policy.Tracked()
	require.Equal(t, 1, keys)
}

// When MaxKeys keys are tracked, requests with new keys are rejected, as the endpoint that executes them could not be
// recorded. A key expires at the end of its window, even behind a key with a longer window.
func TestTrackedKeysAreBounded(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{MaxKeys: 3})
	for i, value := range []string{"a", "b", "c"} {
		policy.RecordSent(second, IdempotencyKey{0, value}, "s0", microtime.Time(10-i)*second)
	}
	_, ok := policy.StickyEndpoint(second, IdempotencyKey{0, "d"})
	require.False(t, ok)
	endpoint, ok := policy.StickyEndpoint(second, IdempotencyKey{0, "a"})
	require.True(t, ok)
	require.Equal(t, "s0", endpoint)
	require.False(t, policy.MayHaveExecuted(9*second, IdempotencyKey{0, "c"}))
	_, ok = policy.StickyEndpoint(9*second, IdempotencyKey{0, "d"})
	require.True(t, ok)
	policy.sticky.expire(60 * second)
	keys, _ := policy.Tracked()
	require.Zero(t, keys)
}

// The number of tracked callers is bounded when callers keep using new IDs, and a new caller ID does not get a full
// budget.
func TestTrackedCallersAreBounded(t *testing.T) {
	policy := newRetryPolicy(t, RetryConfig{MaxCallers: 100, MaxTokens: 1e9})
	const steadyCaller = 7
	secondRetries := 0
	for i := range uint32(50_000) {
		policy.RecordFirstAttempt(microtime.Time(i), i)
		policy.RecordSuccess(microtime.Time(i), steadyCaller)
		if !policy.SpendToken(microtime.Time(i), i) {
			continue
		}
		if policy.SpendToken(microtime.Time(i), i) {
			secondRetries++
		}
	}
	_, callers := policy.Tracked()
	require.Equal(t, 100, callers)
	require.Zero(t, secondRetries)
	require.NotNil(t, policy.budget.callers[steadyCaller])
	require.LessOrEqual(t, len(policy.budget.evictionQueue), 100)
}
