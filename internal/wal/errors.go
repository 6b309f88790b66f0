package wal

import (
	"errors"
	"fmt"
)

// The errors of a Log. An error of Open may also wrap ErrLocked or be a CorruptError.
var (
	ErrBroken   = errors.New("wal: log is broken by an earlier failure and must be reopened")
	ErrTooLarge = errors.New("wal: too large")

	errUnsynced = errors.New("wal: snapshot requested before all records were synced")
)

// The errors of a Committer.
var (
	ErrQueueFull = errors.New("wal: commit queue is full")
	ErrClosed    = errors.New("wal: closed")
)

// ErrLocked means that another process has the log open.
var ErrLocked = errors.New("wal: log is open in another process")

// CorruptError means that a file is corrupt in a way that no crash can have caused.
type CorruptError struct {
	File   string
	Offset int64 // of the corrupt part, in bytes
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is spoilt at offset %d: %s", e.File, e.Offset, e.Reason)
}

func corruptErrorf(file string, offset int, format string, args ...any) error {
	return &CorruptError{File: file, Offset: int64(offset), Reason: fmt.Sprintf(format, args...)}
}
