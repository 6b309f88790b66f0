// Package upstream is the backend that forwards runs to other log servers, over connections that it opens on demand.
// Package server creates one Backend; package dispatch starts and cancels runs on it. It carries out the decisions of
// internal/decide/loadbalancer: which endpoint gets an attempt, whether a run is retried or hedged, and what is
// reported. The backend owns the connections to the endpoints and the attempts in flight on them, and exchanges gossip
// about the endpoints with other instances through internal/peers. It never selects an endpoint itself, and never sends
// a request with an idempotency key to a second endpoint while the first may have executed it.
//
// All methods must be called on the event loop.
package upstream
