package consensus

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// MaxMembers bounds the members of a configuration.
	MaxMembers = 300
	// maxReplicationFactor bounds the replicas of a key.
	maxReplicationFactor = 9
)

// ErrInvalidMembership is wrapped by the errors about a membership that is invalid or of another cluster. Its text and
// those of the errors that wrap it are part of the responses of the operators' API.
var ErrInvalidMembership = errors.New("copies: group")

// Member is an acceptor of a cluster, with the address at which the other servers reach it.
type Member struct {
	Identity
	Addr string
}

// Membership is the set of servers that replicate the keys of a cluster. The current members of each membership decide
// the next one in a register for that purpose. The memberships therefore form a single sequence, ordered by epoch.
//
// A change of members takes two steps, as in joint consensus. First a membership with a Next configuration is decided,
// and from then on each key needs a majority of its replicas in both. Once all keys have been transferred to the
// replicas of Next, a membership whose Current configuration is that Next one is decided. Only the members of Current
// decide, so that a change can be abandoned if the new member is lost.
type Membership struct {
	ClusterID         uint64 // chosen at random when the cluster was created
	Epoch             uint64 // incremented with each membership; 0: no membership is known
	ReplicationFactor int    // replicas of each key
	Current           []Member
	Next              []Member // empty: no change is in progress
	ForcedAt          int64    // when an operator last forced a membership, Unix milliseconds; 0: never
	Reason            string   // of the last change, for operators
}

// Validate returns an error that wraps ErrInvalidMembership if the membership is invalid.
func (m Membership) Validate() error {
	if m.ClusterID == 0 || m.Epoch == 0 {
		return fmt.Errorf("%w: it has no name or no epoch", ErrInvalidMembership)
	}
	if m.ReplicationFactor < 1 || m.ReplicationFactor%2 == 0 || m.ReplicationFactor > maxReplicationFactor {
		return fmt.Errorf("%w: %d copies are not odd and within 1 to %d",
			ErrInvalidMembership, m.ReplicationFactor, maxReplicationFactor)
	}
	for _, configuration := range [][]Member{m.Current, m.Next} {
		if err := validateMembers(configuration); err != nil {
			return err
		}
	}
	if len(m.Current) == 0 {
		return fmt.Errorf("%w: it has no members", ErrInvalidMembership)
	}
	return nil
}

func validateMembers(members []Member) error {
	if len(members) > MaxMembers {
		return fmt.Errorf("%w: %d members are over %d", ErrInvalidMembership, len(members), MaxMembers)
	}
	seen := map[uint32]bool{}
	for _, member := range members {
		if member.ID == 0 || seen[member.ID] || member.Addr == "" || strings.ContainsAny(member.Addr, ` |"`) {
			return fmt.Errorf("%w: member %d at %q: its number is 0 or not its own, or its address none",
				ErrInvalidMembership, member.ID, member.Addr)
		}
		seen[member.ID] = true
	}
	return nil
}

// Find returns the member with the ID of a server, from the next configuration if both contain it.
func (m Membership) Find(id uint32) (Member, bool) {
	for _, configuration := range [][]Member{m.Next, m.Current} {
		for _, member := range configuration {
			if member.ID == id {
				return member, true
			}
		}
	}
	return Member{}, false
}

// Contains reports whether an acceptor is a member of the current or the next configuration.
func (m Membership) Contains(acceptor Identity) bool {
	return containsIdentity(m.Current, acceptor) || containsIdentity(m.Next, acceptor)
}

// Members returns the members of the current and the next configuration, without duplicates.
func (m Membership) Members() []Member {
	members := slices.Clone(m.Current)
	for _, member := range m.Next {
		if !containsIdentity(members, member.Identity) {
			members = append(members, member)
		}
	}
	return members
}

// Replicas returns the replicas of a key in the current configuration and, during a change of members, in the next one.
func (m Membership) Replicas(key string, hash func(string) uint64) [][]Identity {
	configurations := m.configurations()
	for i, configuration := range configurations {
		configurations[i] = Replicas(key, configuration, m.ReplicationFactor, hash)
	}
	return configurations
}

// ToleratedFailures returns how many members may fail before a key may lose the majority of its replicas.
func (m Membership) ToleratedFailures() int {
	return (min(m.ReplicationFactor, len(m.Current)) - 1) / 2
}

// configurations returns the identities of the current members and, during a change of members, of the next ones.
func (m Membership) configurations() [][]Identity {
	if len(m.Next) == 0 {
		return [][]Identity{identities(m.Current)}
	}
	return [][]Identity{identities(m.Current), identities(m.Next)}
}

// successor returns the membership that follows m, with the given next configuration.
func (m Membership) successor(next []Member, reason string) Membership {
	m.Epoch++
	m.Next = next
	m.Reason = reason
	return m
}

// abandoned returns the membership that follows m if the change in progress is abandoned.
func (m Membership) abandoned() Membership {
	return m.successor(nil, "the change is given up: "+m.Reason)
}

// completed returns the membership that follows m if the change in progress is completed.
func (m Membership) completed() Membership {
	completed := m.successor(nil, m.Reason)
	completed.Current = m.Next
	return completed
}

func identities(members []Member) (out []Identity) {
	for _, member := range members {
		out = append(out, member.Identity)
	}
	return out
}

func containsIdentity(members []Member, identity Identity) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.Identity == identity })
}

// countMissing counts the members that are not among others.
func countMissing(members, others []Member) (missing int) {
	for _, member := range members {
		if !containsIdentity(others, member.Identity) {
			missing++
		}
	}
	return missing
}
