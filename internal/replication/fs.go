//go:build !faults

package replication

import "pewterline/internal/wal"

// openFS returns the file system of a write-ahead log in a directory.
func openFS(directory string) wal.FS { return wal.Dir(directory) }

// minSnapshotThreshold is the minimum size of the records that a snapshot replaces, in bytes.
const minSnapshotThreshold = 8 << 20
