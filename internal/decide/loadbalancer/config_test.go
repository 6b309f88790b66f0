package loadbalancer

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConfigValidate(t *testing.T) {
	for setting, config := range map[string]Config{
		"classes":       {},
		"suspect_after": {Classes: 1, SuspectAfterFailures: 9},
		"probe_first":   {Classes: 1, InitialProbeBackoff: -1},
		"warm_from":     {Classes: 1, SlowStartShare: 2},
		"eject_most":    {Classes: 1, MaxEjectedShare: 1},
		"limit_first":   {Classes: 1, InitialConcurrency: 999},
		"hearsay_keep":  {Classes: 1, GossipHopFactor: 1},
	} {
		t.Run(setting, func(t *testing.T) {
			err := config.Validate()
			require.ErrorContains(t, err, setting)
			var configError *ConfigError
			require.ErrorAs(t, err, &configError)
			_, err = New(config, 1)
			require.ErrorAs(t, err, &configError)
		})
	}
	require.NoError(t, Config{Classes: 1}.Validate())
	require.Error(t, Config{Classes: 1, SlowStartShare: math.NaN()}.Validate())
}

func TestRetryConfigValidate(t *testing.T) {
	for setting, config := range map[string]RetryConfig{
		"earn":    {TokensPerSuccess: 2},
		"most":    {MaxTokens: -1},
		"callers": {MaxCallers: -1},
		"tries":   {MaxAttempts: 99},
	} {
		t.Run(setting, func(t *testing.T) {
			err := config.Validate()
			require.ErrorContains(t, err, setting)
			var configError *ConfigError
			require.ErrorAs(t, err, &configError)
		})
	}
	require.NoError(t, RetryConfig{}.Validate())
}
