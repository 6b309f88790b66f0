// Package ledger decides what becomes of an intake on one log server of a group that holds copies: whether a try of it runs, waits
// for another server's run, gets a result that is agreed on, or is told that nobody knows. It is a state machine for each once-key
// in each process, without I/O, goroutines or a clock. What is agreed on is the register's (package copies); this is what the
// process makes of it.
package ledger

import "pewterline/internal/decide/copies"

// State is how far an intake has come here.
type State uint8

// The states.
const (
	Idle      State = iota // nothing is under way
	Asking                 // for the leave to run
	Running                // it was handed to the worker pool, or is about to be
	Copying                // its end is on its way to the holders
	Uncopied               // its end is known here alone: no majority took it in time. It is tried again
	Copied                 // a majority holds its end
	Elsewhere              // another process has the leave; it is looked at again until somebody is owed an answer
	Looking                // that look is under way
	Voiding                // a leave that came to nothing is taken back
	States
)

// Event is what happens.
type Event uint8

// The events. The first five are what a change of the register has come to.
const (
	Granted  Event = iota // the leave is here
	Found                 // a run's result is agreed on
	FoundBad              // so is it that a run has failed
	Other                 // another process has the leave, or had it when it died
	NoAnswer              // no majority answered in time, or too much is under way here
	Nothing               // looked, and nothing is agreed on, or not any more
	Lost                  // the register has moved on: this process' run is of a window that is over
	Try                   // a try is to run
	Late                  // the leave came when nobody waited any more
	Passed                // the run has ended well
	Failed                // it has ended, and not well
	Unbegun               // it was never begun: the worker pool did not take it
	Again                 // the time to look again
	Due                   // whoever waits is owed an answer now
	Events
)

// Do is what is to be done.
type Do uint8

// The actions.
const (
	Ask         Do = iota + 1 // the register, for the leave to run
	Start                     // the run
	Copy                      // the run's end to the holders
	Look                      // at the register, now
	Later                     // at the register after a while; of Uncopied: copy again
	TakeBack                  // the leave
	Serve                     // the agreed result
	SayFailed                 // the run has failed
	SayUnknown                // whether it ran is not known before its window is over
	SayUncopied               // it ran, and its result is not held by a majority: a repeat tries again to have it held
	Refuse                    // it has not run, and does not: it cannot be put on record in time
	SayUnneeded               // it was not begun
)

// Key is the state of an intake in one process.
type Key struct {
	State State
	Begun bool // a run of it was begun in this process: no leave is asked for as if none had been had before
}

// Step moves an intake on; it returns what is to be done. An event that a state cannot have changes nothing: it is of a change that
// was given up.
func (k *Key) Step(e Event) []Do {
	to := func(s State, does ...Do) []Do {
		k.State = s
		return does
	}
	switch k.State {
	case Idle:
		switch e {
		case Try:
			return to(Asking, Ask)
		case Granted: // too late: whoever asked was told that it does not run
			return to(Voiding, TakeBack)
		}
	case Asking:
		switch e {
		case Granted:
			k.Begun = true
			return to(Running, Start)
		case Late:
			return to(Voiding, TakeBack, SayUnneeded)
		case Found:
			return to(Idle, Serve)
		case FoundBad:
			return to(Idle, SayFailed)
		case Other:
			return to(Elsewhere, Later)
		case NoAnswer, Due:
			// The leave may have been agreed on all the same, or may be yet: it is taken back, so that others need not wait for a
			// run that there is none of. Where that comes to nothing too, this process' next leave takes its place.
			return to(Voiding, Refuse, TakeBack)
		}
	case Elsewhere:
		switch e {
		case Again:
			return to(Looking, Look)
		case Due:
			return to(Idle, SayUnknown)
		}
	case Looking:
		switch e {
		case Found:
			return to(Idle, Serve)
		case FoundBad:
			return to(Idle, SayFailed)
		case Other, NoAnswer:
			return to(Elsewhere, Later)
		case Nothing: // the other has taken its leave back
			return to(Asking, Ask)
		case Due:
			return to(Idle, SayUnknown)
		}
	case Running:
		switch e {
		case Passed, Failed:
			return to(Copying, Copy)
		case Unbegun:
			k.Begun = false
			return to(Voiding, TakeBack)
		}
	case Copying:
		switch e {
		case Found:
			return to(Copied, Serve)
		case FoundBad:
			return to(Copied, SayFailed)
		case NoAnswer:
			return to(Uncopied, SayUncopied, Later)
		case Lost: // its window is over, and somebody else has run it in another
			return to(Idle, SayUncopied)
		}
	case Copied:
		switch e {
		case Passed: // a repeat, whose core has not heard of it
			return to(Copied, Serve)
		case Try:
			return to(Asking, Ask)
		}
	case Uncopied:
		switch e {
		case Again, Passed:
			return to(Copying, Copy)
		}
	case Voiding:
		switch e {
		case Nothing, NoAnswer, Lost:
			return to(Idle)
		case Try: // behind the leave that is being taken back
			return to(Asking, Ask)
		}
	}
	return nil
}

// Of is the event of what a change has come to; known is false where nobody can say.
func Of(v copies.Verdict, known bool) Event {
	if !known {
		return NoAnswer
	}
	switch v {
	case copies.Run:
		return Granted
	case copies.Serve:
		return Found
	case copies.Fail:
		return FoundBad
	case copies.Free:
		return Nothing
	case copies.Stale:
		return Lost
	}
	return Other
}
