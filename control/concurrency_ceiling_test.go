package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The concurrency that a cold server survives grows linearly over its warm-up time.
func TestCeilingOfAColdServer(t *testing.T) {
	settings := Settings{
		Cores: 10, MaxConcurrencyPerCore: 6, ColdStart: true, WarmUpMinSpeed: 0.2, WarmUpTime: 10 * time.Second,
	}
	ceiling := concurrencyCeiling{startedAt: time.Minute}
	ceiling.configure(&settings)
	require.InDelta(t, 16, ceiling.safeConcurrency(time.Minute), 1e-9, "0.8 of 10 x (1 + 5 x 0.2)")
	require.InDelta(t, 32, ceiling.safeConcurrency(time.Minute+5*time.Second), 1e-9)
	require.InDelta(t, 48, ceiling.safeConcurrency(time.Hour), 1e-9)
	settings.ColdStart = false
	ceiling.configure(&settings)
	require.InDelta(t, 48, ceiling.safeConcurrency(time.Minute), 1e-9)
	require.InDelta(t, 48, ceiling.limit(time.Minute), 1e-9)
	require.True(t, ceiling.allows(time.Minute, 48))
	require.False(t, ceiling.allows(time.Minute, 49))
}

// If the settings state no survivable concurrency, the limit is bounded by maxLimitPerCore and any number of running
// requests is allowed.
func TestCeilingWithoutSetting(t *testing.T) {
	ceiling := concurrencyCeiling{}
	ceiling.configure(&Settings{Cores: 10})
	require.InDelta(t, 40, ceiling.limit(0), 1e-9)
	require.True(t, ceiling.allows(0, 1_000_000))
}
