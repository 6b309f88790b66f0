//go:build faults

package replication

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pewterline/internal/wal"
)

// openFS returns the directory of a write-ahead log on a disk that fails on demand, for tests with real processes. A
// file beside the directory, with the suffix ".fault", contains a word that selects the failure:
//   - "sync": the next sync fails, and the file is renamed
//   - "full": nothing more is written while the file is there
//   - "slow": each sync takes slowSync
func openFS(directory string) wal.FS {
	return &faultyFS{FS: wal.Dir(directory), faultFile: directory + ".fault"}
}

// minSnapshotThreshold is the least number of bytes of records that a snapshot replaces. It is small, so that tests
// see snapshots.
const minSnapshotThreshold = 4 << 10

// slowSync is the duration of a sync on a slow disk.
const slowSync = 100 * time.Millisecond

var errInjected = errors.New("injected disk fault")

type faultyFS struct {
	wal.FS
	faultFile string
}

// has reports whether the fault file asks for a fault.
func (d *faultyFS) has(fault string) bool {
	text, err := os.ReadFile(d.faultFile)
	return err == nil && strings.TrimSpace(string(text)) == fault
}

// Create implements wal.FS.
func (d *faultyFS) Create(name string) (wal.File, error) {
	if d.has("full") {
		return nil, errInjected
	}
	file, err := d.FS.Create(name)
	return &faultyFile{file, d}, err
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

// Write implements wal.File. A full disk takes half of what is written.
func (f *faultyFile) Write(p []byte) (int, error) {
	if f.fs.has("full") {
		n, err := f.File.Write(p[:len(p)/2])
		return n, errors.Join(errInjected, err)
	}
	return f.File.Write(p)
}

// Sync implements wal.File.
func (f *faultyFile) Sync() error {
	switch {
	case f.fs.has("sync"):
		return errors.Join(errInjected, os.Rename(f.fs.faultFile, filepath.Clean(f.fs.faultFile)+".done"))
	case f.fs.has("slow"):
		time.Sleep(slowSync)
	}
	return f.File.Sync()
}
