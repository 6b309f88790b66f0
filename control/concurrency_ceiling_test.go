package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A cold server survives a part of what it will, in proportion to the part of its warm-up time that has passed.
func TestCeilingOfAColdServer(t *testing.T) {
	settings := Settings{
		Cores: 10, MaxConcurrencyPerCore: 6, ColdStart: true, WarmUpMinSpeed: 0.2, WarmUpTime: 10 * time.Second,
	}
	ceiling := concurrencyCeiling{startedAt: time.Minute}
	ceiling.configure(&settings)
	require.InDelta(t, 16, ceiling.usable(time.Minute), 1e-9, "0.8 of 10 x (1 + 5 x 0.2)")
	require.InDelta(t, 32, ceiling.usable(time.Minute+5*time.Second), 1e-9)
	require.InDelta(t, 48, ceiling.usable(time.Hour), 1e-9)
	settings.ColdStart = false
	ceiling.configure(&settings)
	require.InDelta(t, 48, ceiling.usable(time.Minute), 1e-9)
	require.InDelta(t, 48, ceiling.limit(time.Minute), 1e-9)
	require.True(t, ceiling.allows(time.Minute, 48))
	require.False(t, ceiling.allows(time.Minute, 49))
}

// Where no survivable concurrency is stated the limit has a bound of its own and nothing is forbidden.
func TestCeilingIsNotStated(t *testing.T) {
	ceiling := concurrencyCeiling{}
	ceiling.configure(&Settings{Cores: 10})
	require.InDelta(t, 40, ceiling.limit(0), 1e-9)
	require.True(t, ceiling.allows(0, 1_000_000))
}
