package sim

import (
	"runtime"
	"testing"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/faults"
)

// BenchmarkWorst plays 12 servers, 4 proxies and 280 requests per second for ten simulated seconds.
func BenchmarkWorst(b *testing.B) { benchmark(b, faults.Setup{Servers: 12, Proxies: 4, Rate: 280}) }

// BenchmarkLarge plays 200 servers, 24 proxies and 4,000 requests per second for ten simulated seconds.
func BenchmarkLarge(b *testing.B) { benchmark(b, faults.Setup{Servers: 200, Proxies: 24, Rate: 4000}) }

func benchmark(b *testing.B, setup faults.Setup) {
	setup.Length = 10 * microtime.Second
	var simulated microtime.Time
	requests := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range b.N {
		outcome := mustPlay(b, drawScript(b, setup, uint64(i+1), "worst"), Options{})
		simulated += outcome.Simulated
		requests += outcome.Requests
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(simulated.Duration().Seconds()/b.Elapsed().Seconds(), "simulated-s/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(requests), "allocs/request")
}
