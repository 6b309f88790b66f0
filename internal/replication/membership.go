package replication

import (
	"errors"
	"fmt"
	"slices"

	"pewterline/internal/decide/consensus"
)

// maxClockSkewMilli is the assumed maximum by which callers' clocks are ahead, in milliseconds. It is added to the
// current time when a membership is forced.
const maxClockSkewMilli = 15_000

// The default reasons for membership changes. They are stored with the membership.
const (
	reasonBootstrapped = "founded"
	reasonAdded        = "added server %d"
	reasonRemoved      = "removed server %d"
	reasonForced       = "forced: kept %v"
)

// PeerNotReadyError means that a configured peer cannot become a member of a new group.
type PeerNotReadyError struct {
	ID      uint32
	Address string
}

// Error implements error.
func (e *PeerNotReadyError) Error() string {
	return fmt.Sprintf("server %d at %s is unreachable or already in a group", e.ID, e.Address)
}

// Bootstrap creates a group of the configured peers. All of them must be reachable and in no group; otherwise the error
// wraps consensus.ErrInvalidChange and a PeerNotReadyError for each peer that does not meet this condition.
func (r *Replica) Bootstrap() error {
	clusterID, err := newIncarnation()
	if err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	membership := consensus.Membership{
		ClusterID:         clusterID,
		ReplicationFactor: r.config.ReplicationFactor,
		Reason:            reasonBootstrapped,
	}
	var notReady []error
	for _, peer := range r.config.Peers {
		incarnation, known := r.incarnation(peer.ID)
		if !known || !r.mayJoin(peer.ID) {
			notReady = append(notReady, &PeerNotReadyError{ID: peer.ID, Address: peer.Addr})
		}
		membership.Current = append(membership.Current, newMember(peer.ID, incarnation, peer.Addr))
	}
	if r.node.Membership().Epoch == 0 && len(notReady) > 0 {
		return fmt.Errorf("%w: %w", consensus.ErrInvalidChange, errors.Join(notReady...))
	}
	return r.flushAfter(r.node.Bootstrap(r.loop.Now(), membership))
}

// mayJoin reports whether a server is reachable and in no group. It returns true for this server: the node checks
// whether that is in a group.
func (r *Replica) mayJoin(id uint32) bool {
	if id == r.config.ID {
		return true
	}
	hello, _ := r.links.LastHello(id)
	return r.links.Connected(id) && hello.ClusterID == 0
}

func newMember(id uint32, incarnation uint64, address string) consensus.Member {
	return consensus.Member{Identity: consensus.Identity{ID: id, Incarnation: incarnation}, Addr: address}
}

// AddMember proposes a membership with an additional server, or with a new incarnation or address of a member. If
// address is empty, the configured address is used; if reason is empty, the default reason. The error may wrap an error
// of package consensus.
func (r *Replica) AddMember(id uint32, address, reason string) error {
	incarnation, known := r.incarnation(id)
	if !known {
		return fmt.Errorf("%w: server %d has not been heard of; it has to run with this server among its peers",
			consensus.ErrInvalidChange, id)
	}
	if address == "" {
		address = r.configuredAddress(id)
	}
	next := append(r.membersWithout(id), newMember(id, incarnation, address))
	reason = reasonOrDefault(reason, fmt.Sprintf(reasonAdded, id))
	return r.flushAfter(r.node.ProposeMembership(r.loop.Now(), next, reason))
}

// configuredAddress returns the address of a configured peer, or "".
func (r *Replica) configuredAddress(id uint32) string {
	for _, peer := range r.config.Peers {
		if peer.ID == id {
			return peer.Addr
		}
	}
	return ""
}

// RemoveMember proposes a membership without a server. The error may wrap an error of package consensus.
func (r *Replica) RemoveMember(id uint32, reason string) error {
	reason = reasonOrDefault(reason, fmt.Sprintf(reasonRemoved, id))
	return r.flushAfter(r.node.ProposeMembership(r.loop.Now(), r.membersWithout(id), reason))
}

// membersWithout returns the current members except one.
func (r *Replica) membersWithout(id uint32) []consensus.Member {
	isRemoved := func(member consensus.Member) bool { return member.ID == id }
	return slices.DeleteFunc(slices.Clone(r.node.Membership().Current), isRemoved)
}

// AbandonChange proposes to restore the membership from before the change in progress. The error may wrap an error of
// package consensus.
func (r *Replica) AbandonChange() error { return r.flushAfter(r.node.AbandonChange(r.loop.Now())) }

// Repair starts a repair that copies every register of this server to all replicas of its key.
func (r *Replica) Repair() {
	r.node.RepairAll()
	r.flush()
}

// ForceMembership reduces the membership to the servers in keep, without the agreement of a majority; see
// consensus.Node. Data that only the removed members stored is lost. The error may wrap an error of package consensus.
func (r *Replica) ForceMembership(keep []uint32, reason string) error {
	now := r.loop.Now()
	forcedAt := r.config.UnixMilli(now) + maxClockSkewMilli
	err := r.node.ForceMembership(now, keep, forcedAt, reasonOrDefault(reason, fmt.Sprintf(reasonForced, keep)))
	if err == nil {
		r.config.Logf("replication: membership forced to the kept servers, LOSS of data that only the "+
			"removed ones stored: servers=%v no_unknown_key_before_unix_ms=%d", keep, forcedAt+r.retentionMilli)
	}
	return r.flushAfter(err)
}

// flushAfter sends the messages that an operator's command has queued, and returns the error of that command.
func (r *Replica) flushAfter(err error) error {
	r.flush()
	return err
}

// reasonOrDefault returns the operator's reason, or defaultReason if it is empty.
func reasonOrDefault(reason, defaultReason string) string {
	if reason != "" {
		return reason
	}
	return defaultReason
}
