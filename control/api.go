// Package control decides, inside one server of a fleet, which requests start, wait, are turned away or fail
// when the server, its callers or what it calls are in trouble.
//
// This file is the interface and holds types only; every decision is in control.go. All times are
// time.Duration: clock times count from any fixed origin, sizes are kilobytes.
package control

import "time"

// RequestID names one try of a request. The host never gives the same ID twice to a Controller.
type RequestID uint32

// Idempotency says how often a class's request may run.
type Idempotency uint8

// The kinds of effect.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // may come again within its window and runs once on a server
	NonIdempotent                      // runs once; comes again only after a refusal
)

// PreemptionMode says what Pause does to running work.
type PreemptionMode uint8

// The ways of stopping running work.
const (
	PreemptNever   PreemptionMode = iota // running work cannot be stopped
	PreemptDiscard                       // the work done so far is lost, the request is held again
	PreemptSuspend                       // the work keeps its progress and its running memory
)

// LoadSignalKind says how callers read the value set by Signal.
type LoadSignalKind uint8

// The meanings of the free value.
const (
	LoadSignalNone      LoadSignalKind = iota // never send one
	LoadSignalThreshold                       // callers send nothing ranked below it
	LoadSignalAllowance                       // requests a caller may have outstanding here
	LoadSignalWeight                          // chance, 0 to 1, that a caller does not skip this server
)

// Dependency says what running requests call.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota // requests call nothing
	DependencyShared                   // one dependency that all servers share
	DependencyTier                     // a further tier of servers that run this code
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. OutcomeFull, OutcomeUnreached and OutcomeMoot prove that nothing was run.
const (
	OutcomeOK           Outcome = iota
	OutcomeError                // failed, possibly after taking effect
	OutcomeRejected             // turned away unseen
	OutcomeTimeout              // abandoned; may have taken effect
	OutcomeUnreachable          // could not be reached
	OutcomeReset                // broken off; may have taken effect
	OutcomeCancelled            // stopped, or ended at a call once answered or its caller left
	OutcomeAlreadyEnded         // nothing started, the request was already over
)

// provesUnrun says that what ended so never ran, so that it may be tried again whatever its effect.
func (o Outcome) provesUnrun() bool {
	return o == OutcomeRejected || o == OutcomeUnreachable || o == OutcomeAlreadyEnded
}

// Class describes one class of requests.
type Class struct {
	Name                   string
	LatencyObjective       time.Duration // an answer within this of the client's first try earns full worth
	ObjectiveStretch       float64       // the aim also grows by this multiple of the request's own work
	Deadline               time.Duration // the client waits no longer than this
	RetentionWindow        time.Duration // Keyed: how long after arriving a request may come again
	Weight                 float64
	LateWeightShare        float64 // share of the worth earned between aim and deadline
	Idempotency            Idempotency
	MakesCalls             bool    // requests may call below
	SkippedCallWeightShare float64 // share of the worth earned when a call was skipped; 0 forbids SkipCall
	Retired                bool    // of settings before these: only requests that came under those are of it
}

// Tenant is one customer of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, summed over all servers
}

// Settings are what a Controller is told at its start. Zero values mean "not limited" or "not offered".
type Settings struct {
	Seed      uint64 // all randomness comes from it
	Classes   []Class
	Tenants   []Tenant
	Cores     int
	Tier      int  // 0 for the tier that clients reach, 1 for the one that it calls, ...
	Peers     int  // servers of this tier, this one included
	Callers   int  // callers of this tier
	ColdStart bool // freshly started

	MemoryKB            float64 // held, running and paused requests and kept keys share it
	KeyKB               float64 // cost of a kept key
	RunningMemoryFactor float64 // running memory over held memory

	MaxConcurrencyPerCore float64       // running requests on the cores, per core, that a warm server survives
	MaxConcurrencyWindow  time.Duration // averaged over this
	WarmUpMinSpeed        float64       // a cold server starts at no less than this share of its speed
	WarmUpTime            time.Duration // and is warm within this

	Dependency            Dependency
	CallConcurrencyShare  float64       // this server's share of the calls in hand the dependency survives
	CallConcurrencyWindow time.Duration // averaged over this
	AbandonedCallTime     time.Duration // an abandoned call stays in the dependency's hands this long

	AnswerGrace time.Duration // grace after a due time
	DrainGrace  time.Duration // arrivals later than this after a Drain are not run

	EndpointListIgnoresHealth bool // callers' lists tell whether this server runs or drains, and nothing of Health

	DeadlinePropagated   bool // Arrive.Due is given
	RetriesMarked        bool // Arrive.Retry is given
	WeightPerWork        bool // worth counts for each unit of work rather than each request
	OverQuotaWeightShare float64
	Preemption           PreemptionMode
	LoadSignal           LoadSignalKind
	LoadSignalTTL        time.Duration // how long a caller keeps the value
	MaxRetryAfter        time.Duration // longest advice to stay away that callers honour
	MaxKeepAlive         time.Duration // callers drop idle connections after this
	ResultFreshness      time.Duration // how long a read's answer may serve others; 0 = never
}

// Event is something that happened at the time given to Step.
type Event interface{ event() }

// Action is something the host carries out, in the order given.
type Action interface{ action() }

// Gauges are the host's own readings; a negative value means "not known".
type Gauges struct {
	CPUUtilization float64 // busy share of the cores over the last half second
	Runnable       float64 // all that wants a core now: runs, reading, checks, new connections
	Memory         float64 // memory in use, as a share
	Connections    float64
}

type (
	// RequestArrived is a request just read; it is held until an action ends or starts it.
	RequestArrived struct {
		ID       RequestID
		Class    int
		Tenant   int
		Key      uint64        // its subject; 0 = none
		Deadline time.Duration // clock time at which its caller gives up; 0 = not told
		Age      time.Duration // time since it reached the machine
		CostHint time.Duration // expected work; 0 = no hint
		QueuedKB float64       // memory while held
		Rank     float64       // 0 to 1, by worth
		Retry    bool          // a retry or second copy
		Caller   uint32
		Original RequestID // the kept request that this one repeats; 0 = none
	}
	// RequestFinished ends a Run or a Reuse. On OutcomeOK and OutcomeError the host has sent the answer.
	RequestFinished struct {
		ID      RequestID
		Outcome Outcome
		Took    time.Duration
	}
	// CallNeeded says that a running request waits, off the cores, for Call, SkipCall or Fail.
	CallNeeded struct{ ID RequestID }
	// CallFinished is the outcome of a Call; other than on OutcomeOK the request waits as after CallNeeded.
	CallFinished struct {
		ID      RequestID
		Outcome Outcome
		Took    time.Duration
	}
	// RequestCancelled says that a caller has left: no answer is owed.
	RequestCancelled struct{ ID RequestID }
	// DrainRequested is the notice to leave, which came Ago before this step; the process is stopped at Stop.
	DrainRequested struct{ StopAt, Age time.Duration }
	// Tick is a timer set by Wake, with the host's gauges.
	Tick struct {
		Token  uint64
		Gauges Gauges
	}
)

func (RequestArrived) event()   {}
func (RequestFinished) event()  {}
func (CallNeeded) event()       {}
func (CallFinished) event()     {}
func (RequestCancelled) event() {}
func (DrainRequested) event()   {}
func (Tick) event()             {}

type (
	// Start starts a held request or takes up a paused one.
	Start struct{ ID RequestID }
	// Reject answers that the try was turned away and never ran.
	Reject struct {
		ID         RequestID
		NoRetry    bool          // asks the caller not to try elsewhere
		RetryAfter time.Duration // advice to leave this server alone for so long; 0 = none
	}
	// Fail answers with an error. Running work goes on until it ends, reaches a call or is paused.
	Fail struct{ ID RequestID }
	// Preempt stops running work as Settings.Stop says; work already answered ends.
	Preempt struct{ ID RequestID }
	// Call makes the call that a request waits for.
	Call struct {
		ID      RequestID
		Timeout time.Duration
	}
	// SkipCall lets a request go on without its call.
	SkipCall struct{ ID RequestID }
	// RetainKey remembers a request for so long, so that repeats name it as their Original.
	RetainKey struct {
		ID  RequestID
		TTL time.Duration
	}
	// ReleaseKey drops what Keep remembers.
	ReleaseKey struct{ ID RequestID }
	// ReplayResult answers a held request with the result of its Original.
	ReplayResult struct{ ID RequestID }
	// SetHealth sets the answer to health checks; Stored answers them without work.
	SetHealth struct{ Healthy, Cached bool }
	// SetLoadSignal sets the free value on every answer from now on.
	SetLoadSignal struct{ Value float64 }
	// CloseIdleConnections closes connections that are idle for so long.
	CloseIdleConnections struct{ IdleTimeout time.Duration }
	// ScheduleTick asks for a Tick after so long.
	ScheduleTick struct {
		After time.Duration
		Token uint64
	}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Start) action()                {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Preempt) action()              {}
func (Call) action()                 {}
func (SkipCall) action()             {}
func (RetainKey) action()            {}
func (ReleaseKey) action()           {}
func (ReplayResult) action()         {}
func (SetHealth) action()            {}
func (SetLoadSignal) action()        {}
func (CloseIdleConnections) action() {}
func (ScheduleTick) action()         {}
func (Log) action()                  {}
