// This file holds every decision.
//
// The ordinary path: held requests start by earliest due time, arrival plus their class's queue budget
// Q = M - S. M is the largest mean latency at which a generalized exponential law, fitted to the class's
// spread, still meets the disengagement target; S is its service time. A learned limit sets how many run.

package control

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/mathext"
)

const (
	window, fitPrior      = 1000, 100.0              // completions behind a class's moments; the prior's weight
	zeta, theta           = 0.95, 0.98               // U/target between them: M is right
	target                = 0.01                     // disengagement that a class may suffer
	precision, curveSteps = 1.0 / 4096, 64           // of the deadline; in the sum: error under zeta..theta
	refit                 = time.Second              // budgets follow a change of load within seconds
	alphaDown, alphaUp    = 0.05, 0.25               // gamma, beta: alpha falls by a step, grows by a share
	alphaMin, alphaMax    = 0.5, 0.95                // neither lane is ever shut
	cvMin, cvMax          = 0.1, 3.0                 // less is chance, more is outliers
	budgetMin             = 1.0 / 8                  // of the aim: left when S outgrows M; aims keep order
	priorShare, priorRuns = 1.0 / 8, 4.0             // of the aim: service assumed; completions it weighs
	tick                  = 20 * time.Millisecond    // a quarter of the usual slack on an answer
	limitMin, limitMax    = 0.34, 4.0                // of the cores; the upper where no crowd is stated
	coresFull             = 1.5                      // wanting a core, over the cores: next slice queued
	idleBusy              = 0.92                     // cores less busy while work waits: the limit is what binds
	climbEvery            = 250 * time.Millisecond   // half of what the busy gauge looks back on
	epoch                 = 2 * time.Second          // a hill-climb step needs tens of completions to be seen
	slotCost              = 0.05                     // throughput that a core's worth of slots must bring
	crowdShare            = 0.8                      // of the crowd survived, calls included
	spread, dearSpread    = 1.5, 0.5                 // of the mean service: later, many are late; if worth more
	fadeTime              = 2 * time.Second          // of recent means: slow spells are soon forgotten
	pacePrior, paceMax    = 0.25, 50.0               // seconds a core that "as usual" weighs; a hung machine
	memoryFull            = 0.95                     // of memory: no entry or run above it
	shareBurst            = time.Second              // of a tenant's share, at once
	callsHand             = 0.35                     // of the share, in hand at once: more slows the dependency
	callSure, callFull    = 1.5, 0.9                 // times of a call in stock before it; of a full stock
	callPrior             = 3.0                      // calls that their long mean weighs against recent ones
	callsMean             = 0.6                      // of the share, as a mean; the rest may be burst
	callPause, callTries  = 50 * time.Millisecond, 3 // before the next try, doubled each time; of a safe call
	answerLead            = 10 * time.Millisecond    // answers go out this long before they are due
	errBad, errRuns       = 0.3, 3.0                 // worse than refusals; errors needed to tell
	hungRuns              = 24.0                     // mean services of slot time without progress: e^-24
	sayEvery              = 250 * time.Millisecond   // a quarter of the time that callers usually keep a value
	shedFew, shedHalf     = 0.02, 0.5                // turned away: no overload; others are full too
	ageLate               = 1.0 / 8                  // of the aim: reading is what is short
	weightDown, weightUp  = 0.7, 1.15                // a second of overload halves it; no wave of returns
	weightMin             = 0.01                     // chance that a caller still tries
	allowLeast, allowMost = 1.5, 2.0                 // of an even split of the cores; of the limit
	heldGoal, shedGoal    = 0.1, 0.1                 // of the limit; of the reads: either ends all growth
	idleGain, overGain    = 0.25, 0.05               // of a step, where a fifth of the cores idles
	goneSure, repeatAim   = 4.0, 0.7                 // turned away of late: enough to tell; of the aim
	slowPace              = 2.5                      // far slower than usual: no crowd, nor a shared cause
	useless, usualRuns    = 0.6, 4000.0              // of the worthiest turned away; completions
	floorUp, floorDown    = 0.05, 0.1                // of the ranks: a level kept too long leaves cores idle
	connWorth, gapFade    = 12.0, 0.9                // seconds idle that cost a handshake; of the gaps, a refit
	keepMin               = 100 * time.Millisecond   // shortest life of an idle connection
)

type state uint8

const (
	held    state = iota
	running       // on the cores or at the disk
	atCall        // waits for leave to call
	calling       // call in hand
	joined        // waits for the result of its original
	over          // has ended
	states        // how many there are
)

type request struct {
	RequestArrived
	at, due        time.Duration // reached the machine; an answer is owed by then
	state          state
	answered       bool          // answered while running, or its caller has left
	started, since time.Duration // of its run; of its state, or of its next call
	slotTime       time.Duration // on the cores or at the disk so far
	over           bool          // beyond its tenant's share
	calls          float64       // calls that succeeded
	failed         int           // and that did not
}

// class is what has been learned of one class.
type class struct {
	Class
	best          bool       // best effort: of the lowest worth
	line          []*request // held, oldest first
	lat           []float64  // latencies of the last completions, seconds
	service, slot mean       // start to end; of that, on the cores or at the disk; seconds
	hint, calls   mean       // the hint, seconds; calls a request
	away          mean       // turned away for want of time, of its last outcomes
	seen, gone    float64    // ended by a run or turned away; turned away; fading twice as fast as others
	cv, u, spread float64
	budget        time.Duration // Q
}

// mean is a mean over about the last window values, starting from a guess.
type mean struct{ n, v float64 }

func (m *mean) add(x float64) { m.over(x, window) }

func (m *mean) over(x, most float64) {
	m.n = math.Min(m.n+1, most)
	m.v += (x - m.v) / m.n
}

type entry struct { // a key in the host's table
	expires time.Duration
	ran     bool
}

// Controller decides for one server. It is not safe for concurrent use.
type Controller struct {
	s                        Settings
	rng                      *rand.Rand
	now, born                time.Duration
	begun, drained, wasBound bool // wasBound: the limit is what holds work back
	out                      []Action
	classes, current         []*class // current: those that are not retired
	live                     map[RequestID]*request
	order                    []*request // live, oldest first
	keys                     map[RequestID]*entry
	heldKB, runKB            float64
	n                        [states]int // requests in each state

	alpha, limit, climbDir     float64
	turn                       int // best effort's round robin
	nKeys                      int // entries not expired
	bound, ticks               int // ticks of this epoch: held back by the limit, all
	epochWork, score           float64
	nextFit, nextClimb, epochs time.Duration // not before; end of this epoch
	busy, runnable             float64       // the gauges, the second one smoothed over climbEvery

	// Fading with fadeTime.
	spent, yield          float64 // slot seconds spent, and those that the completions stand for
	callSpent, callsDone  float64 // call seconds in hand, and calls ended
	shed, read, again     float64 // turned away, read, read of retries
	errs, runs            float64
	others                float64 // slot seconds a second that the classes above best effort ask for
	pace, stuck, okayPace float64 // slot time spent over expected; since anything moved; pace then
	usual                 mean    // pace, over many completions
	callTime, slotTime    mean    // seconds a call, and slot seconds a request of any class
	lingers               []time.Duration

	tokens []float64 // by tenant: first tries within its share that may still come at once

	heard map[uint32]time.Duration // when each caller was last dealt with
	gaps  []float64                // arrivals by the time since then
	open  map[uint32]int           // requests that each has here
	kept  time.Duration            // how long idle connections are kept

	share, callStock       float64 // of calls in hand, infinite where none is stated; call seconds to spend
	drainAt, stop, nextSay time.Duration
	sick                   string  // why health is off
	useless                bool    // it is off, as even the worthiest work is turned away
	said, shedNow, readNow float64 // the value, and turned away and read since
	mostOpen               int     // the most that one caller had open since
	heldMean               float64 // held, smoothed over climbEvery
}

// Step takes the events of one moment, in their order, and returns what to do.
func (c *Controller) Step(now time.Duration, events []Event) []Action {
	c.out = nil
	c.advance(now)
	for _, e := range events {
		c.take(e)
	}
	c.answerDue()
	c.plan()
	c.grantCalls()
	c.launch()
	return c.out
}

func (c *Controller) do(as ...Action) { c.out = append(c.out, as...) }

// advance moves the clock and all that is a mean over time.
func (c *Controller) advance(now time.Duration) {
	if !c.begun {
		c.begun, c.now, c.born, c.nextFit, c.epochs = true, now, now, now+refit, now+epoch
		c.do(SetHealth{Healthy: true, Cached: true}, ScheduleTick{After: tick})
	}
	dt := (now - c.now).Seconds()
	c.now = now
	c.lingers = slices.DeleteFunc(c.lingers, func(t time.Duration) bool { return t <= now })
	fade := math.Exp(-dt / fadeTime.Seconds())
	for _, x := range []*float64{&c.spent, &c.yield, &c.callSpent, &c.callsDone, &c.shed, &c.read, &c.again,
		&c.errs, &c.runs, &c.others} {
		*x *= fade
	}
	for _, k := range c.classes { // twice as fast: callers hear of it late enough
		k.seen, k.gone = k.seen*fade*fade, k.gone*fade*fade
	}
	ran := dt * float64(c.n[running])
	c.spent, c.stuck = c.spent+ran, c.stuck+ran
	c.callSpent += dt * float64(c.inHand())
	if c.share < math.Inf(1) {
		c.callStock = math.Min(c.callStock+dt*(callsMean*c.share-float64(c.inHand())), c.callBurst())
	}
	for i, t := range c.s.Tenants {
		rate := t.Quota / math.Max(1, float64(c.s.Peers))
		c.tokens[i] = math.Min(c.tokens[i]+dt*rate, 1+rate*shareBurst.Seconds())
	}
	prior := pacePrior * float64(c.s.Cores)
	c.pace = math.Min((c.spent+prior)/(c.yield+prior), paceMax)
}

func (c *Controller) take(e Event) {
	switch e := e.(type) {
	case RequestArrived:
		c.arrive(e)
	case RequestFinished:
		c.done(e)
	case CallNeeded:
		if r := c.live[e.ID]; r != nil && r.state == running {
			c.enter(r, atCall)
		}
	case CallFinished:
		c.callDone(e)
	case RequestCancelled:
		if r := c.live[e.ID]; r != nil {
			c.release(r)
		}
	case DrainRequested:
		c.drained, c.drainAt, c.stop = true, c.now-e.Age, e.StopAt
		c.do(SetHealth{Healthy: false, Cached: true}, Log{Text: "draining: notice to leave"})
	case Tick:
		c.busy = e.Gauges.CPUUtilization
		c.runnable += (e.Gauges.Runnable - c.runnable) * tick.Seconds() / climbEvery.Seconds()
		c.heldMean += (float64(c.n[held]) - c.heldMean) * tick.Seconds() / climbEvery.Seconds()
		c.do(ScheduleTick{After: tick})
		c.nKeys = 0
		maps.DeleteFunc(c.keys, func(_ RequestID, k *entry) bool {
			if c.now < k.expires {
				c.nKeys++
			}
			return c.now > k.expires+time.Minute // until then a repeat read late may still name it
		})
		c.learnLimit()
		if c.now >= c.nextFit {
			c.nextFit = c.now + refit
			c.fit()
			c.closeIdle()
		}
		c.diagnose()
		c.signal()
	}
}

// enter moves r to another state and keeps the counts of all states true.
func (c *Controller) enter(r *request, to state) {
	switch r.state {
	case held:
		k := c.classes[r.Class]
		k.line = slices.DeleteFunc(k.line, func(x *request) bool { return x == r })
	case running:
		r.slotTime += c.now - r.since
		c.moved()
	case calling:
		c.moved()
	}
	c.n[r.state]--
	c.n[to]++
	r.state, r.since = to, c.now
}

// moved notes that the machine gets on: a cold or slow one is judged against its pace at that time.
func (c *Controller) moved() { c.stuck, c.okayPace = 0, math.Max(c.pace, 1) }

// drop forgets a request that has ended.
func (c *Controller) drop(r *request) {
	if r.state == held || r.state == joined {
		c.heldKB -= r.QueuedKB
	} else {
		c.runKB -= r.QueuedKB * c.s.RunningMemoryFactor
	}
	c.enter(r, over)
	c.heard[r.Caller] = c.now
	if c.open[r.Caller]--; c.open[r.Caller] == 0 {
		delete(c.open, r.Caller)
	}
	delete(c.live, r.ID)
}

// ---- The ordinary path: fit, budget, due order, lanes, limit.

// fit recomputes each class's budget and alpha from the windows.
func (c *Controller) fit() {
	worst, least, sure, cvSum, n := 0.0, math.Inf(1), 1.0, 0.0, 0.0
	for _, k := range c.classes {
		k.moments()
		m := meanBudget(k.cv, k.LatencyObjective, k.Deadline)
		// Departure: S may outgrow M, and a budget under zero would order by service time alone.
		k.budget = max(m-seconds(k.service.v), seconds(budgetMin*k.LatencyObjective.Seconds()))
		if !k.best {
			// Departure: who is turned away is disengaged too. Latencies alone tell nothing of them, and the more
			// of a class were given up, the more of its slots went to best effort.
			u := k.u + k.away.v
			worst, least = math.Max(worst, u/target), math.Min(least, u/target)
			cvSum, n = cvSum+math.Max(k.cv, cvMin), n+1
			sure = math.Min(sure, float64(len(k.lat))/window)
		}
	}
	if worst > theta {
		c.alpha = math.Min(c.alpha*(1+sure*alphaUp), alphaMax)
	} else if least < zeta {
		c.alpha = math.Max(c.alpha-sure*alphaDown*n/cvSum, alphaMin)
	}
}

// moments measures a class's CV and disengagement: none up to the aim, all from the deadline, linear between.
func (k *class) moments() {
	var sum, sq, u float64
	for _, x := range k.lat {
		sum, sq = sum+x, sq+x*x
		span := math.Max((k.Deadline - k.LatencyObjective).Seconds(), time.Millisecond.Seconds())
		u += clamp((x-k.LatencyObjective.Seconds())/span, 0, 1)
	}
	n := float64(len(k.lat))
	m := math.Max(sum/math.Max(n, 1), time.Microsecond.Seconds())
	// Departure: a thin class is drawn towards the source's near-exponential law that just meets its target.
	cv := math.Sqrt(math.Max(sq/math.Max(n, 1)-m*m, 0)) / m
	k.cv, k.u = (n*cv+fitPrior)/(n+fitPrior), (u+fitPrior*target*(zeta+theta)/2)/(n+fitPrior)
}

// shape solves CV for the law's shape; CV falls as the shape grows and does not depend on the scale.
func shape(cv float64) float64 {
	cv = clamp(cv, cvMin, cvMax)
	lo, hi := -12.0, 40.0 // log shape: covers every CV between the bounds
	for range 60 {
		mid := (lo + hi) / 2
		if m, v := unitMoments(math.Exp(mid)); math.Sqrt(v)/m > cv {
			lo = mid
		} else {
			hi = mid
		}
	}
	return math.Exp((lo + hi) / 2)
}

func unitMoments(phi float64) (m, v float64) {
	return mathext.Digamma(phi+1) - mathext.Digamma(1), mathext.Zeta(2, 1) - mathext.Zeta(2, phi+1)
}

// meanBudget is M: the bisection of the source over (0, deadline].
func meanBudget(cv float64, aim, deadline time.Duration) time.Duration {
	phi := shape(cv)
	unit, _ := unitMoments(phi)
	lo, hi := 0.0, deadline.Seconds()
	for hi-lo > precision*deadline.Seconds() {
		m := (lo + hi) / 2
		switch eta := disengaged(phi, m/unit, aim, deadline) / target; {
		case eta < zeta:
			lo = m
		case eta > theta:
			hi = m
		default:
			return seconds(m)
		}
	}
	return seconds((lo + hi) / 2)
}

// disengaged sums the curve over the law; below the aim it is zero, beyond the deadline one.
func disengaged(phi, scale float64, aim, deadline time.Duration) float64 {
	cdf := func(x float64) float64 { return math.Pow(-math.Expm1(-x/scale), phi) }
	a, d := aim.Seconds(), deadline.Seconds()
	u, before := 0.0, cdf(a)
	for j := 1; j <= curveSteps && d > a; j++ {
		at := cdf(a + (d-a)*float64(j)/curveSteps)
		u += (at - before) * (float64(j) - 0.5) / curveSteps
		before = at
	}
	return u + 1 - before
}

func clamp(x, lo, hi float64) float64 { return math.Min(math.Max(x, lo), hi) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *Controller) dueStart(r *request) time.Duration { return r.at + c.classes[r.Class].budget }

func (c *Controller) byDue(a, b *request) int { return int(c.dueStart(a) - c.dueStart(b)) }

// pick returns what to start next: with chance alpha the earliest due of the other classes, else the next of
// best effort; the side that holds nothing yields.
func (c *Controller) pick() *request {
	var first, best *request
	for i := range c.classes {
		k := c.classes[(c.turn+i)%len(c.classes)]
		if len(k.line) == 0 || k.MakesCalls && c.n[atCall] > 0 && float64(c.n[atCall]) >= c.callBound() {
			continue // more work with calls would only pile up at its call
		}
		if r := k.line[0]; k.best && best == nil {
			best = r
		} else if !k.best && (first == nil || c.byDue(r, first) < 0) {
			first = r
		}
	}
	if best == nil || first != nil && c.rng.Float64() < c.alpha {
		return first
	}
	c.turn = best.Class + 1
	return best
}

// launch fills the free slots.
func (c *Controller) launch() {
	c.wasBound = false
	for r := c.pick(); r != nil; r = c.pick() {
		if c.hopeless(r) {
			c.refuse(r, true)
			continue
		} else if !c.roomToRun(r) {
			return
		}
		c.heldKB, c.runKB, r.started = c.heldKB-r.QueuedKB, c.runKB+r.QueuedKB*c.s.RunningMemoryFactor, c.now
		if k := c.keys[r.ID]; k != nil {
			k.ran = true
		}
		c.enter(r, running)
		c.do(Start{r.ID})
	}
}

// roomToRun checks the running limit, then the guards on memory and on the crowd.
func (c *Controller) roomToRun(r *request) bool {
	if c.wasBound = float64(c.n[running]) >= c.limit; c.wasBound || c.sick != "" && c.n[running] > 0 {
		return false // a sick machine is probed with one run at a time
	}
	crowded := c.s.MaxConcurrencyPerCore > 0 &&
		float64(c.n[running]+c.n[atCall]+c.inHand()+1) > crowdShare*c.crowd()
	return !crowded && c.memoryWith(r.QueuedKB*(c.s.RunningMemoryFactor-1)) <= memoryFull
}

// learnLimit climbs fast while cores idle and work waits, then hill-climbs on throughput.
func (c *Controller) learnLimit() {
	cores, fast, ceiling := float64(c.s.Cores), 0.0, limitMax*float64(c.s.Cores)
	c.ticks++
	if c.wasBound {
		c.bound++
	}
	switch {
	case c.now < c.nextClimb || c.busy < 0:
	case c.wasBound && c.busy < idleBusy:
		fast = math.Max(cores/6, c.limit/8)
	case c.busy >= idleBusy && c.runnable > coresFull*cores:
		// Departure: reading shares the cores with the runs. Where more wants them than they can carry, requests
		// age unread, where none is chosen. Guards also against checks, connections and neighbours on the cores.
		fast = -math.Max(cores/12, c.limit/16)
	}
	if fast == 0 && c.now < c.epochs {
		return
	}
	if fast != 0 {
		c.limit, c.score, c.nextClimb = c.limit+fast, 0, c.now+climbEvery
	} else if 2*c.bound > c.ticks {
		score := c.epochWork * (1 - slotCost*c.limit/cores)
		if score < c.score {
			c.climbDir = -c.climbDir
		}
		c.score = score
		c.limit += c.climbDir * math.Max(cores/12, c.limit/16)
	}
	if c.s.MaxConcurrencyPerCore > 0 {
		ceiling = crowdShare * c.crowd()
	}
	c.limit = clamp(c.limit, limitMin*cores, ceiling)
	c.epochWork, c.bound, c.ticks, c.epochs = 0, 0, 0, c.now+epoch
}

// ---- Admission: what is held, what is turned away.

func (c *Controller) arrive(a RequestArrived) {
	if a.Class < 0 || a.Class >= len(c.classes) {
		c.do(Fail{a.ID}) // nothing is known of it but that it is owed an answer
		return
	}
	k := c.classes[a.Class]
	r := &request{RequestArrived: a, at: c.now - a.Age, due: a.Deadline}
	if !c.s.DeadlinePropagated || a.Deadline == 0 {
		r.due = r.at + k.Deadline
	}
	c.live[a.ID], c.order = r, append(c.order, r)
	c.n[held], c.heldKB, c.read, c.readNow = c.n[held]+1, c.heldKB+a.QueuedKB, c.read+1, c.readNow+1
	c.hear(r)
	c.open[r.Caller]++
	c.mostOpen = max(c.mostOpen, c.open[r.Caller])
	c.meter(r)
	if a.Retry {
		c.again++
	}
	if a.CostHint > 0 {
		k.hint.add(a.CostHint.Seconds())
	}
	if a.Original != 0 && c.join(r) {
		return
	}
	if !k.best {
		c.others += c.slotOf(r) / fadeTime.Seconds()
	}
	k.line = append(k.line, r)
	slices.SortStableFunc(k.line, func(a, b *request) int { return cmp.Compare(a.at, b.at) })
	if !c.keep(r) || c.barred(r) {
		c.refuse(r, false)
	}
}

// meter tells whether r is beyond its tenant's share of this server, a part of that counted over the fleet.
// What is over counts less where work must be turned away, and is served otherwise.
func (c *Controller) meter(r *request) {
	if r.Tenant < 0 || r.Tenant >= len(c.tokens) || c.s.OverQuotaWeightShare >= 1 ||
		c.s.Tenants[r.Tenant].Quota <= 0 {
		return
	}
	if r.over = c.tokens[r.Tenant] < 1; !r.over && !r.Retry { // a retry was counted as it first came
		c.tokens[r.Tenant]--
	}
}

// barred says that r cannot be run here whatever waits.
func (c *Controller) barred(r *request) bool {
	k, late := c.classes[r.Class], r.at+r.Age > c.drainAt+c.s.DrainGrace || c.now+c.serviceOf(r) > c.stop
	return c.drained && late || c.sick != "" && (k.Idempotency != Idempotent || len(k.line) > 1)
}

// slotOf is the slot time that r should take, scaled by its hint half of the way: hints are rough.
func (c *Controller) slotOf(r *request) float64 {
	k := c.classes[r.Class]
	if r.CostHint > 0 && k.hint.v > 0 {
		return k.slot.v * (1 + math.Min(r.CostHint.Seconds()/k.hint.v, 4)) / 2
	}
	return k.slot.v
}

// serviceOf is the time from start to end that r should take at present.
func (c *Controller) serviceOf(r *request) time.Duration {
	k := c.classes[r.Class]
	return seconds(k.spread * (c.slotOf(r)*c.pace + k.calls.v*c.callNow()))
}

// callNow is the time that a call takes at present, those still in hand included.
func (c *Controller) callNow() float64 {
	return (c.callSpent + callPrior*c.callTime.v) / (c.callsDone + callPrior)
}

// worth is the worth of r for each unit of work.
func (c *Controller) worth(r *request) float64 {
	w := c.classes[r.Class].Weight
	if r.over {
		w *= c.s.OverQuotaWeightShare
	}
	if c.s.WeightPerWork {
		return w
	}
	return w / c.slotOf(r)
}

// lastUse is when an answer to r stops earning its full worth.
func (c *Controller) lastUse(r *request) time.Duration {
	k := c.classes[r.Class]
	aim := k.LatencyObjective
	if r.Retry { // it counts from the first try, which came earlier, nobody tells when
		aim = seconds(repeatAim * aim.Seconds())
	}
	return min(r.at+aim+seconds(k.ObjectiveStretch*r.CostHint.Seconds()), r.due)
}

// hopeless says that r cannot be answered in time to be worth its work. Late answers are for idle times.
func (c *Controller) hopeless(r *request) bool {
	use := c.lastUse(r)
	if c.classes[r.Class].LateWeightShare > 0 && c.n[held] <= c.s.Cores {
		use = r.due
	}
	return c.now+c.serviceOf(r) > use || c.drained && c.barred(r)
}

// plan walks the held work in the order of its starts; where one would come too late, the least worth before
// it is turned away.
func (c *Controller) plan() {
	var taken []*request
	slots, work, calls := math.Max(1, c.limit), 0.0, float64(c.n[atCall])
	if float64(c.n[running]) >= slots {
		work = c.slotTime.v / slots
	}
	shed := func(forCalls bool) {
		v := c.least(taken, forCalls)
		work -= c.slotOf(taken[v])
		calls -= c.classes[taken[v].Class].calls.v
		c.refuse(taken[v], false)
		taken = slices.Delete(taken, v, v+1)
	}
	for _, best := range []bool{false, true} {
		rate := slots / c.pace
		if best {
			rate = math.Max(rate-c.others, rate/10) // what is still to come goes before best effort
		}
		var lane []*request
		for _, k := range c.classes {
			if k.best == best {
				lane = append(lane, k.line...)
			}
		}
		slices.SortStableFunc(lane, c.byDue)
		for _, r := range lane {
			k, limit := c.classes[r.Class], c.lastUse(r)-c.serviceOf(r)
			taken = append(taken, r)
			late := c.now+seconds(work/rate) > limit
			work += c.slotOf(r)
			// Departure: calls are a second queue behind the first, with a bound and a shortage of their own.
			lateCall := k.MakesCalls && c.now+c.callWait(calls) > limit
			calls += k.calls.v
			if late || lateCall {
				shed(!late)
			}
		}
	}
	for c.memoryWith(0) > memoryFull && len(taken) > 0 {
		shed(false)
	}
}

// least is the index of the least worth for its work, the last of equals. For calls, only requests that call
// are asked, by their worth a call.
func (c *Controller) least(rs []*request, forCalls bool) int {
	v, low := len(rs)-1, math.Inf(1)
	for i, r := range rs {
		w, k := c.worth(r), c.classes[r.Class]
		if forCalls {
			w *= c.slotOf(r) / math.Max(k.calls.v, 0.1)
		}
		if w <= low && (k.MakesCalls || !forCalls) {
			v, low = i, w
		}
	}
	return v
}

// refuse turns away a request that never ran; the advice grows with the share turned away. What is past its
// use, or would meet only full servers or add to late reading, should not be tried elsewhere.
func (c *Controller) refuse(r *request, last bool) {
	c.shed++
	if k := c.classes[r.Class]; !r.over && !c.drained && c.sick == "" {
		k.away.add(1)
		k.seen, k.gone, c.shedNow = k.seen+1, k.gone+1, c.shedNow+1
	}
	deep := math.Min(c.shed/math.Max(c.read, 1), 1)
	fleet := deep // how full the others are
	if c.s.RetriesMarked {
		fleet = c.again / math.Max(c.read-c.again, 1)
	}
	late := r.Age > seconds(ageLate*c.classes[r.Class].LatencyObjective.Seconds())
	last = last || c.now > c.lastUse(r) || fleet > shedHalf || deep > shedHalf && late
	if c.sick != "" || c.drained {
		deep = 1
	}
	c.do(Reject{ID: r.ID, NoRetry: last, RetryAfter: time.Duration(deep * float64(c.s.MaxRetryAfter))})
	c.unkeep(r)
	c.drop(r)
}

func (c *Controller) done(e RequestFinished) {
	r := c.live[e.ID]
	if r == nil || r.state == held || e.Outcome == OutcomeAlreadyEnded {
		return
	}
	was := r.state
	c.drop(r)
	if e.Outcome == OutcomeRejected {
		c.void(r)
	}
	// What was joined, or failed by ourselves, says nothing of the machine.
	if e.Outcome == OutcomeError && !r.answered && was != joined {
		c.runs++
		c.errs++
	}
	if e.Outcome != OutcomeOK || was == joined {
		return
	}
	k := c.classes[r.Class]
	c.runs++
	k.away.add(0)
	k.seen++
	c.epochWork += c.slotOf(r)
	c.learn(r, r.slotTime)
	k.calls.add(r.calls)
	k.service.add((c.now - r.started).Seconds())
	if !r.answered {
		k.lat = append(k.lat, (c.now - r.at).Seconds())
		k.lat = k.lat[max(0, len(k.lat)-window):]
	}
}

// learn takes in the slot time of r, which has ended, or is stopped and would have taken longer yet.
func (c *Controller) learn(r *request, took time.Duration) {
	c.yield += c.slotOf(r)
	// At the usual pace: a slow spell would else count twice, in the slots that it made longer and in the pace.
	c.usual.over(c.pace, usualRuns)
	slot := took.Seconds() * c.usual.v / c.pace
	c.classes[r.Class].slot.add(slot)
	c.slotTime.add(slot)
}

// void takes back what the arrival of r counted, as nobody had asked for it. Guards against bursts of made-up
// requests: a server that turned away nearly all that was real took itself for one with room.
func (c *Controller) void(r *request) {
	c.read, c.readNow = math.Max(c.read-1, 0), math.Max(c.readNow-1, 0)
	if r.Retry {
		c.again = math.Max(c.again-1, 0)
	} else if r.Tenant >= 0 && r.Tenant < len(c.tokens) && !r.over {
		c.tokens[r.Tenant]++
	}
	if k := c.classes[r.Class]; !k.best && r.Original == 0 {
		c.others = math.Max(c.others-c.slotOf(r)/fadeTime.Seconds(), 0)
	}
}

// release lets go of what is answered or whose caller left: what never ran ends, safe runs stop where they
// can. Keyed work goes on: a repeat joins it.
func (c *Controller) release(r *request) {
	r.answered = true
	if r.state == held || r.state == joined {
		c.unkeep(r)
		c.drop(r)
	} else if c.s.Preemption != PreemptNever && r.state == running &&
		c.classes[r.Class].Idempotency == Idempotent {
		c.do(Preempt{r.ID})
	}
}

// ---- Guard: no request lost.

// answerDue fails whatever nears its due time, and everything just before the process is stopped.
func (c *Controller) answerDue() {
	c.order = slices.DeleteFunc(c.order, func(r *request) bool { return c.live[r.ID] != r })
	for _, r := range c.order {
		if !r.answered && (c.now >= r.due-answerLead || c.drained && c.now >= c.stop-2*tick) {
			c.fail(r)
		} else if c.inVain(r) {
			c.learn(r, r.slotTime+c.now-r.since)
			c.fail(r)
		}
	}
}

// inVain says that r runs past its use while its slot is wanted for work that still has one. Guards against
// the few that take far longer than others: they held a tenth of the slots for answers worth nothing.
func (c *Controller) inVain(r *request) bool {
	k := c.classes[r.Class]
	return r.state == running && !r.answered && k.Idempotency == Idempotent && k.LateWeightShare == 0 &&
		c.s.Preemption == PreemptDiscard && c.wasBound && c.now > c.lastUse(r)
}

func (c *Controller) fail(r *request) {
	c.do(Fail{r.ID})
	c.release(r)
}

// ---- Guard: no effect twice.

// keep enters a keyed request before it can run, for its window from arrival. False: no room, so no run.
func (c *Controller) keep(r *request) bool {
	k := c.classes[r.Class]
	span := k.RetentionWindow - r.Age + tick
	switch {
	case k.Idempotency == Idempotent && c.s.ResultFreshness > 0 && r.Key != 0:
		span = k.Deadline + c.s.ResultFreshness
	case k.Idempotency != IdempotentByKey:
		return true
	}
	// Entries outlive their requests by far: they must leave the cores room to run, or those starve on keys.
	room := memoryFull*c.s.MemoryKB - float64(c.s.Cores)*r.QueuedKB*c.s.RunningMemoryFactor
	if c.s.MemoryKB > 0 && (c.memoryWith(c.s.KeyKB) > memoryFull || float64(c.nKeys+1)*c.s.KeyKB > room) {
		return k.Idempotency == Idempotent
	}
	c.keys[r.ID] = &entry{expires: c.now + span}
	c.nKeys++
	c.do(RetainKey{ID: r.ID, TTL: span})
	return true
}

// unkeep forgets the entry of a try that never ran: it must cost neither memory nor a later try's chance.
func (c *Controller) unkeep(r *request) {
	if k := c.keys[r.ID]; k != nil && !k.ran {
		c.nKeys-- // the next tick counts again
		delete(c.keys, r.ID)
		c.do(ReleaseKey{r.ID})
	}
}

// join answers a repeat from its original. One still held gives way: the newer caller waits longer.
func (c *Controller) join(r *request) bool {
	id := r.Original
	for o := c.live[id]; c.keys[id] == nil && o != nil && o.Original != 0; o = c.live[id] {
		id = o.Original // a repeat of a repeat
	}
	k := c.keys[id]
	if k == nil {
		return false
	}
	if old := c.live[id]; !k.ran && old != nil && c.classes[r.Class].Idempotency == IdempotentByKey {
		c.refuse(old, true)
		return false
	}
	if c.memoryWith(0) > 1 { // it must not be turned away once it ran; nor may many bring the machine down
		c.fail(r)
		return true
	}
	c.enter(r, joined)
	c.do(ReplayResult{r.ID})
	return true
}

// ---- Guards: memory, crowd, calls in hand.

// memoryWith is the share of memory in use with so much more.
func (c *Controller) memoryWith(more float64) float64 {
	if c.s.MemoryKB <= 0 {
		return 0
	}
	return (c.heldKB + c.runKB + float64(c.nKeys)*c.s.KeyKB + more) / c.s.MemoryKB
}

// crowd is how many running requests this server survives now, warming no faster than it must.
func (c *Controller) crowd() float64 {
	share := 1.0
	if c.s.ColdStart && c.s.WarmUpTime > 0 {
		share = math.Min(1, c.s.WarmUpMinSpeed+(1-c.s.WarmUpMinSpeed)*float64(c.now-c.born)/float64(c.s.WarmUpTime))
	}
	return float64(c.s.Cores) * (1 + (c.s.MaxConcurrencyPerCore-1)*share)
}

func (c *Controller) inHand() int { return c.n[calling] + len(c.lingers) }

// callBound is how many calls may be in hand at once.
func (c *Controller) callBound() float64 { return math.Max(1, callsHand*c.share) }

// callBurst is what may be spent at once beside callsMean of the share: they stay under the share over the
// dependency's window, however long calls take, by resting. Guards against all servers calling as it slows
// down; harm where others leave room, which nobody tells.
func (c *Controller) callBurst() float64 {
	return (1 - callsMean) * c.share * c.s.CallConcurrencyWindow.Seconds()
}

// callWait is how long so many calls wait.
func (c *Controller) callWait(calls float64) time.Duration {
	rate := math.Min(callsMean*c.share, c.callBound())
	return seconds(math.Max(0, calls*c.callNow()-math.Max(c.callStock, 0)) / rate)
}

// grantCalls lets the waiting calls go, the earliest due first, and ends those that cannot help any more.
func (c *Controller) grantCalls() {
	idle := func(r *request) bool { return r.state != atCall || r.answered }
	wait := slices.DeleteFunc(slices.Clone(c.order), idle)
	slices.SortStableFunc(wait, c.byDue)
	need := math.Min(callSure*c.callNow(), callFull*c.callBurst())
	for _, r := range wait {
		k := c.classes[r.Class]
		switch {
		case c.now > c.lastUse(r) && k.LateWeightShare == 0 && k.Idempotency == Idempotent:
			c.fail(r)
		case r.since > c.now: // turned away a moment ago
		case float64(c.inHand()+1) <= c.callBound() && c.callStock >= need:
			patience := r.due - c.now
			if c.share < math.Inf(1) { // what is in stock, split among all that may be in hand
				patience = min(patience, seconds(c.callStock/c.callBound())-c.s.AbandonedCallTime)
			}
			c.enter(r, calling)
			c.do(Call{ID: r.ID, Timeout: max(patience, tick)})
		case k.SkippedCallWeightShare > 0 && c.now+c.serviceOf(r) > c.lastUse(r):
			c.enter(r, running)
			c.do(SkipCall{r.ID})
		}
	}
}

func (c *Controller) callDone(e CallFinished) {
	r := c.live[e.ID]
	if r == nil || r.state != calling {
		return
	}
	if e.Outcome == OutcomeTimeout && c.s.AbandonedCallTime > 0 {
		c.lingers = append(c.lingers, c.now+c.s.AbandonedCallTime) // it is still in the dependency's hands
	}
	if e.Outcome == OutcomeOK {
		c.callTime.add(e.Took.Seconds())
		c.callsDone++
		r.calls++
		c.enter(r, running)
		return
	}
	c.enter(r, atCall)
	r.since = c.now + callPause<<min(r.failed, 6) // no storm of calls on what is already full
	r.failed++
	final := c.classes[r.Class].Idempotency != Idempotent || r.failed >= callTries
	if !e.Outcome.provesNotRun() && final && !r.answered {
		c.fail(r) // may have taken effect: never called again
	}
}

// ---- Guard: connections.

// hear notes how long the caller of r had been away, in doublings of keepMin; the last stands for ever.
func (c *Controller) hear(r *request) {
	i := len(c.gaps) - 1
	if last, known := c.heard[r.Caller]; known {
		i = int(clamp(math.Ceil(math.Log2(float64(max(r.at-last, 1))/float64(keepMin))), 0, float64(i)))
	}
	c.gaps[i]++
	c.heard[r.Caller] = c.now
}

// closeIdle keeps idle connections for as long as returning callers pay for. Guards against tables full of
// callers that hardly return, which shut others out; harm where a handshake is far dearer than connWorth.
func (c *Controller) closeIdle() {
	best, low, later, idle := time.Duration(0), math.Inf(1), 0.0, 0.0
	for i := range c.gaps {
		later += c.gaps[i]
	}
	for i, n := range c.gaps[:len(c.gaps)-1] {
		t := min(keepMin<<i, c.s.MaxKeepAlive)
		later -= n
		idle += n * t.Seconds()
		if cost := later + (idle+later*t.Seconds())/connWorth; cost < low {
			best, low = t, cost
		}
		c.gaps[i] *= gapFade
	}
	c.gaps[len(c.gaps)-1] *= gapFade
	if low > 0 && best != c.kept {
		c.kept = best
		c.do(CloseIdleConnections{IdleTimeout: best})
	}
	maps.DeleteFunc(c.heard, func(_ uint32, t time.Duration) bool { return c.now-t > c.s.MaxKeepAlive })
}

// ---- Health and signals.

// diagnose tells callers of a machine that hangs or fails, or cannot do even its worthiest work in time: it
// turns that away at once, which draws callers that count what is open, more than they sent before. The
// evidence fades, so that it is taken back.
func (c *Controller) diagnose() {
	was, wasGood := c.sick, c.sick == "" && !c.useless
	c.sick = ""
	if c.errs >= errRuns && c.errs > errBad*c.runs {
		c.sick = "failing"
	} else if c.n[running] > 0 && c.stuck > hungRuns*c.slotTime.v*c.okayPace {
		c.sick = "hung"
	}
	top := slices.MaxFunc(c.current, func(a, b *class) int { return cmp.Compare(a.Weight, b.Weight) })
	c.useless = c.pace > slowPace && top.gone >= goneSure && top.gone > useless*top.seen
	if good := c.sick == "" && !c.useless; !c.drained && (good != wasGood || c.sick != was) {
		c.do(SetHealth{Healthy: good, Cached: true})
		c.do(Log{Text: fmt.Sprintf("health: %v, %q after %q, %.0f%% errors, pace %.1f, %.0f of %.0f turned away",
			good, c.sick, was, 100*c.errs/math.Max(c.runs, 1), c.pace, top.gone, top.seen)})
	}
}

// signal sets the free value from the share of arrivals turned away, in small steps: callers hear it late.
func (c *Controller) signal() {
	if c.now < c.nextSay || c.s.LoadSignal == LoadSignalNone {
		return
	}
	c.nextSay = c.now + sayEvery
	pick := func(shut, more, less float64) float64 {
		if c.drained || c.sick != "" {
			return shut
		} else if c.shedNow > shedFew*c.readNow {
			return more
		}
		return less
	}
	v, most := c.said, 1-1/float64(len(c.current)) // the class of most worth is always asked for
	switch c.s.LoadSignal {
	case LoadSignalWeight: // never zero: a caller that never comes never hears better
		v = clamp(v*pick(0, weightDown, weightUp), weightMin, 1)
	case LoadSignalThreshold:
		if v = clamp(v+pick(1, floorUp, -floorDown), 0, pick(1, most, most)); c.useless {
			v = 1
		}
	default:
		v = c.allowance()
	}
	c.shedNow, c.readNow, c.mostOpen = 0, 0, 0
	if v != c.said {
		c.said = v
		c.do(SetLoadSignal{Value: v})
	}
}

// allowance is how many requests a caller may have open here. It grows while the cores idle and a caller uses
// it up, and shrinks as work is held and turned away. Guards against an even split, which shuts out the few
// callers that send most of the work while the cores idle; never far below it, as a caller that hears nothing
// for SignalHeeded sends without bound what other servers did not let it.
func (c *Controller) allowance() float64 {
	over := c.heldMean/c.limit/heldGoal + c.shed/math.Max(c.read, 1)/shedGoal
	factor := clamp(1+idleGain*(1-c.busy)-overGain*over, weightDown, weightUp)
	if c.drained || c.sick != "" {
		factor = weightDown
	} else if float64(c.mostOpen) < math.Floor(c.said) {
		factor = math.Min(factor, 1) // no caller asks for more
	}
	least := allowLeast * float64(c.s.Cores) / math.Max(1, float64(c.s.Callers))
	return clamp(c.said*factor, least, math.Max(least, allowMost*c.limit))
}
