package fakes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/pool"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
)

const (
	// warmUpTime is how long a cold worker pool takes to reach its full speed.
	warmUpTime = 17 * microtime.Second
	// coldSpeed is the share of the full speed at which it starts.
	coldSpeed = 0.24
	// warmUpStep is how often the speed is counted anew meanwhile.
	warmUpStep = 250 * microtime.Millisecond
	// oldAddressGrace is how long connections to the address before stay open.
	oldAddressGrace = 1500 * microtime.Millisecond
	// addressCount is how many addresses a worker pool goes through before it uses the first again.
	addressCount = 26
	// serviceTolerance is by how much the service of a run that ends may differ from its work, in microseconds.
	serviceTolerance = 0.5
)

// Pool is a worker pool. It owns the cores of a server, which its runs share evenly, and starts cold if it is told
// to.
type Pool struct {
	env            *Environment
	rng            *rand.Rand
	node           *simnet.Node
	server         string
	address        int // how often it has moved
	listener       *simnet.Listener
	cores          float64
	cold           bool
	startedAt      microtime.Time
	slowdown       float64            // how many times as long all work takes
	classSlowdown  map[string]float64 // the same of one class
	duplicateUntil microtime.Time     // notices come twice until then
	running        []*poolRun         // on the cores, by when they end
	runs           map[string]*poolRun
	service        float64        // that a run which was there all the time has had, in microseconds
	serviceAt      microtime.Time // when service was that
	nextEnd        *simnet.Timer
	results        uint64   // made so far
	notices        [][]byte // the last ones
	firstNotice    uint64   // the number of the first of them
	link           *poolLink
	killed         bool
}

// poolRun is one run.
type poolRun struct {
	id         string
	endService float64 // the pool's service at which it ends or makes its next call
	startedAt  microtime.Time
	body       []byte
	ended      bool
	part       float64 // service before each of its calls, and after the last, in microseconds
	callsLeft  int
	callsMade  int
	blocked    bool // it waits, off the cores, for the reply to a call
}

// PoolConfig is what tells one worker pool from another.
type PoolConfig struct {
	Server string // that it belongs to
	Cold   bool   // it warms up over its first seconds
	Seed   uint64
}

// NewPool starts the worker pool of a server.
func NewPool(env *Environment, config PoolConfig) *Pool {
	name := "w" + config.Server[1:]
	started := &Pool{
		env:           env,
		node:          env.Net.Node(name),
		server:        config.Server,
		cores:         float64(env.Settings.Cores),
		cold:          config.Cold,
		startedAt:     env.World.Now(),
		slowdown:      1,
		classSlowdown: map[string]float64{},
		runs:          map[string]*poolRun{},
		serviceAt:     env.World.Now(),
		firstNotice:   1,
	}
	started.node.Boot()
	started.rng = env.World.Fork(config.Seed, fmt.Sprintf("%s/%d", name, started.node.Incarnation))
	started.listen()
	if config.Cold {
		started.warmUp()
	}
	return started
}

// Addr is where the server reaches it now.
func (p *Pool) Addr() string { return fmt.Sprintf("%s/%c", p.node.Name, 'a'+p.address%addressCount) }

func (p *Pool) listen() {
	p.listener = mustListen(p.node, p.Addr(), simnet.Listener{
		Accept: func(stream *simnet.Stream) simnet.Handler { return &poolLink{pool: p, stream: stream} },
	})
}

// ChangeAddress has the worker pool listen at another address. The old one takes nothing new, and closes what it has
// later.
func (p *Pool) ChangeAddress() {
	old := slices.Clone(p.node.Streams())
	p.listener.Close()
	p.address++
	p.listen()
	p.env.World.In(oldAddressGrace, func() {
		for _, stream := range old {
			stream.Close()
		}
	})
}

// Kill ends it with its server.
func (p *Pool) Kill(machine bool) {
	p.killed = true
	p.nextEnd.Stop()
	p.node.Kill(machine)
}

// Slow has all work take so many times as long.
func (p *Pool) Slow(factor float64) { p.change(func() { p.slowdown = factor }) }

// SlowClass has the work of a class that starts from now on take so many times as long.
func (p *Pool) SlowClass(class string, factor float64) { p.classSlowdown[class] = factor }

// DuplicateNotices has each notice come twice until a time.
func (p *Pool) DuplicateNotices(until microtime.Time) { p.duplicateUntil = until }

// rate is the service that each run gets in a microsecond.
func (p *Pool) rate() float64 {
	speed := 1.0
	if p.cold {
		slowest := coldSpeed
		speed = min(1, slowest+(1-slowest)*float64(p.env.World.Now()-p.startedAt)/float64(warmUpTime))
	}
	return speed / p.slowdown * min(1, p.cores/float64(max(len(p.running), 1)))
}

// change brings the service up to now, applies a change of the runs or the speed, and plans the next end.
func (p *Pool) change(apply func()) {
	if p.killed {
		return
	}
	now := p.env.World.Now()
	p.service += p.rate() * float64(now-p.serviceAt)
	p.serviceAt = now
	apply()
	p.nextEnd.Stop()
	if len(p.running) > 0 {
		left := max(p.running[0].endService-p.service, 0)
		p.nextEnd = p.env.World.In(microtime.Time(math.Ceil(left/p.rate())), p.endRuns)
	}
}

// warmUp counts the speed anew while it rises.
func (p *Pool) warmUp() {
	p.change(func() {})
	if !p.killed && p.env.World.Now() < p.startedAt+warmUpTime {
		p.env.World.In(warmUpStep, p.warmUp)
	}
}

// endRuns takes the runs off the cores that have had their service: they have come to a call, or to their end.
func (p *Pool) endRuns() {
	p.change(func() {
		for len(p.running) > 0 && p.running[0].endService <= p.service+serviceTolerance {
			first := p.running[0]
			p.running = p.running[1:]
			if first.callsLeft > 0 {
				p.block(first)
				continue
			}
			p.results++
			p.finish(first, pool.Pass, invariant.Result(first.body, p.results))
		}
	})
}

// block has a run wait for a call. A run whose request has ended ends there.
func (p *Pool) block(blocked *poolRun) {
	if p.env.Requests.attempts[blocked.id].ended {
		p.finish(blocked, pool.Killed, nil)
		return
	}
	blocked.callsLeft--
	blocked.callsMade++
	blocked.blocked = true
	body := fmt.Appendf(nil, "call %d of %s for %016x\r\n", blocked.callsMade, blocked.id, xxhash.Sum64(blocked.body))
	p.notify(func(number uint64) []byte { return pool.AppendBlocked(nil, number, blocked.id, body) })
}

// requestEnded ends a run that waits for a call, as its request has ended.
func (p *Pool) requestEnded(run *poolRun) {
	if run.blocked && !p.killed {
		p.finish(run, pool.Killed, nil)
	}
}

// start puts a run on the cores, until its next call or its end; one that ends at the same service as others comes
// after them.
func (p *Pool) start(started *poolRun) {
	started.endService = p.service + started.part
	index, _ := slices.BinarySearchFunc(p.running, started.endService, func(other *poolRun, end float64) int {
		if other.endService <= end {
			return -1
		}
		return 1
	})
	p.running = slices.Insert(p.running, index, started)
}

// suspend ends a run wherever it is.
func (p *Pool) suspend(id string) {
	p.change(func() {
		suspended := p.runs[id]
		if suspended == nil || suspended.ended {
			return
		}
		p.running = slices.DeleteFunc(p.running, func(other *poolRun) bool { return other == suspended })
		p.finish(suspended, pool.Killed, nil)
	})
}
