// Package handover decides who may run a once-key while two processes of one log server live side by side: an old one and
// its successor. It is a state machine for each key in each process, without I/O, goroutines or a clock.
//
// One process, the Owner, may run a key that nobody knows of; the other, the Asker, asks for each. The owner tells the asker of
// each run before it begins, and of its end. Ownership passes once, from the old process to the new one. Messages come in the
// order in which they were sent.
package handover

// Role is what a process is to the other one.
type Role uint8

// The roles.
const (
	Alone Role = iota // there is no other process
	Owner
	Asker
)

// State is what a process knows of a key.
type State uint8

// The states of a key.
const (
	Free  State = iota // nothing
	Asked              // tries wait here until the owner answers
	Here               // this process holds or runs it
	Done               // a run has ended, here or there: tries get its end
	Away               // the other process holds or runs it: tries wait here
	Doubt              // the other process did and is gone: it may have run
	States
)

// Event is what happens to a key.
type Event uint8

// The events.
const (
	Try       Event = iota // a try is read here
	Granted                // the owner lets this process run it
	Began                  // the other process holds or runs it
	Ended                  // a run of the other's has ended, well or not
	Freed                  // the other process holds it no more, and it has not run there
	Claimed                // the other process asks for it
	HereEnded              // a run here has ended
	HereFreed              // nothing is held here any more, and it has not run
	TakeOver               // this process becomes the owner
	HandOver               // the other process becomes the owner
	Lost                   // the other process is gone, or cannot be reached any more
	Events
)

// Do is what is to be done.
type Do uint8

// The actions. Park and Admit are about the try of the event, the others about the tries that wait.
const (
	Park Do = iota
	Admit
	Release   // the waiting tries go to the module
	Serve     // the waiting tries get the end of the run
	Fail      // whether it ran is not known: so are the waiting tries answered, or the try of the event
	Claim     // ask the owner
	Grant     // let the other run it
	TellBegan // tell the other that it is held or run here
	TellEnded
	TellFreed
)

// Key is the state of one key in one process.
type Key struct {
	State  State
	Wanted bool // the other process waits for its end
}

// Step moves a key on. waiting says that tries of it wait here. It returns what is to be done, in that order.
func (k *Key) Step(r Role, e Event, waiting bool) []Do {
	switch e {
	case Try:
		return k.try(r)
	case Granted: // in Away: it was held there, and dropped
		if k.State == Asked || k.State == Away {
			return k.admit(waiting, true)
		}
	case TakeOver:
		if k.State == Asked {
			return k.admit(waiting, false)
		}
	case Began:
		if k.State != Here && k.State != Done {
			k.State = Away
		}
	case Ended:
		if k.State != Here && k.State != Done {
			k.State = Done
			return []Do{Serve}
		}
	case Freed:
		if k.State == Away && waiting {
			if r == Asker {
				k.State = Asked
				return []Do{Claim}
			}
			return k.admit(waiting, false)
		} else if k.State == Away {
			k.State = Free
		}
	case Claimed:
		return k.claimed(r)
	case HereEnded:
		k.State, k.Wanted = Done, false
		return []Do{TellEnded}
	case HereFreed:
		if k.Wanted {
			k.State, k.Wanted = Away, false
			return []Do{Grant}
		}
		k.State = Free
		return []Do{TellFreed}
	case HandOver:
		if k.State == Here {
			return []Do{TellBegan}
		}
	case Lost:
		return k.lost(waiting)
	}
	return nil
}

// admit lets the waiting tries go; without any, a key that was granted is given back.
func (k *Key) admit(waiting, granted bool) []Do {
	if waiting {
		k.State = Here
		return []Do{Release}
	}
	k.State = Free
	if granted {
		return []Do{TellFreed}
	}
	return nil
}

func (k *Key) try(r Role) []Do {
	switch k.State {
	case Free:
		if r == Asker {
			k.State = Asked
			return []Do{Park, Claim}
		}
		k.State = Here
		return []Do{Admit}
	case Asked, Away:
		return []Do{Park}
	case Doubt:
		return []Do{Fail}
	}
	return []Do{Admit}
}

func (k *Key) claimed(r Role) []Do {
	if r != Owner {
		return nil // asked before it knew that it is the owner itself
	}
	switch k.State {
	case Here:
		k.Wanted = true
		return []Do{TellBegan}
	case Done, Doubt:
		return []Do{TellEnded}
	}
	k.State = Away
	return []Do{Grant}
}

func (k *Key) lost(waiting bool) []Do {
	k.Wanted = false
	switch k.State {
	case Away:
		k.State = Doubt
		return []Do{Fail}
	case Asked: // an owner tells of a run before it begins: none has
		return k.admit(waiting, false)
	}
	return nil
}
