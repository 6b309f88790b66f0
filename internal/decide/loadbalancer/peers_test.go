package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// A fresh instance asks three at once and serves from the first answer.
func TestFreshInstanceAsksThree(t *testing.T) {
	p := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b", "c", "d", "e"}, 1)
	require.False(t, p.Ready(second))
	asked := p.NextPeers(second)
	require.Len(t, asked, 3)
	require.Empty(t, p.NextPeers(second))
	p.ExchangeFailed(second, asked[0])
	require.False(t, p.Ready(second))
	p.ExchangeSucceeded(second+1000, asked[1], "e1")
	require.True(t, p.Ready(second+1000))
}

// It never waits long: not where nobody answers, nor where all refuse, nor where there is nobody to ask.
func TestFreshInstanceWaitsBounded(t *testing.T) {
	p := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	p.NextPeers(second)
	require.False(t, p.Ready(second+199*microtime.Millisecond))
	require.LessOrEqual(t, p.NextCheck(), second+200*microtime.Millisecond)
	require.True(t, p.Ready(second+200*microtime.Millisecond))
	q := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	for _, a := range q.NextPeers(second) {
		q.ExchangeFailed(second+1000, a)
	}
	require.True(t, q.Ready(second+1000), "all have refused")
	require.True(t, NewPeerScheduler(second, PeerSchedulerConfig{}, nil, 1).Ready(second))
}

// Then it exchanges with one other about once a second, with all in the end, and less and less with one that is gone.
func TestExchangesGoRound(t *testing.T) {
	p, n := NewPeerScheduler(0, PeerSchedulerConfig{}, []string{"a", "b", "c", "d"}, 1), map[string]int{}
	for now := microtime.Time(0); now < 400*second; now = max(p.NextCheck(), now+1) {
		for _, a := range p.NextPeers(now) {
			n[a]++
			if a == "d" {
				p.ExchangeFailed(now, a)
			} else {
				p.ExchangeSucceeded(now, a, a)
			}
		}
	}
	for _, a := range []string{"a", "b", "c"} {
		require.InDelta(t, 130, n[a], 40)
	}
	require.Less(t, n["d"], 30)
	require.Positive(t, n["d"])
	for _, v := range p.Peers(400 * second) {
		require.Equal(t, v.Address != "d", v.Alive)
	}
}

// A million instances that somebody tells of cost no more than the bound; one that never answers is forgotten.
func TestPeersAreBounded(t *testing.T) {
	p := NewPeerScheduler(0, PeerSchedulerConfig{}, []string{"a"}, 1)
	for i := range 1_000_000 {
		p.AddPeer(fmt.Sprint(i), "x")
	}
	require.Len(t, p.list, 64)
	for now := microtime.Time(0); now < 20_000*second; now = max(p.NextCheck(), now+1) {
		for _, a := range p.NextPeers(now) {
			p.ExchangeFailed(now, a)
		}
	}
	require.Len(t, p.Peers(0), 1, "the seed stays")
}
