package control

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidSettings is wrapped by every error about settings that a Controller cannot work with.
var ErrInvalidSettings = errors.New("control: invalid settings")

// Idempotency says how often a class's request may run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // may be repeated within its retention window and runs once on a server
	NonIdempotent                      // runs once; is repeated only after a rejection
)

// String returns the idempotency in words.
func (i Idempotency) String() string {
	switch i {
	case Idempotent:
		return "idempotent"
	case IdempotentByKey:
		return "idempotent by key"
	case NonIdempotent:
		return "non-idempotent"
	}
	return "unknown idempotency"
}

// PreemptionMode says what Preempt does to running work.
type PreemptionMode uint8

// The ways of preempting running work.
const (
	PreemptNever   PreemptionMode = iota // running work cannot be stopped
	PreemptDiscard                       // the work done so far is lost, the request is queued again
	PreemptSuspend                       // the work keeps its progress and its running memory
)

// String returns the preemption mode in words.
func (m PreemptionMode) String() string {
	switch m {
	case PreemptNever:
		return "never"
	case PreemptDiscard:
		return "discard"
	case PreemptSuspend:
		return "suspend"
	}
	return "unknown preemption mode"
}

// LoadSignalKind says how callers read the value of SetLoadSignal.
type LoadSignalKind uint8

// The meanings of the load signal.
const (
	LoadSignalNone      LoadSignalKind = iota // never send one
	LoadSignalThreshold                       // admission threshold: callers send nothing that is ranked below it
	LoadSignalAllowance                       // requests that a caller may have outstanding here
	LoadSignalWeight                          // probability, 0 to 1, that a caller does not skip this server
)

// String returns the load signal's kind in words.
func (k LoadSignalKind) String() string {
	switch k {
	case LoadSignalNone:
		return "none"
	case LoadSignalThreshold:
		return "threshold"
	case LoadSignalAllowance:
		return "allowance"
	case LoadSignalWeight:
		return "weight"
	}
	return "unknown load signal"
}

// Dependency says what running requests call.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota // requests call nothing
	DependencyShared                   // one dependency that all servers share
	DependencyTier                     // a further tier of servers that run this code
)

// String returns the dependency in words.
func (d Dependency) String() string {
	switch d {
	case DependencyNone:
		return "none"
	case DependencyShared:
		return "shared"
	case DependencyTier:
		return "tier"
	}
	return "unknown dependency"
}

// Class describes one class of requests.
type Class struct {
	Name                   string
	LatencyObjective       time.Duration // an answer within this of the client's first attempt earns the full weight
	ObjectiveStretch       float64       // the objective also grows by this multiple of the request's own work
	Deadline               time.Duration // the client waits no longer than this
	RetentionWindow        time.Duration // IdempotentByKey: how long after its arrival a request may be repeated
	Weight                 float64       // priority weight of a request
	LateWeightShare        float64       // share of the weight earned between latency objective and deadline
	Idempotency            Idempotency
	MakesCalls             bool    // requests may call the dependency
	SkippedCallWeightShare float64 // share of the weight earned when a call was skipped; 0 forbids SkipCall
	Retired                bool    // of earlier settings: only requests that arrived under those are of this class
}

// Tenant is one customer of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its quota, summed over all servers
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
	ColdStart bool // the server has just started and is warming up

	MemoryKB            float64 // queued, running and suspended requests and retained keys share it
	KeyKB               float64 // cost of a retained key
	RunningMemoryFactor float64 // memory of a running request over that of a queued one

	MaxConcurrencyPerCore float64       // running requests on the cores, per core, that a warm server survives
	MaxConcurrencyWindow  time.Duration // averaged over this
	WarmUpMinSpeed        float64       // a cold server starts at no less than this share of its speed
	WarmUpTime            time.Duration // and is warm within this

	Dependency            Dependency
	CallConcurrencyShare  float64       // this server's share of the calls in flight that the dependency survives
	CallConcurrencyWindow time.Duration // averaged over this
	AbandonedCallTime     time.Duration // an abandoned call occupies the dependency for so long

	AnswerGrace time.Duration // grace after a due time
	DrainGrace  time.Duration // arrivals later than this after a DrainRequested are not run

	EndpointListIgnoresHealth bool // callers' endpoint lists follow starts and drains, but not SetHealth

	DeadlinePropagated   bool    // RequestArrived.Deadline is given
	RetriesMarked        bool    // RequestArrived.Retry is given
	WeightPerWork        bool    // weight counts for each unit of work rather than each request
	OverQuotaWeightShare float64 // share of the weight that a request beyond its tenant's quota earns
	Preemption           PreemptionMode
	LoadSignal           LoadSignalKind
	LoadSignalTTL        time.Duration // how long a caller keeps the load signal
	MaxRetryAfter        time.Duration // longest Reject.RetryAfter that callers honour
	MaxKeepAlive         time.Duration // callers drop idle connections after this
	ResultFreshness      time.Duration // how long a read's answer may serve others; 0 = never
}

// validate returns an error that wraps ErrInvalidSettings if a figure is out of range.
func (s *Settings) validate() error {
	shortest := min(s.AnswerGrace, s.DrainGrace, s.WarmUpTime, s.MaxConcurrencyWindow, s.CallConcurrencyWindow,
		s.AbandonedCallTime, s.MaxRetryAfter)
	least := min(s.MemoryKB, s.KeyKB, s.CallConcurrencyShare, s.MaxConcurrencyPerCore, s.RunningMemoryFactor,
		s.OverQuotaWeightShare)
	active := s.activeClasses()
	if len(active) == 0 || s.Cores <= 0 || shortest < 0 || least < 0 {
		return fmt.Errorf("%w: %d classes, %d cores, or a negative figure", ErrInvalidSettings, len(active), s.Cores)
	}
	for _, class := range s.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 || class.RetentionWindow < 0 || class.Weight < 0 {
			return fmt.Errorf("%w: class %q: latency objective, deadline, retention window or weight out of range",
				ErrInvalidSettings, class.Name)
		}
	}
	return nil
}

// activeClasses are the classes that new requests may be of.
func (s *Settings) activeClasses() []Class {
	return slices.DeleteFunc(slices.Clone(s.Classes), func(class Class) bool { return class.Retired })
}
