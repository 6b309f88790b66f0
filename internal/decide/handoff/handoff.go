// Package handoff decides which process may run an idempotency key during a hot restart, while an old process of a
// server and its successor run side by side. The request core (package dispatch) of each process keeps a Key for each
// idempotency key, passes it the events and carries out the actions.
//
// One process, the Owner, may run a key that neither process knows; the other one, the Requester, claims each key
// before it runs it. The owner notifies the requester of each run before it begins, and of its end. Ownership passes
// once, from the old process to its successor, which makes the old one the requester. Messages must arrive in the order
// in which they were sent.
//
// The package is a state machine without I/O, goroutines or a clock. It never sees a request: the core keeps the
// requests that wait for a key, and the results.
package handoff

import "fmt"

// Role is the role of a process towards its peer, the other process of the server.
type Role uint8

// The roles.
const (
	// Alone has no peer.
	Alone Role = iota
	// Owner may run a key that neither process knows.
	Owner
	// Requester claims each key before it runs it.
	Requester
)

// String names the role for logs and tests.
func (r Role) String() string { return name("Role", int(r), "alone", "owner", "requester") }

// State is the state of a key as known to one process.
type State uint8

// The states of a key.
const (
	// Free means that this process has no record of the key.
	Free State = iota
	// Requested means that this process has claimed the key; attempts wait until the owner answers.
	Requested
	// Local means that this process runs the key or may run it.
	Local
	// Done means that the run of the key has ended in either process; attempts get its result.
	Done
	// Remote means that the peer runs the key or may run it; attempts wait.
	Remote
	// Indeterminate means that the peer was lost in state Remote: the key may have run.
	Indeterminate
	stateCount
)

// String names the state for logs and tests.
func (s State) String() string {
	return name("State", int(s), "free", "requested", "local", "done", "remote", "indeterminate")
}

// Event is an event that concerns a key.
type Event uint8

// The events.
const (
	// Attempt means that an attempt of the key was read here.
	Attempt Event = iota
	// PeerGranted means that the owner permits this process to run the key.
	PeerGranted
	// PeerStarted means that the peer runs the key or may run it.
	PeerStarted
	// PeerFinished means that a run of the peer has ended, with any outcome.
	PeerFinished
	// PeerReleased means that the peer has given up the key without running it.
	PeerReleased
	// PeerClaimed means that the peer claims the key.
	PeerClaimed
	// LocalFinished means that a run of this process has ended, with any outcome.
	LocalFinished
	// LocalReleased means that this process has given up the key without running it.
	LocalReleased
	// OwnershipTaken means that this process has become the owner.
	OwnershipTaken
	// OwnershipPassed means that the peer has become the owner.
	OwnershipPassed
	// PeerLost means that the peer has ended or cannot be reached any more.
	PeerLost
	eventCount
)

// String names the event for logs and tests.
func (e Event) String() string {
	return name("Event", int(e), "attempt", "peer granted", "peer started", "peer finished", "peer released",
		"peer claimed", "local finished", "local released", "ownership taken", "ownership passed", "peer lost")
}

// Action is something that the host must do. Queue and Admit concern the attempt of the event, AdmitWaiting, Serve and
// Fail the waiting attempts, and the others are messages to the peer.
type Action uint8

// The actions.
const (
	// Queue adds the attempt to the waiting ones.
	Queue Action = iota
	// Admit passes the attempt to the decision module.
	Admit
	// AdmitWaiting passes the waiting attempts to the decision module.
	AdmitWaiting
	// Serve answers the waiting attempts with the result of the run.
	Serve
	// Fail answers the waiting attempts, or the attempt of the event, with an error: whether the key ran is not known.
	Fail
	// Claim requests permission from the owner to run the key.
	Claim
	// Grant permits the peer to run the key.
	Grant
	// NotifyStarted notifies the peer that this process runs the key or may run it.
	NotifyStarted
	// NotifyFinished notifies the peer that the run of the key has ended here.
	NotifyFinished
	// NotifyReleased notifies the peer that this process has given up the key without running it.
	NotifyReleased
)

// String names the action for logs and tests.
func (a Action) String() string {
	return name("Action", int(a), "queue", "admit", "admit waiting", "serve", "fail", "claim", "grant", "notify started",
		"notify finished", "notify released")
}

// name returns the name of an enumeration's value, or its type and number if it has none.
func name(kind string, value int, names ...string) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprintf("%s(%d)", kind, value)
}

// Key is the state of one key in one process.
type Key struct {
	State State
	// PeerWaiting means that the peer has claimed a Local key and waits until its run ends or it is released.
	PeerWaiting bool
	// ClaimPending means that this process has claimed a Requested or Remote key and the owner has not answered yet. A
	// key is not claimed again until then: a second grant would arrive after this process has released the key.
	ClaimPending bool
}

// Step applies an event. waiting reports whether attempts of the key wait here. It returns the actions that the host
// must carry out, in that order.
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
			k.claim()
			return []Action{Queue, Claim}
		}
		k.State = Local
	case Requested, Remote:
		return []Action{Queue}
	case Indeterminate:
		return []Action{Fail}
	default: // Local and Done: the decision module knows the run.
	}
	return []Action{Admit}
}

// claim makes the key Requested.
func (k *Key) claim() {
	k.State, k.ClaimPending = Requested, true
}

// peerGranted is also expected in state Remote: the peer held the key when this process claimed it, and has released it
// since. If no attempt waits any more, the key is released again.
func (k *Key) peerGranted(waiting bool) []Action {
	k.ClaimPending = false
	if k.State != Requested && k.State != Remote {
		return nil
	}
	if !waiting {
		k.State = Free
		return []Action{NotifyReleased}
	}
	return k.admitWaiting(waiting)
}

func (k *Key) peerStarted() []Action {
	if k.State != Local && k.State != Done {
		k.State = Remote
	}
	return nil
}

func (k *Key) peerFinished() []Action {
	k.ClaimPending = false
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
	if k.ClaimPending {
		k.State = Requested
		return nil
	}
	if waiting && role == Requester {
		k.claim()
		return []Action{Claim}
	}
	return k.admitWaiting(waiting)
}

func (k *Key) peerClaimed(role Role) []Action {
	if role != Owner {
		return nil // The peer sent the claim before it learned that it had become the owner.
	}
	switch k.State {
	case Local:
		k.PeerWaiting = true
		return []Action{NotifyStarted}
	case Done, Indeterminate:
		return []Action{NotifyFinished}
	case Remote: // Granted already: a peer of an older release may claim a key twice.
		return nil
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
	k.ClaimPending = false
	if k.State != Requested {
		return nil
	}
	return k.admitWaiting(waiting)
}

func (k *Key) ownershipPassed() []Action {
	if k.State != Local {
		return nil
	}
	return []Action{NotifyStarted}
}

func (k *Key) peerLost(waiting bool) []Action {
	k.PeerWaiting, k.ClaimPending = false, false
	switch k.State {
	case Remote:
		k.State = Indeterminate
		return []Action{Fail}
	case Requested: // The owner notifies this process before it starts a run, so there was none.
		return k.admitWaiting(waiting)
	default:
		return nil
	}
}

// admitWaiting makes the key Local and admits the waiting attempts. If none waits, the key becomes Free.
func (k *Key) admitWaiting(waiting bool) []Action {
	if !waiting {
		k.State = Free
		return nil
	}
	k.State = Local
	return []Action{AdmitWaiting}
}
