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

// World is a simulation: the clock, the pending events, the random numbers and the digest of the events so far.
type World struct {
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

// NewWorld returns a simulation whose clock is at Start.
func NewWorld(seed uint64) *World {
	return &World{now: Start, rng: rand.New(rand.NewPCG(seed, 0x76697274)), digest: xxhash.New()}
}

// Now returns the simulated time.
func (w *World) Now() microtime.Time { return w.now }

// Since returns the simulated time since Start.
func (w *World) Since() microtime.Time { return w.now - Start }

// Events returns the number of events that have run.
func (w *World) Events() uint64 { return w.events }

// Rand returns the simulation's shared random number generator. Components with one of their own, from Fork, draw from
// it without changing the draws of other components.
func (w *World) Rand() *rand.Rand { return w.rng }

// Fork returns a new random number generator for the component of that name.
func (w *World) Fork(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// At schedules f for a time, or for the current time if that has passed.
func (w *World) At(at microtime.Time, f func()) *Timer {
	w.lastSequence++
	timer := &Timer{at: max(at, w.now), sequence: w.lastSequence, run: f}
	w.push(timer)
	return timer
}

// In schedules f after a delay.
func (w *World) In(delay microtime.Time, f func()) *Timer { return w.At(w.now+max(delay, 0), f) }

// Step runs the next event. If none is due by the time until, it sets the clock to that time and returns false.
func (w *World) Step(until microtime.Time) bool {
	for len(w.timers) > 0 && w.timers[0].at <= until {
		timer := w.pop()
		if timer.stopped {
			continue
		}
		w.now = timer.at
		w.events++
		run := timer.run
		timer.stopped, timer.run = true, nil
		run()
		if w.After != nil {
			w.After()
		}
		return true
	}
	w.now = max(w.now, until)
	return false
}

// Run runs all events up to a time.
func (w *World) Run(until microtime.Time) {
	for w.Step(until) {
	}
}

// Record adds a label and a payload, with the current time, to the digest.
func (w *World) Record(label string, payload []byte) {
	var header [16]byte
	binary.LittleEndian.PutUint64(header[:], uint64(w.now))
	binary.LittleEndian.PutUint64(header[8:], uint64(len(payload)))
	_, _ = w.digest.Write(header[:])
	_, _ = w.digest.WriteString(label)
	_, _ = w.digest.Write(payload)
}

// Digest returns the hash of all bytes and times recorded so far.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

func before(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

func (w *World) push(t *Timer) {
	w.timers = append(w.timers, t)
	for i := len(w.timers) - 1; i > 0; {
		parent := (i - 1) / 4
		if !before(w.timers[i], w.timers[parent]) {
			break
		}
		w.timers[i], w.timers[parent] = w.timers[parent], w.timers[i]
		i = parent
	}
}

func (w *World) pop() *Timer {
	first, last := w.timers[0], len(w.timers)-1
	w.timers[0] = w.timers[last]
	w.timers[last] = nil
	w.timers = w.timers[:last]
	for i := 0; ; {
		least := i
		for child := 4*i + 1; child <= 4*i+4 && child < last; child++ {
			if before(w.timers[child], w.timers[least]) {
				least = child
			}
		}
		if least == i {
			return first
		}
		w.timers[i], w.timers[least] = w.timers[least], w.timers[i]
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
