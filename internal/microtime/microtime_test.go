package microtime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTime(t *testing.T) {
	require.Equal(t, 1500*time.Microsecond, Time(1500).Duration())
	require.Equal(t, Time(1), FromDuration(1999*time.Nanosecond))
}

// Guards the conversion between the wall clock and the monotonic clock: a round trip gives the same time, even for
// times before the start of the process.
func TestWallClock(t *testing.T) {
	c := NewClock()
	for _, ms := range []int64{1_000_000, time.Now().UnixMilli(), time.Now().UnixMilli() - 3_600_000} {
		require.Equal(t, ms, c.UnixMilli(c.FromUnixMilli(ms)))
	}
	require.Greater(t, c.FromUnixMilli(2000), c.FromUnixMilli(1000))
}
