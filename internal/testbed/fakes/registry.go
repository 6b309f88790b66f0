package fakes

import (
	"fmt"
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	controlNode = "control"
	// endpointLapse is how long after its last report a server stays on the list.
	endpointLapse = 3 * microtime.Second
	// pushInterval is the pause between two pushes of the list.
	pushInterval = 500 * microtime.Millisecond
	// minPushDelay is how long a push is on its way to a caller at least; it may take as long again.
	minPushDelay = microtime.Second
	// readyState is the state in a report of a server that takes requests.
	readyState = "Ready"
)

// Registry is the control plane: it lists the servers that report, and sends the list to the callers late.
type Registry struct {
	env       *Environment
	rng       *rand.Rand
	endpoints []*endpoint
	callers   []*Caller
	downUntil microtime.Time
	hidden    map[string]bool // servers that callers are not to use, as edges stand before them
}

// endpoint is a server on the list.
type endpoint struct {
	server     string
	reportedAt microtime.Time
	ready      bool
}

func newRegistry(env *Environment, rng *rand.Rand) *Registry {
	registry := &Registry{env: env, rng: rng, hidden: map[string]bool{}}
	node := env.Net.Node(controlNode)
	node.Boot()
	for _, address := range []string{controlNode + "/a", controlNode + "/b"} {
		mustListen(node, address, simnet.Listener{
			Datagram: func(_ string, datagram []byte) { registry.reportReceived(string(datagram)) },
		})
	}
	env.World.In(0, registry.push)
	return registry
}

// endpoint is the entry of a server, which is added where there is none.
func (r *Registry) endpoint(server string) *endpoint {
	for _, known := range r.endpoints {
		if known.server == server {
			return known
		}
	}
	added := &endpoint{server: server}
	r.endpoints = append(r.endpoints, added)
	return added
}

// List enters a server whose worker pool has come up.
func (r *Registry) List(server string) { r.refresh(server, true) }

// Hide keeps a server off the list for good.
func (r *Registry) Hide(server string) { r.hidden[server] = true }

// Unlist drops a server at once, as where its machine is known to be gone.
func (r *Registry) Unlist(server string) { r.endpoint(server).ready = false }

// SetDown has the control plane be down until a time: callers get no list, and no entry lapses.
func (r *Registry) SetDown(until microtime.Time) { r.downUntil = max(r.downUntil, until) }

// refresh notes that a server has reported now.
func (r *Registry) refresh(server string, ready bool) {
	reported := r.endpoint(server)
	reported.reportedAt = r.env.World.Now()
	reported.ready = ready
}

// reportReceived takes a load report.
func (r *Registry) reportReceived(text string) {
	var server, state string
	fields, _ := fmt.Sscanf(text, "lease %s %s", &server, &state) // the count reports whether it could be read
	if fields == 2 && r.downUntil <= r.env.World.Now() {
		r.refresh(server, state == readyState)
	}
}

// push sends every caller the list as it is now, which arrives a second or two later.
func (r *Registry) push() {
	if r.env.World.Now() >= r.downUntil {
		list := r.listed()
		for _, caller := range r.callers {
			delay := minPushDelay + randomUpTo(r.rng, minPushDelay)
			r.env.World.In(delay, func() { caller.endpointsReceived(list) })
		}
	}
	r.env.World.In(pushInterval, r.push)
}

// listed is the list as it is now.
func (r *Registry) listed() []string {
	var list []string
	for _, known := range r.endpoints {
		if r.downUntil > 0 && known.reportedAt < r.downUntil && known.reportedAt > 0 {
			known.reportedAt = r.downUntil // nothing lapses in a time for which the control plane was down
		}
		if known.ready && !r.hidden[known.server] && r.env.World.Now() < known.reportedAt+endpointLapse {
			list = append(list, known.server)
		}
	}
	return list
}

// randomUpTo draws a duration below a limit.
func randomUpTo(rng *rand.Rand, limit microtime.Time) microtime.Time {
	return microtime.Time(rng.Int64N(int64(limit)))
}
