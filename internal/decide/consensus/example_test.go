package consensus_test

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/decide/consensus"
)

// Two servers try to run the request of one key. The first acquires the lease and records the result of its run at two
// of the three acceptors. The other server gets that result.
func Example() {
	var acceptors []*consensus.Acceptor
	var replicas []consensus.Identity
	for id := range uint32(3) {
		replica := consensus.Identity{ID: id + 1, Incarnation: 1}
		replicas = append(replicas, replica)
		acceptors = append(acceptors, consensus.NewAcceptor(replica, nil))
	}
	// propose runs a proposal to its end. The third acceptor is unreachable.
	propose := func(change consensus.Change, number uint64) (consensus.Outcome, consensus.Value) {
		proposal, requests := consensus.NewProposal(consensus.ProposalConfig{
			Key:            "order 17",
			Change:         change,
			Number:         number,
			Configurations: [][]consensus.Identity{replicas},
		})
		for len(requests) > 0 {
			request := requests[0]
			requests = requests[1:]
			if request.To.ID == 3 {
				continue
			}
			if reply, _, ok := acceptors[request.To.ID-1].Handle(request); ok {
				requests = append(requests, proposal.HandleReply(reply)...)
			}
		}
		outcome, value, _ := proposal.Done()
		return outcome, value
	}

	lease := consensus.Change{
		Kind:        consensus.AcquireLease,
		Proposer:    consensus.Identity{ID: 1, Incarnation: 7},
		Attempt:     1,
		AttemptedAt: 5000,
		Retention:   60_000,
	}
	outcome, _ := propose(lease, 1)
	fmt.Println("server 1:", outcome)

	otherLease := lease
	otherLease.Proposer = consensus.Identity{ID: 2, Incarnation: 9}
	outcome, _ = propose(otherLease, 2)
	fmt.Println("server 2:", outcome)

	record := lease
	record.Kind = consensus.RecordResult
	record.Succeeded = true
	record.Result = "shipped"
	outcome, _ = propose(record, 3)
	fmt.Println("server 1:", outcome)

	outcome, value := propose(otherLease, 4)
	fmt.Println("server 2:", outcome, value.Result)
	// Output:
	// server 1: lease granted
	// server 2: indeterminate
	// server 1: succeeded
	// server 2: succeeded shipped
}

// A host drives its node. This one is the only member of its cluster and has no disk.
func ExampleNode() {
	self := consensus.Identity{ID: 1, Incarnation: 1}
	node, err := consensus.NewNode(consensus.NodeOptions{
		Acceptor:           self,
		ProcessIncarnation: 1,
		Config: consensus.Config{
			AttemptTimeout:  20_000,
			ProposalTimeout: 300_000,
			MaxInFlight:     8,
			RepairRate:      100,
			MaxRepairs:      4,
		},
		Hash: xxhash.Sum64String,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	err = node.Bootstrap(0, consensus.Membership{
		ClusterID:         42,
		ReplicationFactor: 1,
		Current:           []consensus.Member{{Identity: self, Addr: "127.0.0.1:9000"}},
		Reason:            "founded",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	id, err := node.Propose(0, "order 17", consensus.Change{AttemptedAt: 5000, Retention: 60_000})
	if err != nil {
		fmt.Println(err)
		return
	}
	for {
		ready := node.Ready()
		// A host with a disk makes ready.Membership and ready.Registers durable here, before it sends any reply.
		for _, request := range ready.Requests {
			node.HandleRequest(node.ProposerID, request)
		}
		for _, reply := range ready.Replies {
			node.HandleReply(0, reply.Reply)
		}
		for _, result := range ready.Results {
			fmt.Println(result.ID == id, result.Key, result.Outcome)
			return
		}
	}
	// Output: true order 17 lease granted
}
