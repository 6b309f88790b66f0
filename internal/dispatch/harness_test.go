package dispatch

import (
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
)

// harness is a core with a fake backend and a fake execution store.
type harness struct {
	t        testingT
	core     *Core
	now      microtime.Time
	attempts int

	started []string
	onStart func(runID string) // called at each start; may be nil

	lookupEnabled   bool // Lookup returns true, as if it asked other servers
	lookupDone      []func(LeaseResult)
	immediateLookup *LeaseResult // the answer that the store gives before Lookup returns
	acquired        []KeyedRequest
	acquireDone     []func(LeaseResult)
	delayAcquire    bool // the store answers Acquire only when the test calls acquireDone
	recorded        []KeyedRequest
	recordDone      []func(error)
	releasedLeases  []string
	failedKeys      []string
}

func (h *harness) Start(run Run) {
	h.started = append(h.started, run.ID)
	if h.onStart != nil {
		h.onStart(run.ID)
	}
}

func (h *harness) Cancel(string)  {}
func (h *harness) RequestGauges() {}

func (h *harness) Lookup(_ KeyedRequest, done func(LeaseResult)) bool {
	switch {
	case h.immediateLookup != nil:
		done(*h.immediateLookup)
	case h.lookupEnabled:
		h.lookupDone = append(h.lookupDone, done)
	}
	return h.lookupEnabled
}

func (h *harness) Acquire(request KeyedRequest, done func(LeaseResult)) {
	h.acquired = append(h.acquired, request)
	if h.delayAcquire {
		h.acquireDone = append(h.acquireDone, done)
		return
	}
	done(LeaseResult{})
}

func (h *harness) ReleaseLease(request KeyedRequest) {
	h.releasedLeases = append(h.releasedLeases, request.IdempotencyKey)
}

func (h *harness) RecordFailure(request KeyedRequest) {
	h.failedKeys = append(h.failedKeys, request.IdempotencyKey)
}

func (h *harness) RecordResult(request KeyedRequest, done func(error)) {
	h.recorded = append(h.recorded, request)
	h.recordDone = append(h.recordDone, done)
}

// testingT is the part of testing.T and rapid.T that a harness uses.
type testingT interface {
	require.TestingT
	Helper()
	Logf(format string, args ...any)
}

func newHarness(t testingT) *harness {
	h := &harness{t: t, now: 100 * microtime.Second}
	settings := control.Settings{Cores: 2, MaxRetryAfter: time.Second, Classes: []control.Class{
		{Name: "view", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{Name: "intake", LatencyObjective: time.Second, Deadline: 4 * time.Second, Weight: 10,
			Idempotency: control.IdempotentByKey, RetentionWindow: 13 * time.Second},
	}}
	var err error
	h.core, err = New(Config{Settings: settings, Backend: h, Logf: t.Logf})
	require.NoError(t, err)
	return h
}

// recordingResponder records the responses to a request.
type recordingResponder struct{ responses []Response }

func (r *recordingResponder) Respond(response Response) { r.responses = append(r.responses, response) }

// submitKeyed submits one attempt of a keyed request and ends the turn.
func (h *harness) submitKeyed(key string) (response *recordingResponder, runID string) {
	h.t.Helper()
	h.attempts++
	response, runID = &recordingResponder{}, string(rune('a'+h.attempts))
	_, err := h.core.Submit(h.now, Request{
		RunID: runID, Class: 1, IdempotencyKey: key, ArrivedAt: h.now, QueuedKB: 1, Responder: response,
	})
	require.NoError(h.t, err)
	h.endTurn()
	return response, runID
}

func (h *harness) endTurn() {
	for range 3 {
		h.core.Step(h.now)
	}
}
