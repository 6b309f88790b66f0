//go:build faults

package main

import (
	"os"
	"strconv"
	"strings"

	"pewterline/internal/microtime"
)

// wallClock returns a wall clock that is ahead by the number of milliseconds in the file named by $WALL_FAULT, for
// tests with real processes.
func wallClock(clock microtime.Clock) offsetClock { return offsetClock{clock} }

type offsetClock struct{ microtime.Clock }

// offset returns by how many milliseconds the clock is ahead; 0 if the file cannot be read.
func offset() int64 {
	text, err := os.ReadFile(os.Getenv("WALL_FAULT"))
	if err != nil {
		return 0
	}
	milliseconds, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	if err != nil {
		return 0
	}
	return milliseconds
}

// FromUnixMilli is part of server.WallClock.
func (c offsetClock) FromUnixMilli(ms int64) microtime.Time {
	return c.Clock.FromUnixMilli(ms - offset())
}

// UnixMilli is part of server.WallClock.
func (c offsetClock) UnixMilli(t microtime.Time) int64 { return c.Clock.UnixMilli(t) + offset() }
