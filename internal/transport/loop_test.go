package transport

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// turnRecorder is a Handler that records the times of the turns. Each turn returns next as the time of the next one.
type turnRecorder struct {
	testEnv
	turns []microtime.Time
	next  microtime.Time
}

func (r *turnRecorder) Turn(now microtime.Time) microtime.Time {
	r.turns = append(r.turns, now)
	return r.next
}

func newTurnRecorder(t *testing.T) *turnRecorder {
	t.Helper()
	r := &turnRecorder{next: microtime.Never}
	r.fakeDriver = &fakeDriver{t: t, now: microtime.Second, timerAt: microtime.Never}
	r.loop = New(Options{MaxConns: 9, Logf: r.logf}, r.fakeDriver, r, func(*Loop) {})
	return r
}

// A turn reads the clock once and ends after all events that were ready with its first one.
func TestTurn(t *testing.T) {
	recorder := newTurnRecorder(t)
	recorder.loop.Begin()
	recorder.run()
	recorder.turns = nil
	times := []microtime.Time{}
	for range 3 {
		require.NoError(t, recorder.loop.Execute(func() {
			recorder.now++ // the clock advances during the turn
			times = append(times, recorder.loop.Now())
		}))
	}
	start := recorder.now
	recorder.run()
	require.Equal(t, []microtime.Time{start, start, start}, times)
	require.Equal(t, []microtime.Time{start}, recorder.turns)
}

// The timer is set to the time of the handler's next turn, and is not set if that is microtime.Never.
func TestTimer(t *testing.T) {
	recorder := newTurnRecorder(t)
	recorder.loop.Begin()
	recorder.run()
	require.Equal(t, microtime.Never, recorder.timerAt)
	recorder.next = recorder.now + microtime.Second
	require.NoError(t, recorder.loop.Execute(func() {}))
	recorder.run()
	require.Equal(t, recorder.next, recorder.timerAt)
	due := recorder.next
	recorder.next = microtime.Never
	recorder.advance(microtime.Second)
	require.Equal(t, due, recorder.turns[len(recorder.turns)-1])
	require.Equal(t, microtime.Never, recorder.timerAt)
}

// A timer that fires during a turn whose time was read just before is set again for the same time. Otherwise nothing
// would wake an idle loop.
func TestTimerFiresDuringTurn(t *testing.T) {
	recorder := newTurnRecorder(t)
	recorder.next = recorder.now + 2
	recorder.loop.Begin()
	recorder.run()
	due := recorder.next
	require.Equal(t, due, recorder.timerAt)
	recorder.now = due - 1
	require.NoError(t, recorder.loop.Execute(func() { // in a turn that began before due
		recorder.timerAt = microtime.Never // the driver's timer fires
		recorder.loop.TimerFired()
	}))
	recorder.run()
	require.Equal(t, due, recorder.timerAt)
	recorder.next = microtime.Never
	recorder.advance(1)
	require.Equal(t, due, recorder.turns[len(recorder.turns)-1])
}

// Begin calls the begin function once, in a turn.
func TestBegin(t *testing.T) {
	recorder := newTurnRecorder(t)
	begins := 0
	recorder.loop.begin = func(l *Loop) {
		begins++
		require.Equal(t, recorder.now, l.Now())
	}
	recorder.loop.Begin()
	recorder.loop.Begin()
	require.Equal(t, 1, begins)
}

// The end of CloseListener is reported in a turn.
func TestCloseListener(t *testing.T) {
	recorder := newTurnRecorder(t)
	recorder.loop.Begin()
	recorder.run()
	recorder.now += microtime.Second
	done := false
	recorder.loop.CloseListener(0, func() {
		done = true
		require.Equal(t, recorder.now, recorder.loop.Now())
	})
	recorder.run()
	require.True(t, done)
}
