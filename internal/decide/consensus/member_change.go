package consensus

import (
	"fmt"
	"math"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// transferAckInterval is how often acknowledgements are repeated during a change of members, as they may be lost.
	transferAckInterval = 500 * microtime.Millisecond
	// rejoinInterval is the shortest interval at which a server that lost its disk makes proposals about its former
	// incarnation. The actual intervals are random, up to twice as long.
	rejoinInterval = 2 * microtime.Second
	// forcedEpochSkip is added to the epoch of a forced membership. It exceeds the number of memberships that the removed
	// members may have decided on their own.
	forcedEpochSkip = 1000
)

// memberChange is the progress of a change of members.
type memberChange struct {
	acks       map[Identity]bool // current members that have transferred all their keys
	nextAck    microtime.Time    // when acknowledgeTransfers is due
	nextRejoin microtime.Time    // when rejoinDue next permits a proposal
	proposalID uint64            // of the proposal in flight that decides the next membership; 0: none
}

// TransferAcks returns how many members have acknowledged the transfer of all their keys.
func (n *Node) TransferAcks() int { return len(n.change.acks) }

// AdoptMembership puts a membership that was decided into force. A membership that is not newer than the present one is
// ignored. The error, which wraps ErrInvalidMembership, means that the membership is invalid or of another cluster.
func (n *Node) AdoptMembership(now microtime.Time, membership Membership) error {
	if err := membership.Validate(); err != nil {
		return err
	}
	if n.membership.Epoch > 0 && membership.ClusterID != n.membership.ClusterID {
		return fmt.Errorf("%w: its cluster ID %x is not this server's, %x",
			ErrInvalidMembership, membership.ClusterID, n.membership.ClusterID)
	}
	if membership.Epoch <= n.membership.Epoch {
		return nil
	}
	n.setMembership(membership)
	n.ready.Membership = &membership
	for _, member := range membership.Members() {
		n.notify(member.ID)
	}
	n.reconfigure(now)
	return nil
}

// setMembership puts a membership into force and resets the progress of the change of members.
func (n *Node) setMembership(m Membership) {
	n.membership = m
	n.acceptor.setEpoch(m.Epoch)
	n.repairs.dropPendingTransfers()
	clear(n.change.acks)
	n.change.nextAck = 0
	n.change.nextRejoin = 0
	if len(m.Next) > 0 {
		// A majority of the replicas in the next configuration must accept each value, too.
		n.repairs.startScan(scanTransfers, 0, len(n.acceptor.keyOrder))
	}
}

// HandleTransferAck handles a member's acknowledgement that it has transferred all its keys.
func (n *Node) HandleTransferAck(ack TransferAck) {
	if ack.Epoch == n.membership.Epoch && containsIdentity(n.membership.Current, ack.From) {
		n.change.acks[ack.From] = true
	}
}

// tickMemberChange continues a change of members. It returns when the next step is due.
func (n *Node) tickMemberChange(now microtime.Time) microtime.Time {
	switch {
	case n.membership.Epoch == 0:
		return microtime.Never
	case len(n.membership.Next) == 0:
		return n.replaceFormerIncarnation(now)
	case n.abandonOwnAddition(now):
		return n.change.nextRejoin
	case len(n.repairs.pendingTransfers) > 0 || n.repairs.isScanningTransfers():
		return microtime.Never // tickRepairs returns when the transfers are due
	}
	n.acknowledgeTransfers(now)
	return n.change.nextAck
}

// replaceFormerIncarnation proposes, after this server has lost its disk, to replace its former incarnation as an
// acceptor by the present one. This is an ordinary change of members. It returns when the proposal is due next.
func (n *Node) replaceFormerIncarnation(now microtime.Time) microtime.Time {
	former, ok := n.membership.Find(n.AcceptorID.ID)
	if !ok || former.Identity == n.AcceptorID {
		return microtime.Never
	}
	if n.rejoinDue(now) {
		next := slices.Clone(n.membership.Current)
		next[slices.Index(next, former)].Incarnation = n.AcceptorID.Incarnation
		reason := fmt.Sprintf("server %d has lost its disk", n.AcceptorID.ID)
		n.decideMembership(now, n.membership.successor(next, reason))
	}
	return n.change.nextRejoin
}

// abandonOwnAddition proposes to abandon the change that adds this server, if the server has lost its disk during the
// change: the incarnation that is being added can no longer accept any key. It reports whether it made the proposal.
func (n *Node) abandonOwnAddition(now microtime.Time) bool {
	former, ok := n.membership.Find(n.AcceptorID.ID)
	if !ok || n.membership.Contains(n.AcceptorID) || slices.Contains(n.membership.Current, former) || !n.rejoinDue(now) {
		return false
	}
	n.decideMembership(now, n.membership.abandoned())
	return true
}

// rejoinDue reports whether a server that lost its disk may make a proposal about its former incarnation now. If so, it
// schedules the next one.
func (n *Node) rejoinDue(now microtime.Time) bool {
	if now < n.change.nextRejoin || n.change.proposalID != 0 {
		return false
	}
	n.change.nextRejoin = now + rejoinInterval + microtime.Time(n.rng.Int64N(int64(rejoinInterval)))
	return true
}

// acknowledgeTransfers notifies all members that this one has transferred all its keys, and proposes to complete the
// change once enough members have acknowledged.
func (n *Node) acknowledgeTransfers(now microtime.Time) {
	if now < n.change.nextAck {
		return
	}
	n.change.nextAck = now + transferAckInterval
	if containsIdentity(n.membership.Current, n.AcceptorID) {
		n.change.acks[n.AcceptorID] = true
		n.ready.TransferAcks = append(n.ready.TransferAcks, TransferAck{n.membership.Epoch, n.AcceptorID})
	}
	// Every majority of the replicas of any key contains at least one of this many members. As they refuse requests of
	// earlier epochs, no proposal of an earlier epoch can get a majority any more.
	needed := len(n.membership.Current) - n.membership.ToleratedFailures()
	if len(n.change.acks) >= needed && n.change.proposalID == 0 {
		n.decideMembership(now, n.membership.completed())
	}
}

// decideMembership proposes m to the current members as the membership that follows the one in force.
func (n *Node) decideMembership(now microtime.Time, m Membership) {
	n.change.proposalID = n.start(now, ProposalConfig{
		Key: membershipKey(n.membership.Epoch),
		// With this time the register never expires. It is dropped at the end of its epoch instead.
		Change:         Change{Kind: DecideMembership, AttemptedAt: math.MaxInt64, Result: m.String()},
		Configurations: n.membership.configurations()[:1],
	})
}

// membershipDecided adopts the membership that was decided, which another member may have proposed.
func (n *Node) membershipDecided(now microtime.Time, v Value) {
	m, err := ParseMembership(v.Result)
	if v.Kind != KindMembership || err != nil {
		return // cannot happen, as the proposer has validated the membership
	}
	// This cannot fail: the membership is valid and was decided by members of this cluster.
	_ = n.AdoptMembership(now, m)
}

// AbandonChange proposes to abandon the change of members in progress, so that the current members stay.
func (n *Node) AbandonChange(now microtime.Time) error {
	if len(n.membership.Next) == 0 {
		return fmt.Errorf("%w: none is under way", ErrInvalidChange)
	}
	if n.change.proposalID == 0 {
		n.decideMembership(now, n.membership.abandoned())
	}
	return nil
}

// ProposeMembership proposes a change of members. Another proposal may win: the caller must compare the next membership
// in force with its own. The errors are ErrNoMembership, ErrChangeInProgress, and those that wrap ErrInvalidMembership
// or ErrInvalidChange.
func (n *Node) ProposeMembership(now microtime.Time, next []Member, reason string) error {
	switch {
	case n.membership.Epoch == 0:
		return ErrNoMembership
	case len(n.membership.Next) > 0 || n.change.proposalID != 0:
		return ErrChangeInProgress
	}
	proposed := n.membership.successor(next, reason)
	if err := proposed.Validate(); err != nil {
		return err
	}
	current := n.membership.Current
	switch {
	case len(next) == 0 || max(countMissing(current, next), countMissing(next, current)) > 1:
		return fmt.Errorf("%w: one member at a time", ErrInvalidChange)
	case slices.Equal(current, next):
		return fmt.Errorf("%w: it would change nothing", ErrInvalidChange)
	}
	n.decideMembership(now, proposed)
	return nil
}

// Bootstrap adopts the first membership of a cluster. Its errors wrap ErrInvalidChange or ErrInvalidMembership.
func (n *Node) Bootstrap(now microtime.Time, m Membership) error {
	if n.membership.Epoch > 0 {
		return fmt.Errorf("%w: a group is known here, of epoch %d", ErrInvalidChange, n.membership.Epoch)
	}
	m.Epoch = 1
	if !containsIdentity(m.Current, n.AcceptorID) {
		return fmt.Errorf("%w: this server is not of it", ErrInvalidChange)
	}
	return n.AdoptMembership(now, m)
}

// ForceMembership removes all members except those to keep, without the agreement of a majority. It is for operators
// who know that the removed members are permanently lost. Values that only those had accepted are lost with them.
// Therefore no lease is granted for a key without a value until the retention after forcedAt is over. forcedAt is in
// Unix milliseconds and includes a margin for callers' clocks that are ahead.
func (n *Node) ForceMembership(now microtime.Time, keep []uint32, forcedAt int64, reason string) error {
	if n.membership.Epoch == 0 {
		return ErrNoMembership
	}
	forced := Membership{
		ClusterID:         n.membership.ClusterID,
		Epoch:             n.membership.Epoch + forcedEpochSkip,
		ReplicationFactor: n.membership.ReplicationFactor,
		ForcedAt:          forcedAt,
		Reason:            reason,
	}
	for _, member := range n.membership.Members() {
		if slices.Contains(keep, member.ID) {
			forced.Current = slices.DeleteFunc(forced.Current, func(m Member) bool { return m.ID == member.ID })
			forced.Current = append(forced.Current, member)
		}
	}
	if len(forced.Current) != len(keep) || !containsIdentity(forced.Current, n.AcceptorID) {
		return fmt.Errorf("%w: only members can be kept, this server among them", ErrInvalidChange)
	}
	if err := n.AdoptMembership(now, forced); err != nil {
		return err
	}
	n.RepairAll()
	return nil
}
