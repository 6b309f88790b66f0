// Package microtime holds the time of the program: whole microseconds on the monotonic clock. All packages count in
// Time; the decision module and the standard library, which count in time.Duration, are converted at their edges.
//
// Time and its arithmetic are pure. Clock alone reads the system's clocks, and only the program's main and the
// transport use it: whatever decides is handed the time.
package microtime

import "time"

// Time is an instant, or a span, in whole microseconds. Instants count from a fixed origin of the process.
type Time int64

// Spans in common use.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// Never is later than every instant.
const Never Time = 1<<63 - 1

// Duration converts to the unit of the decision module and of the standard library.
func (t Time) Duration() time.Duration { return time.Duration(t) * time.Microsecond }

// FromDuration converts a duration, cutting what is below a microsecond.
func FromDuration(d time.Duration) Time { return Time(d / time.Microsecond) }

// Clock tells the time since its origin and converts the system's wall clock to it.
type Clock struct {
	origin time.Time // carries a monotonic reading
}

// NewClock starts a clock at an hour, so that what came up before the process has an instant as well.
func NewClock() Clock { return Clock{origin: time.Now().Add(-time.Hour)} }

// Now reads the monotonic clock.
func (c Clock) Now() Time { return FromDuration(time.Since(c.origin)) }

// FromUnixMilli is the instant of a wall clock time; the wall clock's offset is read at that moment.
func (c Clock) FromUnixMilli(ms int64) Time {
	now := time.Now()
	sinceInstant := Time(now.UnixMicro()) - Time(ms)*Millisecond
	return FromDuration(now.Sub(c.origin)) - sinceInstant
}

// UnixMilli is the wall clock time of an instant, to the nearest Unix millisecond.
func (c Clock) UnixMilli(t Time) int64 {
	now := time.Now()
	originUnix := Time(now.UnixMicro()) - FromDuration(now.Sub(c.origin))
	return int64((originUnix + t + Millisecond/2) / Millisecond)
}
