package consensus

import (
	"fmt"
	"math"
	"slices"

	"pewterline/internal/microtime"
)

const (
	// transferAckInterval is how often acknowledgements are sent while members change: they may be lost.
	transferAckInterval = 500 * microtime.Millisecond
	// rejoinInterval is how often, at least, an acceptor that lost its disk proposes to take its old self's place.
	rejoinInterval = 2 * microtime.Second
	// forcedEpochSkip is far above what the members that are given up may have decided on among themselves.
	forcedEpochSkip = 1000
)

// memberChange is how far the change of members is.
type memberChange struct {
	acks       map[Identity]bool // members that have transferred all that they keep
	nextAck    microtime.Time
	nextRejoin microtime.Time
	proposalID uint64 // of the proposal in flight that decides the next membership; 0: there is none
}

// TransferAcks returns how many members have acknowledged that they have transferred all that they keep.
func (n *Node) TransferAcks() int { return len(n.change.acks) }

// AdoptMembership takes up a membership that was decided. One that is no newer changes nothing; one of another cluster
// is an error.
func (n *Node) AdoptMembership(now microtime.Time, membership Membership) error {
	if err := membership.Validate(); err != nil {
		return err
	}
	if n.membership.Epoch > 0 && membership.ClusterID != n.membership.ClusterID {
		return fmt.Errorf("%w: %x is another than this server's, %x",
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

// setMembership goes by a membership from now on.
func (n *Node) setMembership(m Membership) {
	n.membership = m
	n.acceptor.setEpoch(m.Epoch)
	n.repairs.forgetTransfers()
	clear(n.change.acks)
	n.change.nextAck = 0
	n.change.nextRejoin = 0
	if len(m.Next) > 0 {
		// What a majority has accepted in the current configuration has to be accepted by one of the next.
		n.repairs.startScan(scanTransfers, 0, len(n.acceptor.keyOrder))
	}
}

// HandleTransferAck takes a member's word that it has transferred all that it keeps.
func (n *Node) HandleTransferAck(ack TransferAck) {
	if ack.Epoch == n.membership.Epoch && containsIdentity(n.membership.Current, ack.From) {
		n.change.acks[ack.From] = true
	}
}

// tickMemberChange goes on with a change of members; it returns when the next step is due.
func (n *Node) tickMemberChange(now microtime.Time) microtime.Time {
	switch {
	case n.membership.Epoch == 0:
		return microtime.Never
	case len(n.membership.Next) == 0:
		return n.replaceLostSelf(now)
	case n.abandonLostSelf(now):
		return n.change.nextRejoin
	case len(n.repairs.pendingTransfers) > 0 || n.repairs.scansTransfers():
		return microtime.Never // repairs have a time of their own
	}
	n.acknowledgeTransfers(now)
	return n.change.nextAck
}

// replaceLostSelf has an acceptor that lost its disk, and is another one since, take the place of its old self by a
// change of members like any other. It returns when that is due next.
func (n *Node) replaceLostSelf(now microtime.Time) microtime.Time {
	old, ok := n.membership.Find(n.AcceptorID.ID)
	if !ok || old.Identity == n.AcceptorID {
		return microtime.Never
	}
	if n.rejoinDue(now) {
		next := slices.Clone(n.membership.Current)
		next[slices.Index(next, old)].Incarnation = n.AcceptorID.Incarnation
		reason := fmt.Sprintf("server %d has lost its disk", n.AcceptorID.ID)
		n.decideMembership(now, n.membership.successor(next, reason))
	}
	return n.change.nextRejoin
}

// abandonLostSelf has a newcomer that lost its disk amid the change abandon it: it will never accept what it is to
// replicate. It reports whether it has proposed that.
func (n *Node) abandonLostSelf(now microtime.Time) bool {
	old, ok := n.membership.Find(n.AcceptorID.ID)
	if !ok || n.membership.Contains(n.AcceptorID) || slices.Contains(n.membership.Current, old) || !n.rejoinDue(now) {
		return false
	}
	n.decideMembership(now, n.membership.abandoned())
	return true
}

// rejoinDue reports whether an acceptor that lost its disk may propose what becomes of its old self. If so it draws
// when it may do so again.
func (n *Node) rejoinDue(now microtime.Time) bool {
	if now < n.change.nextRejoin || n.change.proposalID != 0 {
		return false
	}
	n.change.nextRejoin = now + rejoinInterval + microtime.Time(n.rng.Int64N(int64(rejoinInterval)))
	return true
}

// acknowledgeTransfers tells all members that this one has transferred all that it keeps, and completes the change once
// enough of them have.
func (n *Node) acknowledgeTransfers(now microtime.Time) {
	if now < n.change.nextAck {
		return
	}
	n.change.nextAck = now + transferAckInterval
	if containsIdentity(n.membership.Current, n.AcceptorID) {
		n.change.acks[n.AcceptorID] = true
		n.ready.TransferAcks = append(n.ready.TransferAcks, TransferAck{n.membership.Epoch, n.AcceptorID})
	}
	// So many members that the majority of each key's replicas, whichever it was, has one among them. As each of them
	// goes by this epoch, no proposal of an earlier one can have a majority any more.
	needed := len(n.membership.Current) - n.membership.ToleratedFailures()
	if len(n.change.acks) >= needed && n.change.proposalID == 0 {
		n.decideMembership(now, n.membership.completed())
	}
}

// decideMembership proposes the membership that follows, to the current members.
func (n *Node) decideMembership(now microtime.Time, m Membership) {
	n.change.proposalID = n.start(now, ProposalConfig{
		Key: membershipKey(n.membership.Epoch),
		// The register never expires by its time: it goes with the epoch.
		Change:         Change{Kind: DecideMembership, AttemptedAt: math.MaxInt64, Result: m.String()},
		Configurations: n.membership.configurations()[:1],
	})
}

// membershipDecided adopts the membership that was decided, whoever has proposed it.
func (n *Node) membershipDecided(now microtime.Time, v Value) {
	m, err := ParseMembership(v.Result)
	if v.Kind != KindMembership || err != nil {
		return // not to be: its proposer has validated it
	}
	// One that can't be adopted is of another cluster, whose members this node does not ask.
	_ = n.AdoptMembership(now, m)
}

// AbandonChange proposes to end the change of members that is in progress: the members stay as they were.
func (n *Node) AbandonChange(now microtime.Time) error {
	if len(n.membership.Next) == 0 {
		return fmt.Errorf("%w: none is under way", ErrInvalidChange)
	}
	if n.change.proposalID == 0 {
		n.decideMembership(now, n.membership.abandoned())
	}
	return nil
}

// ProposeMembership proposes a change of members. The membership that follows tells whether it was this one that was
// decided. The errors are ErrNoMembership, ErrChangeInProgress, and those that wrap ErrInvalidMembership or
// ErrInvalidChange.
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

// Bootstrap adopts the first membership of a cluster, where none is known.
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

// ForceMembership goes on with the members to keep alone, though no majority has agreed: an operator's word that the
// others are lost. What only those had accepted is lost with them. So for the retention after forcedAt (Unix
// milliseconds, with room for callers' clocks that are ahead) no lease is granted for a key of which nothing is known.
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
