// Package server implements one log server on one event loop. Its Server connects the frontends, which serve clients,
// with the request core (package dispatch), which decides about requests, and with the backend that runs them: the
// worker pool, an AJP server or other log servers.
//
// The program in cmd/pewterline builds a Server, and so does the simulation. The event loop calls Accept for each new
// connection and Turn at the end of each turn; every other method is called on the loop as well, unless its comment
// says otherwise.
//
// The package implements the functions of the process as a whole: graceful shutdown, the handoff to a successor in a
// hot restart, reloads of the configuration, the health report to the control plane, and the recording of executions
// of idempotency keys. It does not decide whether, when or where a request runs. It uses sockets, clocks and databases
// only through interfaces (EventLoop, WallClock, RecordStore), so that the simulation can replace them.
package server
