package consensus

import (
	"errors"
	"fmt"

	"pewterline/internal/microtime"
)

// Config is how a Node goes about its proposals. Its errors name the keys of the settings file.
type Config struct {
	AttemptTimeout  microtime.Time // for the replicas' replies, before a proposal is retried
	ProposalTimeout microtime.Time // for a proposal in all: after it, it is not known whether the change was made
	MaxInFlight     int            // proposals at once, without repairs; more are refused
	RepairRate      int            // keys a second that are brought to replicas that may lack them
	MaxRepairs      int            // repairs at once
}

// Validate returns an error that names what makes no sense.
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

// The errors of proposals and of changes of the membership. Nothing was changed where one is returned. Their texts are
// part of the responses of the operators' API, which calls a membership a group and its commands copies.
var (
	ErrTooManyInFlight  = errors.New("copies: too many changes are under way")
	ErrNoMembership     = errors.New("copies: no group is known here yet")
	ErrChangeInProgress = errors.New("copies: a change of members is under way")
	ErrInvalidChange    = errors.New("copies: no such change of members")
)
