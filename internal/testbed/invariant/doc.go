// Package invariant checks, while a simulation runs, that the simulated servers keep the documented guarantees.
// Package sim passes each network event to Observer.Tap, reports each start, pause and stop of a server by the method
// of that name, and calls Observer.Check after every step of the simulation. The observer sees the bytes that pass
// through the machines' network interfaces and their times, never a server's internal state, and it does not affect
// the simulation. The rules are:
//
//   - lost: each request that was read gets a final answer in time, unless its caller cancelled it or disconnected.
//   - duplicate: no request is answered twice; a request with an idempotency key runs once on a server within the
//     retention window, which starts at the 'at' field of the attempt that ran; no request that ran is rejected.
//   - result: a served result was produced by a run of that request, or of another attempt with its idempotency key.
//   - drain: no request runs that arrived later than Limits.DrainGrace after the drain notice, and every request that
//     was read is answered before the process exits.
//   - fall-over: reserved memory and the concurrency on the cores stay within the settings' bounds.
//   - recovery: a server without a connection to its worker pool keeps dialling it.
//   - call: a downstream call of a request that is not idempotent is repeated only if the earlier one provably did not
//     run; a request has at most one open call, and none once it has ended; a reply reaches the run that waits for it,
//     unchanged.
//   - check: a deep health check is answered in time.
package invariant
