package faultsearch

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

func draw(seed uint64) faults.Script {
	script, err := faults.Setup{Servers: 3, Proxies: 4, Length: 12 * microtime.Second}.Draw(seed, "worst")
	if err != nil {
		panic(err)
	}
	return script
}

// reachedSituations stands in for a simulation. The situations of a script are the pairs of kinds of faults that occur
// at the same node within 100 ms.
func reachedSituations(script faults.Script) (situations []Situation) {
	kinds := faults.Kinds()
	for _, a := range script.Faults {
		for _, b := range script.Faults {
			if a.Node == b.Node && a.At <= b.At && b.At < a.At+100*microtime.Millisecond {
				situations = append(situations, Situation(slices.Index(kinds, a.Kind)*100+slices.Index(kinds, b.Kind)))
			}
		}
	}
	return situations
}

// The scripts of the guided search depend only on its seed and the reports, and are always valid.
func TestGuidedIsDeterministicAndValid(t *testing.T) {
	a, b := NewCoverageGuided(5, draw), NewCoverageGuided(5, draw)
	for range 500 {
		x, y := a.Next(), b.Next()
		require.Equal(t, x, y)
		require.NoError(t, x.Validate())
		require.Equal(t, a.Report(x, reachedSituations(x)), b.Report(y, reachedSituations(y)))
	}
	require.Equal(t, a.SituationCount(), b.SituationCount())
	require.LessOrEqual(t, a.CorpusSize(), maxCorpus)
}

// With the same number of scripts, the guided search reaches more situations than random scripts from each of five
// seeds, and over 10% more in total.
func TestGuidedReachesMoreThanRandom(t *testing.T) {
	const runs = 1500
	guided, random := 0, 0
	for first := uint64(1); first < 50_000; first += 10_000 {
		search, randomReached := NewCoverageGuided(first, draw), map[Situation]bool{}
		for i := range uint64(runs) {
			script := search.Next()
			search.Report(script, reachedSituations(script))
			for _, situation := range reachedSituations(draw(first + i)) {
				randomReached[situation] = true
			}
		}
		require.Greater(t, search.SituationCount(), len(randomReached))
		guided, random = guided+search.SituationCount(), random+len(randomReached)
	}
	t.Logf("situations reached: guided %d, random %d", guided, random)
	require.Greater(t, guided*10, random*11)
}

// A script that reaches a rare situation has a higher rarity than one that reaches only common ones. Its rarity falls
// with the number of its mutations.
func TestRarityPrefersRareSituations(t *testing.T) {
	search := NewCoverageGuided(1, draw)
	for i := range uint64(50) {
		search.Report(draw(i), []Situation{1, Situation(100 + i)})
	}
	rare, common := corpusEntry{firstReached: []Situation{149}}, corpusEntry{firstReached: []Situation{1}}
	require.Greater(t, search.rarity(&rare), 5*search.rarity(&common))
	mutatedOften := rare
	mutatedOften.mutations = 40
	require.Less(t, search.rarity(&mutatedOften), search.rarity(&rare)/5)
}

// shrink minimizes a script for which fails returns true, and returns the number of scripts tried as well.
func shrink(t *testing.T, script faults.Script, maxPlays int, fails func(faults.Script) bool) (faults.Script, int) {
	require.True(t, fails(script))
	shrinker := NewShrinker(script, maxPlays)
	plays := 0
	for {
		candidate, ok := shrinker.Next()
		if !ok {
			return shrinker.Best(), plays
		}
		plays++
		require.NoError(t, candidate.Validate())
		shrinker.Report(fails(candidate))
	}
}

// Of a large script, the shrinker keeps only the two faults that make it fail, on the fewest nodes possible.
func TestShrinkerKeepsOnlyNecessaryFaults(t *testing.T) {
	script := draw(3)
	for range 30 {
		script.Faults = append(script.Faults, draw(uint64(len(script.Faults))).Faults...)
	}
	script.Faults = append(script.Faults, faults.Fault{Kind: faults.ReloadConfig, Node: "s2", At: 3123456},
		faults.Fault{Kind: faults.CutConnection, Node: "w2", Peer: "s2", At: 3223456, Amount: 77.5})
	script.SortFaults()
	// A script fails if the connection of a worker pool is cut within 200 ms after a reload of its server.
	fails := func(script faults.Script) bool {
		for _, a := range script.Faults {
			for _, b := range script.Faults {
				if a.Kind != faults.ReloadConfig || b.Kind != faults.CutConnection {
					continue
				}
				sameServer := b.Node[1:] == a.Node[1:] && b.Node[0] == 'w'
				if sameServer && b.At >= a.At && b.At < a.At+200*microtime.Millisecond {
					return true
				}
			}
		}
		return false
	}
	smallest, plays := shrink(t, script, 5000, fails)
	require.Len(t, smallest.Faults, 2, smallest.String())
	require.Equal(t, []int{1, 0, 0}, []int{smallest.Servers, smallest.Proxies, smallest.WebFrontends},
		smallest.String())
	require.Equal(t, float64(1), smallest.Rate)
	require.Less(t, plays, 600)
}

// The shrinker tries no more scripts than allowed, and the script that it has found by then fails.
func TestShrinkerRespectsPlayLimit(t *testing.T) {
	fails := func(script faults.Script) bool { return len(script.Faults) >= 2 }
	smallest, plays := shrink(t, draw(9), 7, fails)
	require.LessOrEqual(t, plays, 7)
	require.True(t, fails(smallest))
}

// Removing a node also removes the faults that name it, and renumbers the nodes after it.
func TestRemoveNodeRenumbers(t *testing.T) {
	script := faults.Script{Servers: 3, Proxies: 1, Length: microtime.Second, Faults: []faults.Fault{
		{Kind: faults.ReloadConfig, Node: "s0"},
		{Kind: faults.SlowPool, Node: "w1", Amount: 2},
		{Kind: faults.CutConnection, Node: "p0", Peer: "s2"},
	}}
	require.True(t, removeNode(&script, 's', 1))
	require.NoError(t, script.Validate())
	require.Equal(t, []faults.Fault{
		{Kind: faults.ReloadConfig, Node: "s0"},
		{Kind: faults.CutConnection, Node: "p0", Peer: "s1"},
	}, script.Faults)
}
