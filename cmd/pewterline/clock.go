//go:build !faults

package main

import "pewterline/internal/microtime"

// wallClock returns the wall clock of the program.
func wallClock(clock microtime.Clock) microtime.Clock { return clock }
