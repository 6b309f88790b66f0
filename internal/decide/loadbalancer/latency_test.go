package loadbalancer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLatencyQuantiles(t *testing.T) {
	var stats latencyStats
	for i := range 1000 {
		stats.add(float64(i*37%100+1) * 1000) // 1 to 100 ms, evenly
	}
	require.InEpsilon(t, 50e3, float64(stats.quantile(0.5)), 0.35)
	require.InEpsilon(t, 95e3, float64(stats.quantile(0.95)), 0.35)
	for range 400 { // the earlier observations decay
		stats.add(400e3)
	}
	require.InEpsilon(t, 400e3, float64(stats.quantile(0.1)), 0.2)
}
