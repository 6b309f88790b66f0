package control

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
	rng      *rand.Rand
	started  bool
	now      time.Duration
	nextFit  time.Duration
	actions  []Action // of this step

	requests     map[RequestID]*request
	requestOrder []*request // oldest first
	stateCounts  [requestStates]int

	classes        []*classState
	activeClasses  []*classState // those that are not retired
	priorityShare  float64
	nextBestEffort int

	draining         bool
	drainRequestedAt time.Duration
	stopAt           time.Duration

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
}

// New checks the settings and returns a Controller at its start.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		rng:           rand.New(rand.NewPCG(s.Seed, 0)),
		requests:      map[RequestID]*request{},
		priorityShare: maxPriorityShare,
		limiter:       newConcurrencyLimiter(s.Cores),
		slowdown:      newSlowdownEstimate(),
		keys:          newKeyTable(),
		health:        newHealthMonitor(),
		signal:        newLoadSignal(s.LoadSignal),
		connections:   newIdleConnections(),
	}
	c.configure(s)
	for _, class := range c.classes {
		c.slowdown.slotSeconds.add(class.slot.value)
	}
	return c, nil
}

// Reconfigure takes up other settings while serving; an error says that nothing has changed. Classes and tenants keep
// their numbers: a class that is gone is retired, and one whose number has gone over to another name has ended. What
// was learned of a class is kept under its name, and open requests stay as they were read. Seed and cold start are
// those of New.
func (c *Controller) Reconfigure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	if len(s.Classes) < len(c.classes) || len(s.Tenants) < len(c.quotas.tokens) {
		return fmt.Errorf("%w: %d classes or %d tenants are fewer than before", ErrInvalidSettings, len(s.Classes),
			len(s.Tenants))
	}
	s.Seed, s.ColdStart = c.settings.Seed, c.settings.ColdStart
	c.configure(s)
	return nil
}

// configure builds what depends on the settings and keeps what is there.
func (c *Controller) configure(s Settings) {
	c.settings = s
	c.calls.configure(&s)
	c.connections.configure(s.MaxKeepAlive)
	c.quotas.configure(&s)
	c.memory.configure(&s)
	c.limiter.configure(s.Cores)
	c.ceiling.configure(&s)
	c.slowdown.configure(s.Cores)
	c.signal.configure(&s)
	ranks := func(a, b Class) int { return cmp.Compare(a.Weight, b.Weight) }
	low, high := slices.MinFunc(s.activeClasses(), ranks).Weight, slices.MaxFunc(s.activeClasses(), ranks).Weight
	before := c.classes
	c.classes, c.activeClasses = nil, nil
	for i, k := range s.Classes {
		guess := runningMean{assumedSamples, k.LatencyObjective.Seconds() * assumedServiceShare}
		to := &classState{cv: 1, service: guess, slot: guess, callsPerRequest: runningMean{assumedSamples, 1},
			rejectedShare: runningMean{priorSamples, 0}, queueBudget: k.LatencyObjective}
		if i < len(before) && before[i].Name == k.Name {
			to = before[i]
		} else if j := slices.IndexFunc(before, func(b *classState) bool { return b.Name == k.Name }); j >= 0 {
			was := before[j]
			to.latencies, to.service, to.slot, to.costHint, to.callsPerRequest,
				to.rejectedShare = slices.Clone(was.latencies), was.service, was.slot, was.costHint, was.callsPerRequest,
				was.rejectedShare
			to.cv, to.disengagement = was.cv, was.disengagement
		}
		// A fair chance to be in time is worth more than the best effort in its place. Where all classes tie there is no
		// lowest: none is best effort.
		to.Class, to.serviceMargin, to.bestEffort = k, map[bool]float64{false: bestEffortServiceMargin,
			true: priorityServiceMargin}[k.Weight > low], k.Weight == low && low < high
		if c.classes = append(c.classes, to); !k.Retired {
			c.activeClasses = append(c.activeClasses, to)
		}
	}
}

// Step takes the events of one moment, in their order, and returns what to do.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.actions = nil
	c.advance(now)
	for _, e := range events {
		c.handle(e)
	}
	c.answerOverdue()
	c.shedLoad()
	c.grantCalls()
	c.startQueued()
	return c.actions
}

func (c *Controller) emit(as ...Action) { c.actions = append(c.actions, as...) }

// advance moves the clock and all that fades or grows with time.
func (c *Controller) advance(now time.Duration) {
	if !c.started {
		c.start(now)
	}
	elapsed := (now - c.now).Seconds()
	c.now = now
	fade := math.Exp(-elapsed / fadeTime.Seconds())
	running := c.stateCounts[stateRunning]
	c.demand.advance(fade)
	c.slowdown.advance(elapsed, fade, running)
	c.health.advance(elapsed, fade, running)
	c.calls.advance(now, elapsed, fade)
	c.quotas.refill(elapsed)
	for _, class := range c.classes {
		class.advance(fade)
	}
}

// start begins at the time of the first step.
func (c *Controller) start(now time.Duration) {
	c.started = true
	c.now = now
	c.nextFit = now + refitInterval
	c.limiter.start(now)
	c.ceiling.startedAt = now
	c.emit(SetHealth{Healthy: true, Cached: true}, ScheduleTick{After: tickInterval})
}

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
		if r := c.requests[event.ID]; r != nil {
			c.releaseCaller(r)
		}
	case DrainRequested:
		c.drainRequested(event)
	case Tick:
		c.tick(event)
	}
}

// drainRequested starts the graceful shutdown.
func (c *Controller) drainRequested(event DrainRequested) {
	c.draining = true
	c.drainRequestedAt = c.now - event.Age
	c.stopAt = event.StopAt
	c.emit(SetHealth{Healthy: false, Cached: true}, Log{Text: "draining: notice to leave"})
}

// tick follows slow changes.
func (c *Controller) tick(event Tick) {
	c.limiter.observe(event.Gauges)
	c.signal.observe(c.stateCounts[stateQueued])
	c.emit(ScheduleTick{After: tickInterval})
	c.keys.expire(c.now)
	c.limiter.adjust(c.now, c.ceiling.limit(c.now))
	if c.now >= c.nextFit {
		c.nextFit = c.now + refitInterval
		c.fitBudgets()
		if timeout, changed := c.connections.refit(c.now); changed {
			c.emit(CloseIdleConnections{IdleTimeout: timeout})
		}
	}
	c.checkHealth()
	c.updateLoadSignal()
}

// checkHealth tells callers and operators of a change of the machine's health.
func (c *Controller) checkHealth() {
	top := slices.MaxFunc(c.activeClasses, func(a, b *classState) int { return cmp.Compare(a.Weight, b.Weight) })
	changed, line := c.health.check(c.stateCounts[stateRunning], c.slowdown, top)
	if changed && !c.draining {
		c.emit(SetHealth{Healthy: c.health.healthy(), Cached: true}, Log{Text: line})
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
func (c *Controller) rejectsAll() bool { return c.draining || c.health.reason != reasonNone }

// transition moves r to another state and keeps the counts of all states true.
func (c *Controller) transition(r *request, to requestState) {
	switch r.state {
	case stateQueued:
		k := c.classes[r.Class]
		k.queue = slices.DeleteFunc(k.queue, func(x *request) bool { return x == r })
	case stateRunning:
		r.slotTime += c.now - r.stateSince
		c.health.progressed(c.slowdown.factor)
	case stateCalling:
		c.calls.inFlight--
		c.health.progressed(c.slowdown.factor)
	}
	if to == stateCalling {
		c.calls.inFlight++
	}
	c.stateCounts[r.state]--
	c.stateCounts[to]++
	r.state, r.stateSince = to, c.now
}

// remove forgets a request that has ended.
func (c *Controller) remove(r *request) {
	if r.state == stateQueued || r.state == stateReplaying {
		c.memory.queuedEnded(r.QueuedKB)
	} else {
		c.memory.runningEnded(r.QueuedKB)
	}
	c.transition(r, stateEnded)
	c.connections.requestEnded(r.Caller, c.now)
	c.signal.requestEnded(r.Caller)
	delete(c.requests, r.ID)
}

// memoryUse is the share of memory that is in use.
func (c *Controller) memoryUse() float64 { return c.memory.use(c.keys.live, 0) }

// classOf is the class of a request.
func (c *Controller) classOf(r *request) *classState { return c.classes[r.Class] }
