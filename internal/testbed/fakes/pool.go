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
	// coldSpeed is the fraction of full speed at which a cold worker pool starts.
	coldSpeed = 0.24
	// warmUpStep is the interval at which the speed is updated during the warm-up.
	warmUpStep = 250 * microtime.Millisecond
	// oldAddressGrace is how long connections to the previous address stay open after a change of address.
	oldAddressGrace = 1500 * microtime.Millisecond
	// addressCount is the number of addresses that a worker pool cycles through.
	addressCount = 26
	// serviceTolerance is the rounding error, in microseconds, up to which a run counts as having had its service.
	serviceTolerance = 0.5
)

// Pool is a simulated worker pool. It owns the cores of a server, which its runs share evenly (processor sharing).
type Pool struct {
	env            *Environment
	rng            *rand.Rand
	node           *simnet.Node
	server         string
	address        int // number of address changes
	listener       *simnet.Listener
	cores          float64
	cold           bool
	startedAt      microtime.Time
	slowdown       float64            // factor on the duration of all work
	classSlowdown  map[string]float64 // factor on the work of one class, by class name
	duplicateUntil microtime.Time     // notices are sent twice until then
	running        []*poolRun         // on the cores, sorted by endService
	runs           map[string]*poolRun
	service        float64        // service that a run present since the start would have had, in microseconds
	serviceAt      microtime.Time // time for which service was computed
	nextEnd        *simnet.Timer
	results        uint64   // number of results so far
	notices        [][]byte // the most recent notices
	firstNotice    uint64   // number of notices[0]
	conn           *poolConn
	killed         bool
}

// poolRun is a run at the worker pool.
type poolRun struct {
	id             string
	endService     float64 // value of Pool.service at which it ends or makes its next call
	startedAt      microtime.Time
	body           []byte
	ended          bool
	segmentService float64 // service before each of its calls and after the last one, in microseconds
	callsLeft      int
	callsMade      int
	blocked        bool // waits for the reply to a call, off the cores
}

// PoolConfig are the parameters of a worker pool.
type PoolConfig struct {
	Server string // server that the pool belongs to
	Cold   bool   // starts slow and warms up over warmUpTime
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
		startedAt:     env.Clock.Now(),
		slowdown:      1,
		classSlowdown: map[string]float64{},
		runs:          map[string]*poolRun{},
		serviceAt:     env.Clock.Now(),
		firstNotice:   1,
	}
	started.node.Boot()
	started.rng = env.Clock.Fork(config.Seed, fmt.Sprintf("%s/%d", name, started.node.Incarnation))
	started.listen()
	if config.Cold {
		started.warmUp()
	}
	return started
}

// Addr returns the pool's current address.
func (p *Pool) Addr() string { return fmt.Sprintf("%s/%c", p.node.Name, 'a'+p.address%addressCount) }

func (p *Pool) listen() {
	p.listener = mustListen(p.node, p.Addr(), simnet.Listener{
		Accept: func(stream *simnet.Stream) simnet.Handler { return &poolConn{pool: p, stream: stream} },
	})
}

// ChangeAddress makes the worker pool listen at another address. The old address accepts no new connections, and the
// connections to it are closed after a grace period.
func (p *Pool) ChangeAddress() {
	old := slices.Clone(p.node.Streams())
	p.listener.Close()
	p.address++
	p.listen()
	p.env.Clock.In(oldAddressGrace, func() {
		for _, stream := range old {
			stream.Close()
		}
	})
}

// Kill ends the worker pool with its server, or with the whole machine.
func (p *Pool) Kill(machine bool) {
	p.killed = true
	p.nextEnd.Stop()
	p.node.Kill(machine)
}

// Slow sets the slowdown factor of all work.
func (p *Pool) Slow(factor float64) { p.change(func() { p.slowdown = factor }) }

// SlowClass sets the slowdown factor of the runs of a class that start from now on.
func (p *Pool) SlowClass(class string, factor float64) { p.classSlowdown[class] = factor }

// DuplicateNotices makes the pool send each notice twice until a time.
func (p *Pool) DuplicateNotices(until microtime.Time) { p.duplicateUntil = until }

// rate returns the service that each run on the cores gets per microsecond.
func (p *Pool) rate() float64 {
	speed := 1.0
	if p.cold {
		slowest := coldSpeed
		speed = min(1, slowest+(1-slowest)*float64(p.env.Clock.Now()-p.startedAt)/float64(warmUpTime))
	}
	return speed / p.slowdown * min(1, p.cores/float64(max(len(p.running), 1)))
}

// change updates the service to now, applies a change of the runs or the speed, and schedules the next endRuns.
func (p *Pool) change(apply func()) {
	if p.killed {
		return
	}
	now := p.env.Clock.Now()
	p.service += p.rate() * float64(now-p.serviceAt)
	p.serviceAt = now
	apply()
	p.nextEnd.Stop()
	if len(p.running) > 0 {
		left := max(p.running[0].endService-p.service, 0)
		p.nextEnd = p.env.Clock.In(microtime.Time(math.Ceil(left/p.rate())), p.endRuns)
	}
}

// warmUp updates the speed at intervals until the pool is warm.
func (p *Pool) warmUp() {
	p.change(func() {})
	if !p.killed && p.env.Clock.Now() < p.startedAt+warmUpTime {
		p.env.Clock.In(warmUpStep, p.warmUp)
	}
}

// endRuns takes the runs that have had their service off the cores: each makes a call next, or ends.
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

// block makes a run wait for a call. If its request has ended, the run ends instead.
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

// requestEnded ends a run whose request has ended, if the run waits for a call.
func (p *Pool) requestEnded(run *poolRun) {
	if run.blocked && !p.killed {
		p.finish(run, pool.Killed, nil)
	}
}

// start puts a run on the cores, until its next call or its end. Runs with an equal endService keep the order of their
// starts.
func (p *Pool) start(started *poolRun) {
	started.endService = p.service + started.segmentService
	index, _ := slices.BinarySearchFunc(p.running, started.endService, func(other *poolRun, end float64) int {
		if other.endService <= end {
			return -1
		}
		return 1
	})
	p.running = slices.Insert(p.running, index, started)
}

// suspend ends a run, on or off the cores.
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
