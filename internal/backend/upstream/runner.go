// Package upstream has the work done by log servers, over connections made on demand: the program as an edge. What goes
// where, and what is tried again, the packages under decide say; here it is carried out.
package upstream

import (
	"slices"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/peers"
)

const (
	// RemovedEndpointRetention is how long a server that was taken out of the list is still known: past any window, as an intake that may
	// have run there goes nowhere else.
	RemovedEndpointRetention = 600 * microtime.Second
	// sweepEvery is how often idle connections and servers that were taken out are looked for.
	sweepEvery = 5 * microtime.Second
	// declineAfter is the least time after which the caller of a run that no server takes is told to come back.
	declineAfter = 100 * microtime.Millisecond
)

// Core is told how runs end.
type Core interface {
	RunFinished(id string, end dispatch.RunOutcome, result []byte)
	RunDeclined(id string, after microtime.Time, last bool)
}

// EventLoop is what the runner needs of the event loop.
type EventLoop interface {
	peers.ExchangeEventLoop
	Rand() uint64 // need not be secret
}

// WallClock converts to the wall clock, in Unix milliseconds.
type WallClock interface {
	UnixMilli(t microtime.Time) int64
}

// Config says which log servers do the work, and by which settings. All but the list of servers holds until a restart.
type Config struct {
	config.Fleet
	Name     string // of this instance
	Settings control.Settings
}

// Backend hands runs to the log servers. All its methods are called on the loop.
type Backend struct {
	config    Config
	core      Core
	loop      EventLoop
	wall      WallClock
	logf      func(format string, args ...any)
	fleet     *loadbalancer.Balancer
	attempts  *loadbalancer.RetryPolicy
	members   []*member
	byName    map[string]*member
	runs      map[string]*run
	work      orderedset.Set[*run] // the same, in an order of its own
	pending   []*run               // that cannot be sent now; told in the turn's check, never from within Start
	sweepAt   microtime.Time
	wasted    int             // tries that came to nothing for want of a server
	exchange  *peers.Exchange // nil: this instance has no others to talk with
	unadvised []*run          // until its first advice
	scratch   []byte
}

// member is one log server.
type member struct {
	config.Member
	links   []*link
	removed microtime.Time // it was taken out of the list then; 0: it is in
}

// run is a run that has not ended.
type run struct {
	orderedset.Position
	dispatch.Run
	req      *dispatch.Request
	class    control.Class
	due      microtime.Time
	key      loadbalancer.IdempotencyKey
	keyed    bool
	tries    []*try // that are out
	count    int    // so far
	unproven int    // tries that were written and ended without proof that they did not run
	avoid    []string
	hedge    microtime.Time // when a second copy may go out; Never: not
	again    microtime.Time // when it is to be sent again; Never: it is out
	after    microtime.Time // of the last refusal
	last     bool
	declined bool
}

// unlessDoubtful is how a run ends without a result: as given, unless it is an intake that may have run.
func (q *run) unlessDoubtful(end dispatch.RunOutcome) dispatch.RunOutcome {
	if q.keyed && q.unproven > 0 {
		return dispatch.RunIndeterminate
	}
	return end
}

// New returns a runner without connections. Attach must follow. The error names a faulty figure of the decisions.
func New(cfg Config, wall WallClock, logf func(format string, args ...any)) (*Backend, error) {
	cfg.LoadBalancer.Classes = len(cfg.Settings.Classes)
	servers, err := loadbalancer.New(cfg.LoadBalancer, cfg.Settings.Seed)
	if err != nil {
		return nil, err
	}
	attempts, err := loadbalancer.NewRetryPolicy(cfg.Retries)
	if err != nil {
		return nil, err
	}
	r := &Backend{config: cfg, wall: wall, logf: logf, fleet: servers, attempts: attempts, byName: map[string]*member{}, runs: map[string]*run{}}
	for _, m := range cfg.Members {
		r.add(0, m)
	}
	return r, nil
}

// Attach ties the runner to its core and its loop.
func (r *Backend) Attach(core Core, loop EventLoop) {
	r.core, r.loop = core, loop
	if len(r.config.GossipPeers) > 0 {
		own := peers.ExchangeConfig{Name: r.config.Name, Address: r.config.GossipListen, Peers: r.config.GossipPeers, Seed: r.config.Settings.Seed}
		r.exchange = peers.NewExchange(own, loop, r.fleet, r.logf)
	}
}

// Exchange is where this instance and others tell each other of the log servers; nil: there are no others.
func (r *Backend) Exchange() *peers.Exchange { return r.exchange }

// WastedAttempts counts the tries that came to nothing for want of a server.
func (r *Backend) WastedAttempts() int { return r.wasted }

// Lookup tells whether a server is known, and whether it was taken out of the list.
func (r *Backend) Lookup(name string) (known, removed bool) {
	m := r.byName[name]
	return m != nil, m != nil && m.removed > 0
}

// add takes up a server that is not known yet.
func (r *Backend) add(now microtime.Time, listed config.Member) {
	m := &member{Member: listed}
	r.members = append(r.members, m)
	r.byName[m.Name] = m
	r.fleet.Add(now, m.Name)
}

func (r *Backend) now() microtime.Time { return r.loop.Now() }

// Start is part of routing.Runner.
func (r *Backend) Start(started dispatch.Run) {
	class := r.config.Settings.Classes[started.Request.Class]
	q := &run{Run: started, req: started.Request, class: class, hedge: microtime.Never, again: microtime.Never}
	q.due = q.req.ArrivedAt + microtime.FromDuration(q.class.Deadline)
	q.keyed, q.key = q.class.Idempotency == control.IdempotentByKey, loadbalancer.IdempotencyKey{Tenant: q.req.Tenant, Value: q.req.IdempotencyKey}
	r.runs[q.ID] = q
	r.work.Add(q)
	r.attempts.RecordFirstAttempt(r.now(), q.req.CallerID)
	r.route(q)
}

// UpdateEndpoints takes up a list of servers that was read anew. What is out stays out until it has ended; a server that was taken
// out gets nothing new but repeats of intakes that it may have run.
func (r *Backend) UpdateEndpoints(members []config.Member) {
	now := r.now()
	in := map[string]bool{}
	for _, m := range members {
		in[m.Name] = true
		if known := r.byName[m.Name]; known != nil {
			r.list(now, known, m.Address)
		} else {
			r.add(now, m)
		}
	}
	for _, m := range r.members {
		if !in[m.Name] && m.removed == 0 {
			m.removed = now
			r.fleet.Remove(m.Name)
		}
	}
}

// list takes up a server that is known and on the list. What is open at an address that it has left ends; new connections go to
// the new one.
func (r *Backend) list(now microtime.Time, m *member, address string) {
	if m.Address != address {
		m.Address = address
		for _, l := range m.links {
			l.closing = true
			l.closeAnswered()
		}
	}
	m.removed = 0
	r.fleet.Add(now, m.Name)
}

// ExpireRemoved drops servers that were taken out long ago.
func (r *Backend) ExpireRemoved(now microtime.Time) {
	r.members = slices.DeleteFunc(r.members, func(m *member) bool {
		drop := m.removed > 0 && now > m.removed+RemovedEndpointRetention && len(m.links) == 0
		if drop {
			delete(r.byName, m.Name)
		}
		return drop
	})
}

// Cancel is part of routing.Runner: the tries that are out are given up.
func (r *Backend) Cancel(id string) {
	if q := r.runs[id]; q != nil {
		r.withdraw(q, loadbalancer.Cancelled)
		r.finish(q, q.unlessDoubtful(dispatch.RunCancelled), nil)
	}
}

// RequestGauges is part of routing.Runner. The servers' gauges are their own.
func (r *Backend) RequestGauges() {}

func (r *Backend) drop(q *run) {
	delete(r.runs, q.ID)
	r.work.Remove(q)
}

func (r *Backend) finish(q *run, end dispatch.RunOutcome, result []byte) {
	r.drop(q)
	r.core.RunFinished(q.ID, end, result)
}

// Check does what is due by the clock; it returns when to look again.
func (r *Backend) Check(now microtime.Time) microtime.Time {
	pending := r.pending
	r.pending = nil
	for _, q := range pending {
		if r.runs[q.ID] == q && q.declined {
			r.decline(q)
		}
	}
	next := microtime.Never
	if now >= r.sweepAt {
		r.sweepAt = now + sweepEvery
		r.fleet.ExpireGossip(now)
		r.closeIdle(now)
		r.ExpireRemoved(now)
	}
	if r.exchange != nil {
		next = r.exchange.Check(now)
		if r.exchange.Ready(now) && len(r.unadvised) > 0 {
			r.routeUnadvised()
			next = now
		}
	}
	if len(r.runs) > 0 {
		next = min(next, r.checkRuns(now))
	}
	if len(pending) > 0 {
		next = now
	}
	return min(next, r.sweepAt)
}

// routeUnadvised sends the runs that waited for the first advice.
func (r *Backend) routeUnadvised() {
	unadvised := r.unadvised
	r.unadvised = nil
	for _, q := range unadvised {
		if r.runs[q.ID] == q {
			r.route(q)
		}
	}
}

func (r *Backend) checkRuns(now microtime.Time) microtime.Time {
	next := microtime.Never
	for i := r.work.Len() - 1; i >= 0; i-- { // from the end, as one that ends gives its place to the last
		if i >= r.work.Len() {
			continue
		}
		switch q := r.work.Items()[i]; {
		case now >= q.due:
			r.withdraw(q, loadbalancer.TimedOut)
			r.finish(q, q.unlessDoubtful(dispatch.RunFailed), nil)
			continue
		case now >= q.again:
			r.route(q)
			next = min(next, q.due)
		case now >= q.hedge && len(q.tries) == 1:
			r.sendHedge(q)
			next = min(next, q.due)
		default:
			next = min(next, q.due, q.again, q.hedge)
		}
	}
	return next
}

// closeIdle ends connections that have had nothing open for a while.
func (r *Backend) closeIdle(now microtime.Time) {
	for _, m := range r.members {
		for _, l := range slices.Clone(m.links) {
			if l.conn != nil && len(l.open) == 0 && now > l.idle+idleTimeout {
				l.conn.Close()
				l.closing = true
			}
		}
	}
}
