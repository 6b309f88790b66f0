package sim

import (
	"fmt"
	"math/rand/v2"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/server"
	"pewterline/internal/store"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/simnet"
	"pewterline/internal/transport"
)

// gossipSuffix ends the address at which an edge exchanges gossip.
const gossipSuffix = "/exchange"

// listenSuffixes end the addresses of an instance, by the index of the listener.
var listenSuffixes = []string{
	server.ThriftListener:   "/thrift",
	server.AJPListener:      "/ajp",
	server.ExchangeListener: gossipSuffix,
}

// turnCost is the processor time of an instance's event loop.
var turnCost = simnet.Cost{Turn: 40, KB: 15}

// instance is one server, or one edge, over all its incarnations: processes of the same name, one after another.
type instance struct {
	sim      *simulation
	name     string
	host     *simnet.Host   // of the current process
	program  *server.Server // likewise
	pool     *fakes.Pool    // nil: it is an edge
	store    *fakes.Store   // nil: the script has none
	config   config.Config
	reloads  int  // so far; each moves the addresses that it connects to
	isEdge   bool // it has no worker pool: the servers do its work
	draining bool
	downtime microtime.Time // from the end of its process to the next one
}

// boot starts a process of the instance, with a worker pool of its own.
func (i *instance) boot(cold bool) {
	sim := i.sim
	node := sim.net.Node(i.name)
	node.Boot()
	i.draining = false
	if !i.isEdge {
		i.pool = fakes.NewPool(sim.environment, fakes.PoolConfig{Server: i.name, Cold: cold, Seed: sim.script.Seed})
		i.config.PoolAddress = i.pool.Addr()
	}
	rng := sim.clock.Fork(sim.script.Seed, fmt.Sprintf("%s/%d", i.name, node.Incarnation))
	i.config.Settings.Seed = rng.Uint64()
	program, err := server.New(i.config, &simnet.WallClock{}, i.logf)
	if err != nil {
		panic(err) // The configuration is this package's own.
	}
	i.program = program
	sim.observer.ServerStarted(i.name, node.Incarnation)
	sim.observer.CallsRoutedTo(i.name, i.config.VaultAddress)
	i.startHost(node, rng)
	if i.isEdge || sim.script.Edges == 0 {
		sim.environment.Registry.List(i.name)
	} else {
		sim.environment.Registry.Hide(i.name)
	}
}

// startHost has the program run on the node.
func (i *instance) startHost(node *simnet.Node, rng *rand.Rand) {
	program := i.program
	between := i.sim.options.interposer()
	if controllers, ok := between.(controllerInterposer); ok {
		program.UseController(controllers.newController)
	}
	i.host = simnet.NewHost(node, simnet.HostConfig{
		Options: transport.Options{
			MaxConns:    socketLimit - reservedSockets,
			MaxBuffered: memoryLimit / 8,
			Logf:        i.logf,
		},
		Handler: between.handler(program),
		Rand:    rng,
		Cost:    turnCost,
		Begin: func(loop *transport.Loop) {
			i.useStore(program, node)
			if err := loop.SetDatagramPeer(i.config.ControlAddress); err != nil {
				panic(err) // A simulated host takes any address.
			}
			program.Attach(between.eventLoop(loop))
		},
	})
	for index, suffix := range listenSuffixes {
		if err := i.host.Listen(i.name+suffix, index); err != nil {
			panic(err) // The process before has closed them.
		}
	}
	i.host.OnStop = func() { i.processEnded(true, false) }
}

// useStore connects the program to the store of record, where there is one.
func (i *instance) useStore(program *server.Server, node *simnet.Node) {
	if i.store == nil {
		return
	}
	view := incarnationStore{Store: i.store, node: node, incarnation: node.Incarnation}
	if err := program.UseStore(view, i.sim.clock.Now()); err != nil {
		panic(err) // The fake store never fails to load.
	}
}

func (i *instance) logf(format string, args ...any) {
	if i.sim.options.Log != nil {
		i.sim.logf(i.name+": "+format, args...)
	}
}

// incarnationStore is the store of record as one process sees it: once that has ended, it writes nothing.
type incarnationStore struct {
	*fakes.Store
	node        *simnet.Node
	incarnation int
}

// Record writes a record, while the process lives.
func (s incarnationStore) Record(record store.Record, done func(error)) {
	if s.node.Up() && s.node.Incarnation == s.incarnation {
		s.Store.Record(record, done)
	}
}

// processEnded takes down what goes with the process, and schedules the next one. byItself: the process ended as it
// should; withMachine: its machine is lost as well.
func (i *instance) processEnded(byItself, withMachine bool) {
	sim := i.sim
	sim.endedTurns += i.host.Turns()
	sim.observer.ServerStopped(i.name, byItself)
	if i.pool != nil {
		i.pool.Kill(withMachine)
	}
	i.logf("process ended, by itself %v", byItself)
	sim.clock.In(max(i.downtime, microtime.Millisecond), func() { i.boot(true) })
}

// kill ends the process at once.
func (i *instance) kill(withMachine bool, downtime microtime.Time) {
	if i.host.Ended {
		return
	}
	i.downtime = downtime
	i.host.Kill(withMachine)
	i.processEnded(false, withMachine)
}

// terminate sends the notice to drain. The process is killed when its shutdown timeout is over.
func (i *instance) terminate(downtime microtime.Time) {
	if i.host.Ended || i.draining {
		return
	}
	i.draining = true
	i.downtime = downtime
	host, clock := i.host, i.sim.clock
	if host.PausedUntil() > clock.Now() { // A paused process gets a signal when it goes on.
		clock.At(host.PausedUntil(), func() {
			if !host.Ended {
				i.draining = false
				i.terminate(downtime)
			}
		})
		return
	}
	i.sim.observer.DrainSent(i.name)
	program := i.program
	// Neither fails: the host has not ended. The empty task is the signal that wakes the process.
	_ = host.Queue(func() {})
	_ = host.Loop().Execute(func() { program.Drain(clock.Now()) })
	clock.In(i.sim.shutdownTimeout, func() {
		if !host.Ended {
			host.Kill(false)
			i.processEnded(true, false)
		}
	})
}

// reload moves the worker pool, the health reports and the calls to other addresses, and tells the process.
func (i *instance) reload() {
	if i.host.Ended {
		return
	}
	i.pool.ChangeAddress()
	i.reloads++
	address := string(rune('a' + i.reloads%2))
	next := i.config
	next.PoolAddress = i.pool.Addr()
	next.ControlAddress = "control/" + address
	if i.sim.vault != nil {
		next.VaultAddress = "v0/" + address
	}
	i.config = next
	program := i.program
	// It does not fail: the host has not ended.
	_ = i.host.Loop().Execute(func() {
		if err := program.Reload(next); err != nil {
			i.logf("reload: %v", err)
			return
		}
		i.sim.observer.CallsRoutedTo(i.name, next.VaultAddress)
	})
}
