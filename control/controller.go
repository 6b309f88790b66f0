package control

import (
	"fmt"
	"math"
	"time"
)

const (
	// tickInterval is the distance of the timers by which slow changes are followed: a quarter of the usual grace on
	// an answer.
	tickInterval = 20 * time.Millisecond
	// refitInterval is how often the latency law is fitted anew: budgets follow a change of load within seconds.
	refitInterval = time.Second
)

// Controller decides for one server. It is not safe for concurrent use.
type Controller struct {
	settings Settings
	started  bool
	now      time.Duration
	nextFit  time.Duration
	actions  []Action // of this step

	requests    *requestTable
	classes     classTable
	lanes       *laneScheduler
	limiter     *concurrencyLimiter
	ceiling     concurrencyCeiling
	slowdown    *slowdownEstimate
	demand      demand
	quotas      tenantQuotas
	keys        *keyTable
	memory      memoryBudget
	calls       callBudget
	health      *healthMonitor
	signal      *loadSignal
	connections *idleConnections
	drain       drainState
}

// New checks the settings and returns a Controller at its start. Its errors wrap ErrInvalidSettings.
func New(settings Settings) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	controller := &Controller{
		requests:    newRequestTable(),
		lanes:       newLaneScheduler(settings.Seed),
		limiter:     newConcurrencyLimiter(settings.Cores),
		slowdown:    newSlowdownEstimate(),
		keys:        newKeyTable(),
		health:      newHealthMonitor(),
		signal:      newLoadSignal(settings.LoadSignal),
		connections: newIdleConnections(),
	}
	controller.configure(settings)
	for _, class := range controller.classes.all {
		controller.slowdown.slotSeconds.add(class.slot.value)
	}
	return controller, nil
}

// Reconfigure takes up other settings while serving. An error wraps ErrInvalidSettings and says that nothing has
// changed. Classes and tenants keep their numbers: a class that is gone is retired, and one whose number has gone over
// to another name has ended. What was learned of a class is kept under its name, and open requests stay as they were
// read. Seed and cold start are those of New.
func (c *Controller) Reconfigure(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	if len(settings.Classes) < len(c.classes.all) || len(settings.Tenants) < len(c.quotas.tokens) {
		return fmt.Errorf("%w: %d classes or %d tenants are fewer than before",
			ErrInvalidSettings, len(settings.Classes), len(settings.Tenants))
	}
	settings.Seed = c.settings.Seed
	settings.ColdStart = c.settings.ColdStart
	c.configure(settings)
	return nil
}

// configure hands settings on to all that depends on them and keeps the state.
func (c *Controller) configure(settings Settings) {
	c.settings = settings
	c.classes.configure(&settings)
	c.limiter.configure(settings.Cores)
	c.ceiling.configure(&settings)
	c.slowdown.configure(settings.Cores)
	c.quotas.configure(&settings)
	c.memory.configure(&settings)
	c.calls.configure(&settings)
	c.signal.configure(&settings)
	c.connections.configure(settings.MaxKeepAlive)
	c.drain.grace = settings.DrainGrace
}

// Step takes the events of one moment, in their order, and returns what to do. The time must not go back from one step
// to the next.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.actions = nil
	c.advance(now)
	for _, event := range events {
		c.handle(event)
	}
	c.answerOverdue()
	c.shedLoad()
	c.grantCalls()
	c.startQueued()
	return c.actions
}

// emit adds to the actions of this step.
func (c *Controller) emit(actions ...Action) { c.actions = append(c.actions, actions...) }

// advance moves the clock and all that fades or grows with time.
func (c *Controller) advance(now time.Duration) {
	if !c.started {
		c.begin(now)
	}
	elapsed := (now - c.now).Seconds()
	c.now = now
	fade := math.Exp(-elapsed / fadeTime.Seconds())
	running := c.requests.counts[stateRunning]
	c.demand.advance(fade)
	c.slowdown.advance(elapsed, fade, running)
	c.health.advance(elapsed, fade, running)
	c.calls.advance(now, elapsed, fade)
	c.quotas.refill(elapsed)
	for _, class := range c.classes.all {
		class.advance(fade)
	}
}

// begin starts the clock at the time of the first step.
func (c *Controller) begin(now time.Duration) {
	c.started = true
	c.now = now
	c.nextFit = now + refitInterval
	c.limiter.start(now)
	c.ceiling.startedAt = now
	c.emit(SetHealth{Healthy: true, Cached: true}, ScheduleTick{After: tickInterval})
}

// handle applies one event.
func (c *Controller) handle(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		c.requestArrived(event)
	case RequestFinished:
		c.requestFinished(event)
	case CallNeeded:
		c.callNeeded(event)
	case CallFinished:
		c.callFinished(event)
	case RequestCancelled:
		c.requestCancelled(event)
	case DrainRequested:
		c.drainRequested(event)
	case Tick:
		c.tick(event)
	}
}

// drainRequested starts the graceful shutdown and has callers go elsewhere.
func (c *Controller) drainRequested(event DrainRequested) {
	c.drain.request(c.now-event.Age, event.StopAt)
	c.emit(SetHealth{Healthy: false, Cached: true}, Log{Text: "draining: notice to leave"})
}

// tick follows slow changes.
func (c *Controller) tick(event Tick) {
	c.limiter.observe(event.Gauges)
	c.signal.observe(c.requests.counts[stateQueued])
	c.emit(ScheduleTick{After: tickInterval})
	c.keys.expire(c.now)
	c.limiter.adjust(c.now, c.ceiling.limit(c.now))
	if c.now >= c.nextFit {
		c.nextFit = c.now + refitInterval
		c.refit()
	}
	c.checkHealth()
	c.updateLoadSignal()
}

// refit computes what rests on many samples.
func (c *Controller) refit() {
	c.fitBudgets()
	if timeout, changed := c.connections.refit(c.now); changed {
		c.emit(CloseIdleConnections{IdleTimeout: timeout})
	}
}

// fitBudgets computes the queue budgets of the classes and the share of the priority lane.
func (c *Controller) fitBudgets() {
	for _, class := range c.classes.all {
		class.fit()
	}
	c.lanes.adjustPriorityShare(&c.classes)
}

// checkHealth tells callers and operators of a change of the machine's health. A draining server stays unhealthy.
func (c *Controller) checkHealth() {
	changed, line := c.health.check(c.requests.counts[stateRunning], c.slowdown, c.classes.mostValuable())
	if changed && !c.drain.requested {
		c.emit(SetHealth{Healthy: c.health.healthy(), Cached: true}, line)
	}
}

// updateLoadSignal tells callers of a change of the load signal.
func (c *Controller) updateLoadSignal() {
	changed := c.signal.update(c.now, loadConditions{
		rejectsAll:       c.rejectsAll(),
		overwhelmed:      c.health.overwhelmed,
		rejectedShare:    c.demand.rejectedShare(),
		cpuUtilization:   c.limiter.cpuUtilization,
		concurrencyLimit: c.limiter.limit,
	})
	if changed {
		c.emit(SetLoadSignal{Value: c.signal.value})
	}
}

// rejectsAll reports whether rejections are due to a drain or to the machine's health rather than to the load.
func (c *Controller) rejectsAll() bool { return c.drain.requested || c.health.reason != reasonNone }

// memoryUse is the share of memory that is in use.
func (c *Controller) memoryUse() float64 { return c.memory.use(c.keys.live, 0) }

// transition brings a request into another state, in all that follows its state. When a run or a call goes on or ends,
// the machine has progressed.
func (c *Controller) transition(req *request, to requestState) {
	switch req.state {
	case stateQueued:
		c.classes.of(req).dequeue(req)
	case stateRunning:
		c.health.progressed(c.slowdown.factor)
	case stateCalling:
		c.calls.inFlight--
		c.health.progressed(c.slowdown.factor)
	default: // Nothing else follows the other states.
	}
	if to == stateCalling {
		c.calls.inFlight++
	}
	c.requests.move(req, to, c.now)
}

// remove forgets a request that has ended.
func (c *Controller) remove(req *request) {
	if req.neverRan() {
		c.memory.queuedEnded(req.QueuedKB)
	} else {
		c.memory.runningEnded(req.QueuedKB)
	}
	c.transition(req, stateEnded)
	c.requests.remove(req)
	c.connections.requestEnded(req.Caller, c.now)
	c.signal.requestEnded(req.Caller)
}
