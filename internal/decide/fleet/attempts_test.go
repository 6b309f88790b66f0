package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/micro"
)

func newAttempts(t *testing.T, c AttemptsConfig) *Attempts {
	a, err := NewAttempts(c)
	require.NoError(t, err)
	return a
}

func ask(o Outcome) Ask {
	return Ask{Caller: 1, Safe: true, Tries: 1, Outcome: o, Finishes: 2 * second, Due: 4 * second}
}

// Under full overload, where nothing succeeds, tries are at most a tenth over what came; a caller that burns its budget
// leaves the others theirs.
func TestAmplificationIsBounded(t *testing.T) {
	a := newAttempts(t, AttemptsConfig{Most: 20})
	for i := range 10_000 {
		now := micro.Time(i) * micro.Millisecond
		a.First(now, uint32(i%7))
		for range 3 {
			q := ask(Refused)
			q.Caller, q.Finishes, q.Due = uint32(i%7), now, now+second
			if a.After(now, q) != AgainElsewhere {
				break
			}
		}
	}
	require.LessOrEqual(t, a.Amplification(), 1.1)

	b := newAttempts(t, AttemptsConfig{})
	for range 100 {
		b.Succeeded(0, 1)
		b.Succeeded(0, 2)
	}
	for b.Spend(0, 1) {
	}
	require.True(t, b.Spend(0, 2))
}

// No further try that cannot be done in time, that the server asked not to be made, or beyond the number allowed.
func TestNoTryThatCannotHelp(t *testing.T) {
	a := newAttempts(t, AttemptsConfig{})
	require.Equal(t, AgainElsewhere, a.After(second, ask(Refused)))
	for _, spoil := range []func(*Ask){func(q *Ask) { q.Last = true }, func(q *Ask) { q.Tries = 3 }, func(q *Ask) { q.Finishes = q.Due },
		func(q *Ask) { q.Finishes = micro.Never }} {
		q := ask(Refused)
		spoil(&q)
		before := a.tokens
		require.Equal(t, SayRefused, a.After(second, q))
		require.Equal(t, before, a.tokens, "and it costs nothing")
	}
	q := ask(Unreached)
	q.Finishes = micro.Never
	require.Equal(t, SayRefused, a.After(second, q), "nobody took the connection: it ran nowhere")
	q = ask(Broken)
	q.Safe = false
	require.Equal(t, SayFailed, a.After(second, q), "it may have run, and is not safe to run again")
}

// An intake goes to the server that may have run it, or nowhere, until its window ends; where that server is lost, the
// outcome is not known, and that is what is said.
func TestIntakesStick(t *testing.T) {
	a, k := newAttempts(t, AttemptsConfig{}), Key{1, "k"}
	server, ok := a.Stick(second, k)
	require.True(t, ok)
	require.Empty(t, server)
	a.Leave(second, k, "s3", 13*second)
	server, _ = a.Stick(2*second, k)
	require.Equal(t, "s3", server)

	q := ask(Failed)
	q.Keyed, q.Safe, q.Key = true, false, k
	a.Returned(2*second, k, Failed)
	require.Equal(t, AgainThere, a.After(2*second, q))
	q.Outcome = Broken
	a.Returned(2*second, k, Broken)
	require.Equal(t, SayUnknown, a.After(2*second, q))
	until, unknown := a.Unknown(2*second, k)
	require.True(t, unknown)
	require.Equal(t, 14*second, until)
	server, _ = a.Stick(14*second-1, k)
	require.Equal(t, "s3", server, "not elsewhere within its window")
	server, _ = a.Stick(14*second, k)
	require.Empty(t, server)
}

// A refusal proves that this try never ran: the intake is free, unless an earlier try may have run.
func TestRefusalFreesAnIntake(t *testing.T) {
	a, k := newAttempts(t, AttemptsConfig{}), Key{1, "k"}
	a.Leave(second, k, "s3", 13*second)
	a.Returned(second, k, Refused)
	require.False(t, a.MayHaveRun(second, k))
	a.Leave(second, k, "s3", 13*second)
	a.Leave(2*second, k, "s3", 13*second)
	a.Returned(3*second, k, Refused)
	require.True(t, a.MayHaveRun(3*second, k), "the other try is out")
	a.Returned(3*second, k, TimedOut)
	a.Leave(4*second, k, "s3", 13*second)
	a.Returned(4*second, k, Refused)
	require.True(t, a.MayHaveRun(4*second, k), "and may have run")
	keys, _ := a.Remembered()
	require.Equal(t, 1, keys)
}

// Beyond the bound new intakes are not taken, as nobody would know where they ran; old ones end with their window, also
// behind one that lasts longer.
func TestRememberedIntakesAreBounded(t *testing.T) {
	a := newAttempts(t, AttemptsConfig{Keys: 3})
	for i, once := range []string{"a", "b", "c"} {
		a.Leave(second, Key{0, once}, "s0", micro.Time(10-i)*second)
	}
	_, ok := a.Stick(second, Key{0, "d"})
	require.False(t, ok)
	server, ok := a.Stick(second, Key{0, "a"})
	require.True(t, ok)
	require.Equal(t, "s0", server)
	require.False(t, a.MayHaveRun(9*second, Key{0, "c"}))
	_, ok = a.Stick(9*second, Key{0, "d"})
	require.True(t, ok)
	a.expire(60 * second)
	keys, _ := a.Remembered()
	require.Zero(t, keys)
}

// Callers under ever new numbers cost no memory, and a new number is no way to a full budget.
func TestRememberedCallersAreBounded(t *testing.T) {
	a := newAttempts(t, AttemptsConfig{Callers: 100, Most: 1e9})
	spent := 0
	for i := range uint32(50_000) {
		a.First(micro.Time(i), i)
		a.Succeeded(micro.Time(i), 7) // one that stays
		if a.Spend(micro.Time(i), i) && a.Spend(micro.Time(i), i) {
			spent++
		}
	}
	_, callers := a.Remembered()
	require.Equal(t, 100, callers)
	require.Zero(t, spent)
	require.NotNil(t, a.callers[7])
	require.LessOrEqual(t, len(a.oldest), 100)
}

func TestAttemptsConfigIsChecked(t *testing.T) {
	for name, c := range map[string]AttemptsConfig{"earn": {Earn: 2}, "most": {Most: -1}, "callers": {Callers: -1}, "tries": {Tries: 99}} {
		require.ErrorContains(t, c.Check(), name)
	}
}
