package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/control"
	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
)

// noticesKept are the last notices that a worker pool can tell again.
const noticesKept = 4000

// checkTime is what a deep health check takes.
const checkTime = 10 * microtime.Millisecond

// Pool is a worker pool: it owns the cores, which its runs share evenly, and starts cold if it is told to.
type Pool struct {
	st      *Environment
	rng     *rand.Rand
	node    *simnet.Node
	server  string
	life    int
	addr    int // which of its addresses is in use
	lis     *simnet.Listener
	cores   float64
	cold    bool
	born    microtime.Time
	slow    float64
	costly  map[string]float64
	doubled microtime.Time
	runs    []*work // by when they end
	known   map[string]*work
	done    float64        // service that every run has had since the start, in microseconds
	at      microtime.Time // when done was that
	timer   *simnet.Timer
	made    uint64
	notices [][]byte // the first is number first
	first   uint64
	link    *poolLink
	dead    bool
}

// work is one run.
type work struct {
	id      string
	end     float64 // in service
	started microtime.Time
	body    []byte
	over    bool
	part    float64 // service before each of its calls, and behind the last
	calls   int     // that it has yet to make
	made    int     // and has made
	blocked bool    // it waits, off the cores, for the reply to a call
}

// PoolConfig is what tells one worker pool from another.
type PoolConfig struct {
	Server string // that it belongs to
	Cold   bool   // it warms up over its first seconds
	Seed   uint64
}

// NewPool starts the worker pool of a server.
func NewPool(st *Environment, config PoolConfig) *Pool {
	server, cold, seed := config.Server, config.Cold, config.Seed
	name := "w" + server[1:]
	p := &Pool{st: st, node: st.Net.Node(name), server: server, cores: float64(st.Settings.Cores), cold: cold, born: st.World.Now(),
		at: st.World.Now(), slow: 1, costly: map[string]float64{}, known: map[string]*work{}, first: 1}
	p.node.Boot()
	p.life = p.node.Incarnation
	p.rng = st.World.Fork(seed, fmt.Sprintf("%s/%d", name, p.life))
	p.listen()
	if cold {
		p.warm()
	}
	return p
}

// Addr is where the server reaches it now.
func (p *Pool) Addr() string { return fmt.Sprintf("%s/%c", p.node.Name, 'a'+p.addr%26) }

func (p *Pool) listen() {
	lis, err := p.node.Listen(p.Addr(), simnet.Listener{Accept: func(e *simnet.Stream) simnet.Handler { return &poolLink{p: p, e: e} }})
	if err != nil {
		panic(err) // its addresses are its own
	}
	p.lis = lis
}

// ChangeAddress has the worker pool listen at another address; the old one takes nothing new, and closes what it has later.
func (p *Pool) ChangeAddress() {
	old := slices.Clone(p.node.Streams())
	p.lis.Close()
	p.addr++
	p.listen()
	p.st.World.In(1500*microtime.Millisecond, func() {
		for _, e := range old {
			e.Close()
		}
	})
}

// Kill ends it with its server.
func (p *Pool) Kill(machine bool) {
	p.dead = true
	p.timer.Stop()
	p.node.Kill(machine)
}

// Slow has all work take so many times as long; Costly that of one class; Doubled has notices come twice.
func (p *Pool) Slow(factor float64) { p.change(func() { p.slow = factor }) }

// SlowClass has the work of a class that starts from now on take so many times as long.
func (p *Pool) SlowClass(class string, factor float64) { p.costly[class] = factor }

// DuplicateNotices has each notice come twice until a time.
func (p *Pool) DuplicateNotices(until microtime.Time) { p.doubled = until }

// rate is the service that each run gets in a microsecond.
func (p *Pool) rate() float64 {
	share := 1.0
	if p.cold {
		from := 0.24
		share = min(1, from+(1-from)*float64(p.st.World.Now()-p.born)/float64(17*microtime.Second))
	}
	return share / p.slow * min(1, p.cores/float64(max(len(p.runs), 1)))
}

// change brings the service up to now, does f, and plans the next end.
func (p *Pool) change(f func()) {
	if p.dead {
		return
	}
	now := p.st.World.Now()
	p.done += p.rate() * float64(now-p.at)
	p.at = now
	f()
	p.timer.Stop()
	if len(p.runs) > 0 {
		p.timer = p.st.World.In(microtime.Time(math.Ceil(max(p.runs[0].end-p.done, 0)/p.rate())), p.ends)
	}
}

// warm counts the speed anew while it rises.
func (p *Pool) warm() {
	p.change(func() {})
	if !p.dead && p.st.World.Now() < p.born+17*microtime.Second {
		p.st.World.In(250*microtime.Millisecond, p.warm)
	}
}

func (p *Pool) ends() {
	p.change(func() {
		for len(p.runs) > 0 && p.runs[0].end <= p.done+0.5 {
			r := p.runs[0]
			p.runs = p.runs[1:]
			if r.calls > 0 {
				p.block(r)
				continue
			}
			p.made++
			p.notice(r, pool.Pass, invariant.Result(r.body, p.made))
		}
	})
}

// block has a run wait for a call. A run whose request is over ends there.
func (p *Pool) block(r *work) {
	if p.st.Requests.tries[r.id].over {
		p.notice(r, pool.Killed, nil)
		return
	}
	r.calls--
	r.made++
	r.blocked = true
	body := fmt.Appendf(nil, "call %d of %s for %016x\r\n", r.made, r.id, xxhash.Sum64(r.body))
	p.tell(func(n uint64) []byte { return pool.AppendBlocked(nil, n, r.id, body) })
}

// requestOver ends a run that waits for a call, as its request is over.
func (p *Pool) requestOver(r *work) {
	if r.blocked && !p.dead {
		p.notice(r, pool.Killed, nil)
	}
}

// start puts a run on the cores, until its next call or its end.
func (p *Pool) start(r *work) {
	r.end = p.done + r.part
	i, _ := slices.BinarySearchFunc(p.runs, r.end, func(o *work, end float64) int {
		if o.end <= end {
			return -1
		}
		return 1
	})
	p.runs = slices.Insert(p.runs, i, r)
}

// notice tells the end of a run.
func (p *Pool) notice(r *work, end pool.Outcome, result []byte) {
	r.over, r.blocked = true, false
	if p.rng.IntN(50) == 0 { // a remark takes a number of its own, and is told again like the others
		p.tell(func(n uint64) []byte { return fmt.Appendf(nil, "chatter %d all is well\r\n", n) })
	}
	p.tell(func(n uint64) []byte {
		return pool.AppendFinished(nil, n, r.id, end, int((p.st.World.Now()-r.started)/1000), result)
	})
}

// tell keeps a line under the next number, and sends it where there is a link.
func (p *Pool) tell(of func(n uint64) []byte) {
	line := of(p.first + uint64(len(p.notices)))
	p.notices = append(p.notices, line)
	if len(p.notices) > noticesKept {
		p.notices, p.first = p.notices[1:], p.first+1
	}
	if p.link == nil || !p.link.bound {
		return
	}
	if p.doubled > p.st.World.Now() {
		line = append(slices.Clone(line), line...)
	}
	p.link.e.Write(line)
}

// poolLink is one link of the server's.
type poolLink struct {
	p     *Pool
	e     *simnet.Stream
	in    []byte
	bound bool
}

// EOF and Gone are part of simnet.Handler.
func (l *poolLink) EOF(e *simnet.Stream) {
	e.Close()
	l.Reset(e)
}

// Reset is part of simnet.Handler.
func (l *poolLink) Reset(*simnet.Stream) {
	if l.p.link == l {
		l.p.link = nil
	}
}

// Received is part of simnet.Handler.
func (l *poolLink) Received(e *simnet.Stream, in []byte) {
	l.in = append(l.in, in...)
	for e.IsOpen() {
		c, n, err := pool.ParseCommand(l.in)
		if err != nil {
			e.Close() // what is not a command ends the link
			l.Reset(e)
		}
		if n == 0 {
			return
		}
		l.do(c)
		l.in = l.in[:copy(l.in, l.in[n:])]
	}
}

func (l *poolLink) do(c pool.Command) {
	p := l.p
	if c.Verb == pool.Bind {
		if p.link != nil && p.link != l { // a new link replaces the one before it
			p.link.e.Close()
		}
		p.link, l.bound = l, true
		state := "LOADED"
		if p.cold {
			state = "EMPTY"
		}
		l.e.Write([]byte(fmt.Sprintf("bound %s %d\r\n", state, (p.st.World.Now()-p.born)/1000)))
		for n := max(c.Notice+1, p.first); n < p.first+uint64(len(p.notices)); n++ {
			l.e.Write(p.notices[n-p.first])
		}
		return
	}
	if p.link != l {
		return
	}
	switch c.Verb {
	case pool.Spawn:
		l.spawn(c)
	case pool.Suspend:
		p.change(func() {
			if r := p.known[c.ID]; r != nil && !r.over {
				p.runs = slices.DeleteFunc(p.runs, func(o *work) bool { return o == r })
				p.notice(r, pool.Killed, nil)
			}
		})
	case pool.Supply:
		r := p.known[c.ID]
		if r == nil || !r.blocked {
			l.e.Write([]byte("unknown supply " + c.ID + "\r\n"))
			return
		}
		r.blocked = false
		p.change(func() { p.start(r) })
	case pool.Verify:
		p.st.World.In(microtime.Time(float64(checkTime)*p.slow), func() {
			if p.link == l {
				l.e.Write(pool.AppendVerified(nil, c.Tag, pool.Pass))
			}
		})
	case pool.Poll:
		busy := min(1, float64(len(p.runs))/p.cores)
		l.e.Write([]byte(fmt.Sprintf("polled %s %.2f %d 0.2 %d\r\n", c.Tag, busy, max(0, len(p.runs)-int(p.cores)), p.node.OpenConnections())))
	}
}

func (l *poolLink) spawn(c pool.Command) {
	p := l.p
	t := p.st.Requests.tries[c.ID]
	switch {
	case t == nil || t.server != p.server || t.class != c.Class || t.sum != xxhash.Sum64(c.Body):
		l.e.Write([]byte("unknown spawn " + c.ID + "\r\n"))
		return
	case p.known[c.ID] != nil && !p.known[c.ID].over:
		return // it runs already
	}
	r := &work{id: c.ID, started: p.st.World.Now(), body: slices.Clone(c.Body)}
	p.known[c.ID] = r
	if t.over { // nothing is started for a request that is over
		p.notice(r, pool.Noop, nil)
		return
	}
	t.pool, t.run = p, r
	p.change(func() {
		class := slices.IndexFunc(p.st.Settings.Classes, func(k control.Class) bool { return k.Name == c.Class })
		factor, size := p.costly[c.Class], t.size
		if factor == 0 {
			factor = 1
		}
		if size == 0 {
			size = drawSize(p.rng)
		}
		r.calls = p.st.Deployment.calls(class, p.rng)
		r.part = float64(p.st.Deployment.MeanWork[class]) * factor * size / float64(r.calls+1)
		p.start(r)
	})
}
