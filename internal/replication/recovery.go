package replication

import (
	"fmt"
	"os"

	"pewterline/internal/microtime"
	"pewterline/internal/protocol/replicationwire"
)

const (
	// reopenInterval is the time between two attempts to open a storage that has failed.
	reopenInterval = 2 * microtime.Second
	// expirySlackMilli is added to the retention before an outcome is forgotten, because wall clocks differ among
	// servers, and messages may still be in flight. In milliseconds.
	expirySlackMilli = 60_000
)

// openConfiguredStorage opens the storage of the configured directory, which it creates if it is missing.
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
	attached.attach(r.loop.Execute, func(err error) { r.storageFailed(attached, err) })
}

// storageFailed stops this server from voting until the log has been opened and read again. Otherwise it might send a
// vote that a restart would forget.
func (r *Replica) storageFailed(failed *storage, err error) {
	if failed != r.storage || r.broken {
		return
	}
	r.config.Logf("replication: the disk has failed, this server does not vote until its log is "+
		"opened again: error=%v", err)
	r.broken = true
	r.reopenAt = r.loop.Now() + reopenInterval
	r.counters.DiskFailures++
}

// reopenStorage opens the log again, and restores the node's registers from it.
func (r *Replica) reopenStorage(now microtime.Time) {
	r.reopenAt = now + reopenInterval
	_ = r.storage.close() // it has failed already; a second error adds nothing
	opened, err := r.openConfiguredStorage()
	if err != nil {
		r.config.Logf("replication: the log cannot be opened: error=%v", err)
		return
	}
	if opened.state.incarnation != r.node.AcceptorID.Incarnation {
		r.config.Logf("replication: the folder holds another incarnation, this server does not vote until it is "+
			"restarted: folder=%s",
			r.config.Directory)
		_ = opened.close() // at most its new incarnation was written to it
		return
	}
	r.storage = opened
	r.broken = false
	r.attachStorage()
	r.node.Restore(opened.registers())
	r.config.Logf("replication: the log is opened again: keys=%d", r.node.KeyCount())
}

// expire forgets outcomes whose retention is over, in memory and on disk, and lets the storage compact its log.
func (r *Replica) expire(now microtime.Time) {
	before := r.config.UnixMilli(now) - r.retentionMilli - expirySlackMilli
	r.requests.expire(before)
	if r.broken {
		return
	}
	if r.node.Expire(before) > 0 {
		r.storage.write(replicationwire.Record{ForgetBefore: max(before, 1)}, func() {})
	}
	r.storage.compact()
}

// ExtendRetention raises the longest time for which any key's outcome is kept, after a change of the settings. It never
// lowers it, because callers may rely on the longer time.
func (r *Replica) ExtendRetention(retention microtime.Time) {
	r.retentionMilli = max(r.retentionMilli, int64(retention/microtime.Millisecond))
}
