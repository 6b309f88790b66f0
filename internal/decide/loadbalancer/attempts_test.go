package loadbalancer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

func newAttempts(t *testing.T, c RetryConfig) *RetryPolicy {
	a, err := NewRetryPolicy(c)
	require.NoError(t, err)
	return a
}

func ask(o Outcome) FailedAttempt {
	return FailedAttempt{Caller: 1, Idempotent: true, Attempts: 1, Outcome: o, EarliestFinish: 2 * second, Deadline: 4 * second}
}

// Under full overload, where nothing succeeds, tries are at most a tenth over what came; a caller that burns its budget
// leaves the others theirs.
func TestAmplificationIsBounded(t *testing.T) {
	a := newAttempts(t, RetryConfig{MaxTokens: 20})
	for i := range 10_000 {
		now := microtime.Time(i) * microtime.Millisecond
		a.RecordFirstAttempt(now, uint32(i%7))
		for range 3 {
			q := ask(Rejected)
			q.Caller, q.EarliestFinish, q.Deadline = uint32(i%7), now, now+second
			if a.Decide(now, q) != RetryElsewhere {
				break
			}
		}
	}
	require.LessOrEqual(t, a.Amplification(), 1.1)

	b := newAttempts(t, RetryConfig{})
	for range 100 {
		b.RecordSuccess(0, 1)
		b.RecordSuccess(0, 2)
	}
	for b.SpendToken(0, 1) {
	}
	require.True(t, b.SpendToken(0, 2))
}

// No further try that cannot be done in time, that the server asked not to be made, or beyond the number allowed.
func TestNoTryThatCannotHelp(t *testing.T) {
	a := newAttempts(t, RetryConfig{})
	require.Equal(t, RetryElsewhere, a.Decide(second, ask(Rejected)))
	for _, spoil := range []func(*FailedAttempt){func(q *FailedAttempt) { q.NoRetry = true }, func(q *FailedAttempt) { q.Attempts = 3 }, func(q *FailedAttempt) { q.EarliestFinish = q.Deadline },
		func(q *FailedAttempt) { q.EarliestFinish = microtime.Never }} {
		q := ask(Rejected)
		spoil(&q)
		before := a.tokens
		require.Equal(t, ReportRejected, a.Decide(second, q))
		require.Equal(t, before, a.tokens, "and it costs nothing")
	}
	q := ask(ConnectFailed)
	q.EarliestFinish = microtime.Never
	require.Equal(t, ReportRejected, a.Decide(second, q), "nobody took the connection: it ran nowhere")
	q = ask(ConnectionLost)
	q.Idempotent = false
	require.Equal(t, ReportFailed, a.Decide(second, q), "it may have run, and is not safe to run again")
}

// An intake goes to the server that may have run it, or nowhere, until its window ends; where that server is lost, the
// outcome is not known, and that is what is said.
func TestIntakesStick(t *testing.T) {
	a, k := newAttempts(t, RetryConfig{}), IdempotencyKey{1, "k"}
	server, ok := a.StickyEndpoint(second, k)
	require.True(t, ok)
	require.Empty(t, server)
	a.RecordSent(second, k, "s3", 13*second)
	server, _ = a.StickyEndpoint(2*second, k)
	require.Equal(t, "s3", server)

	q := ask(Failed)
	q.Keyed, q.Idempotent, q.Key = true, false, k
	a.RecordOutcome(2*second, k, Failed)
	require.Equal(t, RetrySameEndpoint, a.Decide(2*second, q))
	q.Outcome = ConnectionLost
	a.RecordOutcome(2*second, k, ConnectionLost)
	require.Equal(t, ReportIndeterminate, a.Decide(2*second, q))
	until, unknown := a.Indeterminate(2*second, k)
	require.True(t, unknown)
	require.Equal(t, 14*second, until)
	server, _ = a.StickyEndpoint(14*second-1, k)
	require.Equal(t, "s3", server, "not elsewhere within its window")
	server, _ = a.StickyEndpoint(14*second, k)
	require.Empty(t, server)
}

// A refusal proves that this try never ran: the intake is free, unless an earlier try may have run.
func TestRefusalFreesAnIntake(t *testing.T) {
	a, k := newAttempts(t, RetryConfig{}), IdempotencyKey{1, "k"}
	a.RecordSent(second, k, "s3", 13*second)
	a.RecordOutcome(second, k, Rejected)
	require.False(t, a.MayHaveExecuted(second, k))
	a.RecordSent(second, k, "s3", 13*second)
	a.RecordSent(2*second, k, "s3", 13*second)
	a.RecordOutcome(3*second, k, Rejected)
	require.True(t, a.MayHaveExecuted(3*second, k), "the other try is out")
	a.RecordOutcome(3*second, k, TimedOut)
	a.RecordSent(4*second, k, "s3", 13*second)
	a.RecordOutcome(4*second, k, Rejected)
	require.True(t, a.MayHaveExecuted(4*second, k), "and may have run")
	keys, _ := a.Tracked()
	require.Equal(t, 1, keys)
}

// Beyond the bound new intakes are not taken, as nobody would know where they ran; old ones end with their window, also
// behind one that lasts longer.
func TestRememberedIntakesAreBounded(t *testing.T) {
	a := newAttempts(t, RetryConfig{MaxKeys: 3})
	for i, once := range []string{"a", "b", "c"} {
		a.RecordSent(second, IdempotencyKey{0, once}, "s0", microtime.Time(10-i)*second)
	}
	_, ok := a.StickyEndpoint(second, IdempotencyKey{0, "d"})
	require.False(t, ok)
	server, ok := a.StickyEndpoint(second, IdempotencyKey{0, "a"})
	require.True(t, ok)
	require.Equal(t, "s0", server)
	require.False(t, a.MayHaveExecuted(9*second, IdempotencyKey{0, "c"}))
	_, ok = a.StickyEndpoint(9*second, IdempotencyKey{0, "d"})
	require.True(t, ok)
	a.expire(60 * second)
	keys, _ := a.Tracked()
	require.Zero(t, keys)
}

// Callers under ever new numbers cost no memory, and a new number is no way to a full budget.
func TestRememberedCallersAreBounded(t *testing.T) {
	a := newAttempts(t, RetryConfig{MaxCallers: 100, MaxTokens: 1e9})
	spent := 0
	for i := range uint32(50_000) {
		a.RecordFirstAttempt(microtime.Time(i), i)
		a.RecordSuccess(microtime.Time(i), 7) // one that stays
		if a.SpendToken(microtime.Time(i), i) && a.SpendToken(microtime.Time(i), i) {
			spent++
		}
	}
	_, callers := a.Tracked()
	require.Equal(t, 100, callers)
	require.Zero(t, spent)
	require.NotNil(t, a.callers[7])
	require.LessOrEqual(t, len(a.oldest), 100)
}

func TestAttemptsConfigIsChecked(t *testing.T) {
	for name, c := range map[string]RetryConfig{"earn": {TokensPerSuccess: 2}, "most": {MaxTokens: -1}, "callers": {MaxCallers: -1}, "tries": {MaxAttempts: 99}} {
		require.ErrorContains(t, c.Validate(), name)
	}
}
