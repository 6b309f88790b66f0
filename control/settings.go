package control

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// ErrInvalidSettings is wrapped by every error about settings that a Controller cannot work with.
var ErrInvalidSettings = errors.New("control: invalid settings")

// Idempotency tells how often a request of a class may run.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // may be repeated within its retention window, but runs only once on a server
	NonIdempotent                      // runs only once, and may be repeated only after a rejection
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

// PreemptionMode tells what Preempt does to a run.
type PreemptionMode uint8

// The preemption modes.
const (
	PreemptNever   PreemptionMode = iota // a run cannot be stopped
	PreemptDiscard                       // the run's progress is lost, and the request is queued again
	PreemptSuspend                       // the run keeps its progress and its running memory
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

// LoadSignalKind tells how callers interpret the value of SetLoadSignal.
type LoadSignalKind uint8

// The meanings of the load signal.
const (
	LoadSignalNone      LoadSignalKind = iota // no load signal is sent
	LoadSignalThreshold                       // admission threshold: callers send no request of a lower rank
	LoadSignalAllowance                       // requests that a caller may have outstanding at this server
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

// Dependency tells which service running requests call.
type Dependency uint8

// The kinds of dependency.
const (
	DependencyNone   Dependency = iota // requests make no calls
	DependencyShared                   // one service that all servers share
	DependencyTier                     // another tier of servers that run this package
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
	LatencyObjective       time.Duration // an answer within this time of the first attempt earns the full weight
	ObjectiveStretch       float64       // the objective grows by this multiple of RequestArrived.CostHint
	Deadline               time.Duration // the caller waits no longer than this
	RetentionWindow        time.Duration // for IdempotentByKey: how long after its arrival a request may be repeated
	Weight                 float64       // priority weight of a request
	LateWeightShare        float64       // share of the weight earned between latency objective and deadline
	Idempotency            Idempotency
	MakesCalls             bool    // requests may call the dependency
	SkippedCallWeightShare float64 // share of the weight earned when a call was skipped; 0 forbids SkipCall
	Retired                bool    // removed from the settings; only requests that arrived before the removal are left
}

// Tenant is one customer of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, summed over all servers; 0 = not limited
}

// Settings configure a Controller. Zero values mean "not limited" or "not offered".
type Settings struct {
	Seed      uint64 // of all random numbers
	Classes   []Class
	Tenants   []Tenant
	Cores     int
	Tier      int  // 0 for the tier that clients reach, 1 for the tier that tier 0 calls, and so on
	Peers     int  // servers of this tier, this one included
	Callers   int  // callers of this tier; an allowance is split over them
	ColdStart bool // the server has just started and is warming up

	MemoryKB            float64 // for queued, running and suspended requests and retained keys together
	KeyKB               float64 // memory of a retained key
	RunningMemoryFactor float64 // memory of a running request, as a multiple of RequestArrived.QueuedKB

	MaxConcurrencyPerCore float64       // running requests per core that a warm server survives
	MaxConcurrencyWindow  time.Duration // window over which MaxConcurrencyPerCore is averaged
	WarmUpMinSpeed        float64       // a cold server starts at no less than this share of its speed
	WarmUpTime            time.Duration // a cold server is warm after this time

	Dependency            Dependency
	CallConcurrencyShare  float64       // this server's share of the calls in flight that the dependency survives
	CallConcurrencyWindow time.Duration // window over which CallConcurrencyShare is averaged
	AbandonedCallTime     time.Duration // how long an abandoned call still occupies the dependency

	AnswerGrace time.Duration // how long after its deadline an answer still counts
	DrainGrace  time.Duration // requests read later than this after DrainRequested was sent are not run

	EndpointListIgnoresHealth bool // callers' endpoint lists reflect starts and drains, but not SetHealth

	DeadlinePropagated   bool    // RequestArrived.Deadline is set by callers
	RetriesMarked        bool    // RequestArrived.Retry is set by callers
	WeightPerWork        bool    // the weight of a class is earned per unit of work, not per request
	OverQuotaWeightShare float64 // share of the weight that a request beyond its tenant's quota earns
	Preemption           PreemptionMode
	LoadSignal           LoadSignalKind
	LoadSignalTTL        time.Duration // how long a caller uses a received load signal
	MaxRetryAfter        time.Duration // longest Reject.RetryAfter that callers respect
	MaxKeepAlive         time.Duration // callers close connections that have been idle for this time
	ResultFreshness      time.Duration // how long the result of an idempotent request may answer others; 0 = never
}

// validate returns an error that wraps ErrInvalidSettings if a value is out of range.
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

// activeClasses returns the classes that are not retired.
func (s *Settings) activeClasses() []Class {
	return slices.DeleteFunc(slices.Clone(s.Classes), func(class Class) bool { return class.Retired })
}
