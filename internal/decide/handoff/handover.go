// Package handoff decides who may run a once-key while two processes of one log server live side by side: an old one and
// its successor. It is a state machine for each key in each process, without I/O, goroutines or a clock.
//
// One process, the Owner, may run a key that nobody knows of; the other, the Asker, asks for each. The owner tells the asker of
// each run before it begins, and of its end. Ownership passes once, from the old process to the new one. Messages come in the
// order in which they were sent.
package handoff

// Role is what a process is to the other one.
type Role uint8

// The roles.
const (
	Alone Role = iota // there is no other process
	Owner
	Requester
)

// State is what a process knows of a key.
type State uint8

// The states of a key.
const (
	Free          State = iota // nothing
	Requested                  // tries wait here until the owner answers
	Local                      // this process holds or runs it
	Done                       // a run has ended, here or there: tries get its end
	Remote                     // the other process holds or runs it: tries wait here
	Indeterminate              // the other process did and is gone: it may have run
	StateCount
)

// Event is what happens to a key.
type Event uint8

// The events.
const (
	Attempt         Event = iota // a try is read here
	PeerGranted                  // the owner lets this process run it
	PeerStarted                  // the other process holds or runs it
	PeerFinished                 // a run of the other's has ended, well or not
	PeerReleased                 // the other process holds it no more, and it has not run there
	PeerClaimed                  // the other process asks for it
	LocalFinished                // a run here has ended
	LocalReleased                // nothing is held here any more, and it has not run
	OwnershipTaken               // this process becomes the owner
	OwnershipPassed              // the other process becomes the owner
	PeerLost                     // the other process is gone, or cannot be reached any more
	EventCount
)

// Action is what is to be done.
type Action uint8

// The actions. Park and Admit are about the try of the event, the others about the tries that wait.
const (
	Queue Action = iota
	Admit
	Release       // the waiting tries go to the module
	Serve         // the waiting tries get the end of the run
	Fail          // whether it ran is not known: so are the waiting tries answered, or the try of the event
	Claim         // ask the owner
	Grant         // let the other run it
	NotifyStarted // tell the other that it is held or run here
	NotifyFinished
	NotifyReleased
)

// Key is the state of one key in one process.
type Key struct {
	State       State
	PeerWaiting bool // the other process waits for its end
}

// Step moves a key on. waiting says that tries of it wait here. It returns what is to be done, in that order.
func (k *Key) Step(r Role, e Event, waiting bool) []Action {
	switch e {
	case Attempt:
		return k.try(r)
	case PeerGranted: // in Away: it was held there, and dropped
		if k.State == Requested || k.State == Remote {
			return k.admit(waiting, true)
		}
	case OwnershipTaken:
		if k.State == Requested {
			return k.admit(waiting, false)
		}
	case PeerStarted:
		if k.State != Local && k.State != Done {
			k.State = Remote
		}
	case PeerFinished:
		if k.State != Local && k.State != Done {
			k.State = Done
			return []Action{Serve}
		}
	case PeerReleased:
		if k.State == Remote && waiting {
			if r == Requester {
				k.State = Requested
				return []Action{Claim}
			}
			return k.admit(waiting, false)
		} else if k.State == Remote {
			k.State = Free
		}
	case PeerClaimed:
		return k.claimed(r)
	case LocalFinished:
		k.State, k.PeerWaiting = Done, false
		return []Action{NotifyFinished}
	case LocalReleased:
		if k.PeerWaiting {
			k.State, k.PeerWaiting = Remote, false
			return []Action{Grant}
		}
		k.State = Free
		return []Action{NotifyReleased}
	case OwnershipPassed:
		if k.State == Local {
			return []Action{NotifyStarted}
		}
	case PeerLost:
		return k.lost(waiting)
	}
	return nil
}

// admit lets the waiting tries go; without any, a key that was granted is given back.
func (k *Key) admit(waiting, granted bool) []Action {
	if waiting {
		k.State = Local
		return []Action{Release}
	}
	k.State = Free
	if granted {
		return []Action{NotifyReleased}
	}
	return nil
}

func (k *Key) try(r Role) []Action {
	switch k.State {
	case Free:
		if r == Requester {
			k.State = Requested
			return []Action{Queue, Claim}
		}
		k.State = Local
		return []Action{Admit}
	case Requested, Remote:
		return []Action{Queue}
	case Indeterminate:
		return []Action{Fail}
	}
	return []Action{Admit}
}

func (k *Key) claimed(r Role) []Action {
	if r != Owner {
		return nil // asked before it knew that it is the owner itself
	}
	switch k.State {
	case Local:
		k.PeerWaiting = true
		return []Action{NotifyStarted}
	case Done, Indeterminate:
		return []Action{NotifyFinished}
	}
	k.State = Remote
	return []Action{Grant}
}

func (k *Key) lost(waiting bool) []Action {
	k.PeerWaiting = false
	switch k.State {
	case Remote:
		k.State = Indeterminate
		return []Action{Fail}
	case Requested: // an owner tells of a run before it begins: none has
		return k.admit(waiting, false)
	}
	return nil
}
