package edge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"pewterline/control"
	"pewterline/internal/config"
	"pewterline/internal/decide/fleet"
	"pewterline/internal/micro"
	"pewterline/internal/ordered"
	"pewterline/internal/peers"
	"pewterline/internal/protocol/thrift"
	"pewterline/internal/routing"
	"pewterline/internal/transport"
)

const (
	fleetOpen            = 32 // requests on a connection, as the platform has it
	fleetMessagesPerTurn = 64 // of a connection: the answers to all that is open on it, and as many more
	fleetIdle            = 5 * micro.Second
	fleetSweep           = 5 * micro.Second
	againThere           = 50 * micro.Millisecond // before an intake is asked for again at its server
	declineFor           = 100 * micro.Millisecond
	hedgeAt              = 0.95 // quantile of what reads usually take
)

// fleetRunner has the work done by log servers, over connections made on demand: the program as an edge. What goes
// where, and what is tried again, the packages under decide say; here it is carried out.
type fleetRunner struct {
	s        *Server
	fleet    *fleet.Fleet
	attempts *fleet.Attempts
	members  []*fleetMember
	byName   map[string]*fleetMember
	runs     map[string]*fleetRun
	work     ordered.Set[*fleetRun] // the same, in an order of its own
	pending  []*fleetRun            // that cannot be sent now; told in the turn's check, never from within Start
	sweepAt  micro.Time
	wasted   int             // tries that came to nothing for want of a server
	exchange *peers.Exchange // nil: this instance has no others to talk with
	held     []*fleetRun     // until its first advice
	out      []byte
}

// fleetMember is one log server.
type fleetMember struct {
	config.Member
	links []*fleetLink
	gone  micro.Time // it was taken out of the list then; 0: it is in
}

// fleetRun is a run that has not ended.
type fleetRun struct {
	ordered.Position
	routing.Run
	req      *routing.Request
	class    control.Class
	due      micro.Time
	key      fleet.Key
	keyed    bool
	tries    []*fleetTry // that are out
	count    int         // so far
	unproven int         // tries that were written and ended without proof that they did not run
	avoid    []string
	hedge    micro.Time // when a second copy may go out; Never: not
	again    micro.Time // when it is to be sent again; Never: it is out
	after    micro.Time // of the last refusal
	last     bool
	declined bool
}

// fleetTry is one sending of a run.
type fleetTry struct {
	run     *fleetRun
	choice  fleet.Choice
	id      string
	seq     int32
	at      micro.Time
	written bool
}

func newFleetRunner(s *Server) (*fleetRunner, error) {
	cfg := s.cfg.Fleet
	cfg.Decide.Classes = len(s.cfg.Settings.Classes)
	f, err := fleet.New(cfg.Decide, s.cfg.Settings.Seed)
	if err != nil {
		return nil, err
	}
	a, err := fleet.NewAttempts(cfg.Attempts)
	if err != nil {
		return nil, err
	}
	r := &fleetRunner{s: s, fleet: f, attempts: a, byName: map[string]*fleetMember{}, runs: map[string]*fleetRun{}}
	for _, m := range cfg.Members {
		fm := &fleetMember{Member: m}
		r.members = append(r.members, fm)
		r.byName[m.Name] = fm
		f.Add(0, m.Name)
	}
	return r, nil
}

func (r *fleetRunner) now() micro.Time { return r.s.loop.Now() }

// Start is part of routing.Runner.
func (r *fleetRunner) Start(run routing.Run) {
	q := &fleetRun{Run: run, req: run.Request, class: r.s.cfg.Settings.Classes[run.Request.Class], hedge: micro.Never, again: micro.Never}
	q.due = q.req.At + micro.Of(q.class.Deadline)
	q.keyed, q.key = q.class.Effect == control.Keyed, fleet.Key{Tenant: q.req.Tenant, Once: q.req.Once}
	r.runs[run.ID] = q
	r.work.Add(q)
	r.attempts.First(r.now(), q.req.Caller)
	r.route(q)
}

// goneKept is how long a server that was taken out of the list is still known: past any window, as an intake that may
// have run there goes nowhere else.
const goneKept = 600 * micro.Second

// reload takes up a list of servers that was read anew. What is out stays out until it has ended; a server that was taken
// out gets nothing new but repeats of intakes that it may have run.
func (r *fleetRunner) reload(members []config.Member) {
	now := r.now()
	in := map[string]bool{}
	for _, m := range members {
		in[m.Name] = true
		old := r.byName[m.Name]
		if old == nil {
			old = &fleetMember{Member: m}
			r.byName[m.Name] = old
			r.members = append(r.members, old)
		}
		if old.Address != m.Address { // what is open there ends; new connections go to the new address
			old.Address = m.Address
			for _, l := range old.links {
				l.bidden = true
				l.rest()
			}
		}
		old.gone = 0
		r.fleet.Add(now, m.Name)
	}
	for _, m := range r.members {
		if !in[m.Name] && m.gone == 0 {
			m.gone = now
			r.fleet.Remove(m.Name)
		}
	}
}

// forgetGone drops servers that were taken out long ago.
func (r *fleetRunner) forgetGone(now micro.Time) {
	r.members = slices.DeleteFunc(r.members, func(m *fleetMember) bool {
		drop := m.gone > 0 && now > m.gone+goneKept && len(m.links) == 0
		if drop {
			delete(r.byName, m.Name)
		}
		return drop
	})
}

// route sends a run to the server that may have run it, or to the one chosen. Where none takes it, that is told later
// in the turn.
func (r *fleetRunner) route(q *fleetRun) {
	now := r.now()
	q.again = micro.Never
	if r.exchange != nil && !r.exchange.Ready(now) { // a fresh instance waits for the first advice, for a bounded time
		r.held = append(r.held, q)
		return
	}
	var c fleet.Choice
	if q.keyed {
		server, ok := r.attempts.Stick(now, q.key)
		if !ok {
			q.declined = true
			r.pending = append(r.pending, q)
			return
		}
		c.Server = server
	}
	if c.Server == "" {
		var ok bool
		if c, ok = r.fleet.Pick(now, r.try(q)); !ok {
			q.declined = true
			r.pending = append(r.pending, q)
			return
		}
	}
	r.send(q, c)
}

func (r *fleetRunner) try(q *fleetRun) fleet.Try {
	safe := q.class.Effect == control.Safe
	return fleet.Try{Class: q.req.Class, Safe: safe, Cheap: safe, Avoid: q.avoid}
}

// send gives a try to a connection with room, or to one that is opened for it.
func (r *fleetRunner) send(q *fleetRun, c fleet.Choice) {
	m := r.byName[c.Server]
	t := &fleetTry{run: q, choice: c, id: q.ID, at: r.now()}
	if q.count > 0 {
		t.id = fmt.Sprintf("%016x", r.s.loop.Rand())
	}
	q.count++
	q.tries = append(q.tries, t)
	q.avoid = append(q.avoid, c.Server)
	r.fleet.Sent(r.now(), c)
	if q.hedge = micro.Never; q.class.Effect == control.Safe && len(q.tries) == 1 {
		if d := r.fleet.HedgeAfter(q.req.Class, hedgeAt); d != micro.Never {
			q.hedge = r.now() + d
		}
	}
	for _, l := range m.links {
		// One that has fallen silent takes nothing new: what would tell that the server is back must not wait behind it.
		silent := len(l.open)+len(l.waiting) > 0 && r.now()-max(l.heard, l.busy) > r.fleet.Patience()
		if !l.bidden && !silent && len(l.open)+len(l.waiting) < fleetOpen {
			l.give(t)
			return
		}
	}
	l := &fleetLink{r: r, m: m, open: map[int32]*fleetTry{}, waiting: []*fleetTry{t}, idle: r.now(), busy: r.now()}
	m.links = append(m.links, l)
	l.drop = r.s.loop.Try(m.Address, func(k transport.Link) transport.Session { return l.opened(k) }, l.unreached)
}

// Stop is part of routing.Runner: the tries that are out are given up.
func (r *fleetRunner) Stop(id string) {
	if q := r.runs[id]; q != nil {
		r.withdraw(q, fleet.Withdrawn)
		end := routing.Stopped
		if q.keyed && q.unproven > 0 {
			end = routing.Doubtful
		}
		r.finish(q, end, nil)
	}
}

// Poll is part of routing.Runner. The servers' gauges are their own.
func (r *fleetRunner) Poll() {}

// withdraw gives up all tries of a run that are out.
func (r *fleetRunner) withdraw(q *fleetRun, o fleet.Outcome) {
	for _, t := range q.tries {
		for _, l := range r.byName[t.choice.Server].links {
			l.giveUp(t)
		}
		r.returned(q, t, fleet.Result{Class: q.req.Class, Outcome: o, Took: r.now() - t.at})
	}
	q.tries = nil
}

// returned tells the decisions how a try has ended.
func (r *fleetRunner) returned(q *fleetRun, t *fleetTry, res fleet.Result) {
	now := r.now()
	r.fleet.Ended(now, t.choice, res)
	if o := res.Outcome; o == fleet.Unreached || o == fleet.Broken || o == fleet.TimedOut {
		r.wasted++
	}
	if !t.written {
		return
	}
	if !res.Outcome.Proves() && res.Outcome != fleet.Served {
		q.unproven++
	}
	if q.keyed {
		o := res.Outcome
		if o == fleet.Withdrawn {
			o = fleet.TimedOut // it may have run, and nobody waits to hear
		}
		r.attempts.Returned(now, q.key, o)
	}
}

func (r *fleetRunner) drop(q *fleetRun) {
	delete(r.runs, q.ID)
	r.work.Remove(q)
}

func (r *fleetRunner) finish(q *fleetRun, end routing.End, result []byte) {
	r.drop(q)
	r.s.core.Finished(q.ID, end, result)
}

// ended goes on after a try has ended.
func (r *fleetRunner) ended(t *fleetTry, res fleet.Result, result []byte) {
	q := t.run
	if i := slices.Index(q.tries, t); i >= 0 {
		q.tries = slices.Delete(q.tries, i, i+1)
	}
	now := r.now()
	res.Class, res.Took = q.req.Class, now-t.at
	r.returned(q, t, res)
	if res.Outcome == fleet.Served {
		r.attempts.Succeeded(now, q.req.Caller)
		r.withdraw(q, fleet.Withdrawn)
		r.finish(q, routing.Passed, result)
		return
	}
	q.after, q.last = res.After, res.Last
	if len(q.tries) > 0 {
		return // its other copy is still out
	}
	ask := fleet.Ask{Caller: q.req.Caller, Keyed: q.keyed, Safe: q.class.Effect == control.Safe, Key: q.key, Tries: q.count, Outcome: res.Outcome,
		Last: res.Last, Finishes: r.fleet.Finishes(now, r.try(q)), Due: q.due}
	switch r.attempts.After(now, ask) {
	case fleet.AgainElsewhere:
		r.route(q)
	case fleet.AgainThere:
		q.again = now + againThere
	case fleet.SayRefused:
		r.decline(q)
	case fleet.SayUnknown:
		r.s.logf("fleet: %s: whether it ran at %s is not known", q.ID, t.choice.Server)
		r.finish(q, routing.Doubtful, nil)
	default:
		r.finish(q, routing.Errored, nil)
	}
}

// decline says that nothing ran, and when it could.
func (r *fleetRunner) decline(q *fleetRun) {
	r.drop(q)
	r.s.core.Declined(q.ID, max(q.after, declineFor), q.last)
}

// check does what is due by the clock; it returns when to look again.
func (r *fleetRunner) check(now micro.Time) micro.Time {
	pending := r.pending
	r.pending = nil
	for _, q := range pending {
		if r.runs[q.ID] == q && q.declined {
			r.decline(q)
		}
	}
	next := micro.Never
	if now >= r.sweepAt {
		r.sweepAt = now + fleetSweep
		r.fleet.Sweep(now)
		r.closeIdle(now)
		r.forgetGone(now)
	}
	if r.exchange != nil {
		if next = r.exchange.Check(now); r.exchange.Ready(now) && len(r.held) > 0 {
			held := r.held
			r.held = nil
			for _, q := range held {
				if r.runs[q.ID] == q {
					r.route(q)
				}
			}
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

func (r *fleetRunner) checkRuns(now micro.Time) micro.Time {
	next := micro.Never
	for i := r.work.Len() - 1; i >= 0; i-- { // from the end, as one that ends gives its place to the last
		if i >= r.work.Len() {
			continue
		}
		switch q := r.work.Items()[i]; {
		case now >= q.due:
			r.withdraw(q, fleet.TimedOut)
			end := routing.Errored
			if q.keyed && q.unproven > 0 {
				end = routing.Doubtful
			}
			r.finish(q, end, nil)
			continue
		case now >= q.again:
			r.route(q)
			next = min(next, q.due)
		case now >= q.hedge && len(q.tries) == 1:
			r.second(q)
			next = min(next, q.due)
		default:
			next = min(next, q.due, q.again, q.hedge)
		}
	}
	return next
}

// second sends a second copy of a slow read, if the budget has room and another server is likely to be sooner.
func (r *fleetRunner) second(q *fleetRun) {
	q.hedge = micro.Never
	c, ok := r.fleet.Pick(r.now(), r.try(q))
	if !ok || c.Probe || c.Server == q.tries[0].choice.Server || !r.attempts.Spend(r.now(), q.req.Caller) {
		return
	}
	r.send(q, c)
}

// closeIdle ends connections that have had nothing open for a while.
func (r *fleetRunner) closeIdle(now micro.Time) {
	for _, m := range r.members {
		for _, l := range slices.Clone(m.links) {
			if l.conn != nil && len(l.open) == 0 && now > l.idle+fleetIdle {
				l.conn.Close()
				l.bidden = true
			}
		}
	}
}

// fleetLink is one connection to a server, or one that is being opened.
type fleetLink struct {
	r       *fleetRunner
	m       *fleetMember
	conn    transport.Link // nil while it is being opened
	drop    func()
	waiting []*fleetTry
	open    map[int32]*fleetTry
	seq     int32
	bidden  bool       // it takes nothing new
	heard   micro.Time // when something last came on it
	busy    micro.Time // since something has been open on it
	idle    micro.Time
}

func (l *fleetLink) opened(c transport.Link) transport.Session {
	l.conn = c
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		l.write(t)
	}
	return l
}

// unreached is told when the connection could not be opened: nothing was written.
func (l *fleetLink) unreached() {
	l.remove()
	waiting := l.waiting
	l.waiting = nil
	for _, t := range waiting {
		l.r.ended(t, fleet.Result{Outcome: fleet.Unreached}, nil)
	}
}

func (l *fleetLink) remove() {
	l.m.links = slices.DeleteFunc(l.m.links, func(o *fleetLink) bool { return o == l })
}

func (l *fleetLink) give(t *fleetTry) {
	if l.conn == nil {
		l.waiting = append(l.waiting, t)
		return
	}
	l.write(t)
}

// write sends a try; from then on it may run.
func (l *fleetLink) write(t *fleetTry) {
	r, q := l.r, t.run
	if len(l.open) == 0 {
		l.busy = r.now()
	}
	l.seq++
	t.seq, t.written = l.seq, true
	l.open[t.seq] = t
	if q.keyed {
		r.attempts.Leave(r.now(), q.key, l.m.Name, micro.Of(q.class.Window))
	}
	req := q.req
	fields := []thrift.Field{{Name: "class", Value: q.class.Name}, {Name: "id", Value: t.id},
		{Name: "at", Value: strconv.FormatInt(r.s.wall.UnixMilli(req.At), 10)}, {Name: "from", Value: strconv.FormatUint(uint64(r.s.cfg.Fleet.From), 10)},
		{Name: "kb", Value: strconv.FormatFloat(req.HeldKB, 'f', -1, 64)}, {Name: "rank", Value: strconv.FormatFloat(req.Rank, 'f', 4, 64)}}
	if tenants := r.s.cfg.Settings.Tenants; req.Tenant < len(tenants) {
		fields = append(fields, thrift.Field{Name: "tenant", Value: tenants[req.Tenant].Name})
	}
	if q.count > 1 || req.Retry {
		fields = append(fields, thrift.Field{Name: "retry", Value: "1"})
	}
	if req.Once != "" {
		fields = append(fields, thrift.Field{Name: "once", Value: req.Once})
	}
	if req.Hint > 0 {
		fields = append(fields, thrift.Field{Name: "cost", Value: strconv.FormatFloat(float64(req.Hint)/float64(micro.Millisecond), 'f', 3, 64)})
	}
	if req.Key != 0 {
		fields = append(fields, thrift.Field{Name: "key", Value: strconv.FormatUint(req.Key, 16)})
	}
	r.out = thrift.AppendCall(r.out[:0], t.seq, fields, q.Body)
	l.conn.Write(r.out)
}

// giveUp passes on that nobody waits for a try any more.
func (l *fleetLink) giveUp(t *fleetTry) {
	if i := slices.Index(l.waiting, t); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if l.open[t.seq] != t || !t.written {
		return
	}
	delete(l.open, t.seq)
	l.idle = l.r.now()
	l.r.out = thrift.AppendGiveUp(l.r.out[:0], t.seq)
	l.conn.Write(l.r.out)
	l.rest()
}

// rest closes a connection that was told farewell, once everything on it is answered.
func (l *fleetLink) rest() {
	if l.bidden && len(l.open) == 0 && l.conn != nil {
		l.conn.Close()
	}
}

// Receive is part of transport.Session.
func (l *fleetLink) Receive(in []byte) (int, error) {
	l.heard = l.r.now()
	n := 0
	for range fleetMessagesPerTurn {
		payload, size, err := thrift.Split(in[n:])
		if err != nil || payload == nil {
			return n, err
		}
		n += size
		p, err := thrift.DecodeReply(payload)
		if err != nil {
			return n, err
		}
		l.take(p)
	}
	l.conn.Resume()
	return n, nil
}

func (l *fleetLink) take(p thrift.Reply) {
	if p.Kind == thrift.Farewell {
		l.bidden = true
		l.rest()
		return
	}
	t := l.open[p.Seq]
	if t == nil {
		return // it crossed a give-up
	}
	delete(l.open, p.Seq)
	l.idle = l.r.now()
	res := fleet.Result{Outcome: fleet.Failed}
	var result []byte
	switch p.Kind {
	case thrift.Answered:
		res.Outcome, result = fleet.Served, append([]byte(nil), p.Body...)
	case thrift.Throttled:
		ms, _ := strconv.ParseUint(p.Fields["after"], 10, 20) // absent or out of bounds: no advice
		res = fleet.Result{Outcome: fleet.Refused, After: micro.Time(ms) * micro.Millisecond, Last: p.Fields["last"] == "1"}
	}
	l.r.ended(t, res, result)
	l.rest()
}

// Idle is part of transport.Session.
func (l *fleetLink) Idle() bool { return len(l.open) == 0 }

// Closed is part of transport.Session. What was written may have run.
func (l *fleetLink) Closed() {
	l.remove()
	open := l.open
	l.open = map[int32]*fleetTry{}
	for _, seq := range slices.SortedFunc(maps.Keys(open), cmp.Compare[int32]) {
		l.r.ended(open[seq], fleet.Result{Outcome: fleet.Broken}, nil)
	}
}

// FleetViews lists what this edge knows of its servers; none where it is no edge.
func (s *Server) FleetViews(now micro.Time) []fleet.View {
	if s.servers == nil {
		return nil
	}
	return s.servers.fleet.Views(now)
}
