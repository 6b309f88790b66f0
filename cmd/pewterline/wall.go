//go:build !faults

package main

import "pewterline/internal/microtime"

// wallOf is the wall clock that the program goes by.
func wallOf(c microtime.Clock) microtime.Clock { return c }
