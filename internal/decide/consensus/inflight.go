package consensus

import (
	"slices"

	"pewterline/internal/microtime"
)

const (
	// firstPreemptionShift limits the backoff after the first preemption to a 16th of the attempt timeout. The limit is
	// low because the ballot number in the reply is soon outdated.
	firstPreemptionShift = 5
	// maxPreemptionShift bounds how often that limit is doubled.
	maxPreemptionShift = 10
)

// inFlightProposal is a proposal with its timers.
type inFlightProposal struct {
	id          uint64
	proposal    *Proposal
	repair      bool
	retryAt     microtime.Time
	deadline    microtime.Time
	backoff     microtime.Time // mean time from the latest attempt to the next retry
	preemptions int            // how often a higher ballot has preempted the proposal
}

// Propose starts a change of a key and returns the ID of its Result. The errors are ErrNoMembership and
// ErrTooManyInFlight. For AcquireLease the ID is also the number of the lease. Changes that record or release the lease
// must have this number as their Attempt.
func (n *Node) Propose(now microtime.Time, key string, change Change) (uint64, error) {
	switch {
	case n.membership.Epoch == 0:
		return 0, ErrNoMembership
	case len(n.inFlight)-n.repairs.active >= n.config.MaxInFlight:
		return 0, ErrTooManyInFlight
	}
	if change.Kind == AcquireLease {
		change.Attempt = n.lastID + 1
	}
	change.ForcedAt = n.membership.ForcedAt
	configurations := n.membership.Replicas(key, n.hash)
	return n.start(now, ProposalConfig{Key: key, Change: change, Configurations: configurations}), nil
}

// start starts a proposal. It sets the epoch, the proposer and the ballot number of config.
func (n *Node) start(now microtime.Time, config ProposalConfig) uint64 {
	n.lastID++
	n.ballotNumber++
	config.Change.Proposer = n.ProposerID
	config.Epoch = n.membership.Epoch
	config.Number = n.ballotNumber
	proposal, requests := NewProposal(config)
	n.inFlight = append(n.inFlight, &inFlightProposal{
		id:       n.lastID,
		proposal: proposal,
		repair:   config.WaitForAll,
		retryAt:  now + n.config.AttemptTimeout,
		deadline: now + n.config.ProposalTimeout,
		backoff:  n.config.AttemptTimeout,
	})
	n.ready.Requests = append(n.ready.Requests, requests...)
	return n.lastID
}

// HandleReply handles a reply to a request of this node.
func (n *Node) HandleReply(now microtime.Time, reply Reply) {
	if !reply.OK && reply.Epoch < n.membership.Epoch {
		n.notify(reply.From.ID)
	}
	n.ballotNumber = max(n.ballotNumber, reply.Promised.Number)
	index := slices.IndexFunc(n.inFlight, func(p *inFlightProposal) bool {
		return p.proposal.Ballot == reply.Ballot && p.proposal.Key == reply.Key
	})
	if index < 0 {
		return
	}
	p := n.inFlight[index]
	n.ready.Requests = append(n.ready.Requests, p.proposal.HandleReply(reply)...)
	if _, _, done := p.proposal.Done(); done {
		n.end(now, index)
	} else if p.proposal.Preempted() {
		n.backOffAfterPreemption(now, p)
	}
}

// backOffAfterPreemption schedules the retry of a preempted proposal. The backoff is random and grows, so that two
// proposers of a key do not preempt each other forever.
func (n *Node) backOffAfterPreemption(now microtime.Time, p *inFlightProposal) {
	p.preemptions++
	maxBackoff := n.config.AttemptTimeout >> firstPreemptionShift << min(p.preemptions, maxPreemptionShift)
	maxBackoff = min(maxBackoff, n.config.ProposalTimeout)
	p.retryAt = min(p.retryAt, now+1+microtime.Time(n.rng.Int64N(int64(maxBackoff+1))))
}

// tickProposals retries the proposals whose retry is due and ends those whose deadline has passed.
func (n *Node) tickProposals(now microtime.Time) {
	for i := 0; i < len(n.inFlight); i++ {
		entry := n.inFlight[i]
		switch {
		case now >= entry.deadline || entry.repair && now >= entry.retryAt && entry.proposal.FinishWithMajority():
			entry.proposal.FinishWithMajority()
			n.end(now, i)
			i--
		case now >= entry.retryAt:
			n.ballotNumber++
			n.ready.Requests = append(n.ready.Requests, entry.proposal.Retry(n.ballotNumber)...)
			n.ballotNumber = max(n.ballotNumber, entry.proposal.Ballot.Number)
			entry.backoff = min(2*entry.backoff, n.config.ProposalTimeout)
			entry.retryAt = now + entry.backoff/2 + microtime.Time(n.rng.Int64N(int64(entry.backoff)))
		}
	}
}

// end removes a proposal that is done or whose deadline has passed, and handles its result.
func (n *Node) end(now microtime.Time, index int) {
	ended := n.inFlight[index]
	n.inFlight = slices.Delete(n.inFlight, index, index+1)
	outcome, value, known := ended.proposal.Done()
	switch {
	case ended.repair:
		n.endRepair(ended.proposal, known)
	case ended.id == n.change.proposalID:
		n.change.proposalID = 0
		if known {
			n.membershipDecided(now, value)
		}
	default:
		n.ready.Results = append(n.ready.Results, Result{ended.id, ended.proposal.Key, known, outcome, value})
	}
}

// reconfigure restarts the proposals in flight at the replicas of the newly adopted membership.
func (n *Node) reconfigure(now microtime.Time) {
	for i := 0; i < len(n.inFlight); i++ {
		entry := n.inFlight[i]
		if isMembershipKey(entry.proposal.Key) { // the adopted membership supersedes the proposed one
			n.change.proposalID = 0
			n.inFlight = slices.Delete(n.inFlight, i, i+1)
			i--
			continue
		}
		n.ballotNumber++
		entry.proposal.Change.ForcedAt = n.membership.ForcedAt
		configurations := n.membership.Replicas(entry.proposal.Key, n.hash)
		if entry.repair {
			entry.proposal.unreachable = n.unreachable(configurations)
		}
		requests := entry.proposal.Reconfigure(n.membership.Epoch, configurations, n.ballotNumber)
		n.ready.Requests = append(n.ready.Requests, requests...)
		n.ballotNumber = max(n.ballotNumber, entry.proposal.Ballot.Number)
		entry.retryAt = now + entry.backoff
	}
}

// unreachable returns the replicas from which no reply can be expected. Without this list, each repair would wait in
// vain for a member that is lost.
func (n *Node) unreachable(configurations [][]Identity) (out []Identity) {
	for _, configuration := range configurations {
		for _, replica := range configuration {
			member, _ := n.membership.Find(replica.ID)
			if member.Identity != replica || replica.ID != n.AcceptorID.ID && !n.reachable[replica.ID] {
				out = append(out, replica)
			}
		}
	}
	return out
}
