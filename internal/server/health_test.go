package server

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// Where the list of servers tells only whether one runs or drains, a server whose runs fail stays on it, until it drains; where
// the list follows health, it goes off. Health checks tell of it either way.
func TestEndpointListIgnoresHealth(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		l := newPoolFixture(t)
		l.srv.cfg.Settings.EndpointListIgnoresHealth = ignores
		for n := range 8 {
			id := fmt.Sprintf("%016x", n+1)
			require.Contains(t, l.submit(id, "block-view", ""), "spawn "+id)
			l.poolSends(fmt.Sprintf("finished %d %s FAIL 10 0\r\n\r\n", n+1, id))
		}
		l.advance(l.now + microtime.Second)
		require.False(t, l.srv.healthy())
		require.True(t, strings.HasSuffix(l.lastReport, map[bool]string{false: " NotReady", true: " Ready"}[ignores]), l.lastReport)
		l.srv.Drain(l.now)
		l.advance(l.now + microtime.Second)
		require.True(t, strings.HasSuffix(l.lastReport, " NotReady"), l.lastReport)
	}
}
