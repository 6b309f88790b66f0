package consensus

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

var validConfig = Config{AttemptTimeout: 10, ProposalTimeout: 100, MaxInFlight: 1, RepairRate: 1, MaxRepairs: 1}

func TestConfigValidate(t *testing.T) {
	require.NoError(t, validConfig.Validate())
	for name, invalidate := range map[string]func(*Config){
		"no repair rate":                      func(c *Config) { c.RepairRate = 0 },
		"no attempt timeout":                  func(c *Config) { c.AttemptTimeout = 0 },
		"proposal timeout under two attempts": func(c *Config) { c.ProposalTimeout = 15 },
		"no proposals":                        func(c *Config) { c.MaxInFlight = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			config := validConfig
			invalidate(&config)
			require.Error(t, config.Validate())
		})
	}
}

// A node returns an error for calls that are not possible, and an unknown result for a proposal without replies.
func TestNodeErrors(t *testing.T) {
	node, err := NewNode(NodeOptions{
		Acceptor:           Identity{1, 1},
		ProcessIncarnation: 1,
		Config:             validConfig,
		Seed:               1,
		Hash:               xxhash.Sum64String,
	})
	require.NoError(t, err)
	_, err = node.Propose(0, "k", Change{Retention: 1})
	require.ErrorIs(t, err, ErrNoMembership)

	members := []Member{member(1, 1), member(2, 1), member(3, 1)}
	first := Membership{ClusterID: 7, ReplicationFactor: 3, Current: members}
	require.NoError(t, node.Bootstrap(0, first))
	other := Membership{ClusterID: 8, ReplicationFactor: 3, Current: members}
	require.ErrorIs(t, node.Bootstrap(0, other), ErrInvalidChange, "the node has a membership")
	other.Epoch = 9
	require.ErrorIs(t, node.AdoptMembership(0, other), ErrInvalidMembership, "a membership of another cluster")
	require.Equal(t, []uint32{2, 3}, node.Ready().Notify)

	_, err = node.Propose(0, "k", Change{Retention: 1})
	require.NoError(t, err)
	_, err = node.Propose(0, "j", Change{Retention: 1})
	require.ErrorIs(t, err, ErrTooManyInFlight)
	require.Equal(t, microtime.Time(10), node.Tick(0))
	node.Tick(100)
	require.Equal(t, []Result{{ID: 1, Key: "k"}}, node.Ready().Results, "no replica replied: the result is unknown")

	require.ErrorIs(t, node.ProposeMembership(100, members[:1], ""), ErrInvalidChange, "two members removed at once")
	require.ErrorIs(t, node.ProposeMembership(100, members, ""), ErrInvalidChange, "no member added or removed")
	require.NoError(t, node.ProposeMembership(100, members[:2], ""))
	require.ErrorIs(t, node.ProposeMembership(100, members[1:], ""), ErrChangeInProgress)
}

// Guards against requests that run twice after an operator has forced a membership without a majority: until the
// retention is over, no lease is granted for a key without a value in force, as a newer value may be lost.
func TestForcedMembership(t *testing.T) {
	sim := newCluster(t, 1, 3, 3, 0)
	sim.lossy = false
	for i := range 40 {
		sim.propose(i%3, fmt.Sprint("lot ", i), Change{AttemptedAt: int64(100 + i), Retention: retention})
		for range 200 {
			sim.step()
		}
	}
	require.Len(t, sim.runs, 40)
	sim.crash(1)
	sim.crash(2)

	survivor := sim.servers[0].Node
	err := survivor.ForceMembership(sim.now, []uint32{2, 3}, 5000, "two lost")
	require.ErrorIs(t, err, ErrInvalidChange, "the server itself must be kept")
	require.NoError(t, survivor.ForceMembership(sim.now, []uint32{1}, 5000, "two lost"))

	outcome := func(key string, attemptedAt int64) Outcome {
		return sim.acquireLeaseAtSoleMember(survivor, key, attemptedAt).Outcome
	}
	require.Equal(t, OutcomeSucceeded, outcome("lot 3", 200), "the survivor has the value")
	require.Equal(t, OutcomeIndeterminate, outcome("new", 5999))
	require.Equal(t, OutcomeIndeterminate, outcome("lot 3", 4000), "a later run of it may be lost")
	require.Equal(t, OutcomeLeaseGranted, outcome("new", 6000))
}

// acquireLeaseAtSoleMember proposes a lease at the only member of a cluster, and returns the result.
func (c *cluster) acquireLeaseAtSoleMember(node *Node, key string, attemptedAt int64) Result {
	id, err := node.Propose(c.now, key, Change{AttemptedAt: attemptedAt, Retention: retention})
	require.NoError(c.t, err)
	for {
		node.Tick(c.now)
		ready := node.Ready()
		for _, request := range ready.Requests {
			node.HandleRequest(node.ProposerID, request)
		}
		for _, reply := range node.Ready().Replies {
			node.HandleReply(c.now, reply.Reply)
		}
		for _, result := range ready.Results {
			if result.ID == id {
				return result
			}
		}
		c.now += 500
	}
}
