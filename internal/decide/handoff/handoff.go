// Package handoff decides who may run an idempotency key while two processes of one server live side by side: an old
// one and its successor. The request core (package dispatch) keeps a Key for each key and each process, steps it with
// what happens and carries out the actions.
//
// One process, the Owner, may run a key that nobody knows of; the other, the Requester, claims each key before it
// runs it. The owner tells the requester of each run before it begins, and of its end. Ownership passes once, from
// the old process to its successor, which makes the old one the requester. Messages come in the order in which they
// were sent.
//
// The package is a state machine without I/O, goroutines or a clock. It never sees a request: what waits for a key, and
// the results, are the core's.
package handoff

import "fmt"

// Role is what a process is to its peer.
type Role uint8

// The roles.
const (
	// Alone has no peer.
	Alone Role = iota
	// Owner may run a key that nobody knows of.
	Owner
	// Requester claims each key before it runs it.
	Requester
)

// String names the role for logs and tests.
func (r Role) String() string { return name("Role", int(r), "alone", "owner", "requester") }

// State is what a process knows of a key.
type State uint8

// The states of a key.
const (
	// Free is a key of which nothing is known.
	Free State = iota
	// Requested was claimed; attempts wait here until the owner answers.
	Requested
	// Local is held or run by this process.
	Local
	// Done has a run that ended, here or there: attempts get its end.
	Done
	// Remote is held or run by the peer: attempts wait here.
	Remote
	// Indeterminate was held or run by a peer that is gone: it may have run.
	Indeterminate
	stateCount
)

// String names the state for logs and tests.
func (s State) String() string {
	return name("State", int(s), "free", "requested", "local", "done", "remote", "indeterminate")
}

// Event is what happens to a key.
type Event uint8

// The events.
const (
	// Attempt is an attempt that is read here.
	Attempt Event = iota
	// PeerGranted is the owner's permission to run the key here.
	PeerGranted
	// PeerStarted says that the peer holds or runs the key.
	PeerStarted
	// PeerFinished says that a run of the peer's has ended, well or not.
	PeerFinished
	// PeerReleased says that the peer holds the key no more, and it has not run there.
	PeerReleased
	// PeerClaimed is the peer's claim to the key.
	PeerClaimed
	// LocalFinished says that a run here has ended.
	LocalFinished
	// LocalReleased says that the key is held here no more, and has not run.
	LocalReleased
	// OwnershipTaken makes this process the owner.
	OwnershipTaken
	// OwnershipPassed makes the peer the owner.
	OwnershipPassed
	// PeerLost says that the peer is gone, or cannot be reached any more.
	PeerLost
	eventCount
)

// String names the event for logs and tests.
func (e Event) String() string {
	return name("Event", int(e), "attempt", "peer granted", "peer started", "peer finished", "peer released",
		"peer claimed", "local finished", "local released", "ownership taken", "ownership passed", "peer lost")
}

// Action is what the host is to do. Queue and Admit are about the attempt of the event, the others about the attempts
// that wait, or about the peer.
type Action uint8

// The actions.
const (
	// Queue has the attempt wait.
	Queue Action = iota
	// Admit hands the attempt to the decision module.
	Admit
	// Release hands the waiting attempts to the decision module.
	Release
	// Serve answers the waiting attempts with the end of the run.
	Serve
	// Fail answers the waiting attempts, or the attempt of the event, with an error: whether the key ran is not known.
	Fail
	// Claim asks the owner for the key.
	Claim
	// Grant lets the peer run the key.
	Grant
	// NotifyStarted tells the peer that the key is held or run here.
	NotifyStarted
	// NotifyFinished tells the peer that a run of the key has ended here.
	NotifyFinished
	// NotifyReleased tells the peer that the key is held here no more, and has not run.
	NotifyReleased
)

// String names the action for logs and tests.
func (a Action) String() string {
	return name("Action", int(a), "queue", "admit", "release", "serve", "fail", "claim", "grant", "notify started",
		"notify finished", "notify released")
}

// name is the name of an enumeration's value, or its number where it has none.
func name(kind string, value int, names ...string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", kind, value)
}

// Key is the state of one key in one process.
type Key struct {
	State State
	// PeerWaiting says that the peer waits for the end of what is held or run here.
	PeerWaiting bool
}

// Step moves a key on; waiting says that attempts of it wait here. It returns what is to be done, in that order.
func (k *Key) Step(role Role, event Event, waiting bool) []Action {
	switch event {
	case Attempt:
		return k.attempt(role)
	case PeerGranted:
		return k.peerGranted(waiting)
	case PeerStarted:
		return k.peerStarted()
	case PeerFinished:
		return k.peerFinished()
	case PeerReleased:
		return k.peerReleased(role, waiting)
	case PeerClaimed:
		return k.peerClaimed(role)
	case LocalFinished:
		return k.localFinished()
	case LocalReleased:
		return k.localReleased()
	case OwnershipTaken:
		return k.ownershipTaken(waiting)
	case OwnershipPassed:
		return k.ownershipPassed()
	case PeerLost:
		return k.peerLost(waiting)
	default:
		return nil
	}
}

func (k *Key) attempt(role Role) []Action {
	switch k.State {
	case Free:
		if role == Requester {
			k.State = Requested
			return []Action{Queue, Claim}
		}
		k.State = Local
	case Requested, Remote:
		return []Action{Queue}
	case Indeterminate:
		return []Action{Fail}
	default: // Local and Done: the decision module knows of the run.
	}
	return []Action{Admit}
}

// peerGranted counts in Remote as well: the peer held the key, and has dropped it. Without a waiting attempt the key is
// given back.
func (k *Key) peerGranted(waiting bool) []Action {
	if k.State != Requested && k.State != Remote {
		return nil
	}
	if !waiting {
		k.State = Free
		return []Action{NotifyReleased}
	}
	return k.claimForWaiters(waiting)
}

func (k *Key) peerStarted() []Action {
	if k.State != Local && k.State != Done {
		k.State = Remote
	}
	return nil
}

func (k *Key) peerFinished() []Action {
	if k.State == Local || k.State == Done {
		return nil
	}
	k.State = Done
	return []Action{Serve}
}

func (k *Key) peerReleased(role Role, waiting bool) []Action {
	if k.State != Remote {
		return nil
	}
	if waiting && role == Requester {
		k.State = Requested
		return []Action{Claim}
	}
	return k.claimForWaiters(waiting)
}

func (k *Key) peerClaimed(role Role) []Action {
	if role != Owner {
		return nil // The peer had sent it before it knew that it is the owner itself.
	}
	switch k.State {
	case Local:
		k.PeerWaiting = true
		return []Action{NotifyStarted}
	case Done, Indeterminate:
		return []Action{NotifyFinished}
	default:
		k.State = Remote
		return []Action{Grant}
	}
}

func (k *Key) localFinished() []Action {
	k.State, k.PeerWaiting = Done, false
	return []Action{NotifyFinished}
}

func (k *Key) localReleased() []Action {
	if k.PeerWaiting {
		k.State, k.PeerWaiting = Remote, false
		return []Action{Grant}
	}
	k.State = Free
	return []Action{NotifyReleased}
}

func (k *Key) ownershipTaken(waiting bool) []Action {
	if k.State != Requested {
		return nil
	}
	return k.claimForWaiters(waiting)
}

func (k *Key) ownershipPassed() []Action {
	if k.State != Local {
		return nil
	}
	return []Action{NotifyStarted}
}

func (k *Key) peerLost(waiting bool) []Action {
	k.PeerWaiting = false
	switch k.State {
	case Remote:
		k.State = Indeterminate
		return []Action{Fail}
	case Requested: // An owner tells of a run before it begins: none has.
		return k.claimForWaiters(waiting)
	default:
		return nil
	}
}

// claimForWaiters lets the waiting attempts go; without any, nothing is known of the key.
func (k *Key) claimForWaiters(waiting bool) []Action {
	if !waiting {
		k.State = Free
		return nil
	}
	k.State = Local
	return []Action{Release}
}
