package consensus

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var fromZero = flag.Bool("hunt", false, "hunt each planted bug from seed 0, not from a seed that is known to find it")

// plantedBug makes the nodes of a simulated cluster behave as if the protocol had a bug. Only messages and the state of
// the node that receives them are changed, so that the product's code knows nothing of it.
type plantedBug struct {
	name      string
	firstSeed uint64 // near which it was found
	// deliver replaces the delivery of a message to a node.
	deliver func(c *cluster, s *sim, m sending)
}

var plantedBugs = []plantedBug{
	{name: "the value of the first reply is taken, not the newest", firstSeed: 8, deliver: hideNewerValue},
	{name: "half of a configuration is a majority", deliver: forgeVotesBeyond(halfOfEach)},
	{name: "a majority of the next configuration alone is enough", firstSeed: 518, deliver: forgeVotesBeyond(majorityOfLast)},
	{name: "members acknowledge transfers that they have not made", firstSeed: 50, deliver: forgeTransferAcks},
	{name: "an acceptor breaks its promise", deliver: forgetPromise},
}

// hideNewerValue strips a promise of its value where its proposal has one already.
func hideNewerValue(c *cluster, s *sim, m sending) {
	if reply, ok := m.m.(Reply); ok && !reply.Accept && !reply.Read {
		if p := s.proposalOf(reply); p != nil && p.value.Kind != KindNone {
			reply.Accepted, reply.Value = Ballot{}, Value{}
			m.m = reply
		}
	}
	c.deliver(s, m)
}

// forgeVotesBeyond has members vote that did not, as soon as those that did are enough for a broken rule.
func forgeVotesBeyond(enough func(*Proposal) bool) func(*cluster, *sim, sending) {
	return func(c *cluster, s *sim, m sending) {
		c.deliver(s, m)
		reply, ok := m.m.(Reply)
		if !ok {
			return
		}
		p := s.proposalOf(reply)
		if p == nil || p.over || p.accept != reply.Accept || p.peek != reply.Read || !enough(p) {
			return
		}
		forged := Reply{Key: p.Key, Epoch: p.Epoch, Ballot: p.Ballot, Accept: p.accept, Read: p.peek, OK: true,
			Accepted: p.newest, Value: p.value}
		for _, member := range slices.Concat(p.sets...) {
			if !p.over && p.accept == reply.Accept && p.peek == reply.Read && !p.agreed(false) {
				forged.From = member
				s.HandleReply(c.now, forged)
			}
		}
	}
}

// halfOfEach is a rule that takes half of each configuration for a majority.
func halfOfEach(p *Proposal) bool {
	for _, set := range p.sets {
		if countVotes(p, set) < len(set)/2 {
			return false
		}
	}
	return true
}

// majorityOfLast is a rule that leaves out all configurations but the last.
func majorityOfLast(p *Proposal) bool {
	last := p.sets[len(p.sets)-1]
	return countVotes(p, last) > len(last)/2
}

func countVotes(p *Proposal, set []Identity) (count int) {
	for _, member := range set {
		if slices.Contains(p.votes, member) {
			count++
		}
	}
	return count
}

// forgeTransferAcks has each message bring the word of all members that their transfers are made.
func forgeTransferAcks(c *cluster, s *sim, m sending) {
	c.deliver(s, m)
	membership := s.Membership()
	for _, member := range membership.Current {
		s.HandleTransferAck(TransferAck{membership.Epoch, member.Identity})
	}
}

// forgetPromise has an acceptor forget a promise that stands in the way of a value.
func forgetPromise(c *cluster, s *sim, m sending) {
	if r, ok := m.m.(Request); ok && r.Accept && r.Epoch == s.holder.Epoch {
		if register, known := s.holder.slots[r.Key]; known && r.Ballot.Less(register.Promised) {
			register.Promised = Ballot{}
			s.holder.slots[r.Key] = register
		}
	}
	c.deliver(s, m)
}

// proposalOf is the proposal in flight that a reply is for; nil: there is none.
func (s *sim) proposalOf(r Reply) *Proposal {
	for _, u := range s.under {
		if u.op.Ballot == r.Ballot && u.op.Key == r.Key {
			return u.op
		}
	}
	return nil
}

// Each planted bug of the protocol is found by the simulated group. One that finds nothing would pass all else.
func TestPlantedBugsAreFound(t *testing.T) {
	for _, bug := range plantedBugs {
		t.Run(bug.name, func(t *testing.T) {
			began, found, first := time.Now(), "", bug.firstSeed
			if *fromZero {
				first = 0
			}
			for seed := first; seed < first+3000 && found == ""; seed++ {
				if _, found = playGroup(t, seed, bug.deliver); found != "" {
					t.Logf("seed %d, after %v: %s", seed, time.Since(began).Round(time.Millisecond), found)
				}
			}
			require.NotEmpty(t, found)
		})
	}
}
