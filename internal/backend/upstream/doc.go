// Package upstream is the backend that forwards runs to other log servers, over connections that it opens on demand:
// the program as an edge. The package server creates one Backend; dispatch starts and cancels runs on it.
//
// It carries out what internal/decide/loadbalancer decides: which endpoint gets an attempt, what is retried or hedged,
// and what is reported. It owns the connections to the endpoints and the attempts in flight on them, and has other
// instances told of the endpoints by internal/peers. It never decides by itself where a request goes, and never sends a
// request with an idempotency key to a second endpoint while the first may have executed it.
//
// All methods run on the event loop.
package upstream
