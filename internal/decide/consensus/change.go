package consensus

import "strconv"

// ValueKind is the state of the execution of an idempotency key.
type ValueKind uint8

// The kinds of values. The numbers are part of the wire and disk formats.
const (
	KindNone       ValueKind = iota // no value
	KindLeased                      // the owner may run the request, or may already have run it
	KindSucceeded                   // the request ran, with Result
	KindFailed                      // the request ran and failed, or the outcome of its run was lost
	KindMembership                  // Result is the text of the next membership
)

// String returns the name of the kind.
func (k ValueKind) String() string {
	switch k {
	case KindNone:
		return "none"
	case KindLeased:
		return "leased"
	case KindSucceeded:
		return "succeeded"
	case KindFailed:
		return "failed"
	case KindMembership:
		return "membership"
	}
	return "ValueKind(" + strconv.Itoa(int(k)) + ")"
}

// Value is the value of a key on which its replicas agree. Times are taken from the callers' attempts, in Unix
// milliseconds, so that no server's clock matters.
type Value struct {
	Kind        ValueKind
	Owner       uint32 // the server that holds or held the lease
	Incarnation uint64 // of the owner's process: the next process does not know what this one has run
	Attempt     uint64 // number of the lease, unique within that process
	AttemptedAt int64  // time of the attempt that runs
	Result      string
}

// ChangeKind is what a change does to a value.
type ChangeKind uint8

// The kinds of changes.
const (
	AcquireLease     ChangeKind = iota // acquires the lease to run the request
	RecordResult                       // records the outcome of a run
	ReadValue                          // changes nothing, but makes a majority accept the value
	ReleaseLease                       // releases the lease: the run was not started
	DecideMembership                   // decides the next membership
)

// String returns the name of the kind.
func (k ChangeKind) String() string {
	switch k {
	case AcquireLease:
		return "acquire lease"
	case RecordResult:
		return "record result"
	case ReadValue:
		return "read value"
	case ReleaseLease:
		return "release lease"
	case DecideMembership:
		return "decide membership"
	}
	return "ChangeKind(" + strconv.Itoa(int(k)) + ")"
}

// Outcome is the result of a change for its proposer.
type Outcome uint8

// The outcomes.
const (
	OutcomeLeaseGranted      Outcome = iota + 1 // the proposer may run the request, once
	OutcomeSucceeded                            // the request ran, with the result of the value
	OutcomeFailed                               // the request ran and failed
	OutcomeIndeterminate                        // another process may have run it: unknown until the retention is over
	OutcomeLeaseLost                            // the proposer no longer holds the lease
	OutcomeVacant                               // the key has no value in force, so that the request may run
	OutcomeMembershipDecided                    // Value.Result is the text of the next membership
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeLeaseGranted:
		return "lease granted"
	case OutcomeSucceeded:
		return "succeeded"
	case OutcomeFailed:
		return "failed"
	case OutcomeIndeterminate:
		return "indeterminate"
	case OutcomeLeaseLost:
		return "lease lost"
	case OutcomeVacant:
		return "vacant"
	case OutcomeMembershipDecided:
		return "membership decided"
	}
	return "Outcome(" + strconv.Itoa(int(o)) + ")"
}

// Change is a proposed change of a key's value: the change function of CASPaxos.
type Change struct {
	Kind        ChangeKind
	Proposer    Identity
	Attempt     uint64 // number of the lease that is acquired, recorded or released; unique within the process
	AttemptedAt int64  // time of the attempt, Unix milliseconds
	Retention   int64  // how long a value stays in force after its AttemptedAt, milliseconds
	Succeeded   bool   // of RecordResult: whether the run has succeeded
	Result      string // of RecordResult and DecideMembership
	// NeverStarted means that no earlier lease of this process for the key has led to a run, or ever will. AcquireLease
	// may replace such a lease.
	NeverStarted bool
	// ForcedAt is when an operator last forced a membership without a majority, Unix milliseconds; 0: never. Until the
	// retention after that time is over, an empty register does not prove that the request has not run.
	ForcedAt int64
}

// Apply returns the changed value and the outcome for the proposer. A proposal that is retried calls it again, possibly
// with a value that already contains the change; Apply is idempotent.
func (c Change) Apply(value Value) (Value, Outcome) {
	switch c.Kind {
	case RecordResult:
		return c.recordResult(value)
	case ReleaseLease:
		if c.holdsLease(value) {
			return Value{}, OutcomeVacant
		}
		return value, OutcomeLeaseLost
	case DecideMembership:
		if value.Kind == KindNone {
			value = Value{Kind: KindMembership, Result: c.Result}
		}
		return value, OutcomeMembershipDecided
	case AcquireLease, ReadValue:
	}
	return c.acquireOrRead(value)
}

func (c Change) recordResult(value Value) (Value, Outcome) {
	holds := c.holdsLease(value)
	switch {
	// The register may be empty although the request ran, as the replicas that held the lease may be lost.
	case (holds || value.Kind == KindNone) && c.Succeeded:
		succeeded := c.ownValue(KindSucceeded)
		succeeded.Result = c.Result
		return succeeded, OutcomeSucceeded
	case holds:
		value.Kind = KindFailed
		return value, OutcomeFailed
	case value.Kind == KindSucceeded && c.sameAttempt(value):
		return value, OutcomeSucceeded
	case value.Kind == KindFailed && c.sameAttempt(value):
		return value, OutcomeFailed
	}
	return value, OutcomeLeaseLost
}

// acquireOrRead applies AcquireLease and ReadValue. Whether the value has expired depends on the times of the attempts,
// not on a clock.
func (c Change) acquireOrRead(value Value) (Value, Outcome) {
	expired := value.Kind == KindNone || c.AttemptedAt >= value.AttemptedAt+c.Retention
	switch {
	case expired && c.withinForcedRetention():
		return value, OutcomeIndeterminate
	case expired && c.Kind == ReadValue:
		return value, OutcomeVacant
	case expired, c.Kind == AcquireLease && c.supersedes(value):
		return c.ownValue(KindLeased), OutcomeLeaseGranted
	case c.Kind == AcquireLease && c.holdsLease(value):
		return value, OutcomeLeaseGranted
	case value.Kind == KindSucceeded:
		return value, OutcomeSucceeded
	case value.Kind == KindFailed:
		return value, OutcomeFailed
	}
	return value, OutcomeIndeterminate
}

// withinForcedRetention reports whether values that were lost when an operator forced a membership may still be in
// force.
func (c Change) withinForcedRetention() bool {
	return c.ForcedAt > 0 && c.AttemptedAt < c.ForcedAt+c.Retention
}

// supersedes reports whether v is an earlier lease of the same process that led to no run. A later lease is never
// superseded: an abandoned proposal may still take effect, and must not replace the lease of a run that was started in
// the meantime.
func (c Change) supersedes(v Value) bool {
	return v.Kind == KindLeased && c.sameProcess(v) && c.NeverStarted && v.Attempt < c.Attempt
}

func (c Change) holdsLease(v Value) bool { return v.Kind == KindLeased && c.sameAttempt(v) }

func (c Change) sameAttempt(v Value) bool {
	return c.sameProcess(v) && v.Attempt == c.Attempt && v.AttemptedAt == c.AttemptedAt
}

func (c Change) sameProcess(v Value) bool {
	return v.Owner == c.Proposer.ID && v.Incarnation == c.Proposer.Incarnation
}

// ownValue returns a value that belongs to the attempt of the change.
func (c Change) ownValue(kind ValueKind) Value {
	return Value{
		Kind:        kind,
		Owner:       c.Proposer.ID,
		Incarnation: c.Proposer.Incarnation,
		Attempt:     c.Attempt,
		AttemptedAt: c.AttemptedAt,
	}
}
