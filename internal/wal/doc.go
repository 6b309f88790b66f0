// Package wal is a write-ahead log: an append-only sequence of records on a disk that may lose power, tear writes, fill
// up and fail to sync. Package replication keeps its durable state in one. A log owns a directory of segments, with at
// most one snapshot in use. Records are numbered from 1. A record is durable once Sync has returned without an error:
// it then survives any crash. A record that was appended but not synced may or may not survive. Open always reads a
// prefix of the appended records. The log never interprets what its records hold. After a failed write or sync, the
// state of the file's pages in the page cache is unknown: they may be marked clean although they were never written
// (A. Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So the log is broken from then on, and
// the next Open copies the last segment into a new file.
//
// A Log is not safe for concurrent use; a Committer shares one among many callers.
package wal
