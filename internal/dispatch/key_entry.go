package dispatch

import (
	"cmp"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
)

// IdempotencyKey identifies a request across all its attempts. The same text from another tenant identifies another
// request.
type IdempotencyKey struct {
	tenant int
	text   string
}

// compareKeys orders keys by tenant and text.
func compareKeys(a, b IdempotencyKey) int {
	return cmp.Or(cmp.Compare(a.tenant, b.tenant), cmp.Compare(a.text, b.text))
}

// runState is the progress of the run of a key. A key runs once within its retention window.
type runState uint8

const (
	// runNone means that no run was started, or that the run is proven not to have taken place.
	runNone runState = iota
	// runActive means that the run was started and has not ended.
	runActive
	// runRecording means that the run succeeded and its result is being written to the execution store.
	runRecording
	// runUnrecorded means that the run succeeded and its result could not be written. A repeat makes the core write it
	// again.
	runUnrecorded
	// runFinished means that the run ended with the outcome and the result of the entry.
	runFinished
)

// keyEntry is the state of one request with an idempotency key.
type keyEntry struct {
	key      IdempotencyKey
	class    int
	bodyHash uint64            // all attempts have the same body
	original control.RequestID // the attempt that the decision module knows as the original
	expires  microtime.Time    // the end of the retention that the decision module has requested
	retained bool              // the decision module has retained the key; false: the entry lasts for this turn only
	// external means that the run is known only from the execution store or the peer process: an earlier process of this
	// server, its peer or another server runs the key, ran it or may run it. The decision module has not seen the run.
	external bool

	run                runState
	ranBy              control.RequestID // the attempt that ran
	arrivedAt          microtime.Time    // when that attempt arrived
	arrivedAtUnixMilli int64             // arrivedAt as the caller stated it, in Unix milliseconds
	outcome            RunOutcome        // of runFinished
	result             []byte            // from runRecording on
	waiters            []*request        // attempts that are answered when the run ends

	peerState   handoff.State // Requested, Remote or Indeterminate if the peer process may run the key; else Free
	peerWaiting bool          // the peer process waits for the end of the run
	// claimPending means that this process has claimed the key from the peer process, which has not answered yet.
	claimPending bool
}

// claim marks the key as run by req. It returns false if another attempt runs or has run, or if the peer process may
// run the key.
func (e *keyEntry) claim(req *request) bool {
	if e.peerState != handoff.Free {
		return false
	}
	if e.run == runNone {
		e.run = runActive
	} else if e.ranBy != req.id {
		return false
	}
	e.ranBy = req.id
	e.arrivedAt = req.ArrivedAt
	e.arrivedAtUnixMilli = req.ArrivedAtUnixMilli
	return true
}

// unfinished reports whether the key has a run that has not ended, or whose result is not recorded yet.
func (e *keyEntry) unfinished() bool { return e.run != runNone && e.run != runFinished }

// finish records how the run of the key ended.
func (e *keyEntry) finish(outcome RunOutcome, result []byte) {
	e.run = runFinished
	e.outcome = outcome
	e.result = result
}

// moveWindow makes the retention window count from the arrival of attempt, which runs in place of replaced.
func (e *keyEntry) moveWindow(replaced, attempt *request) {
	e.expires += max(attempt.ArrivedAt-replaced.ArrivedAt, 0)
	if attempt.ArrivedAt > e.arrivedAt {
		e.arrivedAt = attempt.ArrivedAt
		e.arrivedAtUnixMilli = attempt.ArrivedAtUnixMilli
	}
}

func (e *keyEntry) removeWaiter(req *request) {
	e.waiters = slices.DeleteFunc(e.waiters, func(waiter *request) bool { return waiter == req })
}

// response returns the response to an attempt of a key whose run has finished, or of which it is not known whether it
// ran.
func (e *keyEntry) response() Response {
	if e.run != runFinished {
		return failed(reasonIndeterminate)
	}
	if e.outcome == RunSucceeded {
		return succeeded(e.result)
	}
	return failed(reasonRunFailed)
}

// keyedRequest describes the attempt that ran to the execution store and to the peer process.
func (e *keyEntry) keyedRequest() KeyedRequest {
	return KeyedRequest{
		Class: e.class, Tenant: e.key.tenant, IdempotencyKey: e.key.text,
		ArrivedAt: e.arrivedAt, ArrivedAtUnixMilli: e.arrivedAtUnixMilli, Result: e.result,
	}
}
