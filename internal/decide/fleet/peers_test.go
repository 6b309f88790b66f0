package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/micro"
)

// A fresh instance asks three at once and serves from the first answer.
func TestFreshInstanceAsksThree(t *testing.T) {
	p := NewPeers(second, PeersConfig{}, []string{"a", "b", "c", "d", "e"}, 1)
	require.False(t, p.Ready(second))
	asked := p.Ask(second)
	require.Len(t, asked, 3)
	require.Empty(t, p.Ask(second))
	p.Failed(second, asked[0])
	require.False(t, p.Ready(second))
	p.Answered(second+1000, asked[1], "e1")
	require.True(t, p.Ready(second+1000))
}

// It never waits long: not where nobody answers, nor where all refuse, nor where there is nobody to ask.
func TestFreshInstanceWaitsBounded(t *testing.T) {
	p := NewPeers(second, PeersConfig{}, []string{"a", "b"}, 1)
	p.Ask(second)
	require.False(t, p.Ready(second+199*micro.Millisecond))
	require.LessOrEqual(t, p.Due(), second+200*micro.Millisecond)
	require.True(t, p.Ready(second+200*micro.Millisecond))
	q := NewPeers(second, PeersConfig{}, []string{"a", "b"}, 1)
	for _, a := range q.Ask(second) {
		q.Failed(second+1000, a)
	}
	require.True(t, q.Ready(second+1000), "all have refused")
	require.True(t, NewPeers(second, PeersConfig{}, nil, 1).Ready(second))
}

// Then it exchanges with one other about once a second, with all in the end, and less and less with one that is gone.
func TestExchangesGoRound(t *testing.T) {
	p, n := NewPeers(0, PeersConfig{}, []string{"a", "b", "c", "d"}, 1), map[string]int{}
	for now := micro.Time(0); now < 400*second; now = max(p.Due(), now+1) {
		for _, a := range p.Ask(now) {
			n[a]++
			if a == "d" {
				p.Failed(now, a)
			} else {
				p.Answered(now, a, a)
			}
		}
	}
	for _, a := range []string{"a", "b", "c"} {
		require.InDelta(t, 130, n[a], 40)
	}
	require.Less(t, n["d"], 30)
	require.Positive(t, n["d"])
	for _, v := range p.Views(400 * second) {
		require.Equal(t, v.Address != "d", v.Alive)
	}
}

// A million instances that somebody tells of cost no more than the bound; one that never answers is forgotten.
func TestPeersAreBounded(t *testing.T) {
	p := NewPeers(0, PeersConfig{}, []string{"a"}, 1)
	for i := range 1_000_000 {
		p.Heard(fmt.Sprint(i), "x")
	}
	require.Len(t, p.list, 64)
	for now := micro.Time(0); now < 20_000*second; now = max(p.Due(), now+1) {
		for _, a := range p.Ask(now) {
			p.Failed(now, a)
		}
	}
	require.Len(t, p.Views(0), 1, "the seed stays")
}
