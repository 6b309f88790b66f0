package consensus

import (
	"errors"
	"fmt"

	"pewterline/internal/microtime"
)

// Config holds the parameters of a Node. The errors of Validate name the keys of the settings file.
type Config struct {
	AttemptTimeout  microtime.Time // how long a proposal waits for replies before it is retried
	ProposalTimeout microtime.Time // how long a proposal is retried; after that its outcome is unknown
	MaxInFlight     int            // maximum number of proposals in flight, not counting repairs; more are refused
	RepairRate      int            // repairs started per second
	MaxRepairs      int            // maximum number of repairs in flight
}

// Validate returns an error that names the first parameter that is out of range.
func (c Config) Validate() error {
	switch {
	case c.AttemptTimeout <= 0 || c.ProposalTimeout < 2*c.AttemptTimeout:
		return fmt.Errorf("wait_ms, most_ms: %v must be over 0, and %v at least twice as long",
			c.AttemptTimeout.Duration(), c.ProposalTimeout.Duration())
	case c.MaxInFlight < 1:
		return errors.New("changes: must be at least 1")
	case c.RepairRate < 1 || c.MaxRepairs < 1:
		return errors.New("repair_keys_per_s, repair_at_once: both must be at least 1")
	}
	return nil
}

// The errors of proposals and of membership changes. When one of them is returned, nothing has changed. Their texts are
// part of the responses of the operators' API, which calls a membership a group and the replication copies.
var (
	ErrTooManyInFlight  = errors.New("copies: too many changes are under way")
	ErrNoMembership     = errors.New("copies: no group is known here yet")
	ErrChangeInProgress = errors.New("copies: a change of members is under way")
	ErrInvalidChange    = errors.New("copies: no such change of members")
)
