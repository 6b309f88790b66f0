package upstream

import (
	"slices"

	"pewterline/internal/config"
	"pewterline/internal/microtime"
)

// RemovedEndpointRetention is how long an endpoint is still known after it was removed from the list. It is longer than
// any retention window, because a request with an idempotency key that the endpoint may have executed must not be sent
// to another endpoint.
const RemovedEndpointRetention = 600 * microtime.Second

// endpoint is one log server.
type endpoint struct {
	config.Member
	connections []*connection
	removedAt   microtime.Time // when it was removed from the list; 0: it is on the list
}

// endpointList holds the known endpoints, in the order in which they were added.
type endpointList struct {
	ordered []*endpoint
	byName  map[string]*endpoint
}

func newEndpointList() endpointList { return endpointList{byName: map[string]*endpoint{}} }

func (l *endpointList) add(e *endpoint) {
	l.ordered = append(l.ordered, e)
	l.byName[e.Name] = e
}

// closeIdle closes the connections that have been idle for longer than idleTimeout.
func (l *endpointList) closeIdle(now microtime.Time) {
	for _, e := range l.ordered {
		for _, c := range slices.Clone(e.connections) {
			c.closeIfIdle(now)
		}
	}
}

// expireRemoved drops the endpoints that were removed more than RemovedEndpointRetention ago and have no connection.
func (l *endpointList) expireRemoved(now microtime.Time) {
	l.ordered = slices.DeleteFunc(l.ordered, func(e *endpoint) bool {
		expired := e.removedAt > 0 && now > e.removedAt+RemovedEndpointRetention && len(e.connections) == 0
		if expired {
			delete(l.byName, e.Name)
		}
		return expired
	})
}

// setAddress sets the address for new connections. Connections to the old address are drained.
func (e *endpoint) setAddress(address string) {
	if e.Address == address {
		return
	}
	e.Address = address
	for _, c := range e.connections {
		c.drain()
	}
}

// Lookup reports whether an endpoint is known, and whether it was removed from the list.
func (b *Backend) Lookup(name string) (known, removed bool) {
	e := b.endpoints.byName[name]
	return e != nil, e != nil && e.removedAt > 0
}

func (b *Backend) addEndpoint(now microtime.Time, listed config.Member) {
	b.endpoints.add(&endpoint{Member: listed})
	b.balancer.Add(now, listed.Name)
}

// UpdateEndpoints applies a new endpoint list. Attempts in flight are not interrupted. A removed endpoint gets no new
// requests, only retries of requests with an idempotency key that it may have executed.
func (b *Backend) UpdateEndpoints(list []config.Member) {
	now := b.now()
	listedNames := map[string]bool{}
	for _, listed := range list {
		listedNames[listed.Name] = true
		known := b.endpoints.byName[listed.Name]
		if known == nil {
			b.addEndpoint(now, listed)
			continue
		}
		known.setAddress(listed.Address)
		known.removedAt = 0
		b.balancer.Add(now, known.Name)
	}
	for _, e := range b.endpoints.ordered {
		if !listedNames[e.Name] && e.removedAt == 0 {
			e.removedAt = now
			b.balancer.Remove(e.Name)
		}
	}
}

// ExpireRemoved drops the endpoints that were removed more than RemovedEndpointRetention ago and have no connection.
func (b *Backend) ExpireRemoved(now microtime.Time) { b.endpoints.expireRemoved(now) }
