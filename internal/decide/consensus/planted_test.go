package consensus

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var hunt = flag.Bool("hunt", false, "hunt each planted bug from seed 0, not from a seed that is known to find it")

// plantedBugs make the servers of a simulated cluster behave as if the protocol had a bug. They change messages, and
// the state of the server that receives them, so that the product's code knows nothing of them.
var plantedBugs = []struct {
	name      string
	firstSeed uint64 // near which it was found
	deliver   delivery
}{
	{name: "the value of the first reply is taken, not the newest", firstSeed: 8, deliver: hideNewerValues},
	{name: "half of a configuration is a majority", deliver: forgeVotesAfter(halfOfEach)},
	{name: "a majority of the next configuration is enough", firstSeed: 518, deliver: forgeVotesAfter(majorityOfLast)},
	{name: "transfers are acknowledged that were not made", firstSeed: 50, deliver: forgeTransferAcks},
	{name: "an acceptor breaks its promise", deliver: forgetPromise},
}

// hideNewerValues strips a promise of its value where its proposal has one already.
func hideNewerValues(c *cluster, receiver *server, m message) {
	if reply, ok := m.content.(Reply); ok && !reply.Accept && !reply.Read {
		if proposal := receiver.proposalOf(reply); proposal != nil && proposal.value.Kind != KindNone {
			reply.Accepted = Ballot{}
			reply.Value = Value{}
			m.content = reply
		}
	}
	c.handle(receiver, m)
}

// forgeVotesAfter has all replicas vote as soon as those that did are enough for a broken rule.
func forgeVotesAfter(enough func(*Proposal) bool) delivery {
	return func(sim *cluster, receiver *server, m message) {
		sim.handle(receiver, m)
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

// halfOfEach is a rule that takes half of each configuration, rounded down, for a majority.
func halfOfEach(p *Proposal) bool {
	return p.votesReach(func(configuration []Identity) int { return len(configuration) / 2 })
}

// majorityOfLast is a rule that leaves out all configurations but the last.
func majorityOfLast(p *Proposal) bool {
	last := *p
	last.configurations = p.configurations[len(p.configurations)-1:]
	return last.hasMajority()
}

// forgeTransferAcks has each message bring the word of all members that their transfers are made.
func forgeTransferAcks(c *cluster, receiver *server, m message) {
	c.handle(receiver, m)
	membership := receiver.Membership()
	for _, current := range membership.Current {
		receiver.HandleTransferAck(TransferAck{membership.Epoch, current.Identity})
	}
}

// forgetPromise has an acceptor forget a promise that stands in the way of a value.
func forgetPromise(c *cluster, receiver *server, m message) {
	if request, ok := m.content.(Request); ok && request.Accept && request.Epoch == receiver.acceptor.Epoch {
		register, known := receiver.acceptor.registers[request.Key]
		if known && request.Ballot.Less(register.Promised) {
			register.Promised = Ballot{}
			receiver.acceptor.registers[request.Key] = register
		}
	}
	c.handle(receiver, m)
}

// proposalOf returns the proposal in flight that a reply is for; nil: there is none.
func (s *server) proposalOf(reply Reply) *Proposal {
	for _, p := range s.inFlight {
		if p.proposal.Ballot == reply.Ballot && p.proposal.Key == reply.Key {
			return p.proposal
		}
	}
	return nil
}

// Each planted bug of the protocol is found by the simulated cluster. One that finds nothing would pass all else.
func TestPlantedBugsAreFound(t *testing.T) {
	const maxSeeds = 3000
	for _, bug := range plantedBugs {
		t.Run(bug.name, func(t *testing.T) {
			first := bug.firstSeed
			if *hunt {
				first = 0
			}
			began := time.Now()
			problem := ""
			for seed := first; seed < first+maxSeeds && problem == ""; seed++ {
				if _, problem = playCluster(t, seed, bug.deliver); problem != "" {
					t.Logf("seed %d, after %v: %s", seed, time.Since(began).Round(time.Millisecond), problem)
				}
			}
			require.NotEmpty(t, problem)
		})
	}
}
