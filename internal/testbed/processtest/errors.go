package processtest

import (
	"errors"
	"fmt"
	"time"
)

// Patience is how long this package waits for what has to come. It is no verdict on time: it only ends a test that
// hangs.
const Patience = 30 * time.Second

// ErrTimeout says that something did not come within Patience.
var ErrTimeout = errors.New("not within the time limit")

// ErrConnectionEnded says that a connection ended before a request on it had its reply.
var ErrConnectionEnded = errors.New("processtest: the connection has ended without a reply")

// ErrNoPortBlock says that other processes hold all blocks of ports of the loopback.
var ErrNoPortBlock = errors.New("processtest: no block of ports of the loopback is free")

// ErrNoFreePort says that something listens on each port of the block that this process holds.
var ErrNoFreePort = errors.New("processtest: no port of the block is free")

// StatusError is an administrative request that a process answered with another status than 200.
type StatusError struct {
	Operation string
	Status    int
	Body      string
}

// Error names the operation, the status and what the process said.
func (e *StatusError) Error() string {
	return fmt.Sprintf("processtest: %s: status %d: %s", e.Operation, e.Status, e.Body)
}

// receive returns the next value of a channel, and an ErrTimeout where none comes.
func receive[T any](from <-chan T, what string) (value T, err error) {
	select {
	case value = <-from:
		return value, nil
	case <-time.After(Patience):
		return value, fmt.Errorf("processtest: await %s: %w", what, ErrTimeout)
	}
}
