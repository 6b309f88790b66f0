package loadbalancer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// An instance that starts exchanges with three peers at the same time and is ready at the first answer.
func TestInitialExchanges(t *testing.T) {
	scheduler := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b", "c", "d", "e"}, 1)
	require.False(t, scheduler.Ready(second))
	addresses := scheduler.NextPeers(second)
	require.Len(t, addresses, 3)
	require.Empty(t, scheduler.NextPeers(second))
	scheduler.ExchangeFailed(second, addresses[0])
	require.False(t, scheduler.Ready(second))
	scheduler.ExchangeSucceeded(second+1000, addresses[1], "e1")
	require.True(t, scheduler.Ready(second+1000))
}

// An instance is ready after StartupTimeout if no peer answers, as soon as all initial exchanges have failed, and
// immediately without seeds.
func TestStartupTimeout(t *testing.T) {
	silent := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	silent.NextPeers(second)
	require.False(t, silent.Ready(second+199*microtime.Millisecond))
	require.LessOrEqual(t, silent.NextCheck(), second+200*microtime.Millisecond)
	require.True(t, silent.Ready(second+200*microtime.Millisecond))
	failing := NewPeerScheduler(second, PeerSchedulerConfig{}, []string{"a", "b"}, 1)
	for _, address := range failing.NextPeers(second) {
		failing.ExchangeFailed(second+1000, address)
	}
	require.True(t, failing.Ready(second+1000), "all have failed")
	require.True(t, NewPeerScheduler(second, PeerSchedulerConfig{}, nil, 1).Ready(second))
}

// An instance exchanges with one peer about once a second and covers all peers evenly. A peer that does not answer gets
// fewer exchanges and is not reported as alive.
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

// The number of peers is bounded by MaxPeers, however many addresses are reported. Peers that do not answer are
// removed, except for seeds.
func TestPeersAreBounded(t *testing.T) {
	scheduler := NewPeerScheduler(0, PeerSchedulerConfig{}, []string{"a"}, 1)
	for i := range 1_000_000 {
		scheduler.AddPeer(fmt.Sprint(i), "x")
	}
	require.Len(t, scheduler.peers, 64)
	for now := microtime.Time(0); now < 20_000*second; now = max(scheduler.NextCheck(), now+1) {
		for _, address := range scheduler.NextPeers(now) {
			scheduler.ExchangeFailed(now, address)
		}
	}
	require.Len(t, scheduler.Peers(0), 1, "only the seed is kept")
}
