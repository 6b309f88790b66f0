package control

import (
	"fmt"
	"math"
	"time"
)

const (
	// tickInterval is the interval of Tick events. Overdue requests are answered at the next event or tick, so it is
	// small against Settings.AnswerGrace (usually 80 to 100 ms), the time by which an answer may be late.
	tickInterval = 20 * time.Millisecond
	// refitInterval is how often the latency law is refitted, so that budgets follow a change of load within seconds.
	refitInterval = time.Second
)

// Controller makes the decisions for one server. Its methods must not be called concurrently.
type Controller struct {
	settings  Settings
	started   bool
	now       time.Duration
	nextRefit time.Duration
	actions   []Action // actions of this step so far

	requests    *requestTable
	classes     classTable
	lanes       *laneScheduler
	limiter     *concurrencyLimiter
	ceiling     concurrencyCeiling
	slowdown    *slowdownEstimate
	demand      demand
	quotas      tenantQuotas
	keys        *retainedKeys
	memory      memoryBudget
	calls       callBudget
	health      *healthMonitor
	signal      *loadSignal
	connections *idleConnections
	drain       drainState
}

// New checks the settings and returns a Controller that has seen no events. Its errors wrap ErrInvalidSettings.
func New(settings Settings) (*Controller, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	controller := &Controller{
		requests:    newRequestTable(),
		lanes:       newLaneScheduler(settings.Seed),
		limiter:     newConcurrencyLimiter(settings.Cores),
		slowdown:    newSlowdownEstimate(),
		keys:        newRetainedKeys(),
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

// Reconfigure replaces the settings while serving. Its errors wrap ErrInvalidSettings and leave everything unchanged.
// Classes and tenants keep their indices: a class that was removed stays in Settings.Classes as Retired, and its index
// may get another name only after its last request has ended. The statistics of a class are kept under its name, and
// open requests keep their deadlines. Seed and ColdStart are ignored: the values passed to New stay in force.
func (c *Controller) Reconfigure(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	if len(settings.Classes) < len(c.classes.all) || len(settings.Tenants) < len(c.quotas.tokens) {
		return fmt.Errorf("%w: %d classes and %d tenants: neither number may decrease",
			ErrInvalidSettings, len(settings.Classes), len(settings.Tenants))
	}
	settings.Seed = c.settings.Seed
	settings.ColdStart = c.settings.ColdStart
	c.configure(settings)
	return nil
}

// configure applies the settings to every component. The components keep their state.
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

// Step handles the events of one moment, in their order, and returns the actions that the host must carry out. now must
// not decrease from one step to the next.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.actions = nil
	c.keys.beginStep()
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

// emit appends to the actions of this step.
func (c *Controller) emit(actions ...Action) { c.actions = append(c.actions, actions...) }

// advance moves the clock and updates everything that depends on elapsed time.
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
	c.nextRefit = now + refitInterval
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

// drainRequested starts the graceful shutdown and reports unhealthy, so that callers use other servers.
func (c *Controller) drainRequested(event DrainRequested) {
	c.drain.start(c.now-event.Age, event.StopAt)
	c.emit(SetHealth{Healthy: false, Cached: true}, Log{Text: "draining: shutdown requested"})
}

// tick does the periodic work.
func (c *Controller) tick(event Tick) {
	c.limiter.observe(event.Gauges)
	c.signal.observe(c.requests.counts[stateQueued])
	c.emit(ScheduleTick{After: tickInterval})
	c.keys.expire(c.now)
	c.limiter.adjust(c.now, c.ceiling.limit(c.now))
	if c.now >= c.nextRefit {
		c.nextRefit = c.now + refitInterval
		c.refit()
	}
	c.checkHealth()
	c.updateLoadSignal()
}

// refit recomputes the estimates that need many samples.
func (c *Controller) refit() {
	c.fitBudgets()
	if timeout, changed := c.connections.refit(c.now); changed {
		c.emit(CloseIdleConnections{IdleTimeout: timeout})
	}
}

// fitBudgets recomputes the queue budgets of the classes and the share of the priority lane.
func (c *Controller) fitBudgets() {
	for _, class := range c.classes.all {
		class.fit()
	}
	c.lanes.adjustPriorityShare(&c.classes)
}

// checkHealth reports a change of the machine's health to callers and operators. A draining server keeps reporting
// unhealthy.
func (c *Controller) checkHealth() {
	changed, line := c.health.check(c.requests.counts[stateRunning], c.slowdown, c.classes.mostValuable())
	if changed && !c.drain.requested {
		c.emit(SetHealth{Healthy: c.health.healthy(), Cached: true}, line)
	}
}

// updateLoadSignal reports a change of the load signal to callers.
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

// rejectsAll reports whether rejections are caused by a drain or by the machine's health rather than by load.
func (c *Controller) rejectsAll() bool { return c.drain.requested || c.health.reason != reasonNone }

// memoryUse returns the share of memory that is in use.
func (c *Controller) memoryUse() float64 { return c.memory.usedShare(c.keys.liveCount, 0) }

// transition moves a request to another state and updates every component that depends on the state. A request that
// leaves the running state and a call that ends count as progress of the machine.
func (c *Controller) transition(req *request, to requestState) {
	switch req.state {
	case stateQueued:
		c.classes.of(req).dequeue(req)
	case stateRunning:
		c.health.progressed(c.slowdown.factor)
	case stateCalling:
		c.calls.inFlight--
		c.health.progressed(c.slowdown.factor)
	default: // No component depends on the other states.
	}
	if to == stateCalling {
		c.calls.inFlight++
	}
	c.requests.setState(req, to, c.now)
}

// remove drops a request that has ended from all components.
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
