// Package loadbalancer decides how one instance uses many log servers: which server gets a try, how many requests may be
// open there, when one that looks bad is tried again and by which request, how much of the traffic a server gets that
// has come back, whether a request is tried again, and what advice from another instance is worth.
//
// It does no I/O, starts no goroutine and reads no clock: the host gives the time with every call. Randomness comes
// from a seed; the same calls give the same answers.
package loadbalancer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"pewterline/internal/microtime"
)

// State is what one instance takes a server for.
type State uint8

// The states of a server.
const (
	Unobserved State = iota // nothing is known of it by our own observation
	Up                      // it answers
	Warming                 // it has come back, and gets a growing part of the traffic
	Suspect                 // it failed lately; safe and cheap requests find out
	Down                    // nobody listens there, or several tries in a row came to nothing
	Draining                // it takes nothing new
)

var stateNames = [...]string{"fresh", "up", "warming", "suspect", "down", "draining"}

func (s State) String() string { return stateNames[s] }

// Outcome is how a try at a server ended.
type Outcome uint8

// The outcomes of a try.
const (
	Succeeded      Outcome = iota
	Rejected               // it never ran; After and Last may come with it
	Failed                 // the server says so; it may have run
	TimedOut               // no answer while it was waited for; it may have run
	ConnectionLost         // the connection ended after the request was written; it may have run
	ConnectFailed          // nobody took the connection: nothing was written
	Cancelled              // we gave it up; it tells nothing of the server
)

// ProvesNotExecuted says that the outcome proves that nothing ran.
func (o Outcome) ProvesNotExecuted() bool { return o == Rejected || o == ConnectFailed }

// Config are the figures of the decisions. Zero values take the defaults.
type Config struct {
	Classes              int            // of requests, by number from 0 on
	SuspectAfterFailures int            // failures in a row after which a server is suspect
	DownAfterFailures    int            // and after which it is down
	InitialProbeBackoff  microtime.Time // after which a suspect is tried again; doubled with each failure
	MaxProbeBackoff      microtime.Time
	SlowStart            microtime.Time // how long a server that came back gets less than its part
	SlowStartShare       float64        // the part that it gets at first
	MaxEjectedShare      float64        // share of the servers that may be left out for looking bad; beyond it, routing goes among all
	InitialConcurrency   float64        // open requests at a server before anything is learned
	MaxConcurrency       float64
	GossipThreshold      float64 // weight of hearsay from which on it counts against a server we know nothing of
	GossipHopFactor      float64 // part of its weight that a fact keeps from hand to hand
}

func (c *Config) defaults() {
	set := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	setTime := func(v *microtime.Time, d microtime.Time) {
		if *v == 0 {
			*v = d
		}
	}
	if c.SuspectAfterFailures == 0 {
		c.SuspectAfterFailures = 2
	}
	if c.DownAfterFailures == 0 {
		c.DownAfterFailures = 5
	}
	setTime(&c.InitialProbeBackoff, 250*microtime.Millisecond)
	setTime(&c.MaxProbeBackoff, 8*microtime.Second)
	setTime(&c.SlowStart, 15*microtime.Second)
	set(&c.SlowStartShare, 0.2)
	set(&c.MaxEjectedShare, 0.5)
	set(&c.InitialConcurrency, 8)
	set(&c.MaxConcurrency, 256)
	set(&c.GossipThreshold, 1)
	set(&c.GossipHopFactor, 0.5)
}

// Validate tells the first figure that makes no sense.
func (c Config) Validate() error {
	c.defaults()
	switch {
	case c.Classes < 1 || c.Classes > 64:
		return fmt.Errorf("fleet: classes: %d is not within 1 to 64", c.Classes)
	case c.SuspectAfterFailures < 1 || c.DownAfterFailures < c.SuspectAfterFailures:
		return fmt.Errorf("fleet: suspect_after, down_after: %d and %d are not in order", c.SuspectAfterFailures, c.DownAfterFailures)
	case c.InitialProbeBackoff <= 0 || c.MaxProbeBackoff < c.InitialProbeBackoff:
		return fmt.Errorf("fleet: probe_first, probe_most: %v and %v are not in order", c.InitialProbeBackoff.Duration(), c.MaxProbeBackoff.Duration())
	case !(c.SlowStartShare > 0 && c.SlowStartShare <= 1):
		return fmt.Errorf("fleet: warm_from: %v is not within 0 to 1", c.SlowStartShare)
	case !(c.MaxEjectedShare >= 0 && c.MaxEjectedShare < 1):
		return fmt.Errorf("fleet: eject_most: %v is not within 0 to under 1", c.MaxEjectedShare)
	case !(c.InitialConcurrency >= 1 && c.MaxConcurrency >= c.InitialConcurrency):
		return fmt.Errorf("fleet: limit_first, limit_most: %v and %v are not in order", c.InitialConcurrency, c.MaxConcurrency)
	case !(c.GossipHopFactor > 0 && c.GossipHopFactor < 1):
		return fmt.Errorf("fleet: hearsay_keep: %v is not within 0 to 1", c.GossipHopFactor)
	}
	return nil
}

// Balancer is what one instance knows of the servers by its own observation.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	members []*member // in the order they came, so that nothing depends on a map's
	byName  map[string]*member
	usual   []latency // of each class, over all servers
	told    GossipTable
}

// member is one server.
type member struct {
	name    string
	state   State
	since   microtime.Time // it is in that state
	failed  int            // tries in a row
	failAt  microtime.Time // the last of them
	probeAt microtime.Time // where it is suspect or down
	probing bool
	wait    microtime.Time // until the next probe after that
	shut    microtime.Time // it asked to be left alone until then
	open    int
	busy    microtime.Time // since something has been open there
	limit   limit
	lat     []latency
	heard   microtime.Time // it last answered anything
	born    microtime.Time // it came back, as far as we saw; -1: not seen
	seen    int            // own observations
}

// New returns a fleet without servers.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.defaults()
	return &Balancer{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x666c6565)), byName: map[string]*member{}, usual: make([]latency, cfg.Classes),
		told: NewGossipTable(cfg.GossipHopFactor)}, nil
}

// Add takes a server up; one that is known already stays as it is.
func (f *Balancer) Add(now microtime.Time, name string) {
	if f.byName[name] != nil {
		return
	}
	m := &member{name: name, since: now, born: -1, limit: limit{most: f.cfg.InitialConcurrency}, lat: make([]latency, f.cfg.Classes)}
	f.byName[name] = m
	f.members = append(f.members, m)
}

// Remove drops a server that is no longer in the list.
func (f *Balancer) Remove(name string) {
	m := f.byName[name]
	if m == nil {
		return
	}
	delete(f.byName, name)
	for i, o := range f.members {
		if o == m {
			f.members = append(f.members[:i], f.members[i+1:]...)
			return
		}
	}
}

// Request is what Pick needs to know of a request.
type Request struct {
	Class      int
	Idempotent bool     // it may run twice
	Cheap      bool     // it costs little, so that it may find out whether a server is back
	Exclude    []string // servers that were tried already
}

// Choice is where a try goes.
type Choice struct {
	Endpoint string
	Probe    bool // it finds out whether the server is back
}

// peakFades is after how long without an answer the peak of a server counts half.
const peakFades = 2 * microtime.Second

// explore: one safe choice in so many takes the first drawn.
const explore = 32

// draws are the servers that a choice is made from. Two are enough to keep queues short; four came nearer to the least
// of all in our measurements, and still spread what many instances send.
const draws = 4

// Pick chooses the server for a try: of a few drawn at random, the one with the soonest expected finish, as in
// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001). A suspect whose time has come is
// tried first by a request that is safe and cheap, and never by an intake. false: none will take it now.
//
// Pick changes nothing but the marks of a probe; Sent must follow.
func (f *Balancer) Pick(now microtime.Time, t Request) (Choice, bool) {
	f.listen(now)
	if t.Idempotent && t.Cheap {
		for _, m := range f.members {
			if f.looksBad(now, m) && m.state != Draining && !m.probing && now >= max(m.probeAt, m.shut) && !avoided(t, m) {
				return Choice{m.name, true}, true
			}
		}
	}
	good, all := f.candidates(now, t)
	from := good
	// Bounded ejection: where most look bad, it is likelier that we are, or that all are slow; the last few must not be
	// crowded. Then the limits alone hold.
	if f.ejected(now) > f.cfg.MaxEjectedShare {
		from = all
	}
	if len(from) == 0 {
		return Choice{}, false
	}
	best := f.draw(now, from)
	if t.Idempotent && f.rng.IntN(explore) == 0 { // so that each server is heard of, also one that never looks best
		return Choice{Endpoint: best.name}, true
	}
	for range draws - 1 {
		// One that warms can only be the first drawn, so that its part stays what its warmth says, however fast it seems.
		if b := f.draw(now, from); b.state != Warming && f.expected(now, b, t.Class) < f.expected(now, best, t.Class) {
			best = b
		}
	}
	return Choice{Endpoint: best.name}, true
}

func avoided(t Request, m *member) bool {
	for _, a := range t.Exclude {
		if a == m.name {
			return true
		}
	}
	return false
}

// candidates lists who may take a try: those that look good, and all that are not known to take nothing. Whom the
// request has tried already comes in only where there is nobody else.
func (f *Balancer) candidates(now microtime.Time, t Request) (good, all []*member) {
	for _, again := range []bool{false, true} {
		for _, m := range f.members {
			if m.state == Draining || now < m.shut || float64(m.open) >= m.limit.most*f.warmth(now, m) && m.open > 0 || avoided(t, m) != again {
				continue
			}
			all = append(all, m)
			if !f.looksBad(now, m) {
				good = append(good, m)
			}
		}
		if len(good) > 0 {
			break
		}
	}
	return good, all
}

// SilenceTimeout is how long a server with something open may say nothing at all before it is suspect: some times what
// requests usually take, within bounds.
func (f *Balancer) SilenceTimeout() microtime.Time {
	usual := microtime.Time(0)
	for i := range f.usual {
		usual = max(usual, f.usual[i].quantile(0.95))
	}
	return min(max(silenceTimes*usual, silenceLeast), silenceMost)
}

const (
	silenceTimes = 3
	silenceLeast = 300 * microtime.Millisecond
	silenceMost  = 2 * microtime.Second
)

// listen makes suspects of servers that have fallen silent. Guards against a machine that is gone without a word: its
// connections stay open, and what is sent on them waits for its whole time. Found by measuring what advice is worth:
// the instances that should have told of a dead server had it for up, seconds after it had gone.
func (f *Balancer) listen(now microtime.Time) {
	patience := f.SilenceTimeout()
	for _, m := range f.members {
		if m.open == 0 || m.state == Down || m.state == Suspect || m.state == Draining {
			continue
		}
		if now-max(m.busy, m.heard) > patience {
			m.failed = max(m.failed, f.cfg.SuspectAfterFailures-1)
			f.failed(now, m, TimedOut)
		}
	}
}

// looksBad says that a server is left out unless most are.
func (f *Balancer) looksBad(now microtime.Time, m *member) bool {
	switch m.state {
	case Suspect, Down, Draining:
		return true
	case Unobserved:
		return f.told.FailureWeight(now, m.name) >= f.cfg.GossipThreshold
	}
	return false
}

// ejected is the share of servers that look bad.
func (f *Balancer) ejected(now microtime.Time) float64 {
	n := 0
	for _, m := range f.members {
		if f.looksBad(now, m) {
			n++
		}
	}
	return float64(n) / float64(max(len(f.members), 1))
}

// warmth is the part of its traffic that a server gets: less than 1 while it warms.
func (f *Balancer) warmth(now microtime.Time, m *member) float64 {
	if m.state != Warming {
		return 1
	}
	return min(1, f.cfg.SlowStartShare+(1-f.cfg.SlowStartShare)*float64(now-m.since)/float64(f.cfg.SlowStart))
}

// draw draws a server by its warmth.
func (f *Balancer) draw(now microtime.Time, from []*member) *member {
	for range 8 {
		m := from[f.rng.IntN(len(from))]
		if w := f.warmth(now, m); w >= 1 || f.rng.Float64() < w {
			return m
		}
	}
	return from[f.rng.IntN(len(from))]
}

// expected grows with when a request would be done there, in microseconds: what one takes, for itself and for each that
// is open there already (the cost of Finagle's peak EWMA balancer). It is for comparing; Finishes does not count the
// open ones, as they run side by side.
func (f *Balancer) expected(now microtime.Time, m *member, class int) float64 {
	own := m.lat[class].peak
	if m.lat[class].n == 0 {
		own = f.usual[class].mean
		if slow, ok := f.told.Latency(now, m.name); ok && own > 0 {
			own = max(own, slow)
		}
	}
	// A peak that nothing has been sent to confirm fades towards what is usual. Guards against a server that one slow answer
	// keeps out of every choice, so that nobody finds out that it is fast again, or gone.
	if usual := f.usual[class].mean; own > usual && m.open == 0 {
		own = usual + (own-usual)*math.Exp2(-float64(now-m.heard)/float64(peakFades))
	}
	if own == 0 {
		own = float64(100 * microtime.Millisecond)
	}
	return own * float64(1+m.open) / f.warmth(now, m)
}

// AttemptStarted says that a try went to a server.
func (f *Balancer) AttemptStarted(now microtime.Time, c Choice) {
	m := f.byName[c.Endpoint]
	if m == nil {
		return
	}
	if m.open == 0 {
		m.busy = now
	}
	m.open++
	if c.Probe {
		m.probing = true
	}
}

// Result is how a try ended.
type Result struct {
	Class      int
	Outcome    Outcome
	Latency    microtime.Time
	RetryAfter microtime.Time // Refused: how long to leave the server alone
	NoRetry    bool           // Refused: and no other should be tried
}

// AttemptEnded says how a try at a server ended.
func (f *Balancer) AttemptEnded(now microtime.Time, c Choice, r Result) {
	m := f.byName[c.Endpoint]
	if m == nil {
		return
	}
	m.open = max(m.open-1, 0)
	if c.Probe {
		m.probing = false
	}
	if r.Outcome == Cancelled {
		return
	}
	m.seen++
	switch r.Outcome {
	case Succeeded, Rejected:
		f.answered(now, m)
		if r.Outcome == Succeeded {
			m.lat[r.Class].add(float64(r.Latency))
			f.usual[r.Class].add(float64(r.Latency))
			m.limit.served(m.lat[r.Class], m.open, f.cfg.MaxConcurrency)
		} else {
			m.shut = max(m.shut, now+r.RetryAfter)
			m.limit.refused()
		}
	case Failed:
		m.heard = now // it speaks, but what it says is no work done
		m.limit.refused()
	default:
		f.failed(now, m, r.Outcome)
	}
}

// answered says that a server is there.
func (f *Balancer) answered(now microtime.Time, m *member) {
	m.heard, m.failed, m.wait = now, 0, 0
	switch m.state {
	case Unobserved:
		f.enter(now, m, Up)
	case Down:
		m.born = now // the life we knew has ended
		m.lat = make([]latency, f.cfg.Classes)
		m.limit = limit{most: f.cfg.InitialConcurrency}
		f.enter(now, m, Warming)
	case Suspect:
		f.enter(now, m, Warming)
		m.since -= f.cfg.SlowStart / 2 // it may only have been slow
	case Warming:
		if now >= m.since+f.cfg.SlowStart {
			f.enter(now, m, Up)
		}
	}
}

// failed counts a try that came to nothing.
func (f *Balancer) failed(now microtime.Time, m *member, o Outcome) {
	m.failed, m.failAt = m.failed+1, now
	m.limit.refused()
	switch {
	case o == ConnectFailed || m.failed >= f.cfg.DownAfterFailures:
		f.enter(now, m, Down)
	case m.failed >= f.cfg.SuspectAfterFailures || m.state == Suspect || m.state == Warming:
		if m.state != Down {
			f.enter(now, m, Suspect)
		}
	default:
		return
	}
	// The next probe comes later each time, spread so that many instances do not come at once.
	m.wait = min(max(2*m.wait, f.cfg.InitialProbeBackoff), f.cfg.MaxProbeBackoff)
	if f.told.FailureWeight(now, m.name) >= f.cfg.GossipThreshold/2 { // others have found the same
		m.wait = max(m.wait, f.cfg.MaxProbeBackoff/2)
	}
	m.probeAt = now + m.wait/2 + microtime.Time(f.rng.Int64N(int64(m.wait)))
}

func (f *Balancer) enter(now microtime.Time, m *member, s State) {
	if m.state != s {
		m.state, m.since = s, now
	}
}

// MarkDraining says that a server has bidden farewell: it takes nothing new. Gone says that it has ended after that.
func (f *Balancer) MarkDraining(now microtime.Time, name string) {
	if m := f.byName[name]; m != nil && m.state != Down {
		f.enter(now, m, Draining)
	}
}

// MarkDrained says that a server that was leaving has closed its last connection.
func (f *Balancer) MarkDrained(now microtime.Time, name string) {
	if m := f.byName[name]; m != nil && m.state == Draining {
		f.enter(now, m, Down)
		m.wait = f.cfg.InitialProbeBackoff
		m.probeAt = now + m.wait
	}
}

// EndpointStatus is what is known of a server, for people and for other instances.
type EndpointStatus struct {
	Name             string
	State            State
	InState          microtime.Time // it has been in that state
	InFlight         int
	ConcurrencyLimit float64
	P50              microtime.Time // of what it served, over all classes
	P95              microtime.Time
	SinceAnswer      microtime.Time // since it last answered; -1: never
	SinceRecovery    microtime.Time // since it came back; -1: not seen
	RetryAfter       microtime.Time // it asks to be left alone for so long yet
	Observed         int
	GossipWeight     float64 // weight of what others say against it
}

// Endpoints lists the servers in the order they came.
func (f *Balancer) Endpoints(now microtime.Time) []EndpointStatus {
	out := make([]EndpointStatus, 0, len(f.members))
	for _, m := range f.members {
		v := EndpointStatus{Name: m.name, State: m.state, InState: now - m.since, InFlight: m.open, ConcurrencyLimit: m.limit.most, SinceAnswer: -1, SinceRecovery: -1,
			RetryAfter: max(m.shut-now, 0), Observed: m.seen, GossipWeight: f.told.FailureWeight(now, m.name)}
		if m.heard > 0 {
			v.SinceAnswer = now - m.heard
		}
		if m.born >= 0 {
			v.SinceRecovery = now - m.born
		}
		var all latency
		for i := range m.lat {
			all.merge(m.lat[i])
		}
		v.P50, v.P95 = all.quantile(0.5), all.quantile(0.95)
		out = append(out, v)
	}
	return out
}

// HedgeDelay is when a second copy of a slow safe read may go out: at the quantile of what reads of its class usually
// take, as in J. Dean and L. Barroso, "The Tail at Scale" (2013). Never while too little is known.
func (f *Balancer) HedgeDelay(class int, quantile float64) microtime.Time {
	if f.usual[class].n < 50 {
		return microtime.Never
	}
	return f.usual[class].quantile(quantile)
}

// EarliestFinish tells when a try that is sent now would be done, at best; Never if no server takes it.
func (f *Balancer) EarliestFinish(now microtime.Time, t Request) microtime.Time {
	good, all := f.candidates(now, t)
	if f.ejected(now) > f.cfg.MaxEjectedShare {
		good = all
	}
	best := math.Inf(1)
	for _, m := range good {
		best = min(best, f.expected(now, m, t.Class)/float64(1+m.open))
	}
	if math.IsInf(best, 1) {
		return microtime.Never
	}
	return now + microtime.Time(best)
}
