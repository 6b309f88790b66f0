package consensus

import (
	"errors"
	"fmt"

	"pewterline/internal/microtime"
)

// Config holds the parameters of a Node. The errors of Validate name the keys of the settings file.
type Config struct {
	AttemptTimeout  microtime.Time // how long to wait for replies before a proposal is retried
	ProposalTimeout microtime.Time // how long to retry a proposal; then it is not known whether the change was made
	MaxInFlight     int            // proposals in flight, without repairs; more are refused
	RepairRate      int            // repairs started per second
	MaxRepairs      int            // repairs in flight
}

// Validate returns an error that names the first parameter that is out of range.
func (c Config) Validate() error {
	switch {
	case c.AttemptTimeout <= 0 || c.ProposalTimeout < 2*c.AttemptTimeout:
		return fmt.Errorf("wait_ms: %v is not over 0, or %v in all is under twice that",
			c.AttemptTimeout.Duration(), c.ProposalTimeout.Duration())
	case c.MaxInFlight < 1:
		return errors.New("keys: under 1")
	case c.RepairRate < 1 || c.MaxRepairs < 1:
		return errors.New("repair: under 1 key a second, or under 1 at once")
	}
	return nil
}

// The errors of proposals and of changes of the membership. If one is returned nothing has changed. Their texts are
// part of the responses of the operators' API, in which a membership is a group and the replication is called copies.
var (
	ErrTooManyInFlight  = errors.New("copies: too many changes are under way")
	ErrNoMembership     = errors.New("copies: no group is known here yet")
	ErrChangeInProgress = errors.New("copies: a change of members is under way")
	ErrInvalidChange    = errors.New("copies: no such change of members")
)
