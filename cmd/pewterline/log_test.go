package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards the core against abuse that would have a line written for each message: a kind of line is capped, the
// next one tells how many were left out, and other kinds are not held back.
func TestLinesAreCapped(t *testing.T) {
	now := time.Unix(100, 0)
	var lines []string
	c := newCapped()
	c.now = func() time.Time { return now }
	c.write = func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for i := range 1000 {
		c.Logf("bad %d", i)
	}
	require.Len(t, lines, linesAtOnce)
	c.Logf("pool: link lost")
	require.Equal(t, "pool: link lost", lines[linesAtOnce])
	now = now.Add(time.Second)
	c.Logf("bad %d", 1000)
	require.Equal(t, "bad 1000 (980 more like it were left out)", lines[linesAtOnce+1])
	c.Logf("bad %d", 1001)
	require.Equal(t, "bad 1001", lines[linesAtOnce+2])
}
