package faultsearch

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

func draw(seed uint64) faults.Script {
	s, err := faults.World{Servers: 3, Proxies: 4, Length: 12 * microtime.Second}.Draw(seed, "worst")
	if err != nil {
		panic(err)
	}
	return s
}

// reach is a made-up program: what a script reaches are the pairs of kinds that meet within 100 ms at one node.
func reach(s faults.Script) (out []Situation) {
	kinds := faults.Kinds()
	for _, a := range s.Faults {
		for _, b := range s.Faults {
			if a.Node == b.Node && a.At <= b.At && b.At < a.At+100*microtime.Millisecond {
				out = append(out, Situation(slices.Index(kinds, a.Kind)*100+slices.Index(kinds, b.Kind)))
			}
		}
	}
	return out
}

// The search is its seed's and its reports' alone, and its scripts always pass.
func TestGuidedIsDeterministicAndSound(t *testing.T) {
	a, b := NewCoverageGuided(5, draw), NewCoverageGuided(5, draw)
	for range 500 {
		x, y := a.Next(), b.Next()
		require.Equal(t, x, y)
		require.NoError(t, x.Validate())
		require.Equal(t, a.Report(x, reach(x)), b.Report(y, reach(y)))
	}
	require.Equal(t, a.SituationCount(), b.SituationCount())
	require.LessOrEqual(t, a.CorpusSize(), maxCorpus)
}

// With the same number of scripts, the guided search reaches more than drawing alone, from each of five seeds.
func TestGuidedReachesMore(t *testing.T) {
	const runs = 1500
	guided, random := 0, 0
	for first := uint64(1); first < 50_000; first += 10_000 {
		g, drawn := NewCoverageGuided(first, draw), map[Situation]bool{}
		for i := range uint64(runs) {
			s := g.Next()
			g.Report(s, reach(s))
			for _, x := range reach(draw(first + i)) {
				drawn[x] = true
			}
		}
		require.Greater(t, g.SituationCount(), len(drawn))
		guided, random = guided+g.SituationCount(), random+len(drawn)
	}
	t.Logf("guided reaches %d, drawing %d", guided, random)
	require.Greater(t, guided*10, random*11)
}

// What is rare is changed more often than what every script reaches.
func TestRareScriptsAreWorthMore(t *testing.T) {
	g := NewCoverageGuided(1, draw)
	for i := range uint64(50) {
		g.Report(draw(i), []Situation{1, Situation(100 + i)})
	}
	rare, common := corpusEntry{firstReached: []Situation{149}}, corpusEntry{firstReached: []Situation{1}}
	require.Greater(t, g.rarity(&rare), 5*g.rarity(&common))
	tired := rare
	tired.mutations = 40
	require.Less(t, g.rarity(&tired), g.rarity(&rare)/5)
}

// shrink plays the shrinker against a test of what fails.
func shrink(t *testing.T, s faults.Script, plays int, fails func(faults.Script) bool) (faults.Script, int) {
	require.True(t, fails(s))
	k := NewShrinker(s, plays)
	n := 0
	for {
		next, ok := k.Next()
		if !ok {
			return k.Best(), n
		}
		n++
		require.NoError(t, next.Validate())
		k.Report(fails(next))
	}
}

// Nothing can be left out of the outcome: the faults that matter are there, alone, on the fewest nodes.
func TestShrinkerLeavesOnlyWhatMatters(t *testing.T) {
	script := draw(3)
	for range 30 {
		script.Faults = append(script.Faults, draw(uint64(len(script.Faults))).Faults...)
	}
	script.Faults = append(script.Faults, faults.Fault{Kind: faults.ReloadConfig, Node: "s2", At: 3123456},
		faults.Fault{Kind: faults.CutConnection, Node: "w2", Peer: "s2", At: 3223456, Amount: 77.5})
	script.SortFaults()
	fails := func(s faults.Script) bool { // a cut of a pool's link within 200 ms of its server's reload
		for _, a := range s.Faults {
			for _, b := range s.Faults {
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
	least, plays := shrink(t, script, 5000, fails)
	require.Len(t, least.Faults, 2, least.String())
	require.Equal(t, []int{1, 0, 0}, []int{least.Servers, least.Proxies, least.WebFrontends}, least.String())
	require.Equal(t, float64(1), least.Rate)
	require.Less(t, plays, 600)
}

// The tries are bounded, and what is found by then fails.
func TestShrinkerKeepsToItsBound(t *testing.T) {
	fails := func(s faults.Script) bool { return len(s.Faults) >= 2 }
	least, plays := shrink(t, draw(9), 7, fails)
	require.LessOrEqual(t, plays, 7)
	require.True(t, fails(least))
}

// A node that goes takes the faults that name it with it, and those behind it move up.
func TestLeaveOutRenumbers(t *testing.T) {
	s := faults.Script{Servers: 3, Proxies: 1, Length: microtime.Second, Faults: []faults.Fault{
		{Kind: faults.ReloadConfig, Node: "s0"},
		{Kind: faults.SlowPool, Node: "w1", Amount: 2},
		{Kind: faults.CutConnection, Node: "p0", Peer: "s2"},
	}}
	require.True(t, leaveOut(&s, 's', 1))
	require.NoError(t, s.Validate())
	require.Equal(t, []faults.Fault{
		{Kind: faults.ReloadConfig, Node: "s0"},
		{Kind: faults.CutConnection, Node: "p0", Peer: "s1"},
	}, s.Faults)
}
