// Package control decides, inside one server of a fleet, which requests start, wait, are rejected or fail when the
// server, its callers or its dependency are overloaded or faulty.
//
// A host owns one Controller for each server. There are two hosts: the request core of the server (internal/dispatch)
// and the adapter for the operators' simulator (internal/simadapter). The host passes everything that has happened at
// one moment to Controller.Step as Events and carries out the returned Actions in their order. The Controller owns the
// state of the requests that the host has reported and its estimates of the machine, the classes of requests, the
// tenants, the callers and the dependency.
//
// The package never does I/O, never reads a clock and never starts a goroutine. The only time is the one passed to
// Step, and all randomness comes from Settings.Seed, so that the same events always give the same actions.
//
// # Scheduling
//
// Queued requests start by earliest due time: their arrival plus the queue budget of their class. The queue budget is
// the largest mean latency at which a generalized exponential law, fitted to the spread of the class's latencies, still
// meets the disengagement target, less the mean service time of the class (UTSLO, "User Disengagement-Oriented Target
// Enforcement for Multi-Tenant Database Systems"). A learned concurrency limit says how many requests run at once.
//
// # Structure
//
// Controller dispatches the events to small types, each with its own state and file:
//
//   - requestTable holds the open requests, classTable the queue and the statistics of each class;
//   - laneScheduler picks the request to start next, loadPlan sheds requests that would start too late;
//   - concurrencyLimiter learns how many requests run at once, concurrencyCeiling and memoryBudget bound it;
//   - retainedKeys keeps keyed requests from running twice, callBudget prevents overload of the dependency;
//   - tenantQuotas and demand measure the demand, slowdownEstimate the speed of the machine;
//   - healthMonitor, loadSignal and idleConnections decide what callers are advised to do;
//   - drainState holds the state of a graceful shutdown.
//
// # Units
//
// Clock times are time.Duration values from any fixed origin, memory is in kilobytes and estimates of times are
// seconds in float64.
package control
