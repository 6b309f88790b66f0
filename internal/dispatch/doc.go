// Package dispatch is the request core of the server. It carries every request from the frontend that has read it to
// the backend that runs it, and its one response back.
//
// The frontends hand requests in by Core.Submit and Core.Abandon, the backend reports on its runs by Core.RunFinished
// and its neighbours, and the server ends each turn of the event loop with Core.Step. The core turns all of these
// into events of the decision module (package control) and the module's actions into calls on the small interfaces
// Responder, Backend, Downstream, ExecutionStore and PeerProcess.
//
// The core owns the registry of open requests, the table of idempotency keys with the results that are kept for them,
// the counters of each class, and what the decision module has set: the health, the load signal, the idle timeout. It
// also holds the rules that must stand whatever the module decides: a request gets one response, a key runs once
// within its retention window, and a call that may have taken effect is not made again for a request that may run
// once.
//
// The core never reads or writes a connection, never reads a clock and starts no goroutine. Its methods are called on
// the event loop alone; nothing here is safe for concurrent use.
package dispatch
