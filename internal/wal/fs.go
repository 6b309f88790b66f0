package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// FS is the folder that a log lives in: the seam at which tests have a disk fail, fill up, or lose what was not synced.
type FS interface {
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// Create makes a file anew and opens it for writing.
	Create(name string) (File, error)
	// Read returns the whole of a file.
	Read(name string) ([]byte, error)
	// Rename gives a file another name, in place of any that has it.
	Rename(from, to string) error
	// Remove takes a file away.
	Remove(name string) error
	// Sync makes the names durable: files created, renamed and removed.
	Sync() error
	// Lock takes the folder for this process alone, until unlock or its end.
	Lock() (unlock func() error, err error)
}

// File is a file that is being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// ErrLocked says that another process has the log open.
var ErrLocked = errors.New("wal: another process has this log open")

// Dir is a folder of the system's.
type Dir string

// List is part of FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var out []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			out = append(out, e.Name())
		}
	}
	slices.Sort(out)
	return out, nil
}

// Create is part of FS.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Read is part of FS.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Rename is part of FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove is part of FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync is part of FS.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock is part of FS.
func (d Dir) Lock() (func() error, error) {
	f, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(fmt.Errorf("%s: %w", f.Name(), err), f.Close())
	}
	return f.Close, nil
}
