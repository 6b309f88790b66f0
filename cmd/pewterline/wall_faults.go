//go:build faults

package main

import (
	"os"
	"strconv"
	"strings"

	"pewterline/internal/microtime"
)

// wallOf is a wall clock that is off by as many milliseconds as the file says that $WALL_FAULT names, for tests with real processes.
func wallOf(c microtime.Clock) offWall { return offWall{c} }

type offWall struct{ microtime.Clock }

func off() int64 {
	text, _ := os.ReadFile(os.Getenv("WALL_FAULT")) // none: it is right
	ms, _ := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64)
	return ms
}

// FromUnixMilli is the instant of a wall clock time.
func (w offWall) FromUnixMilli(ms int64) microtime.Time { return w.Clock.FromUnixMilli(ms - off()) }

// UnixMilli is the wall clock time of an instant.
func (w offWall) UnixMilli(t microtime.Time) int64 { return w.Clock.UnixMilli(t) + off() }
