// Package store is the store of record: it keeps the keyed requests that one server has run, with their results, and
// those that it was about to run, in SQLite or PostgreSQL. Package server loads it at the start and writes to it
// before and after each run.
//
// It owns the connection to the database and one goroutine that writes. It never runs on the event loop, never waits
// for the database longer than its timeout, and decides nothing: what a record means is its caller's.
package store
