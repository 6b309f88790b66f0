package procs

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"pewterline/internal/protocol/pool"
)

// Ran is one run.
type Ran struct {
	ID string
	By *Pool
	At time.Time
}

// Ledger is what was run, by all worker pools of a log server.
type Ledger struct {
	Named bool // results name the run that made them; set before any run
	mu    sync.Mutex
	runs  map[string][]Ran // by body
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{runs: map[string][]Ran{}} }

func (l *Ledger) ran(body, id string, by *Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[body] = append(l.runs[body], Ran{id, by, time.Now()})
}

// Runs are the runs with a body.
func (l *Ledger) Runs(body string) []Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs[body])
}

// before are the runs with a body that began before a time.
func (l *Ledger) before(body string, at time.Time) []Ran {
	return slices.DeleteFunc(l.Runs(body), func(r Ran) bool { return !r.At.Before(at) })
}

func (l *Ledger) all() map[string][]Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}

// Twice are the bodies that ran more than once.
func (l *Ledger) Twice() (out []string) {
	for body, runs := range l.all() {
		if len(runs) > 1 {
			out = append(out, fmt.Sprintf("%s: %v", body, runs))
		}
	}
	return out
}

// noticesKept are the notices that a worker pool can tell again.
const noticesKept = 4000

// Pool is a worker pool at one address. A result is "did " and the body, and for each call that the run made " got " and its reply.
type Pool struct {
	ln       net.Listener
	ledger   *Ledger
	mu       sync.Mutex
	link     net.Conn // the one that is bound; nil: none
	unbound  *bind    // waits for its answer while the pool is away
	away     bool
	notices  [][]byte
	hold     bool
	frozen   bool
	checkEnd pool.End // of deep health checks; 0: they get no answer
	checks   int
	calls    map[string]int      // that a run makes, by class
	runs     map[string]*poolRun // that have not ended, by ID
	over     map[string]bool     // requests that wait for no answer any more, by ID
	started  chan string         // bodies, as their runs begin
	binds    chan uint64         // the notices that links were bound with
	supplies chan string         // replies to calls, as they come
	strays   []string            // IDs of supplies that no run waited for
	took     time.Duration       // of a run on one of slots; 0: none
	slots    chan struct{}
}

// poolRun is a run that has not ended.
type poolRun struct {
	id, result string
	body       string
	calls      int // made so far
	callsLeft  int
	held       bool // waits for Release
	blocked    bool // at a call
}

// bind is a log server's wish to use a link.
type bind struct {
	link net.Conn
	seen uint64
}

// NewPool opens a worker pool that ends each run at once.
func NewPool(l *Ledger) (*Pool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Pool{ln: ln, ledger: l, checkEnd: pool.Pass, calls: map[string]int{}, runs: map[string]*poolRun{}, over: map[string]bool{},
		started: make(chan string, 1<<16), binds: make(chan uint64, 1<<10), supplies: make(chan string, 1<<10)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Addr is where it listens.
func (p *Pool) Addr() string { return p.ln.Addr().String() }

// Close ends it.
func (p *Pool) Close() { _ = p.ln.Close() }

// Hold has runs wait from now on as they begin, until Release.
func (p *Pool) Hold() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = true
}

// Calling has each run of a class from now on make so many calls, one after the other.
func (p *Pool) Calling(class string, calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[class] = calls
}

// Over says that a request waits for no answer any more: its run ends at the call that it waits for, or at its next one.
func (p *Pool) Over(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over[id] = true
	if r := p.runs[id]; r != nil && r.blocked {
		p.end(r, pool.Killed)
	}
}

// Freeze has the worker pool read nothing more: commands stay on their way.
func (p *Pool) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = true
}

// Checked sets how deep health checks end from now on; 0: they get no answer.
func (p *Pool) Checked(end pool.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkEnd = end
}

// Checks counts the deep health checks that were asked for.
func (p *Pool) Checks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.checks
}

// Leave breaks the link, and leaves those to come unbound until Return.
func (p *Pool) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = true
	if p.link != nil {
		_ = p.link.Close()
		p.link = nil
	}
}

// Return binds the link that has come meanwhile, and those to come.
func (p *Pool) Return() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = false
	if p.unbound != nil {
		p.bind(*p.unbound)
		p.unbound = nil
	}
}

// Slow has each run from now on take a while on one of so many slots.
func (p *Pool) Slow(slots int, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots, p.took = make(chan struct{}, slots), took
}

// later ends a run that takes its time.
func (p *Pool) later(r *poolRun) {
	p.slots <- struct{}{}
	time.Sleep(p.took)
	<-p.slots
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[r.id] == r {
		p.end(r, pool.Pass)
	}
}

// Release has all runs that wait go on, and those to come not wait.
func (p *Pool) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hold = false
	for _, r := range p.runs {
		if r.held {
			p.advance(r)
		}
	}
}

// Started returns when a run with that body has begun.
func (p *Pool) Started(body string) error {
	late := time.After(Patience)
	for {
		select {
		case b := <-p.started:
			if b == body {
				return nil
			}
		case <-late:
			return fmt.Errorf("procs: %s was not run", body)
		}
	}
}

// Bound is the notice that the next link asked to be bound with.
func (p *Pool) Bound() (uint64, error) { return await(p.binds, "a link to the worker pool") }

// Supplied is the next reply that came for a call.
func (p *Pool) Supplied() (string, error) { return await(p.supplies, "a reply for a call") }

// Strays are the IDs of replies that came for runs that waited for none.
func (p *Pool) Strays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.strays)
}

func await[T any](from <-chan T, what string) (v T, err error) {
	select {
	case v = <-from:
		return v, nil
	case <-time.After(Patience):
		return v, fmt.Errorf("procs: %s has not come", what)
	}
}

// tell sends a notice, and keeps it for the next link.
func (p *Pool) tell(notice []byte) {
	p.notices = append(p.notices, notice)
	if p.link != nil {
		_, _ = p.link.Write(notice)
	}
}

func (p *Pool) nextNotice() uint64 { return uint64(len(p.notices)) + 1 }

func (p *Pool) end(r *poolRun, end pool.End) {
	delete(p.runs, r.id)
	result := ""
	if end == pool.Pass {
		result = r.result
	}
	p.tell(pool.AppendFinished(nil, p.nextNotice(), r.id, end, 1, []byte(result)))
}

// advance takes a run to its next call, or to its end.
func (p *Pool) advance(r *poolRun) {
	r.held, r.blocked = false, false
	switch {
	case r.callsLeft > 0 && p.over[r.id]:
		p.end(r, pool.Killed)
	case r.callsLeft > 0:
		r.callsLeft--
		r.calls++
		r.blocked = true
		p.tell(pool.AppendBlocked(nil, p.nextNotice(), r.id, []byte(CallBody(r.calls, r.body))))
	case p.took > 0:
		go p.later(r)
	default:
		p.end(r, pool.Pass)
	}
}

// CallBody is the body of a run's call, counted from 1.
func CallBody(call int, of string) string { return fmt.Sprintf("call %d of %s", call, of) }

func (p *Pool) bind(b bind) {
	if p.link != nil && p.link != b.link {
		_ = p.link.Close()
	}
	p.link = b.link
	_, _ = p.link.Write([]byte("bound LOADED 60000\r\n"))
	all := uint64(len(p.notices))
	from := min(b.seen, all)
	if all > noticesKept {
		from = max(from, all-noticesKept)
	}
	for _, n := range p.notices[from:] {
		_, _ = p.link.Write(n)
	}
}

func (p *Pool) spawn(k pool.Command) {
	body := string(k.Body)
	p.ledger.ran(body, k.ID, p)
	select {
	case p.started <- body:
	default: // nobody waits for so many
	}
	if p.runs[k.ID] != nil {
		return
	}
	r := &poolRun{id: k.ID, body: body, result: "did " + body, callsLeft: p.calls[k.Class]}
	if p.ledger.Named {
		r.result += " as " + k.ID
	}
	p.runs[k.ID] = r
	if r.held = p.hold; !r.held {
		p.advance(r)
	}
}

func (p *Pool) supply(k pool.Command) {
	r := p.runs[k.ID]
	if r == nil || !r.blocked {
		p.strays = append(p.strays, k.ID)
		_, _ = fmt.Fprintf(p.link, "unknown supply %s\r\n", k.ID)
		return
	}
	reply := string(k.Body)
	select {
	case p.supplies <- reply:
	default: // nobody waits for so many
	}
	r.result += " got " + reply
	p.advance(r)
}

// obey carries out a command that came on a link.
func (p *Pool) obey(c net.Conn, k pool.Command) {
	if k.Order == pool.Bind {
		select {
		case p.binds <- k.Notice:
		default: // nobody waits for so many
		}
		if b := (bind{c, k.Notice}); p.away {
			p.unbound = &b
		} else {
			p.bind(b)
		}
		return
	}
	if c != p.link {
		return
	}
	switch k.Order {
	case pool.Poll:
		_, _ = fmt.Fprintf(c, "polled %s 0.1 0 0.1 1\r\n", k.Tag)
	case pool.Verify:
		if p.checks++; p.checkEnd != 0 {
			_, _ = c.Write(pool.AppendVerified(nil, k.Tag, p.checkEnd))
		}
	case pool.Spawn:
		p.spawn(k)
	case pool.Suspend:
		if r := p.runs[k.ID]; r != nil {
			p.end(r, pool.Killed)
		}
	case pool.Supply:
		p.supply(k)
	}
}

func (p *Pool) serve(c net.Conn) {
	var buf []byte
	more := make([]byte, 64<<10)
	for {
		k, n, err := pool.ParseCommand(buf)
		if err != nil {
			_ = c.Close()
			return
		}
		if n == 0 {
			got, err := c.Read(more)
			if err != nil {
				return
			}
			buf = append(buf, more[:got]...)
			continue
		}
		p.mu.Lock()
		if p.frozen {
			p.mu.Unlock()
			return
		}
		p.obey(c, k)
		p.mu.Unlock()
		buf = buf[n:]
	}
}
