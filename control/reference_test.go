package control_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"pewterline/control"
)

// stepInterval is the time between the steps of a referenceHost.
const stepInterval = 20 * time.Millisecond

// neverRan are the outcomes which prove that a call never ran.
var neverRan = []control.Outcome{control.OutcomeRejected, control.OutcomeUnreachable, control.OutcomeAlreadyEnded}

// callOutcomes are the possible outcomes of a call.
var callOutcomes = []control.Outcome{
	control.OutcomeOK, control.OutcomeError, control.OutcomeRejected, control.OutcomeTimeout,
	control.OutcomeUnreachable, control.OutcomeReset, control.OutcomeAlreadyEnded,
}

// phase is the stage of a request in a referenceHost.
type phase uint8

const (
	phaseQueued phase = iota
	phaseRunning
	phaseAwaitingCall
	phaseCalling
	phaseReplaying
	phaseEnded
)

// String returns the phase in words.
func (p phase) String() string {
	return [...]string{"queued", "running", "awaiting a call", "calling", "replaying", "ended"}[p]
}

// referenceRequest is the record that a referenceHost keeps of a request.
type referenceRequest struct {
	event          control.RequestArrived
	arrivedAt      time.Duration
	due            time.Duration
	phase          phase
	answered       bool
	started        bool
	cancelled      bool // in the step in which it was read: answers to it are dropped
	callMayHaveRun bool
	callTimeout    time.Duration // clock time at which the host abandons the call
}

// referenceKey is the record that a referenceHost keeps of an idempotency key.
type referenceKey struct {
	retainedBy control.RequestID
	retained   bool
	expiresAt  time.Duration
	started    bool          // a request with this key was started
	arrivedAt  time.Duration // when that request reached the machine
}

// referenceHost is a model of the host. It keeps its own record of every request and asserts the invariants on each
// action and after each step. It has no model of the machine's speed: which runs and calls end, and with which outcome,
// is drawn. It must fail if a change of the controller permits an answer that is too late, a second run for a repeat, a
// start after the grace of a drain, too many running requests, too many calls, or a second call after one that may have
// taken effect.
type referenceHost struct {
	t        *rapid.T
	settings control.Settings
	now      time.Duration
	requests map[control.RequestID]*referenceRequest
	lastID   control.RequestID
	keys     map[uint64]*referenceKey

	drainRequestedAt time.Duration
	stopAt           time.Duration

	readThisStep   map[uint64][]control.RequestID // keyed requests, ended ones included
	callSeconds    []float64                      // call seconds in flight in each step, abandoned calls included
	abandonedUntil []time.Duration
}

func newReferenceHost(t *rapid.T, settings control.Settings) *referenceHost {
	return &referenceHost{
		t: t, settings: settings,
		requests: map[control.RequestID]*referenceRequest{},
		keys:     map[uint64]*referenceKey{},
	}
}

func (h *referenceHost) failf(format string, args ...any) {
	h.t.Fatalf("at %v: "+format, append([]any{h.now}, args...)...)
}

func (h *referenceHost) class(req *referenceRequest) control.Class {
	return h.settings.Classes[req.event.Class]
}

// key returns the record of a key, which is created at its first use.
func (h *referenceHost) key(key uint64) *referenceKey {
	if h.keys[key] == nil {
		h.keys[key] = &referenceKey{}
	}
	return h.keys[key]
}

// drawArrival draws an arriving request.
func (h *referenceHost) drawArrival() control.Event {
	t := h.t
	h.lastID++
	event := control.RequestArrived{
		ID:         h.lastID,
		Class:      rapid.IntRange(0, len(h.settings.Classes)-1).Draw(t, "class"),
		Tenant:     1,
		Age:        time.Duration(rapid.IntRange(0, 900).Draw(t, "age")) * time.Millisecond,
		QueuedKB:   rapid.Float64Range(1, 60).Draw(t, "queued kB"),
		SubjectKey: uint64(rapid.IntRange(1, 5).Draw(t, "key")),
		Caller:     uint32(rapid.IntRange(0, 900).Draw(t, "caller")),
	}
	req := &referenceRequest{event: event, arrivedAt: h.now - event.Age}
	req.due = req.arrivedAt + h.settings.Classes[event.Class].Deadline
	if h.settings.DeadlinePropagated {
		req.due = h.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "time to deadline"))*time.Millisecond
		req.event.Deadline = req.due
	}
	if h.class(req).Idempotency == control.IdempotentByKey {
		h.assignKey(req)
	}
	h.requests[event.ID] = req
	return req.event
}

// assignKey gives a keyed request a key of its class. If it is a repeat, its original is the attempt that retains the
// key or any attempt that was read earlier in this step: a host learns only after the step which of them retains the
// key, and whether they have ended.
func (h *referenceHost) assignKey(req *referenceRequest) {
	req.event.SubjectKey += 100 * uint64(req.event.Class)
	originals := slices.Clone(h.readThisStep[req.event.SubjectKey])
	if key := h.key(req.event.SubjectKey); key.retained && req.arrivedAt < key.expiresAt {
		originals = append(originals, key.retainedBy)
	}
	if len(originals) > 0 {
		req.event.Original = rapid.SampledFrom(originals).Draw(h.t, "original")
	}
	h.readThisStep[req.event.SubjectKey] = append(h.readThisStep[req.event.SubjectKey], req.event.ID)
}

// drawCancellation cancels the request that was read last, in the same step, or returns nil.
func (h *referenceHost) drawCancellation() control.Event {
	if rapid.IntRange(0, 9).Draw(h.t, "caller cancels at once") > 0 {
		return nil
	}
	id := h.lastID
	req := h.requests[id]
	req.phase, req.answered, req.cancelled = phaseEnded, true, true
	return control.RequestCancelled{ID: id}
}

// drawEvent draws one event that is possible in the request's phase; nil if there is none.
func (h *referenceHost) drawEvent(id control.RequestID, req *referenceRequest) control.Event {
	switch req.phase {
	case phaseRunning:
		return h.drawRunEvent(id, req)
	case phaseCalling:
		return h.drawCallEvent(id, req)
	case phaseAwaitingCall:
		if req.answered {
			req.phase = phaseEnded
			return control.RequestFinished{ID: id, Outcome: control.OutcomeCancelled}
		}
	case phaseReplaying:
		req.phase, req.answered = phaseEnded, true
		return control.RequestFinished{ID: id, Outcome: control.OutcomeOK}
	case phaseQueued:
		if rapid.IntRange(0, 9).Draw(h.t, "caller cancels") == 0 {
			req.phase, req.answered = phaseEnded, true
			return control.RequestCancelled{ID: id}
		}
	case phaseEnded:
	}
	return nil
}

// drawRunEvent ends a run or makes it need a call.
func (h *referenceHost) drawRunEvent(id control.RequestID, req *referenceRequest) control.Event {
	if h.class(req).MakesCalls && rapid.Bool().Draw(h.t, "needs a call") {
		req.phase = phaseAwaitingCall
		if req.answered {
			req.phase = phaseEnded
			return control.RequestFinished{ID: id, Outcome: control.OutcomeCancelled}
		}
		return control.CallNeeded{ID: id}
	}
	req.phase = phaseEnded
	outcome := control.Outcome(rapid.IntRange(0, 1).Draw(h.t, "outcome"))
	req.answered = true
	return control.RequestFinished{ID: id, Outcome: outcome}
}

// drawCallEvent ends a call or returns nil.
func (h *referenceHost) drawCallEvent(id control.RequestID, req *referenceRequest) control.Event {
	if h.now < req.callTimeout && rapid.IntRange(0, 3).Draw(h.t, "call continues") > 0 {
		return nil
	}
	outcome := rapid.SampledFrom(callOutcomes).Draw(h.t, "call outcome")
	req.phase = phaseRunning
	if outcome != control.OutcomeOK {
		req.phase = phaseAwaitingCall
		req.callMayHaveRun = req.callMayHaveRun || !slices.Contains(neverRan, outcome)
	}
	return control.CallFinished{ID: id, Outcome: outcome, Took: 100 * time.Millisecond}
}

// drawEvents draws the events since the last step: those of open requests, arrivals and a drain.
func (h *referenceHost) drawEvents() (events []control.Event) {
	for id := control.RequestID(1); id <= h.lastID; id++ {
		req := h.requests[id]
		if req.phase == phaseCalling && h.now >= req.callTimeout {
			req.phase, req.callMayHaveRun = phaseAwaitingCall, true
			h.abandonedUntil = append(h.abandonedUntil, h.now+h.settings.AbandonedCallTime)
			events = append(events, control.CallFinished{ID: id, Outcome: control.OutcomeTimeout})
		} else if req.phase != phaseEnded && rapid.IntRange(0, 7).Draw(h.t, "has event") == 0 {
			if event := h.drawEvent(id, req); event != nil {
				events = append(events, event)
			}
		}
	}
	h.readThisStep = map[uint64][]control.RequestID{}
	for range rapid.IntRange(0, 5).Draw(h.t, "arrivals") {
		events = append(events, h.drawArrival())
		if event := h.drawCancellation(); event != nil {
			events = append(events, event)
		}
	}
	if h.drainRequestedAt == 0 && rapid.IntRange(0, 99).Draw(h.t, "drain") == 0 {
		h.drainRequestedAt, h.stopAt = h.now, h.now+4*time.Second
		events = append(events, control.DrainRequested{StopAt: h.stopAt})
	}
	return events
}

// request returns the request that an action names.
func (h *referenceHost) request(id control.RequestID) *referenceRequest {
	req := h.requests[id]
	if req == nil {
		h.failf("action on unknown request %d", id)
	}
	return req
}

// carryOut carries out an action and asserts that it is allowed.
func (h *referenceHost) carryOut(action control.Action) {
	switch action := action.(type) {
	case control.Start:
		h.start(action)
	case control.Reject:
		h.reject(action)
	case control.Fail:
		h.fail(action)
	case control.Preempt:
		h.preempt(action)
	case control.Call:
		h.call(action)
	case control.RetainKey:
		key := h.key(h.request(action.ID).event.SubjectKey)
		key.retained, key.retainedBy, key.expiresAt = true, action.ID, h.now+action.TTL
	case control.ReleaseKey:
		h.releaseKey(action)
	case control.ReplayResult:
		h.replayResult(action)
	}
}

func (h *referenceHost) start(action control.Start) {
	req := h.request(action.ID)
	if req.phase != phaseQueued || req.started {
		h.failf("start of %d while %s, started %v", action.ID, req.phase, req.started)
	}
	if h.drainRequestedAt > 0 && req.arrivedAt > h.drainRequestedAt+h.settings.DrainGrace {
		h.failf("start of %d after the drain grace", action.ID)
	}
	if class := h.class(req); class.Idempotency == control.IdempotentByKey {
		key := h.key(req.event.SubjectKey)
		if key.retainedBy != action.ID || !key.retained || key.expiresAt < req.arrivedAt+class.RetentionWindow {
			h.failf("start of keyed request %d without a key for its retention window", action.ID)
		}
		if h.hasRunWithin(key, req) {
			h.failf("start of %d causes an effect a second time", action.ID)
		}
		key.started, key.arrivedAt = true, req.arrivedAt
	}
	req.phase, req.started = phaseRunning, true
}

// hasRunWithin reports whether a request was started with the key, in whose retention window req has arrived.
func (h *referenceHost) hasRunWithin(key *referenceKey, req *referenceRequest) bool {
	return key.started && req.arrivedAt < key.arrivedAt+h.class(req).RetentionWindow
}

func (h *referenceHost) reject(action control.Reject) {
	req := h.request(action.ID)
	if req.cancelled {
		return
	}
	if req.answered || req.started || req.phase == phaseEnded || req.phase == phaseReplaying {
		h.failf("rejection of %d while %s: answered %v, started %v", action.ID, req.phase, req.answered, req.started)
	}
	keyed := h.class(req).Idempotency == control.IdempotentByKey
	if keyed && h.hasRunWithin(h.key(req.event.SubjectKey), req) {
		h.failf("rejection of %d after a run with its key", action.ID)
	}
	req.phase, req.answered = phaseEnded, true
}

func (h *referenceHost) fail(action control.Fail) {
	req := h.request(action.ID)
	if req.cancelled {
		return
	}
	if req.answered {
		h.failf("second answer to %d", action.ID)
	}
	req.answered = true
	if req.phase == phaseQueued || req.phase == phaseReplaying {
		req.phase = phaseEnded
	}
}

func (h *referenceHost) preempt(action control.Preempt) {
	req := h.request(action.ID)
	if h.settings.Preemption == control.PreemptNever || !req.answered {
		h.failf("preemption of %d not allowed", action.ID)
	}
	if req.phase == phaseRunning {
		req.phase = phaseEnded
	}
}

func (h *referenceHost) call(action control.Call) {
	req := h.request(action.ID)
	if req.callMayHaveRun && h.class(req).Idempotency != control.Idempotent {
		h.failf("call of %d repeated though it may have taken effect", action.ID)
	}
	req.phase, req.callTimeout = phaseCalling, h.now+action.Timeout
}

func (h *referenceHost) releaseKey(action control.ReleaseKey) {
	req := h.request(action.ID)
	if req.started {
		h.failf("key of %d released though the request was started", action.ID)
	}
	if key := h.key(req.event.SubjectKey); key.retainedBy == action.ID {
		key.retained = false
	}
}

func (h *referenceHost) replayResult(action control.ReplayResult) {
	req := h.request(action.ID)
	if req.cancelled {
		return
	}
	if req.event.Original == 0 || req.phase != phaseQueued {
		h.failf("replay by %d while %s", action.ID, req.phase)
	}
	req.phase = phaseReplaying
}

// check asserts the invariants on answers, memory, running requests and calls after the actions of a step. elapsed is
// the time since the previous step.
func (h *referenceHost) check(elapsed time.Duration) {
	h.checkAnswers(elapsed)
	h.checkMemory()
	h.checkConcurrency()
	h.checkCalls()
}

func (h *referenceHost) checkAnswers(elapsed time.Duration) {
	for id, req := range h.requests {
		if req.answered {
			continue
		}
		latest := max(req.due, req.arrivedAt) + h.settings.AnswerGrace
		if h.now > latest && elapsed < h.settings.AnswerGrace {
			h.failf("no answer to %d, due at %v", id, req.due)
		}
		if h.isLastStep() {
			h.failf("no answer to %d before the process is stopped", id)
		}
	}
}

// isLastStep reports whether the process may be stopped before the next step.
func (h *referenceHost) isLastStep() bool { return h.stopAt > 0 && h.now+2*stepInterval >= h.stopAt }

func (h *referenceHost) checkMemory() {
	usedKB := 0.0
	for _, req := range h.requests {
		switch req.phase {
		case phaseQueued, phaseReplaying:
			usedKB += req.event.QueuedKB
		case phaseRunning, phaseAwaitingCall, phaseCalling:
			usedKB += req.event.QueuedKB * h.settings.RunningMemoryFactor
		case phaseEnded:
		}
	}
	for _, key := range h.keys {
		if key.retained && h.now < key.expiresAt {
			usedKB += h.settings.KeyKB
		}
	}
	if usedKB > h.settings.MemoryKB {
		h.failf("%.0f kB of memory used, the limit is %.0f kB", usedKB, h.settings.MemoryKB)
	}
}

// count returns how many requests are in a phase.
func (h *referenceHost) count(phase phase) (count int) {
	for _, req := range h.requests {
		if req.phase == phase {
			count++
		}
	}
	return count
}

func (h *referenceHost) checkConcurrency() {
	speed := 1.0
	if h.settings.ColdStart {
		speed = min(1, 0.2+0.8*h.now.Seconds()/10)
	}
	running := h.count(phaseRunning)
	ceiling := float64(h.settings.Cores) * (1 + (h.settings.MaxConcurrencyPerCore-1)*speed)
	if float64(running) > ceiling {
		h.failf("%d running requests, the server survives %.1f", running, ceiling)
	}
}

func (h *referenceHost) checkCalls() {
	calls, share := h.count(phaseCalling), h.settings.CallConcurrencyShare
	h.abandonedUntil = slices.DeleteFunc(h.abandonedUntil, func(until time.Duration) bool { return until <= h.now })
	h.callSeconds = append(h.callSeconds, float64(calls+len(h.abandonedUntil))*stepInterval.Seconds())
	if h.settings.Dependency != control.DependencyShared {
		return
	}
	steps := int(h.settings.CallConcurrencyWindow / stepInterval)
	inWindow := 0.0
	for _, callSeconds := range h.callSeconds[max(0, len(h.callSeconds)-steps):] {
		inWindow += callSeconds
	}
	if inWindow > share*h.settings.CallConcurrencyWindow.Seconds() {
		h.failf("%.2f call seconds in a window, the share is %.2f calls in flight", inWindow, share)
	}
	if float64(calls) > max(1, share) {
		h.failf("%d calls in flight, the share is %.1f", calls, share)
	}
}
