package consensus

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// The removal of a server moves only the keys that it replicates, and all servers replicate about the same number.
func TestReplicas(t *testing.T) {
	const keys, servers, replicationFactor = 5000, 16, 3
	var members []Identity
	for i := range uint32(servers) {
		members = append(members, Identity{i, 1})
	}
	moved := 0
	load := map[uint32]int{}
	for i := range keys {
		key := fmt.Sprint("key", i)
		before := Replicas(key, members, replicationFactor, xxhash.Sum64String)
		after := Replicas(key, members[:servers-1], replicationFactor, xxhash.Sum64String)
		for _, replica := range before {
			load[replica.ID]++
			if !slices.Contains(after, replica) {
				moved++
				require.Equal(t, uint32(servers-1), replica.ID, "only keys of the removed server may move")
			}
		}
	}
	require.Equal(t, load[servers-1], moved)
	for _, replicated := range load {
		require.InDelta(t, keys*replicationFactor/servers, replicated, 100)
	}
}
