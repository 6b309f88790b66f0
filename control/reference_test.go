package control_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"pewterline/control"
)

// stepInterval is the distance of the steps of a referenceHost.
const stepInterval = 20 * time.Millisecond

// neverRan are the outcomes which prove that a call never ran.
var neverRan = []control.Outcome{control.OutcomeRejected, control.OutcomeUnreachable, control.OutcomeAlreadyEnded}

// callOutcomes are how a call can end.
var callOutcomes = []control.Outcome{
	control.OutcomeOK, control.OutcomeError, control.OutcomeRejected, control.OutcomeTimeout,
	control.OutcomeUnreachable, control.OutcomeReset, control.OutcomeAlreadyEnded,
}

// phase is where a request of a referenceHost is.
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

// referenceRequest is what a referenceHost knows of a request.
type referenceRequest struct {
	event          control.RequestArrived
	arrivedAt      time.Duration
	due            time.Duration
	phase          phase
	answered       bool
	started        bool
	callMayHaveRun bool
	callTimeout    time.Duration // when the host abandons the call
}

// referenceKey is what a referenceHost knows of an idempotency key.
type referenceKey struct {
	retainedBy control.RequestID
	retained   bool
	expiresAt  time.Duration
	started    bool          // a request with this key was started
	arrivedAt  time.Duration // and reached the machine then
}

// referenceHost keeps its own account of every request and asserts the invariants after each step. It knows nothing of
// speeds: what ends, and how, is drawn. A change that drops a guard must fail here: the late answer, the repeat run
// again, the run after the grace, too many running requests, one call too many, the uncertain call repeated.
type referenceHost struct {
	t        *rapid.T
	settings control.Settings
	now      time.Duration
	requests map[control.RequestID]*referenceRequest
	lastID   control.RequestID
	keys     map[uint64]*referenceKey

	drainRequestedAt time.Duration
	stopAt           time.Duration

	readThisStep   map[uint64]control.RequestID // keyed requests
	callSeconds    []float64                    // call seconds in flight in each step, abandoned calls included
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

// key is what is known of a key; it is made when it is first asked for.
func (h *referenceHost) key(key uint64) *referenceKey {
	if h.keys[key] == nil {
		h.keys[key] = &referenceKey{}
	}
	return h.keys[key]
}

// arrive draws a request.
func (h *referenceHost) arrive() control.Event {
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
		req.due = h.now + time.Duration(rapid.IntRange(1, 5000).Draw(t, "patience"))*time.Millisecond
		req.event.Deadline = req.due
	}
	if h.class(req).Idempotency == control.IdempotentByKey {
		h.nameOriginal(req)
	}
	h.requests[event.ID] = req
	return req.event
}

// nameOriginal gives a keyed request a key of its class and the request that it repeats.
func (h *referenceHost) nameOriginal(req *referenceRequest) {
	req.event.SubjectKey += 100 * uint64(req.event.Class)
	if key := h.key(req.event.SubjectKey); key.retained && req.arrivedAt < key.expiresAt {
		req.event.Original = key.retainedBy
	}
	// Attempts that are read in one step see each other even before their key is retained.
	if id, ok := h.readThisStep[req.event.SubjectKey]; ok {
		req.event.Original = id
	}
	h.readThisStep[req.event.SubjectKey] = req.event.ID
}

// progress draws one event for a request, legal in its phase; nil if nothing happens.
func (h *referenceHost) progress(id control.RequestID, req *referenceRequest) control.Event {
	switch req.phase {
	case phaseRunning:
		return h.progressRun(id, req)
	case phaseCalling:
		return h.progressCall(id, req)
	case phaseAwaitingCall:
		if req.answered {
			req.phase = phaseEnded
			return control.RequestFinished{ID: id, Outcome: control.OutcomeCancelled}
		}
	case phaseReplaying:
		req.phase, req.answered = phaseEnded, true
		return control.RequestFinished{ID: id, Outcome: control.OutcomeOK}
	case phaseQueued:
		if rapid.IntRange(0, 9).Draw(h.t, "leaves") == 0 {
			req.phase, req.answered = phaseEnded, true
			return control.RequestCancelled{ID: id}
		}
	case phaseEnded:
	}
	return nil
}

// progressRun brings a run to a call or to its end.
func (h *referenceHost) progressRun(id control.RequestID, req *referenceRequest) control.Event {
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

// progressCall may end a call.
func (h *referenceHost) progressCall(id control.RequestID, req *referenceRequest) control.Event {
	if h.now < req.callTimeout && rapid.IntRange(0, 3).Draw(h.t, "call goes on") > 0 {
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

// events draws what happens to the requests until this step.
func (h *referenceHost) events() (events []control.Event) {
	for id := control.RequestID(1); id <= h.lastID; id++ {
		req := h.requests[id]
		if req.phase == phaseCalling && h.now >= req.callTimeout {
			req.phase, req.callMayHaveRun = phaseAwaitingCall, true
			h.abandonedUntil = append(h.abandonedUntil, h.now+h.settings.AbandonedCallTime)
			events = append(events, control.CallFinished{ID: id, Outcome: control.OutcomeTimeout})
		} else if req.phase != phaseEnded && rapid.IntRange(0, 7).Draw(h.t, "happens") == 0 {
			if event := h.progress(id, req); event != nil {
				events = append(events, event)
			}
		}
	}
	h.readThisStep = map[uint64]control.RequestID{}
	for range rapid.IntRange(0, 5).Draw(h.t, "arrivals") {
		events = append(events, h.arrive())
	}
	if h.drainRequestedAt == 0 && rapid.IntRange(0, 99).Draw(h.t, "drain") == 0 {
		h.drainRequestedAt, h.stopAt = h.now, h.now+4*time.Second
		events = append(events, control.DrainRequested{StopAt: h.stopAt})
	}
	return events
}

// request is the request that an action names.
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
		h.failf("start of %d after the grace", action.ID)
	}
	if class := h.class(req); class.Idempotency == control.IdempotentByKey {
		key := h.key(req.event.SubjectKey)
		if key.retainedBy != action.ID || !key.retained || key.expiresAt < req.arrivedAt+class.RetentionWindow {
			h.failf("keyed %d starts without a key for its window", action.ID)
		}
		if key.started && req.arrivedAt < key.arrivedAt+class.RetentionWindow {
			h.failf("second run of an effect by %d", action.ID)
		}
		key.started, key.arrivedAt = true, req.arrivedAt
	}
	req.phase, req.started = phaseRunning, true
}

func (h *referenceHost) reject(action control.Reject) {
	req := h.request(action.ID)
	if req.answered || req.started || req.phase == phaseEnded || req.phase == phaseReplaying {
		h.failf("rejection of %d while %s: answered %v, started %v", action.ID, req.phase, req.answered, req.started)
	}
	req.phase, req.answered = phaseEnded, true
}

func (h *referenceHost) fail(action control.Fail) {
	req := h.request(action.ID)
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
		h.failf("preemption of %d", action.ID)
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
		h.failf("key of %d released though it was started", action.ID)
	}
	if key := h.key(req.event.SubjectKey); key.retainedBy == action.ID {
		key.retained = false
	}
}

func (h *referenceHost) replayResult(action control.ReplayResult) {
	req := h.request(action.ID)
	if req.event.Original == 0 || req.phase != phaseQueued {
		h.failf("replay by %d while %s", action.ID, req.phase)
	}
	req.phase = phaseReplaying
}

// check asserts the invariants on memory, running requests, calls and answers due, after the actions of a step that
// came sinceLast after the one before.
func (h *referenceHost) check(sinceLast time.Duration) {
	h.checkAnswers(sinceLast)
	h.checkMemory()
	h.checkConcurrency()
	h.checkCalls()
}

func (h *referenceHost) checkAnswers(sinceLast time.Duration) {
	for id, req := range h.requests {
		if req.answered {
			continue
		}
		latest := max(req.due, req.arrivedAt) + h.settings.AnswerGrace
		if h.now > latest && sinceLast < h.settings.AnswerGrace {
			h.failf("no answer to %d, due at %v", id, req.due)
		}
		if h.isLastStep() {
			h.failf("no answer to %d at the stop", id)
		}
	}
}

// isLastStep reports whether the process is stopped before a further step is sure to come.
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
		h.failf("%.0f kB of %.0f", usedKB, h.settings.MemoryKB)
	}
}

// count is how many requests are in a phase.
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
		h.failf("%d running requests, %.1f survive", running, ceiling)
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
		h.failf("%.2f call seconds in a window, the share is %.2f calls", inWindow, share)
	}
	if float64(calls) > max(1, share) {
		h.failf("%d calls in flight of %.1f", calls, share)
	}
}
