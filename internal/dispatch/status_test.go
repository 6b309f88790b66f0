package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Health checks report a fault only after unhealthyGrace, but a drain at once.
func TestHealthDuringGraceAndDrain(t *testing.T) {
	env := newHarness(t)
	env.core.Start(env.now, 0, false)
	env.core.Step(env.now)
	env.core.health.set(env.now, false)
	require.True(t, env.core.Healthy())
	env.core.Step(env.now + unhealthyGrace)
	require.False(t, env.core.Healthy())
	env.core.health.set(env.now, true)
	require.True(t, env.core.Healthy())
	env.core.health.set(env.now+unhealthyGrace, false)
	require.True(t, env.core.Healthy())
	env.core.Drain(env.now+unhealthyGrace, env.now+unhealthyGrace, env.now+microtime.Second)
	require.False(t, env.core.Healthy())
}
