package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// lossyAcceptors are five acceptors on a network that loses, duplicates and delays messages. Two of them may lose their
// disks.
type lossyAcceptors struct {
	rng        *rand.Rand
	members    []Identity
	acceptors  map[uint32]*Acceptor
	diskLosses int
	preempted  int // number of preempted attempts
}

func newLossyAcceptors(seed uint64) *lossyAcceptors {
	created := &lossyAcceptors{rng: rand.New(rand.NewPCG(seed, 3)), acceptors: map[uint32]*Acceptor{}}
	for id := range uint32(5) {
		acceptor := Identity{id, 1}
		created.members = append(created.members, acceptor)
		created.acceptors[id] = NewAcceptor(acceptor, nil)
	}
	return created
}

// propose makes a proposal and retries it until it is done or the maximum number of attempts is reached.
func (l *lossyAcceptors) propose(change Change) *Proposal {
	const maxAttempts = 8
	proposal, requests := newProposal("k", l.members, change, 1)
	network := anySlice(requests)
	for attempts := 1; ; {
		if len(network) == 0 || l.rng.IntN(40) == 0 {
			if _, _, done := proposal.Done(); done || attempts == maxAttempts {
				return proposal
			}
			if proposal.Preempted() {
				l.preempted++
			}
			attempts++
			network = append(network, anySlice(proposal.Retry(uint64(attempts)))...)
		}
		i := l.rng.IntN(len(network))
		arrived := network[i]
		if l.rng.IntN(8) > 0 { // otherwise it will be delivered again
			network = slices.Delete(network, i, i+1)
		}
		if l.rng.IntN(6) == 0 {
			continue // lost
		}
		switch arrived := arrived.(type) {
		case Request:
			if reply, _, ok := l.acceptors[arrived.To.ID].Handle(arrived); ok {
				network = append(network, reply)
			}
		case Reply:
			network = append(network, anySlice(proposal.HandleReply(arrived))...)
		}
		l.maybeLoseDisk()
	}
}

func (l *lossyAcceptors) maybeLoseDisk() {
	if l.diskLosses >= 2 || l.rng.IntN(200) != 0 {
		return
	}
	id := uint32(l.rng.IntN(5))
	if l.acceptors[id].Self.Incarnation == 1 { // the new one is no member; the former one no longer replies
		l.diskLosses++
		l.acceptors[id] = NewAcceptor(Identity{id, 2}, nil)
	}
}

func anySlice(requests []Request) (out []any) {
	for _, request := range requests {
		out = append(out, request)
	}
	return out
}

func newProposal(key string, replicas []Identity, change Change, number uint64) (*Proposal, []Request) {
	return NewProposal(ProposalConfig{
		Key:            key,
		Change:         change,
		Number:         number,
		Configurations: [][]Identity{replicas},
	})
}

// Guards against a request that runs twice or is answered with different results, when messages and disks are lost and
// proposers crash.
func TestProposalsUnderLoss(t *testing.T) {
	outcomes := map[Outcome]int{}
	preempted := 0
	for seed := range uint64(3000) {
		preempted += simulateProposals(t, seed, outcomes)
	}
	t.Logf("outcomes %v, %d attempts preempted", outcomes, preempted)
	for outcome := OutcomeLeaseGranted; outcome < OutcomeLeaseLost; outcome++ {
		if outcome != OutcomeFailed {
			require.Positive(t, outcomes[outcome], outcome)
		}
	}
}

// simulateProposals makes six attempts to acquire the lease of a key, one after the other, and counts the outcomes. It
// returns how many attempts were preempted.
func simulateProposals(t *testing.T, seed uint64, outcomes map[Outcome]int) (preempted int) {
	t.Helper()
	acceptors := newLossyAcceptors(seed)
	runs := 0
	var served *Value
	for attempt := range 6 {
		proposer := Identity{uint32(10 + acceptors.rng.IntN(3)), uint64(1 + attempt)}
		change := Change{
			Proposer:    proposer,
			Attempt:     uint64(attempt),
			AttemptedAt: int64(100 + attempt),
			Retention:   retention,
		}
		for step := range 2 {
			outcome, value, done := acceptors.propose(change).Done()
			if !done {
				break
			}
			outcomes[outcome]++
			if outcome == OutcomeSucceeded {
				if served != nil {
					require.Equal(t, *served, value, "seed %d", seed)
				}
				served = &value
			}
			if outcome != OutcomeLeaseGranted || step > 0 {
				break
			}
			runs++
			require.LessOrEqual(t, runs, 1, "seed %d: the request ran twice", seed)
			if acceptors.rng.IntN(3) == 0 {
				break // the proposer crashes before the result is recorded
			}
			change.Kind = RecordResult
			change.Succeeded = true
			change.Result = fmt.Sprint(attempt)
		}
	}
	return acceptors.preempted
}
