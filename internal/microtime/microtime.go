// Package microtime defines the time of the program: whole microseconds on the monotonic clock. All packages use Time,
// except for the decision module (package control), which uses time.Duration.
//
// Time and its arithmetic are pure. Only Clock reads the system's clocks, and only the program's main and the transport
// use it: packages that make decisions get the time as an argument.
package microtime

import "time"

// Time is an instant or a span in whole microseconds. Instants count from the origin of the process's Clock.
type Time int64

// Spans in common use.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// Never is later than every instant.
const Never Time = 1<<63 - 1

// Duration converts t to a time.Duration.
func (t Time) Duration() time.Duration { return time.Duration(t) * time.Microsecond }

// FromDuration converts d to a Time, truncated to whole microseconds.
func FromDuration(d time.Duration) Time { return Time(d / time.Microsecond) }

// Clock reads the monotonic time since its origin and converts it from and to wall clock time.
type Clock struct {
	origin time.Time // carries a monotonic reading
}

// NewClock returns a clock that starts at one hour, so that instants before the start of the process are positive too.
func NewClock() Clock { return Clock{origin: time.Now().Add(-time.Hour)} }

// Now reads the monotonic clock.
func (c Clock) Now() Time { return FromDuration(time.Since(c.origin)) }

// FromUnixMilli returns the instant of a wall clock time in Unix milliseconds, by the current offset of the wall clock.
func (c Clock) FromUnixMilli(ms int64) Time {
	now := time.Now()
	sinceInstant := Time(now.UnixMicro()) - Time(ms)*Millisecond
	return FromDuration(now.Sub(c.origin)) - sinceInstant
}

// UnixMilli returns the wall clock time of an instant, rounded to Unix milliseconds.
func (c Clock) UnixMilli(t Time) int64 {
	now := time.Now()
	originUnix := Time(now.UnixMicro()) - FromDuration(now.Sub(c.origin))
	return int64((originUnix + t + Millisecond/2) / Millisecond)
}
