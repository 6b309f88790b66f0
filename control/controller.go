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
	// fadeTime is the time constant of recent counts and sums, so that slow spells are soon forgotten.
	fadeTime = 2 * time.Second
	// slowdownPriorSeconds is the weight, in slot seconds for each core, of the assumption that all is as usual.
	slowdownPriorSeconds = 0.25
	// maxSlowdown bounds the slowdown factor of a machine that hangs.
	maxSlowdown = 50.0
)

// Controller decides for one server. It is not safe for concurrent use.
type Controller struct {
	settings                        Settings
	rng                             *rand.Rand
	now, startedAt                  time.Duration
	started, draining, limitReached bool // wasBound: the limit is what holds work back
	actions                         []Action
	classes, activeClasses          []*classState // current: those that are not retired
	requests                        map[RequestID]*request
	requestOrder                    []*request         // live, oldest first
	stateCounts                     [requestStates]int // requests in each state

	priorityShare, concurrencyLimit, limitDirection float64
	nextBestEffort                                  int // best effort's round robin
	limitedTicks, epochTicks                        int // ticks of this epoch: held back by the limit, all
	epochWork, epochScore                           float64
	nextFit, nextLimitStep, epochEnd                time.Duration // not before; end of this epoch
	cpuUtilization, runnable                        float64       // the gauges, the second one smoothed over climbEvery

	// Fading with fadeTime.
	spentSeconds, expectedSeconds                   float64 // slot seconds spent, and those that the completions stand for
	recentRejections, recentArrivals, recentRetries float64 // turned away, read, read of retries
	recentErrors, recentRuns                        float64
	// slot seconds a second that the classes above best effort ask for
	priorityLoad float64
	// slot time spent over expected; since anything moved; pace then
	slowdown, stalledSeconds, slowdownAtProgress float64
	usualSlowdown                                runningMean // pace, over many completions
	slotTime                                     runningMean // slot seconds a request of any class

	quotas      tenantQuotas
	keys        *keyTable
	memory      memoryBudget
	calls       callBudget
	connections *idleConnections

	openPerCaller map[uint32]int // requests that each has here

	drainRequestedAt, stopAt, nextLoadSignal          time.Duration
	unhealthyReason                                   string  // why health is off
	overwhelmed                                       bool    // it is off, as even the worthiest work is turned away
	loadSignalValue, signalRejections, signalArrivals float64 // the value, and turned away and read since
	maxOpenPerCaller                                  int     // the most that one caller had open since
	queuedMean                                        float64 // held, smoothed over climbEvery
}

// New checks the settings and returns a Controller at its start.
func New(s Settings) (*Controller, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	c := &Controller{
		rng:                rand.New(rand.NewPCG(s.Seed, 0)),
		requests:           map[RequestID]*request{},
		keys:               newKeyTable(),
		connections:        newIdleConnections(),
		priorityShare:      maxPriorityShare,
		concurrencyLimit:   float64(s.Cores),
		limitDirection:     1,
		slowdown:           1,
		slowdownAtProgress: 1,
		cpuUtilization:     -1,
		openPerCaller:      map[uint32]int{},
	}
	if s.LoadSignal == LoadSignalWeight {
		c.loadSignalValue = 1
	}
	c.configure(s)
	for _, k := range c.classes {
		c.slotTime.add(k.slot.value)
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

// advance moves the clock and all that is a mean over time.
func (c *Controller) advance(now time.Duration) {
	if !c.started {
		c.started, c.now, c.startedAt, c.nextFit, c.epochEnd = true, now, now, now+refitInterval, now+limitEpoch
		c.emit(SetHealth{Healthy: true, Cached: true}, ScheduleTick{After: tickInterval})
	}
	dt := (now - c.now).Seconds()
	c.now = now
	fade := math.Exp(-dt / fadeTime.Seconds())
	for _, x := range []*float64{&c.spentSeconds, &c.expectedSeconds,
		&c.recentRejections, &c.recentArrivals, &c.recentRetries,
		&c.recentErrors, &c.recentRuns, &c.priorityLoad} {
		*x *= fade
	}
	c.calls.advance(now, dt, fade)
	c.quotas.refill(dt)
	for _, k := range c.classes { // twice as fast: callers hear of it late enough
		k.recentOutcomes, k.recentRejections = k.recentOutcomes*fade*fade, k.recentRejections*fade*fade
	}
	ran := dt * float64(c.stateCounts[stateRunning])
	c.spentSeconds, c.stalledSeconds = c.spentSeconds+ran, c.stalledSeconds+ran
	prior := slowdownPriorSeconds * float64(c.settings.Cores)
	c.slowdown = math.Min((c.spentSeconds+prior)/(c.expectedSeconds+prior), maxSlowdown)
}

func (c *Controller) handle(e Event) {
	switch e := e.(type) {
	case RequestArrived:
		c.requestArrived(e)
	case RequestFinished:
		c.requestFinished(e)
	case CallNeeded:
		c.callNeeded(e)
	case CallFinished:
		c.callFinished(e)
	case RequestCancelled:
		if r := c.requests[e.ID]; r != nil {
			c.releaseCaller(r)
		}
	case DrainRequested:
		c.draining, c.drainRequestedAt, c.stopAt = true, c.now-e.Age, e.StopAt
		c.emit(SetHealth{Healthy: false, Cached: true}, Log{Text: "draining: notice to leave"})
	case Tick:
		c.cpuUtilization = e.Gauges.CPUUtilization
		c.runnable = smoothed(c.runnable, e.Gauges.Runnable)
		c.queuedMean = smoothed(c.queuedMean, float64(c.stateCounts[stateQueued]))
		c.emit(ScheduleTick{After: tickInterval})
		c.keys.expire(c.now)
		c.adjustLimit()
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
}

// transition moves r to another state and keeps the counts of all states true.
func (c *Controller) transition(r *request, to requestState) {
	switch r.state {
	case stateQueued:
		k := c.classes[r.Class]
		k.queue = slices.DeleteFunc(k.queue, func(x *request) bool { return x == r })
	case stateRunning:
		r.slotTime += c.now - r.stateSince
		c.noteProgress()
	case stateCalling:
		c.calls.inFlight--
		c.noteProgress()
	}
	if to == stateCalling {
		c.calls.inFlight++
	}
	c.stateCounts[r.state]--
	c.stateCounts[to]++
	r.state, r.stateSince = to, c.now
}

// noteProgress notes that the machine gets on: a cold or slow one is judged against its pace at that time.
func (c *Controller) noteProgress() {
	c.stalledSeconds, c.slowdownAtProgress = 0, math.Max(c.slowdown, 1)
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
	if c.openPerCaller[r.Caller]--; c.openPerCaller[r.Caller] == 0 {
		delete(c.openPerCaller, r.Caller)
	}
	delete(c.requests, r.ID)
}

// memoryUse is the share of memory that is in use.
func (c *Controller) memoryUse() float64 { return c.memory.use(c.keys.live, 0) }

// classOf is the class of a request.
func (c *Controller) classOf(r *request) *classState { return c.classes[r.Class] }
