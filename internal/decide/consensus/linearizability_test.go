package consensus

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

var maxSeeds = flag.Int("seeds", 300, "number of seeds that TestClusterIsLinearizable simulates")

// registerModel is the sequential specification of a key: each operation applies its change to the key's value.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, operation := range history {
			key := operation.Input.(input).key
			byKey[key] = append(byKey[key], operation)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return Value{} },
	Step: func(state, in, out any) (bool, any) {
		value, outcome := in.(input).change.Apply(state.(Value))
		got := out.(output)
		matches := got.outcome == outcome && (outcome != OutcomeSucceeded || got.result == value.Result)
		return !got.known || matches, value
	},
}

// clusterTotals sums up the simulations of all seeds.
type clusterTotals struct {
	sync.Mutex
	runs, known, served, diskLosses, memberChanges, epochs int
}

func (c *clusterTotals) add(simulated *cluster) {
	c.Lock()
	defer c.Unlock()
	c.runs += len(simulated.runs)
	for _, operation := range simulated.history {
		if out := operation.Output.(output); out.known && out.outcome == OutcomeSucceeded {
			c.served++
		}
	}
	c.known += simulated.knownResults
	c.diskLosses += simulated.diskLosses
	c.memberChanges += simulated.memberChanges
	c.epochs += int(simulated.newestMembership().Epoch)
}

// Guards against a request that runs twice within its retention, and against results of a key that no sequential order
// of the operations explains. The faults are lost, duplicated and delayed messages, partitions, crashes, at least two
// lost disks, and changes of members. Once the faults end, each change of members must be completed or abandoned.
func TestClusterIsLinearizable(t *testing.T) {
	const workers = 6
	var totals clusterTotals
	t.Run("seeds", func(t *testing.T) {
		for worker := range workers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < *maxSeeds; seed += workers {
					simulated, problem := simulateCluster(t, uint64(seed), (*cluster).handleMessage)
					require.Empty(t, problem, "seed %d", seed)
					totals.add(simulated)
				}
			})
		}
	})
	t.Logf("%d seeds: %d keys run, %d results known, %d of them served, %d disks lost, %d changes of members, %d epochs",
		*maxSeeds, totals.runs, totals.known, totals.served, totals.diskLosses, totals.memberChanges, totals.epochs)
	require.Greater(t, totals.runs, *maxSeeds)
	require.Greater(t, totals.served, 2**maxSeeds)
	require.Greater(t, totals.memberChanges, *maxSeeds/2)
}

// simulateCluster simulates a cluster from a seed. It returns the first problem, or "".
func simulateCluster(t *testing.T, seed uint64, deliver deliverFunc) (_ *cluster, problem string) {
	t.Helper()
	replicas := 3 + 2*int(seed%2)
	simulated := newCluster(t, seed, replicas, replicas+int(seed/2%3), 2)
	simulated.deliver = deliver
	for n := range 2500 {
		simulated.stepWithLoad(n)
		simulated.maybeInjectFault()
	}
	if problem := simulated.recoverFromFaults(); problem != "" {
		return simulated, problem
	}
	if problem := simulated.loseTwoDisks(); problem != "" {
		return simulated, problem
	}
	for n := range 300 { // requests the keys of all earlier steps again
		simulated.stepWithLoad(n / 3 * 25)
	}
	if problem := simulated.recoverFromFaults(); problem != "" {
		return simulated, problem
	}
	for key, runs := range simulated.runs {
		if runs != 1 {
			return simulated, fmt.Sprintf("the request of key %s ran %d times", key, runs)
		}
	}
	for i, s := range simulated.servers {
		if !s.crashed {
			simulated.crash(i)
		}
	}
	if got := porcupine.CheckOperationsTimeout(registerModel, simulated.history, time.Minute); got != porcupine.Ok {
		return simulated, fmt.Sprintf("the history is not linearizable: %v", got)
	}
	return simulated, ""
}

// stepWithLoad may propose a change of a random key, and advances the time by a step.
func (c *cluster) stepWithLoad(n int) {
	if c.rng.IntN(25) == 0 {
		if i := c.rng.IntN(len(c.servers)); !c.servers[i].crashed {
			kind := []ChangeKind{AcquireLease, AcquireLease, ReadValue}[c.rng.IntN(3)]
			key := fmt.Sprintf("lot %d", n/300*12+c.rng.IntN(12))
			c.propose(i, key, Change{Kind: kind, AttemptedAt: int64(c.rng.IntN(300)), Retention: retention})
		}
	}
	c.step()
}

// loseTwoDisks deletes the disks of two members, one after the other, each as soon as the member before is replaced by
// its new incarnation. Values that this incarnation still lacks then are lost, which the test would find.
func (c *cluster) loseTwoDisks() (problem string) {
	for range 2 {
		newest := c.newestMembership()
		i := int(newest.Current[c.rng.IntN(len(newest.Current))].ID) - 1
		c.crash(i)
		c.loseDisk(i)
		c.startServer(i)
		replaced := func() bool { return len(c.newestMembership().Next) == 0 && c.unreplacedMembers() == 0 }
		if problem := c.waitFor(replaced); problem != "" {
			return problem
		}
	}
	return ""
}
