//go:build !faults

package replication

import "pewterline/internal/wal"

// open is the folder of a log.
func open(folder string) wal.FS { return wal.Dir(folder) }

// snapshotLeast are the bytes of records before a snapshot takes their place.
const snapshotLeast = 8 << 20
