// Package control decides, inside one server of a fleet, which requests start, wait, are rejected or fail when the
// server, its callers or its dependency are overloaded or faulty.
//
// A host owns one Controller for each server: the request core of the server (internal/dispatch) and the adapter for
// the operators' simulator (internal/simadapter). The host passes everything that has happened at one moment to
// Controller.Step as Events and carries out the returned Actions in their order. The Controller owns the state of the
// requests that the host has told it of and all that it has estimated of the machine, the classes of requests, the
// tenants, the callers and the dependency.
//
// The package never does I/O, never reads a clock and never starts a goroutine. Time is the time that is passed to
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
// Controller passes the events on and composes small types, each with its own state and file:
//
//   - requestTable holds the open requests, classTable the queue of each class and what is learned of it;
//   - laneScheduler picks the request to start next, loadPlan sheds what would start too late;
//   - concurrencyLimiter learns how many requests run at once, concurrencyCeiling and memoryBudget are guards on it;
//   - keyTable keeps keyed requests from running twice, callBudget keeps the dependency from overload;
//   - tenantQuotas, demand and slowdownEstimate measure what is asked of the server and how fast it is;
//   - healthMonitor, loadSignal and idleConnections tell callers what to do;
//   - drainState knows how far a graceful shutdown has come.
//
// # Units
//
// Clock times are time.Duration values from any fixed origin, memory is in kilobytes and estimates of times are
// seconds in float64.
package control
