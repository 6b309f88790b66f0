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

// Guards the one conversion between the two clocks: there and back again, also for what lies before the process.
func TestWallClock(t *testing.T) {
	c := NewClock()
	for _, ms := range []int64{1_000_000, time.Now().UnixMilli(), time.Now().UnixMilli() - 3_600_000} {
		require.Equal(t, ms, c.UnixMilli(c.FromUnixMilli(ms)))
	}
	require.Greater(t, c.FromUnixMilli(2000), c.FromUnixMilli(1000))
}
