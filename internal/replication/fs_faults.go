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

// openFS returns the file system of a write-ahead log in a directory, with injected disk faults for tests with real
// processes. The fault file has the path of the directory with the suffix ".fault", and contains the kind of fault:
//   - "sync": the next sync fails, and the fault file is renamed
//   - "full": writes fail while the fault file exists
//   - "slow": each sync takes slowSync longer
func openFS(directory string) wal.FS {
	return &faultyFS{FS: wal.Dir(directory), faultFile: directory + ".fault"}
}

// minSnapshotThreshold is the minimum size of the records that a snapshot replaces, in bytes. It is small, so that
// snapshots are taken during tests.
const minSnapshotThreshold = 4 << 10

// slowSync is the delay of each sync on a slow disk.
const slowSync = 100 * time.Millisecond

var errInjected = errors.New("injected disk fault")

type faultyFS struct {
	wal.FS
	faultFile string
}

// isActive reports whether the fault file contains a kind of fault.
func (d *faultyFS) isActive(fault string) bool {
	text, err := os.ReadFile(d.faultFile)
	return err == nil && strings.TrimSpace(string(text)) == fault
}

// Create implements wal.FS.
func (d *faultyFS) Create(name string) (wal.File, error) {
	if d.isActive("full") {
		return nil, errInjected
	}
	file, err := d.FS.Create(name)
	return &faultyFile{file, d}, err
}

type faultyFile struct {
	wal.File
	fs *faultyFS
}

// Write implements wal.File. On a full disk it writes only the first half of p.
func (f *faultyFile) Write(p []byte) (int, error) {
	if f.fs.isActive("full") {
		n, err := f.File.Write(p[:len(p)/2])
		return n, errors.Join(errInjected, err)
	}
	return f.File.Write(p)
}

// Sync implements wal.File.
func (f *faultyFile) Sync() error {
	switch {
	case f.fs.isActive("sync"):
		return errors.Join(errInjected, os.Rename(f.fs.faultFile, filepath.Clean(f.fs.faultFile)+".done"))
	case f.fs.isActive("slow"):
		time.Sleep(slowSync)
	}
	return f.File.Sync()
}
