package upstream

import (
	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
	"pewterline/internal/orderedset"
	"pewterline/internal/peers"
)

const (
	// sweepInterval is the time between two sweeps of idle connections, removed endpoints and old gossip.
	sweepInterval = 5 * microtime.Second
	// minRetryAfter is the minimum retry-after that is reported to the caller of a declined run.
	minRetryAfter = 100 * microtime.Millisecond
)

// Core is the part of the request core that the backend notifies of the ends of runs.
type Core interface {
	RunFinished(id string, outcome dispatch.RunOutcome, result []byte)
	RunDeclined(id string, retryAfter microtime.Time, noRetry bool)
}

// EventLoop is what the backend needs from the event loop.
type EventLoop interface {
	peers.ExchangeEventLoop
	Rand() uint64 // need not be cryptographically secure
}

// WallClock converts a time of the event loop to wall-clock time, in Unix milliseconds.
type WallClock interface {
	UnixMilli(t microtime.Time) int64
}

// Config configures a Backend. Everything except the list of endpoints is fixed until a restart.
type Config struct {
	config.Fleet
	Name     string // of this instance
	Settings control.Settings
}

// Backend forwards runs to upstream endpoints. It implements dispatch.Backend.
type Backend struct {
	config    Config
	core      Core
	loop      EventLoop
	wallClock WallClock
	logf      func(format string, args ...any)
	balancer  *loadbalancer.Balancer
	retries   *loadbalancer.RetryPolicy
	exchange  *peers.Exchange // nil: this instance has no peers
	endpoints endpointList
	runs      map[string]*run
	ordered   orderedset.Set[*run] // the same runs, in a deterministic order
	// declined are the runs for which no endpoint is available. Check reports them, because Start must not call back
	// into the core.
	declined []*run
	// awaitingGossip are the runs that wait for the first gossip exchange.
	awaitingGossip []*run
	nextSweep      microtime.Time
	wastedAttempts int
	scratch        []byte
}

// New returns a backend without connections. Attach must be called before any other method. The error is a
// *loadbalancer.ConfigError.
func New(cfg Config, wallClock WallClock, logf func(format string, args ...any)) (*Backend, error) {
	cfg.LoadBalancer.Classes = len(cfg.Settings.Classes)
	balancer, err := loadbalancer.New(cfg.LoadBalancer, cfg.Settings.Seed)
	if err != nil {
		return nil, err
	}
	retries, err := loadbalancer.NewRetryPolicy(cfg.Retries)
	if err != nil {
		return nil, err
	}
	backend := &Backend{
		config:    cfg,
		wallClock: wallClock,
		logf:      logf,
		balancer:  balancer,
		retries:   retries,
		endpoints: newEndpointList(),
		runs:      map[string]*run{},
	}
	for _, listed := range cfg.Members {
		backend.addEndpoint(0, listed)
	}
	return backend, nil
}

// Attach sets the core and the event loop of the backend.
func (b *Backend) Attach(core Core, loop EventLoop) {
	b.core = core
	b.loop = loop
	if len(b.config.GossipPeers) == 0 {
		return
	}
	b.exchange = peers.NewExchange(loop, peers.ExchangeConfig{
		Name:     b.config.Name,
		Address:  b.config.GossipListen,
		Peers:    b.config.GossipPeers,
		Seed:     b.config.Settings.Seed,
		Balancer: b.balancer,
		Logf:     b.logf,
	})
}

// Exchange returns the exchange of gossip with this instance's peers; nil if it has no peers.
func (b *Backend) Exchange() *peers.Exchange { return b.exchange }

// WastedAttempts returns the number of attempts without an answer: the connection failed or was lost, or the attempt
// timed out.
func (b *Backend) WastedAttempts() int { return b.wastedAttempts }

func (b *Backend) now() microtime.Time { return b.loop.Now() }

// Start implements dispatch.Backend.
func (b *Backend) Start(started dispatch.Run) {
	r := newRun(started, b.config.Settings.Classes[started.Request.Class])
	b.runs[r.ID] = r
	b.ordered.Add(r)
	b.retries.RecordFirstAttempt(b.now(), r.request.CallerID)
	b.route(r)
}

// Cancel implements dispatch.Backend: the attempts in flight are abandoned.
func (b *Backend) Cancel(id string) {
	if r := b.runs[id]; r != nil {
		b.abandonAttempts(r, loadbalancer.Cancelled)
		b.finish(r, r.outcomeWithoutResult(dispatch.RunCancelled), nil)
	}
}

// RequestGauges implements dispatch.Backend. It does nothing: only the endpoints use the gauges of their
// worker pools.
func (b *Backend) RequestGauges() {}

func (b *Backend) removeRun(r *run) {
	delete(b.runs, r.ID)
	b.ordered.Remove(r)
}

// finish reports the end of a run.
func (b *Backend) finish(r *run, outcome dispatch.RunOutcome, result []byte) {
	b.removeRun(r)
	b.core.RunFinished(r.ID, outcome, result)
}

// decline reports that no endpoint has executed a run, and how long its caller must wait before a retry.
func (b *Backend) decline(r *run) {
	b.removeRun(r)
	b.core.RunDeclined(r.ID, max(r.retryAfter, minRetryAfter), r.noRetry)
}

// Check runs the timers that are due and reports declined runs. It returns when it has to be called again.
func (b *Backend) Check(now microtime.Time) microtime.Time {
	next := microtime.Never
	reported := b.reportDeclined()
	if now >= b.nextSweep {
		b.sweep(now)
	}
	if b.exchange != nil {
		next = b.exchange.Check(now)
		if b.exchange.Ready(now) && len(b.awaitingGossip) > 0 {
			b.routeAwaitingGossip()
			next = now
		}
	}
	if len(b.runs) > 0 {
		next = min(next, b.checkRuns(now))
	}
	if reported {
		next = now
	}
	return min(next, b.nextSweep)
}

// reportDeclined reports the declined runs. It returns false if there were none.
func (b *Backend) reportDeclined() bool {
	declined := b.declined
	b.declined = nil
	for _, r := range declined {
		if b.runs[r.ID] == r && r.declined {
			b.decline(r)
		}
	}
	return len(declined) > 0
}

func (b *Backend) sweep(now microtime.Time) {
	b.nextSweep = now + sweepInterval
	b.balancer.ExpireGossip(now)
	b.endpoints.closeIdle(now)
	b.ExpireRemoved(now)
}

// routeAwaitingGossip routes the runs that waited for the first exchange.
func (b *Backend) routeAwaitingGossip() {
	waiting := b.awaitingGossip
	b.awaitingGossip = nil
	for _, r := range waiting {
		if b.runs[r.ID] == r {
			b.route(r)
		}
	}
}

// checkRuns ends runs at their deadline, and sends the retries and hedged requests that are due. It returns when it has
// to be called again.
func (b *Backend) checkRuns(now microtime.Time) microtime.Time {
	next := microtime.Never
	for i := b.ordered.Len() - 1; i >= 0; i-- { // from the end: Remove moves the last run to the index of the removed one
		if i >= b.ordered.Len() {
			continue
		}
		switch checked := b.ordered.Items()[i]; {
		case now >= checked.deadline:
			b.abandonAttempts(checked, loadbalancer.TimedOut)
			b.finish(checked, checked.outcomeWithoutResult(dispatch.RunFailed), nil)
		case now >= checked.retryAt:
			b.route(checked)
			next = min(next, checked.deadline)
		case now >= checked.hedgeAt && len(checked.attempts) == 1:
			b.hedge(checked)
			next = min(next, checked.deadline)
		default:
			next = min(next, checked.deadline, checked.retryAt, checked.hedgeAt)
		}
	}
	return next
}
