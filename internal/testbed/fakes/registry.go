package fakes

import (
	"fmt"
	"math/rand/v2"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

const (
	controlNode = "control"
	// endpointTTL is how long a server stays on the endpoint list after its last report.
	endpointTTL = 3 * microtime.Second
	// pushInterval is the interval between pushes of the endpoint list.
	pushInterval = 500 * microtime.Millisecond
	// minPushDelay is the minimum delay of a push to a caller; the maximum is twice as long.
	minPushDelay = microtime.Second
	// readyState is the reported state of a server that accepts requests.
	readyState = "Ready"
)

// Registry is the control plane: it lists the servers that report, and pushes the endpoint list to the callers.
type Registry struct {
	env       *Environment
	rng       *rand.Rand
	endpoints []*endpoint
	callers   []*Caller
	downUntil microtime.Time
	hidden    map[string]bool // servers never listed, as callers reach them only through edges
}

// endpoint is the entry of a server that has reported.
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
	env.Clock.In(0, registry.push)
	return registry
}

// endpoint returns the entry of a server, and adds one if there is none.
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

// List adds a server whose worker pool has started.
func (r *Registry) List(server string) { r.refresh(server, true) }

// Hide keeps a server off the list permanently.
func (r *Registry) Hide(server string) { r.hidden[server] = true }

// Unlist removes a server at once, as when its machine is known to have failed.
func (r *Registry) Unlist(server string) { r.endpoint(server).ready = false }

// SetDown makes the control plane unavailable until a time: no list is pushed and no entry expires.
func (r *Registry) SetDown(until microtime.Time) { r.downUntil = max(r.downUntil, until) }

// refresh records a report of a server.
func (r *Registry) refresh(server string, ready bool) {
	reported := r.endpoint(server)
	reported.reportedAt = r.env.Clock.Now()
	reported.ready = ready
}

// reportReceived handles a load report.
func (r *Registry) reportReceived(text string) {
	var server, state string
	fields, _ := fmt.Sscanf(text, "lease %s %s", &server, &state) // the count tells whether the report could be parsed
	if fields == 2 && r.downUntil <= r.env.Clock.Now() {
		r.refresh(server, state == readyState)
	}
}

// push sends the current list to every caller, each with a random delay, and schedules the next push.
func (r *Registry) push() {
	if r.env.Clock.Now() >= r.downUntil {
		list := r.listed()
		for _, caller := range r.callers {
			delay := minPushDelay + randomUpTo(r.rng, minPushDelay)
			r.env.Clock.In(delay, func() { caller.endpointsReceived(list) })
		}
	}
	r.env.Clock.In(pushInterval, r.push)
}

// listed returns the current endpoint list.
func (r *Registry) listed() []string {
	var list []string
	for _, known := range r.endpoints {
		if r.downUntil > 0 && known.reportedAt < r.downUntil && known.reportedAt > 0 {
			known.reportedAt = r.downUntil // entries do not expire while the control plane is down
		}
		if known.ready && !r.hidden[known.server] && r.env.Clock.Now() < known.reportedAt+endpointTTL {
			list = append(list, known.server)
		}
	}
	return list
}

// randomUpTo returns a random duration below a limit.
func randomUpTo(rng *rand.Rand, limit microtime.Time) microtime.Time {
	return microtime.Time(rng.Int64N(int64(limit)))
}
