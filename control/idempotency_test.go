package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The key of a request that never ran is released; the key of a started request is kept.
func TestReleaseKeepsKeysOfStartedRequests(t *testing.T) {
	table := newRetainedKeys()
	table.retain(1, time.Second)
	table.retain(2, time.Second)
	table.requestStarted(2)
	table.requestStarted(3) // Request 3 has no key.
	require.True(t, table.release(1))
	require.False(t, table.release(1), "already released")
	require.False(t, table.release(2), "started")
	require.False(t, table.release(3), "no key")
	require.Equal(t, 1, table.liveCount)
}

// An expired key no longer counts as memory, but is kept for expiredKeyRetention for repeats that are read late.
func TestExpiredKeysAreKeptForLateRepeats(t *testing.T) {
	table := newRetainedKeys()
	table.retain(1, time.Second)
	table.retain(2, time.Minute)
	table.expire(999 * time.Millisecond)
	require.Equal(t, 2, table.liveCount)
	table.expire(time.Second)
	require.Equal(t, 1, table.liveCount)
	require.Contains(t, table.keys, RequestID(1))
	table.expire(time.Second + expiredKeyRetention)
	require.Contains(t, table.keys, RequestID(1))
	table.expire(time.Second + expiredKeyRetention + 1)
	require.NotContains(t, table.keys, RequestID(1))
	require.Contains(t, table.keys, RequestID(2))
}

// The key of a keyed request is retained for the retention window of its class, counted from its arrival. An idempotent
// request has a key only if ResultFreshness is set and the request names its subject.
func TestKeyRetention(t *testing.T) {
	tests := []struct {
		name            string
		event           RequestArrived
		resultFreshness time.Duration
		wantTTL         time.Duration // 0: no key is retained
	}{
		{"keyed", RequestArrived{Class: 1, Age: time.Second}, 0, 29*time.Second + tickInterval},
		{"idempotent", RequestArrived{SubjectKey: 5}, 0, 0},
		{"idempotent with result freshness", RequestArrived{SubjectKey: 5}, time.Second, 9 * time.Second},
		{"idempotent with result freshness, without a subject", RequestArrived{}, time.Second, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := newTestController(t, func(s *Settings) { s.ResultFreshness = tc.resultFreshness })
			tc.event.ID, tc.event.QueuedKB = 1, 1
			var ttl time.Duration
			for _, action := range c.Step(time.Minute, []Event{tc.event}) {
				if retain, ok := action.(RetainKey); ok {
					ttl = retain.TTL
				}
			}
			require.Equal(t, tc.wantTTL, ttl)
		})
	}
}

// A repeat of a request that is itself a repeat, read in the same step, gets the result of the first request.
func TestRepeatOfRepeatGetsOriginalResult(t *testing.T) {
	controller := newTestController(t, nil)
	controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}})
	actions := controller.Step(tickInterval, []Event{
		RequestArrived{ID: 2, Class: 1, QueuedKB: 1, Original: 1},
		RequestArrived{ID: 3, Class: 1, QueuedKB: 1, Original: 2},
	})
	if replays, starts := countActions[ReplayResult](actions), countActions[Start](actions); replays != 2 || starts != 0 {
		t.Errorf("%d replays and %d starts for two repeats, want two replays", replays, starts)
	}
}

// An original that is still queued is rejected in favour of its repeat, whose caller waits longer.
func TestQueuedOriginalIsRejectedForItsRepeat(t *testing.T) {
	controller := newTestController(t, nil)
	controller.limiter.limit = 1
	controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}, RequestArrived{ID: 2, Class: 1, QueuedKB: 1}})
	require.Equal(t, stateQueued, controller.requests.byID[2].state)
	actions := controller.Step(tickInterval, []Event{RequestArrived{ID: 3, Class: 1, QueuedKB: 1, Original: 2}})
	require.Contains(t, actions, Action(ReleaseKey{ID: 2}))
	require.Equal(t, 1, countActions[Reject](actions))
	require.Equal(t, stateQueued, controller.requests.byID[3].state)
}

// Guards against a second run of a request whose attempts cross a stalled connection and are read in one step: the host
// names an attempt as the original that has ended in the same step. At most one attempt may stay queued, and the others
// end by then, whichever of them is named.
func TestOneAttemptOfAKeyIsQueued(t *testing.T) {
	attempt := func(id, original RequestID) Event {
		return RequestArrived{ID: id, Class: 1, QueuedKB: 1, Original: original}
	}
	tests := []struct {
		name   string
		queued bool // attempt 2 was queued in the step before
		events []Event
	}{
		{"first attempt named", false, []Event{attempt(2, 0), attempt(3, 2), attempt(4, 2)}},
		{"previous attempt named", false, []Event{attempt(2, 0), attempt(3, 2), attempt(4, 3)}},
		{"queued attempt named", true, []Event{attempt(3, 2), attempt(4, 2)}},
		{"first attempt cancelled", false, []Event{attempt(2, 0), RequestCancelled{ID: 2}, attempt(3, 2), attempt(4, 2)}},
		{"queued attempt cancelled", true, []Event{RequestCancelled{ID: 2}, attempt(3, 2), attempt(4, 2)}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			controller := newTestController(t, nil)
			controller.limiter.limit = 1
			controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}})
			if tc.queued {
				stepAfter(controller, tickInterval, attempt(2, 0))
			}
			actions := stepAfter(controller, tickInterval, tc.events...)
			require.Len(t, controller.requests.byID, 2, "attempts beside the running request")
			require.Equal(t, stateQueued, controller.requests.byID[4].state)
			require.Len(t, controller.keys.keys, 2, "retained keys")
			require.NotContains(t, actions, Action(ReleaseKey{ID: 4}))
		})
	}
}

// Guards against a second run after a repeat that waited for the result is cancelled in the step in which it was read:
// a later repeat that names it gets the result too.
func TestRepeatOfCancelledRepeatGetsOriginalResult(t *testing.T) {
	controller := newTestController(t, nil)
	controller.Step(0, []Event{RequestArrived{ID: 1, Class: 1, QueuedKB: 1}})
	actions := stepAfter(controller, tickInterval,
		RequestArrived{ID: 2, Class: 1, QueuedKB: 1, Original: 1},
		RequestCancelled{ID: 2},
		RequestArrived{ID: 3, Class: 1, QueuedKB: 1, Original: 2},
	)
	require.Contains(t, actions, Action(ReplayResult{ID: 3}))
	require.Zero(t, countActions[Start](actions))
}
