package loadbalancer

import (
	"errors"
	"fmt"
	"math"

	"pewterline/internal/microtime"
)

// ObservationKind is what an observation says about an endpoint. The numbers are part of the wire format.
type ObservationKind uint8

// The kinds of observation.
const (
	Unreachable    ObservationKind = iota + 1 // attempts at the endpoint failed
	Reachable                                 // the endpoint answered
	TypicalLatency                            // Value is the median latency of the endpoint in microseconds
	Recovered                                 // the endpoint recovered; older observations are of an earlier incarnation
	endOfKinds                                // exclusive upper bound of the valid kinds
)

// String names the kind.
func (k ObservationKind) String() string {
	switch k {
	case Unreachable:
		return "unreachable"
	case Reachable:
		return "reachable"
	case TypicalLatency:
		return "typical latency"
	case Recovered:
		return "recovered"
	default:
		return fmt.Sprintf("ObservationKind(%d)", uint8(k))
	}
}

// halfLife returns the time in which an observation of the kind loses half of its weight.
func (k ObservationKind) halfLife() microtime.Time {
	switch k {
	case Unreachable, Reachable:
		return 10 * microtime.Second
	case TypicalLatency:
		return 20 * microtime.Second
	default:
		return 120 * microtime.Second
	}
}

// Observation is what an instance observed about an endpoint. It is sent with its age instead of a time, because the
// clocks of the instances differ.
type Observation struct {
	Endpoint string
	Kind     ObservationKind
	Value    float64        // only of TypicalLatency: microseconds
	Evidence float64        // number of attempts that support the observation; over 0
	Age      microtime.Time // time since the observation was made
	Source   string         // name of the instance that made the observation
	Hops     int            // number of times the observation was sent on; 1 if received from its source
}

// GossipSender is the instance that sent a gossip message.
type GossipSender struct {
	Name   string
	Uptime microtime.Time // bounds the evidence of its observations
}

// Bounds of the observations that are accepted from other instances.
const (
	MaxHops = 4
	MaxAge  = 600 * microtime.Second
	// maxObservedLatency bounds the value of TypicalLatency, in microseconds.
	maxObservedLatency = float64(60 * microtime.Second)
	// maxNameLength bounds the names of endpoints and instances, in bytes.
	maxNameLength = 64
)

// ErrInvalidGossip is wrapped by errors about gossip with a field that is out of bounds.
var ErrInvalidGossip = errors.New("loadbalancer: invalid gossip")

func invalidGossip(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidGossip, field, fmt.Sprintf(format, args...))
}

// ValidateObservation returns an error that wraps ErrInvalidGossip if a field of the observation is out of bounds.
func ValidateObservation(observation Observation) error {
	evidenceOK := observation.Evidence > 0 && !math.IsInf(observation.Evidence, 0)
	latencyOK := observation.Value > 0 && observation.Value <= maxObservedLatency
	switch {
	case !validName(observation.Endpoint):
		return invalidGossip("endpoint", "name has an invalid length of %d bytes", len(observation.Endpoint))
	case !validName(observation.Source):
		return invalidGossip("source", "name has an invalid length of %d bytes", len(observation.Source))
	case observation.Kind == 0 || observation.Kind >= endOfKinds:
		return invalidGossip("kind", "unknown kind %d", observation.Kind)
	case observation.Age < 0 || observation.Age > MaxAge:
		return invalidGossip("age", "%v is not within 0 to %v", observation.Age.Duration(), MaxAge.Duration())
	case observation.Hops < 0 || observation.Hops > MaxHops:
		return invalidGossip("hops", "%d is not within 0 to %d", observation.Hops, MaxHops)
	case !evidenceOK:
		return invalidGossip("evidence", "%v is not a positive finite number", observation.Evidence)
	case observation.Kind == TypicalLatency && !latencyOK:
		return invalidGossip("value", "latency %v is not over 0 and at most %v", observation.Value, maxObservedLatency)
	}
	return nil
}

func validName(name string) bool { return name != "" && len(name) <= maxNameLength }

func (s *GossipSender) validate() error {
	if s.Uptime < 0 || !validName(s.Name) {
		return invalidGossip("sender", "name %q or uptime %v is out of bounds", s.Name, s.Uptime.Duration())
	}
	return nil
}

// validateOwn returns an error if an observation that the sender made itself does not have exactly one hop or is older
// than the sender's uptime.
func (s *GossipSender) validateOwn(observation *Observation) error {
	if observation.Source != s.Name || observation.Hops == 1 && observation.Age <= s.Uptime {
		return nil
	}
	return invalidGossip("age", "observation by the sender %s has age %v and %d hops; the sender's uptime is %v",
		s.Name, observation.Age.Duration(), observation.Hops, s.Uptime.Duration())
}
