package processtest

import (
	"errors"
	"fmt"
	"time"
)

// WaitTimeout bounds each wait of this package. It is not a performance criterion: it only ends a test that hangs.
const WaitTimeout = 30 * time.Second

// ErrTimeout reports that an awaited event did not occur within WaitTimeout.
var ErrTimeout = errors.New("timed out")

// ErrConnectionEnded reports that a connection ended before the reply to a request arrived.
var ErrConnectionEnded = errors.New("processtest: connection ended without a reply")

// ErrNoPortBlock reports that other processes hold all blocks of loopback ports.
var ErrNoPortBlock = errors.New("processtest: no free block of loopback ports")

// ErrNoFreePort reports that each port of this process's block is in use.
var ErrNoFreePort = errors.New("processtest: no free port in the block of this process")

// StatusError reports an administrative request that a process answered with a status other than 200.
type StatusError struct {
	Operation string
	Status    int
	Body      string
}

// Error returns the operation, the status and the body of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("processtest: %s: status %d: %s", e.Operation, e.Status, e.Body)
}

// receive returns the next value of a channel, or ErrTimeout if none arrives within WaitTimeout.
func receive[T any](channel <-chan T, description string) (value T, err error) {
	select {
	case value = <-channel:
		return value, nil
	case <-time.After(WaitTimeout):
		return value, fmt.Errorf("processtest: await %s: %w", description, ErrTimeout)
	}
}
