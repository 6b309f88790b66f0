//go:build !faults

package replication

import "pewterline/internal/wal"

// openFS returns the directory of a write-ahead log.
func openFS(directory string) wal.FS { return wal.Dir(directory) }

// minSnapshotThreshold is the least number of bytes of records that a snapshot replaces.
const minSnapshotThreshold = 8 << 20
