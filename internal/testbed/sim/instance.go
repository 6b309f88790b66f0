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

// gossipSuffix is the suffix of the address at which an edge exchanges gossip.
const gossipSuffix = "/exchange"

// listenSuffixes are the suffixes of the addresses of an instance, by the index of the listener.
var listenSuffixes = []string{
	server.ThriftListener:   "/thrift",
	server.AJPListener:      "/ajp",
	server.ExchangeListener: gossipSuffix,
}

// turnCost is the simulated processor time of an instance's event loop, per turn and per KB.
var turnCost = simnet.Cost{Turn: 40, KB: 15}

// instance is one server or one edge over all its incarnations, which are successive processes with the same name.
type instance struct {
	sim      *simulation
	name     string
	host     *simnet.Host   // of the current process
	program  *server.Server // of the current process
	pool     *fakes.Pool    // nil for an edge
	store    *fakes.Store   // nil if the script has no store
	config   config.Config
	reloads  int  // so far; each changes the addresses that the instance connects to
	isEdge   bool // has no worker pool; forwards requests to the servers
	draining bool
	downtime microtime.Time // from the end of the process to the start of the next one
}

// boot starts a process of the instance, and for a server its worker pool.
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
		panic(err) // The configuration comes from this package.
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

// startHost runs the program on the node.
func (i *instance) startHost(node *simnet.Node, rng *rand.Rand) {
	program := i.program
	processInterposer := i.sim.options.interposer()
	if controllers, ok := processInterposer.(controllerInterposer); ok {
		program.UseController(controllers.newController)
	}
	i.host = simnet.NewHost(node, simnet.HostConfig{
		Options: transport.Options{
			MaxConns:    socketLimit - reservedSockets,
			MaxBuffered: memoryLimit / 8,
			Logf:        i.logf,
		},
		Handler: processInterposer.handler(program),
		Rand:    rng,
		Cost:    turnCost,
		Begin: func(loop *transport.Loop) {
			i.useStore(program, node)
			if err := loop.SetDatagramPeer(i.config.ControlAddress); err != nil {
				panic(err) // A simulated host accepts any address.
			}
			program.Attach(processInterposer.eventLoop(loop))
		},
	})
	for index, suffix := range listenSuffixes {
		if err := i.host.Listen(i.name+suffix, index); err != nil {
			panic(err) // The previous process has closed its listeners.
		}
	}
	i.host.OnStop = func() { i.processEnded(true, false) }
}

// useStore connects the program to the store of record, if there is one.
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

// incarnationStore is the store of record as used by one process. It ignores records after that process has ended.
type incarnationStore struct {
	*fakes.Store
	node        *simnet.Node
	incarnation int
}

// Record writes a record if the process is still running.
func (s incarnationStore) Record(record store.Record, done func(error)) {
	if s.node.Up() && s.node.Incarnation == s.incarnation {
		s.Store.Record(record, done)
	}
}

// processEnded ends the worker pool of the process, and schedules the next process. graceful says that the process was
// shut down rather than crashed, and machineLost that its machine is lost as well.
func (i *instance) processEnded(graceful, machineLost bool) {
	sim := i.sim
	sim.endedTurns += i.host.Turns()
	sim.observer.ServerStopped(i.name, graceful)
	if i.pool != nil {
		i.pool.Kill(machineLost)
	}
	i.logf("process ended, graceful %v", graceful)
	sim.clock.In(max(i.downtime, microtime.Millisecond), func() { i.boot(true) })
}

// kill ends the process immediately.
func (i *instance) kill(machineLost bool, downtime microtime.Time) {
	if i.host.Ended {
		return
	}
	i.downtime = downtime
	i.host.Kill(machineLost)
	i.processEnded(false, machineLost)
}

// terminate sends the notice to drain. The process is killed after its shutdown timeout.
func (i *instance) terminate(downtime microtime.Time) {
	if i.host.Ended || i.draining {
		return
	}
	i.draining = true
	i.downtime = downtime
	host, clock := i.host, i.sim.clock
	if host.PausedUntil() > clock.Now() { // A paused process receives signals when it resumes.
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
	// Neither call fails, as the host has not ended. The empty task models the signal, which wakes the process.
	_ = host.Queue(func() {})
	_ = host.Loop().Execute(func() { program.Drain(clock.Now()) })
	clock.In(i.sim.shutdownTimeout, func() {
		if !host.Ended {
			host.Kill(false)
			i.processEnded(true, false)
		}
	})
}

// reload moves the worker pool, the health reports and the downstream calls to other addresses, and makes the process
// reload its configuration.
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
	// Execute does not fail, as the host has not ended.
	_ = i.host.Loop().Execute(func() {
		if err := program.Reload(next); err != nil {
			i.logf("reload: %v", err)
			return
		}
		i.sim.observer.CallsRoutedTo(i.name, next.VaultAddress)
	})
}
