// Package invariant checks, while a simulated world runs, that the servers in it keep the rules of the operators'
// pages. Package sim feeds it: each network event goes to Observer.Tap, each start, pause and stop of a server to
// the method of that name, and Observer.Check is called after every step of the world. It sees bytes and times at
// the machines' edges and nothing of a server's inside, and it never changes the course of the world. The rules are:
//
//   - lost: each request that was read gets one final answer in time, unless its caller cancelled it or left.
//   - duplicate: no request is answered twice; a request with an idempotency key runs once on a server within the
//     retention window, which counts from the 'at' of the attempt that ran; no request that ran is rejected.
//   - result: what is served is what a run made for that request, or for another attempt with the same idempotency key.
//   - drain: nothing runs that arrived too long after the drain notice (Limits.DrainGrace), and all that was read is
//     answered before the process ends.
//   - fall-over: reserved memory and the concurrency on the cores stay within the settings' bounds.
//   - recovery: a server without a connection to its worker pool goes on dialling it.
//   - call: a downstream call of a request that is not idempotent is made once, unless it is proven not to have run; a
//     request has one call open at most, and none once it has ended; a reply reaches the run that it is for, unchanged.
//   - check: a deep health check is answered in time.
package invariant
