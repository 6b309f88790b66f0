package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
	"pewterline/internal/testbed/simnet"
)

// plantEarlyStop ends each draining server once its grace is over, whatever is unanswered. The server itself would wait:
// its event loop is stopped behind its back.
func plantEarlyStop(l *simulation) {
	const farewellTime = 10 * microtime.Millisecond // The server has told its clients to close by then.
	const closeTime = 500 * microtime.Millisecond   // They get this long, as from the server.
	planted := map[*simnet.Host]bool{}
	check := l.clock.After
	l.clock.After = func() {
		check()
		for _, s := range l.servers {
			host := s.host
			if !s.draining || host.Ended || planted[host] {
				continue
			}
			planted[host] = true
			l.clock.In(microtime.FromDuration(s.config.Settings.DrainGrace)+farewellTime, func() {
				// An error says that the server has ended by itself.
				_ = host.Loop().Execute(func() { host.Loop().Shutdown(l.clock.Now() + closeTime) })
			})
		}
	}
}

// A server that ends its drain with requests unanswered is seen on the kept script, and the server as it is keeps all
// rules there.
func TestEarlyStopIsSeen(t *testing.T) {
	script := read(t, "testdata/planted/leave-open.txt")
	out, err := Play(script, Options{})
	require.NoError(t, err)
	clean(t, script, out)
	out, err = Play(script, Options{StopAtFirst: true, beforeRun: plantEarlyStop})
	require.NoError(t, err)
	require.NotEmpty(t, out.Violations)
	require.Equal(t, "lost/closed by the server", out.Violations[0].Key(), out.Violations[0].String())
}

// The search finds a server that ends its drain with requests unanswered.
func TestSearchFindsEarlyStop(t *testing.T) {
	search := Search{FirstSeed: 1, LastSeed: 300, Profile: "worst", Servers: 2, Proxies: 3,
		Length: 8 * microtime.Second, Jobs: 2, MaxFindings: 1, beforeRun: plantEarlyStop}
	progress, err := search.Run()
	require.NoError(t, err)
	require.NotEmpty(t, progress.Findings)
	finding := progress.Findings[0]
	t.Logf("script %d, after %v: %s", finding.Run, finding.After, finding.Violation)
	require.Equal(t, "lost/closed by the server", finding.Violation.Key())
}
