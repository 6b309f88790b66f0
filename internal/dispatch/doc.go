// Package dispatch is the request core of the server. It passes each request from the frontend that read it to the
// backend that runs it, and passes the one response back to the frontend.
//
// The frontends call Core.Submit and Core.Abandon, the backend reports on its runs by Core.RunFinished, RunBlocked and
// RunDeclined, and the server ends each turn of the event loop with Core.Step. The core converts all of these into
// events of the decision module (package control), and the module's actions into calls of the small interfaces
// Responder, Backend, Downstream, ExecutionStore and PeerProcess.
//
// The core owns the registry of open requests, the table of idempotency keys with their retained results, the counters
// of each class, and the values that the decision module sets: the health, the load signal and the idle timeout. It
// also enforces the invariants that must hold whatever the module decides: a request gets one response, a key runs once
// within its retention window, and a call that may have taken effect is not repeated for a request that is not
// idempotent.
//
// The core never reads or writes a connection, never reads a clock and starts no goroutine. Its methods must be called
// on the event loop only; nothing here is safe for concurrent use.
package dispatch
