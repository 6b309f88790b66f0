// Package dispatch is the core of the program. It knows no wire: fronts hand it requests, runners tell it of
// runs, and it turns both into events of the decision module and the module's actions into calls on small
// interfaces. It keeps the table of requests, the once-keys with their results, the due times and the health.
//
// Everything here runs on the event loop; nothing is safe for concurrent use.
package dispatch

import (
	"fmt"
	"slices"

	"pewterline/control"
	"pewterline/internal/decide/handoff"
	"pewterline/internal/microtime"
	"pewterline/internal/planted"
)

// Status is the kind of a final answer.
type Status uint8

// The kinds of answer.
const (
	StatusSucceeded Status = iota // Result holds what the run made
	StatusRejected                // this try never ran
	StatusFailed                  // an error, with no promise
	StatusExpired                 // failed because its due time has come
)

// Response is the one final answer to a request.
type Response struct {
	Status     Status
	Result     []byte
	RetryAfter microtime.Time // Refused: how long to stay away; 0 = no advice
	NoRetry    bool           // Refused: no other server should be tried
	Reason     string         // Failed, Expired
}

// Responder gives a request's answer to its caller. It is called at most once.
type Responder interface {
	Respond(Response)
}

// Request is one try of a request, as a front read it. The core keeps Body until the try is over.
type Request struct {
	RunID          string // names the try for the runner; unlike that of any other open try
	Class          int
	Tenant         int
	IdempotencyKey string // keyed classes: the same for all tries of one request
	SubjectKey     uint64 // its subject; 0 = none
	ArrivedAt      microtime.Time
	// AtMilli is At as the caller gave it, in Unix milliseconds; 0: it gave none. Servers whose clocks differ agree on it.
	ArrivedAtUnixMilli int64
	CostHint           microtime.Time // the work to expect, on one core; rough; 0 = not told
	QueuedKB           float64
	Rank               float64
	Retry              bool
	CallerID           uint32
	Body               []byte
	Responder          Responder
}

// Run is what a runner needs to start a try.
type Run struct {
	ID         string
	Class      string
	Body       []byte
	AtMostOnce bool           // it must not be run twice: of a keyed class, or of one whose requests run once
	Deadline   microtime.Time // by then nobody waits for its end any more
	// Request is what it came from, for runners that pass it on. It is not to be changed.
	Request *Request
}

// Backend does the work. Each Start is followed by one Core.Finished, whatever happens to the runner's links.
type Backend interface {
	Start(Run)
	Cancel(id string) // of a run whose answer is no longer wanted
	RequestGauges()   // asks for the gauges, which come by Core.SetGauges
}

// RunOutcome says how a run ended.
type RunOutcome uint8

// The ends of a run.
const (
	RunSucceeded     RunOutcome = iota
	RunFailed                   // failed, possibly after taking effect
	RunCancelled                // stopped, its work is lost
	RunNotStarted               // nothing was started: its caller had left already
	RunUnsupported              // nothing was started: the runner does not take it
	RunRejected                 // nothing was started: it was turned away; see Declined
	RunIndeterminate            // whether it ran is not known; the runner sees to it that it does not run twice
)

type state uint8

const (
	held    state = iota // not started
	running              // started, and its run has not ended
	blocked              // its run waits for leave to make a call
	calling              // its run waits for the reply to a call that is in hand
	joined               // waits for the run of another try
)

// started says that a run was launched for the request and has not ended.
func (s state) started() bool { return s == running || s == blocked || s == calling }

type request struct {
	Request
	id       control.RequestID
	read     microtime.Time
	after    microtime.Time // of a runner's refusal
	last     bool
	state    state
	answered bool // its caller has the answer, or has left
	saving   bool // its run has ended, and the result is on its way to the store of record
	key      *keyEntry
	call     *call // while blocked or calling
}

// Core carries requests between fronts, the decision module and a runner.
type Core struct {
	settings control.Settings
	ctl      *control.Controller
	runner   Backend
	callee   Downstream     // nil: runs make no calls
	recorder ExecutionStore // nil: results are kept in memory only
	logf     func(format string, args ...any)
	begun    bool
	learned  *control.LearnedState // by a predecessor; nil: there was none
	now      microtime.Time

	lastID  control.RequestID
	live    map[control.RequestID]*request
	runs    map[string]*request // by RunID, until the try is over
	keys    keyTable
	open    int // requests that are owed an answer
	events  []control.Event
	ready   []due       // to be answered in the next step, without the module
	other   PeerProcess // nil: this process is alone
	role    handoff.Role
	parked  []*request // wait for the other process, oldest first
	wakes   []wake
	gauges  control.Gauges
	figures []*Counters // by class; those of one name are the same
	byName  map[string]*Counters
	drained bool
	drainAt microtime.Time

	good      bool
	badSince  microtime.Time // where it is not good
	say       float64
	saying    bool
	idleAfter microtime.Time
}

type wake struct {
	at   microtime.Time
	mark uint64
}

// New returns a core around a fresh decision module.
func New(s control.Settings, runner Backend, logf func(string, ...any)) (*Core, error) {
	if err := checkCalls(s, runner); err != nil {
		return nil, err
	}
	// A trial, so that settings that make no sense stop the start; the one in use is made at Begin.
	if _, err := control.New(s); err != nil {
		return nil, fmt.Errorf("routing: settings: %w", err)
	}
	c := &Core{
		settings: s, runner: runner, logf: logf, good: true,
		live: map[control.RequestID]*request{}, runs: map[string]*request{}, keys: newKeyTable(),
		gauges: control.Gauges{CPUUtilization: -1, Runnable: -1, Memory: -1, Connections: -1},
		byName: map[string]*Counters{},
	}
	c.tally()
	return c, nil
}

// Start starts the decision module, whose machine has been up for age; cold says that it started cold. Only
// the first call counts. The module dates the machine's start by its first step, so that step is dated back.
func (c *Core) Start(now, age microtime.Time, cold bool) {
	if c.begun {
		return
	}
	s := c.settings
	s.ColdStart = s.ColdStart || cold
	ctl, err := control.New(s)
	if err != nil { // New has tried the same settings
		panic(fmt.Sprintf("routing: settings: %v", err))
	}
	c.begun, c.ctl = true, ctl
	if c.learned != nil {
		ctl.RestoreLearned(*c.learned)
		// A predecessor that has said nothing yet has learned 0, which an allowance would take for "send nothing".
		c.say, c.saying = c.learned.LoadSignal, s.LoadSignal != control.LoadSignalNone && c.learned.LoadSignal > 0
	}
	born := max(now-age, 0)
	c.carryOut(now, c.ctl.Step(born.Duration(), nil))
	for i := range c.wakes { // the tick that the dated step asked for is due from now on
		c.wakes[i].at = max(c.wakes[i].at, now)
	}
}

// doubtMost is how long the module may take its machine for sick before callers hear of it.
const doubtMost = 250 * microtime.Millisecond

// Healthy is the answer to health checks and reports. Guards the server list against a doubt of a moment: callers
// see a change a second or two late, and would stay away for as long. The notice to leave is told at once.
func (c *Core) Healthy() bool { return c.good || !c.drained && c.now < c.badSince+doubtMost }

// AdvertisedValue is the free value; false while none was set.
func (c *Core) AdvertisedValue() (float64, bool) { return c.say, c.saying }

// IdleTimeout is how long an idle connection may stay; 0 = no wish.
func (c *Core) IdleTimeout() microtime.Time { return c.idleAfter }

// OpenRequests counts the requests that are owed an answer.
func (c *Core) OpenRequests() int { return c.open }

// SetGauges notes the runner's latest readings.
func (c *Core) SetGauges(g control.Gauges) { c.gauges = g }

// Submit takes a request that a front has read. The returned ID is for GiveUp; the answer comes by Reply,
// never before Submit returns.
func (c *Core) Submit(now microtime.Time, r Request) (control.RequestID, error) {
	switch {
	case r.Class < 0 || r.Class >= len(c.settings.Classes):
		return 0, fmt.Errorf("class: none of that number")
	case c.runs[r.RunID] != nil:
		return 0, fmt.Errorf("id: %q is open already", r.RunID)
	case !(r.QueuedKB > 0 && r.QueuedKB < 2000): // also false for what is no number
		return 0, fmt.Errorf("kb: %v is not within 0 to 2000", r.QueuedKB)
	case !(r.Rank >= 0 && r.Rank < 1):
		return 0, fmt.Errorf("rank: %v is not within 0 to 1", r.Rank)
	}
	keyed := c.settings.Classes[r.Class].Idempotency == control.IdempotentByKey
	if keyed && r.IdempotencyKey == "" {
		return 0, fmt.Errorf("once: missing in a keyed class")
	}
	if err := c.keys.check(&r, c.settings.Classes); err != nil {
		return 0, err
	}
	c.Start(now, 0, false)
	c.lastID++
	q := &request{Request: r, id: c.lastID, read: now}
	c.live[q.id], c.runs[r.RunID] = q, q
	c.open++
	if !keyed || !c.apart(q) && !c.find(q) {
		c.arrive(q)
	}
	return q.id, nil
}

// arrive hands a request to the module.
func (c *Core) arrive(q *request) {
	e := control.RequestArrived{
		ID: q.id, Class: q.Class, Tenant: q.Tenant, Key: q.SubjectKey, Age: max(c.now-q.ArrivedAt, q.read-q.ArrivedAt, 0).Duration(), CostHint: q.CostHint.Duration(),
		QueuedKB: q.QueuedKB, Rank: q.Rank, Retry: q.Retry, Caller: q.CallerID,
	}
	if c.settings.Classes[q.Class].Idempotency == control.IdempotentByKey {
		q.key, e.Original = c.keys.arrive(q)
		e.Key = 0
		if q.key.restored { // the module has not seen the run
			q.state = joined
			c.ready = append(c.ready, due{q, q.key.answer()})
			return
		}
	}
	c.events = append(c.events, e)
}

// Abandon says that the caller of a request has left: no answer is owed.
func (c *Core) Abandon(id control.RequestID) {
	r := c.live[id]
	if r == nil || r.answered {
		return
	}
	c.settle(r)
	c.events = append(c.events, control.RequestCancelled{ID: id})
	if !r.state.started() {
		c.forget(r)
	}
}

// Drain is the notice to leave, which came at a time up to now: the process is stopped at stop.
func (c *Core) Drain(now, at, stop microtime.Time) {
	if c.drained {
		return
	}
	c.Start(now, 0, false)
	c.drained, c.drainAt = true, at
	if !planted.Bug(planted.LateStart) {
		c.events = append(c.events, control.DrainRequested{StopAt: stop.Duration(), Age: (now - at).Duration()})
	}
}

// NextWakeup is when Step has something to do, whatever arrives before that.
func (c *Core) NextWakeup() microtime.Time {
	if len(c.events)+len(c.ready) > 0 {
		return c.now
	}
	due := microtime.Never
	for _, w := range c.wakes {
		due = min(due, w.at)
	}
	for _, r := range c.parked {
		due = min(due, c.parkedDue(r))
	}
	return due
}

// Step hands all that has come in since the last step to the decision module, and carries out its actions.
func (c *Core) Step(now microtime.Time) {
	c.now = now
	if !c.begun {
		return
	}
	for _, d := range c.ready {
		c.answer(d.r, d.a)
		c.forget(d.r)
	}
	c.ready = nil
	c.expireParked(now)
	c.tellFreed()
	ticked := false
	c.wakes = slices.DeleteFunc(c.wakes, func(w wake) bool {
		if w.at > now {
			return false
		}
		c.events = append(c.events, control.Tick{Token: w.mark, Gauges: c.gauges})
		ticked = true
		return true
	})
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	c.carryOut(now, c.ctl.Step(now.Duration(), events))
	c.tellFreed()
	if ticked {
		c.runner.RequestGauges()
		c.keys.sweep(now)
	}
}

func (c *Core) carryOut(now microtime.Time, actions []control.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.Start:
			c.run(c.live[a.ID])
		case control.Reject:
			c.refuse(c.live[a.ID], a)
		case control.Fail:
			c.fail(now, c.live[a.ID])
		case control.Preempt:
			c.pause(c.live[a.ID])
		case control.Call:
			c.makeCall(c.live[a.ID], microtime.FromDuration(a.Timeout))
		case control.SkipCall:
			c.skipCall(c.live[a.ID])
		case control.RetainKey:
			if r := c.live[a.ID]; r != nil && r.key != nil {
				c.keys.keep(r, now+microtime.FromDuration(a.TTL))
			}
		case control.ReleaseKey:
			c.keys.drop(a.ID)
		case control.ReplayResult:
			c.reuse(c.live[a.ID])
		case control.SetHealth:
			if c.good && !a.Healthy {
				c.badSince = now
			}
			c.good = a.Healthy
		case control.SetLoadSignal:
			c.say, c.saying = a.Value, true
		case control.CloseIdleConnections:
			c.idleAfter = microtime.FromDuration(a.IdleTimeout)
		case control.ScheduleTick:
			c.wakes = append(c.wakes, wake{now + microtime.FromDuration(a.After), a.Token})
		case control.Log:
			c.logf("control: %s", a.Text)
		default:
			c.logf("routing: action %T is not offered here", a)
		}
	}
	c.keys.settle()
}

func (c *Core) run(r *request) {
	if r == nil || r.state != held {
		return
	}
	// Guards the once-only rule itself: whatever the decisions were, a key that ran is not run again.
	if r.key != nil && !r.key.claim(r) {
		c.logf("routing: run of %s withheld: its key has run", r.RunID)
		c.reuse(r)
		return
	}
	r.state = running
	if r.key != nil && c.other != nil && c.role == handoff.Owner {
		c.other.NotifyStarted(r.key.intake()) // before it begins: what the other knows outlives this process
	}
	c.launch(r)
}

// start hands a try to the runner. Its end is of use as long as a repeat could come for it.
func (c *Core) start(r *request) {
	k := c.settings.Classes[r.Class]
	c.figures[r.Class].Attempts++
	c.runner.Start(Run{ID: r.RunID, Class: k.Name, Body: r.Body, AtMostOnce: k.Idempotency != control.Idempotent,
		Deadline: r.ArrivedAt + microtime.FromDuration(max(k.Deadline, k.RetentionWindow)), Request: &r.Request})
}

func (c *Core) refuse(r *request, a control.Reject) {
	if r == nil || r.state.started() {
		return // having run, a request is not turned away
	}
	if r.key != nil && c.keys.doubtful(r, c.now) { // guards an intake that may have run: it is not refused
		c.answer(r, Response{Status: StatusFailed, Reason: "whether it ran is not known"})
		c.forget(r)
		return
	}
	c.answer(r, Response{Status: StatusRejected, RetryAfter: microtime.FromDuration(a.RetryAfter), NoRetry: a.NoRetry})
	c.forget(r)
}

// lateBy is how far before its due time a failed request still counts as expired: the module fails what nears
// its due time a little ahead of it.
const lateBy = 100 * microtime.Millisecond

func (c *Core) fail(now microtime.Time, r *request) {
	if r == nil {
		return
	}
	a := Response{Status: StatusFailed, Reason: "given up"}
	if now >= r.ArrivedAt+microtime.FromDuration(c.settings.Classes[r.Class].Deadline)-lateBy {
		a = Response{Status: StatusExpired, Reason: "past its deadline"}
	}
	if planted.Bug(planted.RefuseRun) && r.state.started() {
		a = Response{Status: StatusRejected, RetryAfter: microtime.Second}
	}
	c.answer(r, a)
	if !r.state.started() {
		c.forget(r)
	}
}

// pause stops a run, and gives up the call that it waits for.
func (c *Core) pause(r *request) {
	if r == nil || !r.state.started() {
		return
	}
	c.giveUpCall(r)
	c.runner.Cancel(r.RunID)
}

// reuse answers r from the result of its key, or lets it wait for the run.
func (c *Core) reuse(r *request) {
	if r == nil || r.state != held {
		return
	}
	r.state = joined
	switch {
	case r.key == nil || !r.key.ran:
		c.finish(r, RunFailed, nil)
	case r.key.over:
		c.finish(r, r.key.end, r.key.result)
	default:
		r.key.waiters = append(r.key.waiters, r)
		if r.key.unsaved && !r.key.saving {
			c.save(r.key, nil)
		}
	}
}

// RunFinished tells how the run of id ended. The core keeps result.
func (c *Core) RunFinished(id string, end RunOutcome, result []byte) {
	r := c.runs[id]
	if r == nil || !r.state.started() || r.saving {
		return
	}
	c.giveUpCall(r)
	r.state, r.call = running, nil
	k := r.key
	switch {
	case k == nil || k.runner != r.id:
		c.finish(r, end, result)
	case end == RunIndeterminate:
		// A repeat is passed to the runner again, which alone knows where it may have run and can ask there.
		c.keys.doubt(k, r.ArrivedAt+microtime.FromDuration(c.settings.Classes[r.Class].RetentionWindow))
		c.conclude(k, r, end, nil)
	case end == RunNotStarted || end == RunUnsupported || end == RunRejected:
		if !c.passOn(r, end) {
			c.keys.unrun(k) // nothing ran: a later try may
			if c.recorder != nil {
				c.recorder.Release(k.intake())
			}
			c.conclude(k, r, end, nil)
		}
	case end == RunSucceeded && c.recorder != nil:
		k.result, k.unsaved, r.saving = result, true, true
		c.save(k, r)
	default:
		k.over, k.end, k.result = true, end, result
		if c.recorder != nil {
			c.recorder.RecordFailure(k.intake())
		}
		c.tellEnded(k)
		c.conclude(k, r, end, result)
	}
}

// RunDeclined says that a run was turned away and never started anywhere: it ends as a refusal, with advice when to come
// back, cut to what the settings allow.
func (c *Core) RunDeclined(id string, after microtime.Time, last bool) {
	r := c.runs[id]
	if r == nil {
		return
	}
	r.after, r.last = min(after, microtime.FromDuration(c.settings.MaxRetryAfter)), last
	c.RunFinished(id, RunRejected, nil)
}

// conclude ends the run of a key, and the waits for it. r is nil where the run itself has ended before.
func (c *Core) conclude(k *keyEntry, r *request, end RunOutcome, result []byte) {
	waiters := k.waiters
	k.waiters = nil
	if r != nil {
		c.finish(r, end, result)
	}
	for _, w := range waiters {
		c.finish(w, end, result)
	}
}

// passOn lets a waiting try run in the place of one that was not started, as its caller had left or as the runner
// does not take it: nothing has run, and the module counts one run for both.
func (c *Core) passOn(r *request, end RunOutcome) bool {
	if len(r.key.waiters) > 0 && r.key.waiters[0].RunID == r.RunID {
		c.finish(r.key.waiters[0], end, nil) // it was passed on to this one before, and not started either
	}
	// Guards the drain: whoever was read past its limit waits for what runs, but does not run in its place. Found by
	// the guided hunt, kept as planted/pass-late.txt among the lab's scripts.
	i := slices.IndexFunc(r.key.waiters, c.mayStart)
	if i < 0 {
		return false
	}
	if c.recorder != nil { // the leave was for the try that was not started; the other one asks for its own
		c.recorder.Release(r.key.intake())
	}
	w := r.key.waiters[i]
	r.key.waiters[0], r.key.waiters[i] = w, r.key.waiters[0]
	r.key.expires += max(w.ArrivedAt-r.ArrivedAt, 0) // the window counts from the try that runs
	if w.ArrivedAt > r.key.at {
		r.key.at, r.key.atMilli = w.ArrivedAt, w.ArrivedAtUnixMilli
	}
	c.answer(r, Response{Status: StatusFailed, Reason: "the run was not started"})
	delete(c.runs, r.RunID)
	r.RunID, r.Body = w.RunID, w.Body
	// The waiter stays joined and is answered with the run; its RunID now leads to the run.
	c.runs[r.RunID] = r
	c.launch(r)
	return true
}

// mayStart says that r may still be run, as far as the notice to leave goes.
func (c *Core) mayStart(r *request) bool {
	return !c.drained || r.read <= c.drainAt+microtime.FromDuration(c.settings.DrainGrace) || planted.Bug(planted.PassLate)
}

// finish ends a run or a wait: the answer goes out and the module hears of it.
func (c *Core) finish(r *request, end RunOutcome, result []byte) {
	outcome := control.OutcomeError
	switch end {
	case RunSucceeded:
		outcome = control.OutcomeOK
		c.answer(r, Response{Status: StatusSucceeded, Result: result})
	case RunFailed:
		c.answer(r, Response{Status: StatusFailed, Reason: "the run failed"})
	case RunUnsupported:
		// No sign of a machine that fails, nor of what is asked of it: guards the health and the shares against
		// callers that make requests up.
		outcome = control.OutcomeRejected
		c.answer(r, Response{Status: StatusFailed, Reason: "the runner does not take it"})
	case RunRejected:
		outcome = control.OutcomeRejected
		a := Response{Status: StatusRejected, RetryAfter: r.after, NoRetry: r.last}
		if r.key != nil && c.keys.doubtful(r, c.now) {
			a = Response{Status: StatusFailed, Reason: "whether it ran is not known"}
		}
		c.answer(r, a)
	case RunIndeterminate:
		outcome = control.OutcomeTimeout
		c.answer(r, Response{Status: StatusFailed, Reason: "whether it ran is not known"})
	case RunCancelled:
		outcome = control.OutcomeCancelled
		c.answer(r, Response{Status: StatusFailed, Reason: "the run was stopped"})
	case RunNotStarted:
		// The module takes no notice of a moot run, and would count it as running for ever; a cancelled one is
		// the end. A caller that has left is not hurt by the answer, and one that has not is owed it.
		outcome = control.OutcomeCancelled
		c.answer(r, Response{Status: StatusFailed, Reason: "the run was not started"})
	}
	c.events = append(c.events, control.RequestFinished{ID: r.id, Outcome: outcome})
	c.forget(r)
}

func (c *Core) answer(r *request, a Response) {
	if r.answered && !planted.Bug(planted.AnswerTwice) {
		return
	}
	c.settle(r)
	c.count(r.Class, a.Status)
	r.Responder.Respond(a)
}

// settle notes that no answer is owed any more.
func (c *Core) settle(r *request) {
	if !r.answered {
		r.answered = true
		c.open--
		c.giveUpCall(r)
	}
}

// forget drops a request that is over.
func (c *Core) forget(r *request) {
	delete(c.live, r.id)
	if c.runs[r.RunID] == r {
		delete(c.runs, r.RunID)
	}
	if len(c.parked) > 0 {
		c.unpark(r)
	}
	if r.key != nil {
		r.key.waiters = slices.DeleteFunc(r.key.waiters, func(w *request) bool { return w == r })
	}
}

// Drained says that the notice to leave has come and nothing is owed an answer.
func (c *Core) Drained() bool { return c.drained && c.open == 0 }
