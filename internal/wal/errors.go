package wal

import (
	"errors"
	"fmt"
)

// The errors of a Log. An error of opening may also wrap ErrLocked or be a CorruptError.
var (
	ErrBroken   = errors.New("wal: the log is broken by an earlier failure, and has to be opened anew")
	ErrTooLarge = errors.New("wal: too large")

	errUnsynced = errors.New("wal: a snapshot of records that are not synced")
)

// The errors of a Committer.
var (
	ErrQueueFull = errors.New("wal: too many records wait to be made durable")
	ErrClosed    = errors.New("wal: closed")
)

// ErrLocked means that another process has the log open.
var ErrLocked = errors.New("wal: another process has this log open")

// CorruptError means that a file is corrupt in a way that no crash can have caused.
type CorruptError struct {
	File   string
	Offset int64 // in bytes, of the corrupt part
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is spoilt at offset %d: %s", e.File, e.Offset, e.Reason)
}

func corrupt(file string, offset int, format string, args ...any) error {
	return &CorruptError{File: file, Offset: int64(offset), Reason: fmt.Sprintf(format, args...)}
}
