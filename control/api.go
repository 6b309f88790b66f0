// Package control decides, inside one server of a fleet, which requests start, wait, are turned away or fail
// when the server, its callers or what it calls are in trouble.
//
// This file is the interface and holds types only; every decision is in control.go. All times are
// time.Duration: clock times count from any fixed origin, sizes are kilobytes.
package control

import "time"

// ID names one try of a request. The host never gives the same ID twice to a Controller.
type ID uint32

// Effect says how often a class's request may run.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // may come again within its window and runs once on a server
	Unsafe               // runs once; comes again only after a refusal
)

// StopMode says what Pause does to running work.
type StopMode uint8

// The ways of stopping running work.
const (
	StopNever   StopMode = iota // running work cannot be stopped
	StopDiscard                 // the work done so far is lost, the request is held again
	StopPause                   // the work keeps its progress and its running memory
)

// SignalKind says how callers read the value set by Signal.
type SignalKind uint8

// The meanings of the free value.
const (
	SignalNone      SignalKind = iota // never send one
	SignalFloor                       // callers send nothing ranked below it
	SignalAllowance                   // requests a caller may have outstanding here
	SignalWeight                      // chance, 0 to 1, that a caller does not skip this server
)

// Below says what running requests call.
type Below uint8

// The kinds of dependency.
const (
	BelowNone   Below = iota // requests call nothing
	BelowShared              // one dependency that all servers share
	BelowTier                // a further tier of servers that run this code
)

// Outcome is how a run or a call ended.
type Outcome uint8

// The outcomes. OutcomeFull, OutcomeUnreached and OutcomeMoot prove that nothing was run.
const (
	OutcomeOK        Outcome = iota
	OutcomeError             // failed, possibly after taking effect
	OutcomeFull              // turned away unseen
	OutcomeTimeout           // abandoned; may have taken effect
	OutcomeUnreached         // could not be reached
	OutcomeReset             // broken off; may have taken effect
	OutcomeCancelled         // stopped, or ended at a call once answered or its caller left
	OutcomeMoot              // nothing started, the request was already over
)

// provesUnrun says that what ended so never ran, so that it may be tried again whatever its effect.
func (o Outcome) provesUnrun() bool {
	return o == OutcomeFull || o == OutcomeUnreached || o == OutcomeMoot
}

// Class describes one class of requests.
type Class struct {
	Name       string
	Aim        time.Duration // an answer within this of the client's first try earns full worth
	AimStretch float64       // the aim also grows by this multiple of the request's own work
	Deadline   time.Duration // the client waits no longer than this
	Window     time.Duration // Keyed: how long after arriving a request may come again
	Worth      float64
	LateWorth  float64 // share of the worth earned between aim and deadline
	Effect     Effect
	Calls      bool    // requests may call below
	SkipWorth  float64 // share of the worth earned when a call was skipped; 0 forbids SkipCall
	Retired    bool    // of settings before these: only requests that came under those are of it
}

// Tenant is one customer of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, summed over all servers
}

// Settings are what a Controller is told at its start. Zero values mean "not limited" or "not offered".
type Settings struct {
	Seed    uint64 // all randomness comes from it
	Classes []Class
	Tenants []Tenant
	Cores   int
	Layer   int  // 0 for the tier that clients reach, 1 for the one that it calls, ...
	Peers   int  // servers of this tier, this one included
	Callers int  // callers of this tier
	Cold    bool // freshly started

	MemoryKB  float64 // held, running and paused requests and kept keys share it
	KeyKB     float64 // cost of a kept key
	RunFactor float64 // running memory over held memory

	CrowdPerCore float64       // running requests on the cores, per core, that a warm server survives
	CrowdOver    time.Duration // averaged over this
	ColdFrom     float64       // a cold server starts at no less than this share of its speed
	Ramp         time.Duration // and is warm within this

	Below      Below
	CallsShare float64       // this server's share of the calls in hand the dependency survives
	CallsOver  time.Duration // averaged over this
	CallLinger time.Duration // an abandoned call stays in the dependency's hands this long

	AnswerSlack time.Duration // grace after a due time
	DrainGrace  time.Duration // arrivals later than this after a Drain are not run

	HasDeadline   bool // Arrive.Due is given
	MarksRetries  bool // Arrive.Retry is given
	WorthByWork   bool // worth counts for each unit of work rather than each request
	OverShare     float64
	Stop          StopMode
	Signal        SignalKind
	SignalHeeded  time.Duration // how long a caller keeps the value
	MaxRetryAfter time.Duration // longest advice to stay away that callers honour
	KeepAliveMax  time.Duration // callers drop idle connections after this
	Fresh         time.Duration // how long a read's answer may serve others; 0 = never
}

// Event is something that happened at the time given to Step.
type Event interface{ event() }

// Action is something the host carries out, in the order given.
type Action interface{ action() }

// Gauges are the host's own readings; a negative value means "not known".
type Gauges struct {
	Busy        float64 // busy share of the cores over the last half second
	Runnable    float64 // all that wants a core now: runs, reading, checks, new connections
	Memory      float64 // memory in use, as a share
	Connections float64
}

type (
	// Arrive is a request just read; it is held until an action ends or starts it.
	Arrive struct {
		ID       ID
		Class    int
		Tenant   int
		Key      uint64        // its subject; 0 = none
		Due      time.Duration // clock time at which its caller gives up; 0 = not told
		Age      time.Duration // time since it reached the machine
		Hint     time.Duration // expected work; 0 = no hint
		HeldKB   float64       // memory while held
		Rank     float64       // 0 to 1, by worth
		Retry    bool          // a retry or second copy
		Caller   uint32
		Original ID // the kept request that this one repeats; 0 = none
	}
	// Done ends a Run or a Reuse. On OutcomeOK and OutcomeError the host has sent the answer.
	Done struct {
		ID      ID
		Outcome Outcome
		Took    time.Duration
	}
	// CallNeeded says that a running request waits, off the cores, for Call, SkipCall or Fail.
	CallNeeded struct{ ID ID }
	// CallDone is the outcome of a Call; other than on OutcomeOK the request waits as after CallNeeded.
	CallDone struct {
		ID      ID
		Outcome Outcome
		Took    time.Duration
	}
	// Gone says that a caller has left: no answer is owed.
	Gone struct{ ID ID }
	// Drain is the notice to leave, which came Ago before this step; the process is stopped at Stop.
	Drain struct{ Stop, Ago time.Duration }
	// Tick is a timer set by Wake, with the host's gauges.
	Tick struct {
		Mark   uint64
		Gauges Gauges
	}
)

func (Arrive) event()     {}
func (Done) event()       {}
func (CallNeeded) event() {}
func (CallDone) event()   {}
func (Gone) event()       {}
func (Drain) event()      {}
func (Tick) event()       {}

type (
	// Run starts a held request or takes up a paused one.
	Run struct{ ID ID }
	// Refuse answers that the try was turned away and never ran.
	Refuse struct {
		ID       ID
		Last     bool          // asks the caller not to try elsewhere
		StayAway time.Duration // advice to leave this server alone for so long; 0 = none
	}
	// Fail answers with an error. Running work goes on until it ends, reaches a call or is paused.
	Fail struct{ ID ID }
	// Pause stops running work as Settings.Stop says; work already answered ends.
	Pause struct{ ID ID }
	// Call makes the call that a request waits for.
	Call struct {
		ID      ID
		Timeout time.Duration
	}
	// SkipCall lets a request go on without its call.
	SkipCall struct{ ID ID }
	// Keep remembers a request for so long, so that repeats name it as their Original.
	Keep struct {
		ID  ID
		For time.Duration
	}
	// Forget drops what Keep remembers.
	Forget struct{ ID ID }
	// Reuse answers a held request with the result of its Original.
	Reuse struct{ ID ID }
	// Health sets the answer to health checks; Stored answers them without work.
	Health struct{ Good, Stored bool }
	// Signal sets the free value on every answer from now on.
	Signal struct{ Value float64 }
	// CloseIdle closes connections that are idle for so long.
	CloseIdle struct{ After time.Duration }
	// Wake asks for a Tick after so long.
	Wake struct {
		After time.Duration
		Mark  uint64
	}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Run) action()       {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Pause) action()     {}
func (Call) action()      {}
func (SkipCall) action()  {}
func (Keep) action()      {}
func (Forget) action()    {}
func (Reuse) action()     {}
func (Health) action()    {}
func (Signal) action()    {}
func (CloseIdle) action() {}
func (Wake) action()      {}
func (Log) action()       {}
