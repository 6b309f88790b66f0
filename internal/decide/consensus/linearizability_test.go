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

var maxSeeds = flag.Int("seeds", 300, "how many seeds TestClusterIsLinearizable plays")

// register is what a key may look like to callers, one after the other.
var register = porcupine.Model{
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
		fits := got.outcome == outcome && (outcome != OutcomeSucceeded || got.result == value.Result)
		return !got.known || fits, value
	},
}

// clusterTotals is what the clusters of all seeds have done.
type clusterTotals struct {
	sync.Mutex
	runs, known, served, diskLosses, memberChanges, epochs int
}

func (c *clusterTotals) add(played *cluster) {
	c.Lock()
	defer c.Unlock()
	c.runs += len(played.runs)
	for _, operation := range played.history {
		if out := operation.Output.(output); out.known && out.outcome == OutcomeSucceeded {
			c.served++
		}
	}
	c.known += played.known
	c.diskLosses += played.diskLosses
	c.memberChanges += played.memberChanges
	c.epochs += int(played.newest().Epoch)
}

// Guards the promise of a cluster: through messages lost, doubled and late, partitions, crashes, two disks lost or more
// and changes of members, no request runs twice within its retention, and all that callers were told of a key fits one
// order of what happened. Once faults end, each change of members does too.
func TestClusterIsLinearizable(t *testing.T) {
	const workers = 6
	var totals clusterTotals
	t.Run("seeds", func(t *testing.T) {
		for worker := range workers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for seed := worker; seed < *maxSeeds; seed += workers {
					played, problem := playCluster(t, uint64(seed), (*cluster).handle)
					require.Empty(t, problem, "seed %d", seed)
					totals.add(played)
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

// playCluster plays a cluster from a seed; it returns what is wrong, if anything is.
func playCluster(t *testing.T, seed uint64, deliver delivery) (_ *cluster, problem string) {
	t.Helper()
	replicas := 3 + 2*int(seed%2)
	played := newCluster(t, seed, replicas, replicas+int(seed/2%3), 2)
	played.deliver = deliver
	for n := range 2500 {
		played.load(n)
		played.injectFault()
	}
	if problem := played.settle(); problem != "" {
		return played, problem
	}
	if problem := played.loseTwoDisks(); problem != "" {
		return played, problem
	}
	for n := range 300 { // all that was there before is asked for again
		played.load(n / 3 * 25)
	}
	if problem := played.settle(); problem != "" {
		return played, problem
	}
	for key, runs := range played.runs {
		if runs != 1 {
			return played, fmt.Sprintf("%s was run %d times", key, runs)
		}
	}
	for i, s := range played.servers {
		if !s.crashed {
			played.crash(i)
		}
	}
	if got := porcupine.CheckOperationsTimeout(register, played.history, time.Minute); got != porcupine.Ok {
		return played, fmt.Sprintf("the history fits no order: %v", got)
	}
	return played, ""
}

// load has a caller ask for a key now and then, and time pass.
func (c *cluster) load(n int) {
	if c.rng.IntN(25) == 0 {
		if i := c.rng.IntN(len(c.servers)); !c.servers[i].crashed {
			kind := []ChangeKind{AcquireLease, AcquireLease, ReadValue}[c.rng.IntN(3)]
			key := fmt.Sprintf("lot %d", n/300*12+c.rng.IntN(12))
			c.propose(i, key, Change{Kind: kind, AttemptedAt: int64(c.rng.IntN(300)), Retention: retention})
		}
	}
	c.step()
}

// loseTwoDisks loses one disk after the other, each as soon as the place of the one before is taken: what was not
// transferred by then is lost with it.
func (c *cluster) loseTwoDisks() (problem string) {
	for range 2 {
		newest := c.newest()
		i := int(newest.Current[c.rng.IntN(len(newest.Current))].ID) - 1
		c.crash(i)
		c.loseDisk(i)
		c.boot(i)
		replaced := func() bool { return len(c.newest().Next) == 0 && c.missing() == 0 }
		if problem := c.waitFor(replaced); problem != "" {
			return problem
		}
	}
	return ""
}
