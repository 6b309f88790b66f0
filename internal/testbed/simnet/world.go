// Package simnet is a clock and a network in one process and one goroutine, from one seed: what happens, and when,
// depends on the seed and on nothing else. Nodes have streams with latency, bandwidth, stalls, cuts and resets, and
// datagrams that are lost, late or doubled. A Host runs the program's own event loop on a node; stand-ins use the
// streams directly.
//
// Nothing sleeps: the clock jumps to the next event. Events of one instant run in the order they were asked for.
package simnet

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"pewterline/internal/microtime"
)

// Start is the first instant of every world: an hour in, so that what came before has an instant as well.
const Start = 3600 * microtime.Second

// unixStart is the wall clock at Start, in Unix milliseconds.
const unixStart = 1_764_576_000_000

// World is the clock, the events to come and the digest of what has happened.
type World struct {
	now          microtime.Time
	timers       []*Timer
	lastSequence uint64
	events       uint64
	rng          *rand.Rand
	digest       *xxhash.Digest
	// Step's observer, called after every event.
	After func()
}

// Timer is an event to come.
type Timer struct {
	at       microtime.Time
	sequence uint64
	run      func()
	stopped  bool
}

// Stop has the event not happen, if it has not yet.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped, t.run = true, nil
	}
}

// NewWorld returns a world at Start.
func NewWorld(seed uint64) *World {
	return &World{now: Start, rng: rand.New(rand.NewPCG(seed, 0x76697274)), digest: xxhash.New()}
}

// Now is the virtual time.
func (w *World) Now() microtime.Time { return w.now }

// Since is the time since Start.
func (w *World) Since() microtime.Time { return w.now - Start }

// Events counts what has happened so far.
func (w *World) Events() uint64 { return w.events }

// Rand draws from the world's own random numbers; Fork gives a part of the world numbers of its own, so that what
// one part draws does not move another's.
func (w *World) Rand() *rand.Rand { return w.rng }

// Fork returns random numbers for the part of that name.
func (w *World) Fork(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// At has f happen at a time, at once if that is past.
func (w *World) At(at microtime.Time, f func()) *Timer {
	w.lastSequence++
	t := &Timer{at: max(at, w.now), sequence: w.lastSequence, run: f}
	w.push(t)
	return t
}

// In has f happen after a while.
func (w *World) In(d microtime.Time, f func()) *Timer { return w.At(w.now+max(d, 0), f) }

// Step lets the next event happen; false if there is none up to the time until, to which the clock then moves.
func (w *World) Step(until microtime.Time) bool {
	for len(w.timers) > 0 && w.timers[0].at <= until {
		t := w.pop()
		if t.stopped {
			continue
		}
		w.now = t.at
		w.events++
		f := t.run
		t.stopped, t.run = true, nil
		f()
		if w.After != nil {
			w.After()
		}
		return true
	}
	w.now = max(w.now, until)
	return false
}

// Run lets all happen up to a time.
func (w *World) Run(until microtime.Time) {
	for w.Step(until) {
	}
}

// Record puts a fact, with the time, into the digest.
func (w *World) Record(what string, p []byte) {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:], uint64(w.now))
	binary.LittleEndian.PutUint64(head[8:], uint64(len(p)))
	_, _ = w.digest.Write(head[:])
	_, _ = w.digest.WriteString(what)
	_, _ = w.digest.Write(p)
}

// Digest is the sum over every byte and time so far.
func (w *World) Digest() uint64 { return w.digest.Sum64() }

func before(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

func (w *World) push(t *Timer) {
	w.timers = append(w.timers, t)
	for i := len(w.timers) - 1; i > 0; {
		up := (i - 1) / 4
		if !before(w.timers[i], w.timers[up]) {
			break
		}
		w.timers[i], w.timers[up] = w.timers[up], w.timers[i]
		i = up
	}
}

func (w *World) pop() *Timer {
	top, end := w.timers[0], len(w.timers)-1
	w.timers[0] = w.timers[end]
	w.timers[end] = nil
	w.timers = w.timers[:end]
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= 4*i+4 && c < end; c++ {
			if before(w.timers[c], w.timers[least]) {
				least = c
			}
		}
		if least == i {
			return top
		}
		w.timers[i], w.timers[least] = w.timers[least], w.timers[i]
		i = least
	}
}

// WallClock is a node's wall clock, which may be off.
type WallClock struct {
	Offset microtime.Time // ahead of the true time
}

// FromUnixMilli is the instant of a wall clock time.
func (c *WallClock) FromUnixMilli(ms int64) microtime.Time {
	return Start + microtime.Time(ms-unixStart)*microtime.Millisecond - c.Offset
}

// UnixMilli is the wall clock time of an instant, to the nearest millisecond.
func (c *WallClock) UnixMilli(t microtime.Time) int64 {
	since := t - Start + c.Offset + microtime.Millisecond/2
	if since < 0 { // round down there too
		since -= microtime.Millisecond - 1
	}
	return unixStart + int64(since/microtime.Millisecond)
}
