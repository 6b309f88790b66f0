// Package replication is a log server's replica in a replication group, whose servers store the outcomes of requests
// with idempotency keys for each other. It connects the state machines of packages consensus and execution to the
// event loop, a write-ahead log and the links to the other servers. Package server calls it for each request with an
// idempotency key, package admin for operators' commands, and package peers for messages from other servers.
//
// The package owns the write-ahead log, the links and the table of requests in progress. It does not run requests, does
// not block the event loop on the disk or on another server, and treats idempotency keys as opaque strings: its callers
// handle classes, tenants and client protocols.
//
// A replica makes its state durable before it sends a vote that depends on that state. After a failed write it does not
// vote until it has reopened and reread its log.
package replication
