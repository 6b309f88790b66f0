// Package simnet simulates a clock and a network in one goroutine, as a deterministic discrete-event simulation: all
// events and their times depend on the seed only. Nodes are connected by streams, with latency, limited bandwidth,
// stalls, cuts and resets, and by datagrams, which may be lost, delayed or duplicated. A Host runs the program's own
// event loop on a node; test doubles of other processes use the streams directly.
//
// Nothing sleeps: the clock jumps to the time of the next event. Events of the same time run in the order in which they
// were scheduled.
package simnet

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
)

// Start is the time at which every simulation begins. It is above zero so that earlier times can be represented too.
const Start = 3600 * microtime.Second

// unixStart is the wall clock time at Start, in Unix milliseconds.
const unixStart = 1_764_576_000_000

// Clock is the virtual clock of a simulation. It also holds the pending events, the random number generator and the
// digest of the events so far.
type Clock struct {
	now          microtime.Time
	timers       []*Timer // a 4-ary heap ordered by before
	lastSequence uint64
	events       uint64 // events that have run
	rng          *rand.Rand
	digest       *xxhash.Digest
	// After, if set, is called after every event.
	After func()
}

// Timer is a scheduled event.
type Timer struct {
	at       microtime.Time
	sequence uint64
	run      func()
	stopped  bool
}

// Stop cancels the event if it has not run yet.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped, t.run = true, nil
	}
}

// NewClock returns a clock at Start without pending events.
func NewClock(seed uint64) *Clock {
	return &Clock{now: Start, rng: rand.New(rand.NewPCG(seed, 0x76697274)), digest: xxhash.New()}
}

// Now returns the simulated time.
func (c *Clock) Now() microtime.Time { return c.now }

// Since returns the simulated time since Start.
func (c *Clock) Since() microtime.Time { return c.now - Start }

// Events returns the number of events that have run.
func (c *Clock) Events() uint64 { return c.events }

// Rand returns the simulation's shared random number generator. Components with one of their own, from Fork, draw from
// it without changing the draws of other components.
func (c *Clock) Rand() *rand.Rand { return c.rng }

// Fork returns a new random number generator for the component of that name.
func (c *Clock) Fork(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// At schedules f for a time, or for the current time if that has passed.
func (c *Clock) At(at microtime.Time, f func()) *Timer {
	c.lastSequence++
	timer := &Timer{at: max(at, c.now), sequence: c.lastSequence, run: f}
	c.push(timer)
	return timer
}

// In schedules f after a delay.
func (c *Clock) In(delay microtime.Time, f func()) *Timer { return c.At(c.now+max(delay, 0), f) }

// Step runs the next event. If none is due by the time until, it advances the clock to that time and returns false.
func (c *Clock) Step(until microtime.Time) bool {
	for len(c.timers) > 0 && c.timers[0].at <= until {
		timer := c.pop()
		if timer.stopped {
			continue
		}
		c.now = timer.at
		c.events++
		run := timer.run
		timer.stopped, timer.run = true, nil
		run()
		if c.After != nil {
			c.After()
		}
		return true
	}
	c.now = max(c.now, until)
	return false
}

// Run runs all events up to a time.
func (c *Clock) Run(until microtime.Time) {
	for c.Step(until) {
	}
}

// Record adds a label and a payload, with the current time, to the digest.
func (c *Clock) Record(label string, payload []byte) {
	var header [16]byte
	binary.LittleEndian.PutUint64(header[:], uint64(c.now))
	binary.LittleEndian.PutUint64(header[8:], uint64(len(payload)))
	_, _ = c.digest.Write(header[:])
	_, _ = c.digest.WriteString(label)
	_, _ = c.digest.Write(payload)
}

// Digest returns the hash of all bytes and times recorded so far.
func (c *Clock) Digest() uint64 { return c.digest.Sum64() }

func before(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

func (c *Clock) push(t *Timer) {
	c.timers = append(c.timers, t)
	for i := len(c.timers) - 1; i > 0; {
		parent := (i - 1) / 4
		if !before(c.timers[i], c.timers[parent]) {
			break
		}
		c.timers[i], c.timers[parent] = c.timers[parent], c.timers[i]
		i = parent
	}
}

func (c *Clock) pop() *Timer {
	first, last := c.timers[0], len(c.timers)-1
	c.timers[0] = c.timers[last]
	c.timers[last] = nil
	c.timers = c.timers[:last]
	for i := 0; ; {
		least := i
		for child := 4*i + 1; child <= 4*i+4 && child < last; child++ {
			if before(c.timers[child], c.timers[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		c.timers[i], c.timers[least] = c.timers[least], c.timers[i]
		i = least
	}
}

// WallClock is a node's wall clock, which may be ahead of or behind the simulated time.
type WallClock struct {
	Offset microtime.Time // how far the clock is ahead; negative: behind
}

// FromUnixMilli converts a wall clock time to simulated time.
func (c *WallClock) FromUnixMilli(ms int64) microtime.Time {
	return Start + microtime.Time(ms-unixStart)*microtime.Millisecond - c.Offset
}

// UnixMilli converts a simulated time to wall clock time, rounded to the nearest millisecond.
func (c *WallClock) UnixMilli(t microtime.Time) int64 {
	since := t - Start + c.Offset + microtime.Millisecond/2
	if since < 0 { // integer division truncates towards zero, so negative times need a correction to round down
		since -= microtime.Millisecond - 1
	}
	return unixStart + int64(since/microtime.Millisecond)
}
