// Package replication is a log server's replica in a replication group, whose servers store the outcomes of requests
// with idempotency keys for each other. It drives the decisions of packages consensus and execution with the program's
// event loop, a write-ahead log and the links to the other servers. Package server calls it for each request with an
// idempotency key, package admin for an operator's commands, and package peers for what other servers send. It owns the
// write-ahead log, the links and the table of requests in progress. It never runs a request, never waits on the event
// loop for the disk or for another server, and knows idempotency keys as opaque strings: classes, tenants and client
// protocols are its callers'. The state behind a vote is durable before the vote is sent. After a failed write the
// replica does not vote until it has opened and read its log again.
package replication
