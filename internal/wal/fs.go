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

// FS is the directory of a log. Tests replace it with one on a disk that fails, fills up, or loses unsynced data.
type FS interface {
	// List returns the names of all regular files, sorted.
	List() ([]string, error)
	// Create creates a file, or truncates the one of that name, and opens it for writing.
	Create(name string) (File, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Rename renames a file and replaces any file of the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the directory's entries durable: files created, renamed and removed.
	Sync() error
	// Lock locks the directory for this process, until unlock is called or the process ends. The error may wrap
	// ErrLocked.
	Lock() (unlock func() error, err error)
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Dir is a directory of the operating system, given by its path.
type Dir string

// List implements FS.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// Create implements FS.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Read implements FS.
func (d Dir) Read(name string) ([]byte, error) { return os.ReadFile(filepath.Join(string(d), name)) }

// Rename implements FS.
func (d Dir) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove implements FS.
func (d Dir) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// Sync implements FS.
func (d Dir) Sync() error {
	file, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// Lock implements FS.
func (d Dir) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(string(d), lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(fmt.Errorf("%s: %w", file.Name(), err), file.Close())
	}
	return file.Close, nil
}
