//go:build !faults

package main

import "pewterline/internal/microtime"

// wallClock returns the wall clock that the program goes by.
func wallClock(clock microtime.Clock) microtime.Clock { return clock }
