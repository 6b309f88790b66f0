// Package store keeps the executions of idempotency keys in SQLite or PostgreSQL: the requests that one server has run,
// with their results, and those that it was about to run. Package server loads it at the start and writes to it before
// and after each run.
//
// It owns the connection to the database and one goroutine that writes. It never runs on the event loop and never waits
// for the database longer than its timeout. It does not interpret the records; that is up to the caller.
package store
