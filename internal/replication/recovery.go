package replication

import (
	"fmt"
	"os"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
)

const (
	// reopenInterval is the time between two attempts to reopen a storage that has failed.
	reopenInterval = 2 * microtime.Second
	// expirySlackMilli is how much longer than its retention an outcome is kept, in milliseconds, because servers' wall
	// clocks differ and messages may still be in flight.
	expirySlackMilli = 60_000
)

// openConfiguredStorage opens the storage in the configured directory. It creates the directory if it does not exist.
func (r *Replica) openConfiguredStorage() (*storage, error) {
	if err := os.MkdirAll(r.config.Directory, 0o700); err != nil {
		return nil, fmt.Errorf("replication: %w", err)
	}
	filesystem := r.config.filesystem
	if filesystem == nil {
		filesystem = openFS(r.config.Directory)
	}
	threshold := r.config.snapshotThreshold
	if threshold == 0 {
		threshold = minSnapshotThreshold
	}
	opened, err := openStorage(filesystem, threshold)
	if err != nil {
		return nil, fmt.Errorf("replication: open the log in %s: %w", r.config.Directory, err)
	}
	return opened, nil
}

// attachStorage connects the storage's callbacks to the loop and to this replica.
func (r *Replica) attachStorage() {
	attached := r.storage
	attached.attach(r.loop.Execute, func(err error) { r.handleStorageFailure(attached, err) })
}

// handleStorageFailure stops this server from voting until it has reopened and reread the log. Otherwise the server
// might send a vote that is lost in a restart.
func (r *Replica) handleStorageFailure(failed *storage, err error) {
	if failed != r.storage || r.diskFailed {
		return
	}
	r.config.Logf("replication: disk failed, not voting until the log is "+
		"reopened: error=%v", err)
	r.diskFailed = true
	r.reopenAt = r.loop.Now() + reopenInterval
	r.counters.DiskFailures++
}

// reopenStorage reopens the log and restores the node's registers from it.
func (r *Replica) reopenStorage(now microtime.Time) {
	r.reopenAt = now + reopenInterval
	_ = r.storage.close() // the first failure has already been logged
	opened, err := r.openConfiguredStorage()
	if err != nil {
		r.config.Logf("replication: log cannot be reopened: error=%v", err)
		return
	}
	if opened.state.incarnation != r.node.AcceptorID.Incarnation {
		r.config.Logf("replication: directory holds another incarnation, not voting until this server is "+
			"restarted: folder=%s",
			r.config.Directory)
		_ = opened.close() // nothing was written except, in an empty directory, the new incarnation
		return
	}
	r.storage = opened
	r.diskFailed = false
	r.attachStorage()
	r.node.Restore(opened.registers())
	r.config.Logf("replication: log reopened: keys=%d", r.node.KeyCount())
}

// expire drops outcomes whose retention window has ended, in memory and on disk, and compacts the log if necessary.
func (r *Replica) expire(now microtime.Time) {
	cutoff := r.config.UnixMilli(now) - r.retentionMilli - expirySlackMilli
	r.requests.expire(cutoff)
	if r.diskFailed {
		return
	}
	if r.node.Expire(cutoff) > 0 {
		r.storage.write(replicationwire.Record{ForgetBefore: max(cutoff, 1)}, func() {})
	}
	r.storage.compact()
}

// ExtendRetention raises the longest time for which the outcome of any key is kept, after a change of the settings. A
// shorter retention has no effect, because callers may rely on the longer time.
func (r *Replica) ExtendRetention(retention microtime.Time) {
	r.retentionMilli = max(r.retentionMilli, int64(retention/microtime.Millisecond))
}
