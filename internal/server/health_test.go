package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// If the endpoint list shows only whether a server runs or drains, a server whose runs fail is reported as ready until
// it drains. If the list follows health, it is reported as not ready. Health checks fail in both cases.
func TestEndpointListIgnoresHealth(t *testing.T) {
	for _, tc := range []struct {
		name    string
		ignores bool
		report  string
	}{
		{"list follows health", false, " NotReady"},
		{"list ignores health", true, " Ready"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fixture := newPoolFixture(t)
			fixture.srv.cfg.Settings.EndpointListIgnoresHealth = tc.ignores
			for n := range 8 {
				id := fmt.Sprintf("%016x", n+1)
				require.Contains(t, fixture.submit(id, "block-view", ""), "spawn "+id)
				fixture.poolSends(fmt.Sprintf("finished %d %s FAIL 10 0\r\n\r\n", n+1, id))
			}
			fixture.advance(fixture.now + microtime.Second)
			require.False(t, fixture.srv.healthy())
			require.True(t, strings.HasSuffix(fixture.lastReport, tc.report), fixture.lastReport)
			fixture.srv.Drain(fixture.now)
			fixture.advance(fixture.now + microtime.Second)
			require.True(t, strings.HasSuffix(fixture.lastReport, " NotReady"), fixture.lastReport)
		})
	}
}

// A report is due at regular intervals, at once when health changes, and at once when the control plane's address
// changes.
func TestHealthReportIsDue(t *testing.T) {
	reporter := newHealthReporter()
	const now = microtime.Second
	require.True(t, reporter.due(now, true), "the first report")
	reporter.sent(now, true)
	require.False(t, reporter.due(now+healthReportInterval-1, true))
	require.True(t, reporter.due(now+healthReportInterval, true))
	require.True(t, reporter.due(now+1, false), "health has changed")
	reporter.sent(now+1, false)
	require.False(t, reporter.due(now+2, false))
	reporter.reportNow()
	require.True(t, reporter.due(now+2, false))
}
