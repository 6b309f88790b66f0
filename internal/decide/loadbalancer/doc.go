// Package loadbalancer decides how one instance uses many upstream endpoints. It selects the endpoint of each attempt,
// detects outliers and ejects them, schedules health probes, ramps up endpoints that have recovered (slow start),
// limits the concurrency at each endpoint, budgets retries, keeps requests with an idempotency key at one endpoint, and
// evaluates the gossip of other instances about the endpoints.
//
// The package internal/backend/upstream carries out the decisions, and internal/peers exchanges the gossip. There is no
// package-level state: New, NewRetryPolicy and NewPeerScheduler return values that each belong to one event loop.
//
// The package does no I/O, starts no goroutine and reads no clock: the caller passes the time to every method, in
// non-decreasing order. Random numbers come from a seed, so that the same calls give the same decisions.
package loadbalancer
