package processtest

import (
	"bytes"
	"sync"
)

// logBuffer collects the standard error output of a process. It may be read while the process writes.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the log. It never fails.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns the whole log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}
