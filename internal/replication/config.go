package replication

import (
	"pewterline/internal/decide/consensus"
	"pewterline/internal/decide/execution"
	"pewterline/internal/microtime"
	"pewterline/internal/peers"
	"pewterline/internal/wal"
)

// Config configures a Replica.
type Config struct {
	ID                uint32             // of this server, unique in its group
	Directory         string             // of the write-ahead log; created if it does not exist
	ReplicationFactor int                // of a group that this server bootstraps
	Consensus         consensus.Config   // timeouts and limits of proposals and repairs
	Peers             []consensus.Member // members for Bootstrap, or alternative addresses of current members

	// Retention is the longest time for which the outcome of any key is kept.
	Retention microtime.Time
	// UnixMilli converts a time of the event loop to Unix milliseconds.
	UnixMilli func(microtime.Time) int64
	// Logf writes a line to the server's log.
	Logf func(format string, args ...any)

	// filesystem replaces Directory in tests of disk failures; nil: use Directory.
	filesystem wal.FS
	// snapshotThreshold replaces minSnapshotThreshold in tests; 0: use minSnapshotThreshold.
	snapshotThreshold int
}

// Loop is what a replica needs from the event loop.
type Loop interface {
	peers.EventLoop
	// Execute runs f on the loop. It may be called from any goroutine. An error means that the loop has ended and f will
	// not run.
	Execute(f func()) error
}

// Attempt is an attempt to run the request of an idempotency key.
type Attempt struct {
	Key            string
	ArrivedAtMilli int64          // arrival time, in Unix milliseconds
	RetentionMilli int64          // how long the outcome is kept, counted from the arrival of the attempt that ran
	Deadline       microtime.Time // when the caller needs an answer
}

// Outcome is the answer to AcquireLease, Complete or Lookup.
type Outcome struct {
	// Action is ActionStart, ActionServe, ActionReject or one of the ActionReport constants of package execution.
	Action execution.Action
	// Value is the value that the group has agreed on, if this server knows it.
	Value consensus.Value
	// RetryAtMilli is set with ActionReportIndeterminate: the Unix time in milliseconds from which another attempt may
	// run. 0: unknown.
	RetryAtMilli int64
}
