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

// open is the folder of a log, on a disk that fails as a file beside the folder says, for tests with real processes:
// "sync" fails the next sync and is done with, "full" has nothing more written while the file is there, "slow" has each sync take
// 100 ms.
func open(folder string) wal.FS { return &badDisk{FS: wal.Dir(folder), fault: folder + ".fault"} }

// snapshotLeast is small, so that tests get to see snapshots.
const snapshotLeast = 4 << 10

type badDisk struct {
	wal.FS
	fault string
}

var errDisk = errors.New("a fault that a test has asked for")

func (d *badDisk) says(what string) bool {
	text, err := os.ReadFile(d.fault)
	return err == nil && strings.TrimSpace(string(text)) == what
}

// Create is part of wal.FS.
func (d *badDisk) Create(name string) (wal.File, error) {
	if d.says("full") {
		return nil, errDisk
	}
	f, err := d.FS.Create(name)
	return &badFile{f, d}, err
}

type badFile struct {
	wal.File
	d *badDisk
}

// Write is part of wal.File. A full disk takes a part.
func (f *badFile) Write(p []byte) (int, error) {
	if f.d.says("full") {
		n, err := f.File.Write(p[:len(p)/2])
		return n, errors.Join(errDisk, err)
	}
	return f.File.Write(p)
}

// Sync is part of wal.File.
func (f *badFile) Sync() error {
	switch {
	case f.d.says("sync"):
		return errors.Join(errDisk, os.Rename(f.d.fault, filepath.Clean(f.d.fault)+".done"))
	case f.d.says("slow"):
		time.Sleep(100 * time.Millisecond)
	}
	return f.File.Sync()
}
