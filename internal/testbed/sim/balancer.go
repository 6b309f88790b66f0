package sim

import (
	"fmt"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// BalancerComparison compares ways to choose a server, all with the same traffic, servers, troubles and retry budgets.
type BalancerComparison struct {
	Servers    int
	Load       float64 // of what all servers can do
	Length     microtime.Time
	Impairment string // see Troubles
	Seed       uint64
	Warm       bool // the instance starts with what a running one knows
}

// Impairments and Policies are what Routes knows.
var (
	Impairments = []string{"none", "slow", "cold", "dying", "dead", "overload"}
	Policies    = []string{"fleet", "least open", "round robin", "random"}
)

// PolicyResult is how a policy did.
type PolicyResult struct {
	Policy        string
	P50, P99      microtime.Time // of what was served
	OnTime        float64        // served within the aim, of all
	Amplification float64        // tries for each request
	Wasted        int            // tries at servers that were dead
	EarlyOnTime   float64        // of the first ten seconds
}

const (
	routeCores  = 2
	routeWork   = 60 * microtime.Millisecond
	routeQueue  = 60
	routeAim    = 1800 * microtime.Millisecond
	routeDue    = 4500 * microtime.Millisecond
	routeConnTO = microtime.Second
)

// routeServer is a queue before a few cores.
type routeServer struct {
	name    string
	factor  float64 // its work takes so many times as long
	born    microtime.Time
	cold    bool
	silent  bool // it takes what is sent and answers nothing
	refused bool // nobody listens
	busy    int
	queue   []func()
}

type routeWorld struct {
	o       BalancerComparison
	w       *simnet.World
	rng     *rand.Rand
	servers []*routeServer
	policy  string
	fleet   *loadbalancer.Balancer
	att     *loadbalancer.RetryPolicy
	open    map[string]int
	turn    int
	hist    *hdrhistogram.Histogram
	asked   int
	tries   int
	inTime  int
	wasted  int
	first   [2]int // of the first ten seconds: asked, in time
}

// Run plays every policy.
func (o BalancerComparison) Run() (out []PolicyResult, err error) {
	for _, p := range Policies {
		r, err := o.run(p)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func (o BalancerComparison) run(policy string) (PolicyResult, error) {
	l := &routeWorld{o: o, w: simnet.NewWorld(o.Seed), policy: policy, open: map[string]int{}, hist: hdrhistogram.New(1, 10_000_000, 2)}
	l.rng = l.w.Fork(o.Seed, "routes") // the same traffic for each policy
	var err error
	if l.fleet, err = loadbalancer.New(loadbalancer.Config{Classes: 1}, o.Seed); err != nil {
		return PolicyResult{}, err
	}
	if l.att, err = loadbalancer.NewRetryPolicy(loadbalancer.RetryConfig{}); err != nil {
		return PolicyResult{}, err
	}
	for i := range o.Servers {
		s := &routeServer{name: fmt.Sprintf("s%d", i), factor: 1, born: simnet.Start - 60*microtime.Second}
		l.servers = append(l.servers, s)
		l.fleet.Add(l.w.Now(), s.name)
	}
	if err := l.trouble(); err != nil {
		return PolicyResult{}, err
	}
	rate := o.Load * float64(o.Servers*routeCores) / routeWork.Duration().Seconds()
	for at := 0.0; at < o.Length.Duration().Seconds(); at += l.rng.ExpFloat64() / rate {
		work := microtime.Time(float64(routeWork) * (0.2 + 0.8*l.rng.ExpFloat64()))
		l.w.At(simnet.Start+microtime.Time(at*1e6), func() { l.ask(work) })
	}
	l.w.Run(simnet.Start + o.Length + 10*microtime.Second)
	r := PolicyResult{Policy: policy, P50: microtime.Time(l.hist.ValueAtQuantile(50)), P99: microtime.Time(l.hist.ValueAtQuantile(99)),
		OnTime: float64(l.inTime) / float64(max(l.asked, 1)), Amplification: float64(l.tries) / float64(max(l.asked, 1)), Wasted: l.wasted,
		EarlyOnTime: float64(l.first[1]) / float64(max(l.first[0], 1))}
	return r, nil
}

// trouble sets up what goes wrong.
func (l *routeWorld) trouble() error {
	s, third := l.servers[0], l.o.Length/3
	switch l.o.Impairment {
	case "none", "overload":
	case "slow": // from a third of the run on
		l.w.In(third, func() { s.factor = 5 })
	case "cold": // it comes back after a third at a quarter of its speed
		s.refused = true
		l.w.In(third, func() { s.refused, s.cold, s.born = false, true, l.w.Now() })
	case "dying": // it falls silent, then nobody listens
		l.w.In(third, func() { s.silent = true })
		l.w.In(third+3*microtime.Second, func() { s.silent, s.refused, s.queue, s.busy = false, true, nil, 0 })
	case "dead": // from before the start
		s.silent = true
	default:
		return fmt.Errorf("lab: trouble: unknown %q; there are %v", l.o.Impairment, Impairments)
	}
	if l.o.Warm && (s.silent || s.refused) {
		l.fleet.ApplyGossip(l.w.Now(), "new", loadbalancer.GossipSender{Name: "old", Uptime: 600 * microtime.Second},
			[]loadbalancer.Observation{{Endpoint: s.name, Kind: loadbalancer.Unreachable, Evidence: 10, Age: microtime.Second, Source: "old", Hops: 1}})
	}
	return nil
}

// asking is one request.
type asking struct {
	work  microtime.Time
	born  microtime.Time
	tries int
	avoid []string
	over  bool
}

func (l *routeWorld) ask(work microtime.Time) {
	q := &asking{work: work, born: l.w.Now()}
	l.asked++
	if l.early(q) {
		l.first[0]++
	}
	l.att.RecordFirstAttempt(l.w.Now(), 1)
	l.send(q)
}

func (l *routeWorld) early(q *asking) bool { return q.born < simnet.Start+10*microtime.Second }

// pick chooses a server by the policy.
func (l *routeWorld) pick(q *asking) (loadbalancer.Choice, bool) {
	n := len(l.servers)
	switch l.policy {
	case "fleet":
		return l.fleet.Pick(l.w.Now(), loadbalancer.Request{Idempotent: true, Cheap: true, Exclude: q.avoid})
	case "round robin":
		l.turn++
		return loadbalancer.Choice{Endpoint: l.servers[l.turn%n].name}, true
	case "random":
		return loadbalancer.Choice{Endpoint: l.servers[l.w.Rand().IntN(n)].name}, true
	}
	best, at := "", 0
	for i := range n {
		s := l.servers[(l.turn+i)%n].name
		if best == "" || l.open[s] < at {
			best, at = s, l.open[s]
		}
	}
	l.turn++
	return loadbalancer.Choice{Endpoint: best}, true
}

func (l *routeWorld) send(q *asking) {
	c, ok := l.pick(q)
	if !ok {
		return // turned away at once
	}
	var s *routeServer
	for _, o := range l.servers {
		if o.name == c.Endpoint {
			s = o
		}
	}
	q.tries++
	l.tries++
	q.avoid = append(q.avoid, s.name)
	l.open[s.name]++
	l.fleet.AttemptStarted(l.w.Now(), c)
	sent, done := l.w.Now(), false
	end := func(r loadbalancer.Result) {
		if done {
			return
		}
		done = true
		l.open[s.name]--
		r.Latency = l.w.Now() - sent
		l.fleet.AttemptEnded(l.w.Now(), c, r)
		l.ended(q, r)
	}
	if s.silent || s.refused {
		l.wasted++
	}
	if s.refused {
		l.w.In(microtime.Millisecond, func() { end(loadbalancer.Result{Outcome: loadbalancer.ConnectFailed}) })
		return
	}
	l.w.At(max(min(q.born+routeDue, sent+routeConnTO), sent), func() {
		if s.silent || l.w.Now() >= q.born+routeDue {
			end(loadbalancer.Result{Outcome: loadbalancer.TimedOut})
		}
	})
	if s.silent {
		return
	}
	if len(s.queue) >= routeQueue {
		l.w.In(microtime.Millisecond, func() {
			end(loadbalancer.Result{Outcome: loadbalancer.Rejected, RetryAfter: 200 * microtime.Millisecond})
		})
		return
	}
	s.queue = append(s.queue, func() {
		s.busy++
		factor := s.factor
		if s.cold {
			factor /= min(1, 0.24+0.76*float64(l.w.Now()-s.born)/float64(17*microtime.Second))
		}
		l.w.In(microtime.Time(float64(q.work)*factor), func() {
			if s.silent || s.refused {
				return
			}
			s.busy--
			end(loadbalancer.Result{Outcome: loadbalancer.Succeeded})
			s.next()
		})
	})
	s.next()
}

func (s *routeServer) next() {
	for s.busy < routeCores && len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		f()
	}
}

func (l *routeWorld) ended(q *asking, r loadbalancer.Result) {
	now := l.w.Now()
	if q.over {
		return
	}
	if r.Outcome == loadbalancer.Succeeded {
		q.over = true
		l.att.RecordSuccess(now, 1)
		_ = l.hist.RecordValue(int64(now - q.born)) // within the histogram's range, as the run ends before
		if now <= q.born+routeAim {
			l.inTime++
			if l.early(q) {
				l.first[1]++
			}
		}
		return
	}
	v := l.att.Decide(now, loadbalancer.FailedAttempt{Caller: 1, Idempotent: true, Attempts: q.tries, Outcome: r.Outcome, EarliestFinish: now + routeWork, Deadline: q.born + routeDue})
	if v == loadbalancer.RetryElsewhere {
		l.send(q)
	} else {
		q.over = true
	}
}
