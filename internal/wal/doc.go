// Package wal is a write-ahead log: an append-only sequence of records on a disk that may lose power, tear writes,
// fill up and fail to sync. Package replication keeps its durable state in one.
//
// A log owns a folder of segments and at most one snapshot in use. Records are numbered from 1. A record is durable
// once Sync has returned without an error, and then outlives any crash; one that was appended and not synced may or
// may not. What Open reads is always a prefix of what was appended. The log never interprets what its records hold.
//
// After a write or a sync has failed, nothing is known of what the system still holds for the file: its pages may be
// marked clean and be lost (A. Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So the log is
// broken from then on, and the next Open copies the last segment into a file of its own before it goes on.
//
// A Log is not safe for concurrent use; a Committer shares one among many callers.
package wal
