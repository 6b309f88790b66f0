package consensus

import "slices"

// phase is the phase of the protocol that a proposal is in.
type phase uint8

const (
	phasePrepare phase = iota // collects promises and accepted values
	phaseAccept               // asks the replicas to accept the value
	phaseRead                 // collects accepted values without promises; if they agree, the proposal is done
)

// ProposalConfig holds the arguments of NewProposal.
type ProposalConfig struct {
	Key    string
	Epoch  uint64 // of the membership to which the configurations belong
	Change Change
	Number uint64 // of the ballot: higher than any that this process has used for the key
	// Configurations are the key's replicas in the current configuration and, during a change of members, in the next
	// one. A majority of each is needed.
	Configurations [][]Identity
	// WaitForAll makes the proposal wait for all reachable replicas instead of majorities, until FinishWithMajority is
	// called. Repairs set it.
	WaitForAll bool
	// Unreachable are the replicas that WaitForAll does not wait for.
	Unreachable []Identity
}

// Proposal is the state of one change in the protocol of CASPaxos.
type Proposal struct {
	Key    string
	Change Change
	Ballot Ballot
	Epoch  uint64

	configurations [][]Identity
	waitForAll     bool
	unreachable    []Identity

	phase       phase
	voters      []Identity // replicas that have granted the request of this phase
	newest      Ballot     // of value
	value       Value
	outcome     Outcome
	preemptedBy uint64 // the highest ballot number in any refusal
	done        bool
}

// NewProposal starts a proposal and returns its first requests.
func NewProposal(c ProposalConfig) (*Proposal, []Request) {
	proposal := &Proposal{
		Key:            c.Key,
		Change:         c.Change,
		Ballot:         Ballot{Number: c.Number, Proposer: c.Change.Proposer},
		Epoch:          c.Epoch,
		configurations: c.Configurations,
		waitForAll:     c.WaitForAll,
		unreachable:    c.Unreachable,
	}
	if c.Change.Kind == ReadValue {
		proposal.phase = phaseRead
	}
	return proposal, proposal.requests()
}

// Retry restarts the proposal. Its ballot number is at least number, and higher than any that has preempted it.
func (p *Proposal) Retry(number uint64) []Request {
	p.Ballot = Ballot{Number: max(number, p.preemptedBy+1), Proposer: p.Change.Proposer}
	return p.prepare()
}

// Reconfigure restarts the proposal at the replicas of another membership.
func (p *Proposal) Reconfigure(epoch uint64, configurations [][]Identity, number uint64) []Request {
	p.Epoch = epoch
	p.configurations = configurations
	return p.Retry(number)
}

// prepare starts the prepare phase with the current ballot.
func (p *Proposal) prepare() []Request {
	p.phase = phasePrepare
	p.voters = nil
	p.newest = Ballot{}
	p.value = Value{}
	return p.requests()
}

// requests returns the request of this phase for each replica.
func (p *Proposal) requests() (requests []Request) {
	var asked []Identity
	for _, configuration := range p.configurations {
		for _, replica := range configuration {
			if slices.Contains(asked, replica) {
				continue
			}
			asked = append(asked, replica)
			requests = append(requests, Request{
				To:          replica,
				Key:         p.Key,
				Epoch:       p.Epoch,
				AttemptedAt: p.Change.AttemptedAt,
				Ballot:      p.Ballot,
				Accept:      p.phase == phaseAccept,
				Read:        p.phase == phaseRead,
				Value:       p.value,
			})
		}
	}
	return requests
}

// HandleReply handles a reply and returns the requests of the next phase if one starts. Duplicate replies and replies
// to earlier attempts are ignored.
func (p *Proposal) HandleReply(reply Reply) []Request {
	if p.done || !p.expects(reply) {
		return nil
	}
	if !reply.OK {
		p.preemptedBy = max(p.preemptedBy, reply.Promised.Number)
		return nil
	}
	if slices.Contains(p.voters, reply.From) {
		return nil
	}
	p.voters = append(p.voters, reply.From)
	switch p.phase {
	case phaseRead:
		return p.handleRead(reply)
	case phasePrepare:
		return p.handlePromise(reply)
	case phaseAccept:
		p.done = p.hasMajority() && (!p.waitForAll || p.hasAllReachable())
	}
	return nil
}

// expects reports whether a reply is to a request of this phase.
func (p *Proposal) expects(r Reply) bool {
	return r.Key == p.Key && r.Ballot == p.Ballot && r.Epoch == p.Epoch &&
		r.Accept == (p.phase == phaseAccept) && r.Read == (p.phase == phaseRead) &&
		slices.ContainsFunc(p.configurations, func(configuration []Identity) bool {
			return slices.Contains(configuration, r.From)
		})
}

// handlePromise applies the change to the newest value as soon as a majority has promised.
func (p *Proposal) handlePromise(r Reply) []Request {
	if p.newest.Less(r.Accepted) {
		p.newest = r.Accepted
		p.value = r.Value
	}
	if !p.hasMajority() {
		return nil
	}
	empty := p.value.Kind == KindNone
	p.value, p.outcome = p.Change.Apply(p.value)
	if p.Change.Kind == ReadValue && empty { // there is no value that the replicas could accept
		p.done = true
		return nil
	}
	p.phase = phaseAccept
	p.voters = nil
	return p.requests()
}

// handleRead handles a reply of the read phase. If a majority has accepted a value under the same ballot, that value is
// chosen, and no newer value was chosen before the read began: every majority that could have accepted it shares a
// replica with this one, which would have replied with the newer value. Reading without a ballot prevents readers from
// preempting the proposers that change the key.
func (p *Proposal) handleRead(r Reply) []Request {
	if len(p.voters) > 1 && r.Accepted != p.newest {
		return p.prepare()
	}
	p.newest = r.Accepted
	p.value = r.Value
	if p.hasMajority() && (!p.waitForAll || p.hasAllReachable()) {
		p.value, p.outcome = p.Change.Apply(p.value)
		p.done = true
	}
	return nil
}

// hasMajority reports whether a majority of each configuration has voted in this phase.
func (p *Proposal) hasMajority() bool {
	return p.hasNeededVotes(func(configuration []Identity) int { return len(configuration)/2 + 1 })
}

// hasAllReachable reports whether all reachable replicas of each configuration have voted in this phase.
func (p *Proposal) hasAllReachable() bool {
	return p.hasNeededVotes(func(configuration []Identity) (reachable int) {
		for _, replica := range configuration {
			if !slices.Contains(p.unreachable, replica) {
				reachable++
			}
		}
		return reachable
	})
}

// hasNeededVotes reports whether each configuration has as many votes as it needs.
func (p *Proposal) hasNeededVotes(needed func(configuration []Identity) int) bool {
	for _, configuration := range p.configurations {
		votes := 0
		for _, replica := range configuration {
			if slices.Contains(p.voters, replica) {
				votes++
			}
		}
		if votes < needed(configuration) {
			return false
		}
	}
	return true
}

// FinishWithMajority stops waiting for all reachable replicas: the proposal is done if majorities have accepted its
// value. It reports whether the proposal is done.
func (p *Proposal) FinishWithMajority() bool {
	p.done = p.done || p.phase == phaseAccept && p.hasMajority()
	return p.done
}

// Preempted reports whether a replica has promised a higher ballot number, so that this attempt cannot succeed. The
// caller should call Retry after a random backoff.
func (p *Proposal) Preempted() bool { return !p.done && p.preemptedBy >= p.Ballot.Number }

// Done returns the outcome and the chosen value, and whether the proposal is done. Both are meaningless until it is.
func (p *Proposal) Done() (Outcome, Value, bool) { return p.outcome, p.value, p.done }
