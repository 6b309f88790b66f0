package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// An instance that starts asks three peers at once and serves from the first answer.
func TestStartAsksThreePeers(t *testing.T) {
	s := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b", "c", "d", "e"}, 1)
	require.False(t, s.Ready(second))
	asked := s.NextPeers(second)
	require.Len(t, asked, 3)
	require.Empty(t, s.NextPeers(second))
	s.ExchangeFailed(second, asked[0])
	require.False(t, s.Ready(second))
	s.ExchangeSucceeded(second+1000, asked[1], "e1")
	require.True(t, s.Ready(second+1000))
}

// It never waits long: not where nobody answers, nor where all fail, nor where there is nobody to ask.
func TestStartupTimeout(t *testing.T) {
	s := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	s.NextPeers(second)
	require.False(t, s.Ready(second+199*microtime.Millisecond))
	require.LessOrEqual(t, s.NextCheck(), second+200*microtime.Millisecond)
	require.True(t, s.Ready(second+200*microtime.Millisecond))
	failing := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	for _, address := range failing.NextPeers(second) {
		failing.ExchangeFailed(second+1000, address)
	}
	require.True(t, failing.Ready(second+1000), "all have failed")
	require.True(t, NewPeerScheduler(second, PeerSchedulerConfig{}, nil, 1).Ready(second))
}

// Then it exchanges with one peer about once a second, with all in the end, and less and less with one that is dead.
func TestExchangesCoverAllPeers(t *testing.T) {
	scheduler := NewPeerScheduler(0, PeerSchedulerConfig{}, []string{"a", "b", "c", "d"}, 1)
	exchanges := map[string]int{}
	for now := microtime.Time(0); now < 400*second; now = max(scheduler.NextCheck(), now+1) {
		for _, address := range scheduler.NextPeers(now) {
			exchanges[address]++
			if address == "d" {
				scheduler.ExchangeFailed(now, address)
			} else {
				scheduler.ExchangeSucceeded(now, address, address)
			}
		}
	}
	for _, address := range []string{"a", "b", "c"} {
		require.InDelta(t, 130, exchanges[address], 40)
	}
	require.Less(t, exchanges["d"], 30)
	require.Positive(t, exchanges["d"])
	for _, p := range scheduler.Peers(400 * second) {
		require.Equal(t, p.Address != "d", p.Alive)
	}
}

// A million instances that somebody tells of cost no more than the bound; one that never answers is forgotten.
func TestPeersAreBounded(t *testing.T) {
	s := NewPeerScheduler(0, PeerSchedulerConfig{}, []string{"a"}, 1)
	for i := range 1_000_000 {
		s.AddPeer(fmt.Sprint(i), "x")
	}
	require.Len(t, s.peers, 64)
	for now := microtime.Time(0); now < 20_000*second; now = max(s.NextCheck(), now+1) {
		for _, address := range s.NextPeers(now) {
			s.ExchangeFailed(now, address)
		}
	}
	require.Len(t, s.Peers(0), 1, "the seed stays")
}
