package sim

import (
	"fmt"
	"slices"
	"strconv"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
	"pewterline/internal/testbed/fakes"
	"pewterline/internal/testbed/faults"
	"pewterline/internal/testbed/invariant"
	"pewterline/internal/testbed/simnet"
)

const (
	// socketLimit is the lowest limit of descriptors that a configuration may have, so that connection tables fill up.
	socketLimit = 64
	// reservedSockets is the part of socketLimit that is not available to accepted connections.
	reservedSockets = 40
	// memoryLimit is the memory limit of a server, in bytes.
	memoryLimit       = 32 << 20
	maxAJPConnections = 48
	maxAJPBody        = 2 << 10
	ajpBodyTimeout    = 2 * microtime.Second
)

// vaultAddress is the initial address of the vault. A reload moves the calls to another address of the same node.
const vaultAddress = "v0/a"

// defaultPath is the quality of every network path that is not impaired by a fault.
var defaultPath = simnet.Quality{Latency: 500, Jitter: 300, Bandwidth: 50 << 20}

// simulation is one run: the servers and all their peers on one simulated clock.
type simulation struct {
	script          faults.Script
	options         Options
	clock           *simnet.Clock
	net             *simnet.Net
	environment     *fakes.Environment
	vault           *fakes.Vault   // nil if the script has no vault
	shutdownTimeout microtime.Time // from the notice to drain until the process is killed
	observer        *invariant.Observer
	baseConfig      config.Config // common configuration of all instances
	servers         []*instance
	edges           []*instance
	callers         map[string]*fakes.Caller
	endedTurns      uint64 // turns of event loops that have ended
}

// newSimulation returns a simulation without servers and callers, which build adds.
func newSimulation(script faults.Script, options Options) (*simulation, error) {
	deployment, err := parseDeployment(script)
	if err != nil {
		return nil, err
	}
	sim := &simulation{
		script:          script,
		options:         options,
		clock:           simnet.NewClock(script.Seed),
		shutdownTimeout: deployment.shutdownTimeout,
		callers:         map[string]*fakes.Caller{},
	}
	sim.net = simnet.NewNet(sim.clock, defaultPath)
	sim.observer = invariant.New(sim.clock, deployment.limits)
	if script.Edges > 0 {
		sim.observer.OnRequest = func(id, server, class string, body []byte) {
			sim.environment.Requests.Add(id, server, class, body)
		}
		sim.observer.OnRequestEnded = func(id string) { sim.environment.Requests.MarkEnded(id) }
	}
	sim.net.Tap = sim.observer.Tap
	sim.clock.After = sim.observer.Check
	sim.environment = fakes.NewEnvironment(fakes.EnvironmentConfig{
		Net:        sim.net,
		Settings:   deployment.settings,
		Deployment: deployment.traffic,
		Seed:       script.Seed,
	})
	sim.baseConfig = config.Config{
		ShutdownTimeout: deployment.shutdownTimeout,
		MemoryLimit:     memoryLimit,
		SocketLimit:     socketLimit,
		Settings:        deployment.settings,
		Gauges:          deployment.gauges,
		AJP: config.AJP{
			Listen:         "on",
			BodyTimeout:    ajpBodyTimeout,
			MaxBody:        maxAJPBody,
			MaxConnections: maxAJPConnections,
		},
	}
	if script.Vault {
		sim.vault = fakes.NewVault(sim.environment, script.Seed)
		sim.baseConfig.VaultAddress = vaultAddress
	}
	return sim, nil
}

// instances returns the servers, then the edges.
func (s *simulation) instances() []*instance { return append(slices.Clone(s.servers), s.edges...) }

// allServing reports whether no instance is draining or down.
func (s *simulation) allServing() bool {
	return !slices.ContainsFunc(s.instances(), func(i *instance) bool { return i.host.Ended || i.draining })
}

// instance returns the instance with the name of the node, or the one whose worker pool has that name. It returns nil
// if the node is neither an instance nor a worker pool.
func (s *simulation) instance(node string) *instance {
	if node == "" {
		return nil
	}
	var instances []*instance
	switch node[0] {
	case 's', 'w':
		instances = s.servers
	case 'e':
		instances = s.edges
	}
	index, err := strconv.Atoi(node[1:])
	if err != nil || index < 0 || index >= len(instances) {
		return nil
	}
	return instances[index]
}

// logf logs a line with the simulated time.
func (s *simulation) logf(format string, args ...any) {
	if s.options.Log != nil {
		elapsed := fmt.Sprintf("%10.6f ", float64(s.clock.Since())/1e6)
		s.options.Log(elapsed + fmt.Sprintf(format, args...))
	}
}
