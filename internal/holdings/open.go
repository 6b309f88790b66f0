//go:build !diskfaults

package holdings

import "pewterline/internal/wal"

// open is the folder of a log.
func open(folder string) wal.FS { return wal.Dir(folder) }
