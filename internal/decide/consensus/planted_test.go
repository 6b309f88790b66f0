package consensus

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var searchFromSeedZero = flag.Bool("hunt", false, "search for each planted bug from seed 0, not from a known seed")

// plantedBugs make the servers of a simulated cluster behave as if the protocol had a bug. They change messages and the
// state of the receiving server, so that the product's code need not contain the bugs.
var plantedBugs = []struct {
	name      string
	firstSeed uint64 // at or shortly before the seed that finds the bug
	deliver   deliverFunc
}{
	{name: "the value of the first reply is taken, not the newest", firstSeed: 8, deliver: hideNewerValues},
	{name: "half of a configuration is a majority", deliver: forgeVotesAfter(halfOfEach)},
	{name: "a majority of the next configuration is enough", firstSeed: 518, deliver: forgeVotesAfter(majorityOfLast)},
	{name: "transfers are acknowledged that were not made", firstSeed: 50, deliver: forgeTransferAcks},
	{name: "an acceptor breaks its promise", deliver: forgetPromise},
}

// hideNewerValues removes the value from a promise if the proposal already has a value.
func hideNewerValues(c *cluster, receiver *server, m message) {
	if reply, ok := m.content.(Reply); ok && !reply.Accept && !reply.Read {
		if proposal := receiver.proposalOf(reply); proposal != nil && proposal.value.Kind != KindNone {
			reply.Accepted = Ballot{}
			reply.Value = Value{}
			m.content = reply
		}
	}
	c.handleMessage(receiver, m)
}

// forgeVotesAfter makes a proposal pass with too few votes: as soon as they are enough for a broken rule, it forges the
// votes of the other replicas.
func forgeVotesAfter(enough func(*Proposal) bool) deliverFunc {
	return func(sim *cluster, receiver *server, m message) {
		sim.handleMessage(receiver, m)
		reply, ok := m.content.(Reply)
		if !ok {
			return
		}
		proposal := receiver.proposalOf(reply)
		if proposal == nil || !proposal.expects(reply) || !enough(proposal) {
			return
		}
		forged := Reply{
			Key:      proposal.Key,
			Epoch:    proposal.Epoch,
			Ballot:   proposal.Ballot,
			Accept:   reply.Accept,
			Read:     reply.Read,
			OK:       true,
			Accepted: proposal.newest,
			Value:    proposal.value,
		}
		for _, replica := range slices.Concat(proposal.configurations...) {
			forged.From = replica
			if !proposal.done && proposal.expects(forged) && !proposal.hasMajority() {
				receiver.HandleReply(sim.now, forged)
			}
		}
	}
}

// halfOfEach is a broken rule: half of each configuration, rounded down, is a majority.
func halfOfEach(p *Proposal) bool {
	return p.hasNeededVotes(func(configuration []Identity) int { return len(configuration) / 2 })
}

// majorityOfLast is a broken rule: a majority of the last configuration is enough.
func majorityOfLast(p *Proposal) bool {
	last := *p
	last.configurations = p.configurations[len(p.configurations)-1:]
	return last.hasMajority()
}

// forgeTransferAcks forges, with each message, the acknowledgements that all members have made their transfers.
func forgeTransferAcks(c *cluster, receiver *server, m message) {
	c.handleMessage(receiver, m)
	membership := receiver.Membership()
	for _, current := range membership.Current {
		receiver.HandleTransferAck(TransferAck{membership.Epoch, current.Identity})
	}
}

// forgetPromise deletes a promise that would make the acceptor refuse a request to accept a value.
func forgetPromise(c *cluster, receiver *server, m message) {
	if request, ok := m.content.(Request); ok && request.Accept && request.Epoch == receiver.acceptor.Epoch {
		register, known := receiver.acceptor.registers[request.Key]
		if known && request.Ballot.Less(register.Promised) {
			register.Promised = Ballot{}
			receiver.acceptor.registers[request.Key] = register
		}
	}
	c.handleMessage(receiver, m)
}

// proposalOf returns the proposal in flight to which a reply belongs; nil if there is none.
func (s *server) proposalOf(reply Reply) *Proposal {
	for _, p := range s.inFlight {
		if p.proposal.Ballot == reply.Ballot && p.proposal.Key == reply.Key {
			return p.proposal
		}
	}
	return nil
}

// Guards against a simulation that cannot detect faults: it must find each planted bug of the protocol.
func TestPlantedBugsAreFound(t *testing.T) {
	const maxSeeds = 3000
	for _, bug := range plantedBugs {
		t.Run(bug.name, func(t *testing.T) {
			firstSeed := bug.firstSeed
			if *searchFromSeedZero {
				firstSeed = 0
			}
			startedAt := time.Now()
			problem := ""
			for seed := firstSeed; seed < firstSeed+maxSeeds && problem == ""; seed++ {
				if _, problem = simulateCluster(t, seed, bug.deliver); problem != "" {
					t.Logf("seed %d, after %v: %s", seed, time.Since(startedAt).Round(time.Millisecond), problem)
				}
			}
			require.NotEmpty(t, problem)
		})
	}
}
