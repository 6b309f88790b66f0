// Package gossip encodes and decodes the messages in which instances exchange observations of upstream endpoints. The
// frame of a message consists of a length and a CBOR map (RFC 8949). internal/peers sends and receives the messages,
// and internal/decide/loadbalancer evaluates the observations. The package works on byte slices and does no I/O.
//
// Unknown fields are ignored. An unsupported version, a frame that is too long and a list that is too long are errors.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
)

// Version is the version of the messages. Parse rejects others.
const Version = 1

// The limits of a message.
const (
	MaxFrameBytes   = 192 << 10 // less than the transport's limit of unconsumed bytes
	MaxObservations = 2000
	MaxPeers        = 64
)

const (
	// lengthBytes is the size of the length before each message, which is in big-endian order.
	lengthBytes = 4
	// maxArrayElements is above MaxObservations, so that a list that is too long is reported as such.
	maxArrayElements = 4 * MaxObservations
	maxMapPairs      = 64
	maxNestedLevels  = 8
	// maxMillis is the longest decoded duration, in milliseconds, so that the conversion to microseconds cannot
	// overflow. It exceeds the load balancer's limits, so a duration that is cut to it is still rejected there.
	maxMillis = 1 << 40
)

var (
	// ErrMalformedFrame is wrapped by every error of Parse: the connection must be closed.
	ErrMalformedFrame = errors.New("gossip: broken frame")
	// ErrTooLarge is wrapped by the error of Append about a message that does not fit in a frame.
	ErrTooLarge = errors.New("gossip: message too large")
)

// VersionError is wrapped by the error of Parse about a message of an unsupported version.
type VersionError struct {
	Version int // of the message
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not the supported version %d", e.Version, Version)
}

// countError is the error of a message with too many items of one kind.
type countError struct {
	count int
	items string
	limit int
}

// Error implements error.
func (e *countError) Error() string {
	return fmt.Sprintf("%d %s exceed the limit of %d", e.count, e.items, e.limit)
}

// Message is a gossip message: the sender's identity, its observations, and the peers that it knows.
type Message struct {
	Name         string
	Uptime       microtime.Time // in whole milliseconds on the wire
	WantsReply   bool
	Observations []loadbalancer.Observation
	Peers        []Peer
}

// Peer is another instance, with the address where it listens.
type Peer struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// wireMessage defines the format of a Message.
type wireMessage struct {
	Version      int               `cbor:"1,keyasint"`
	Name         string            `cbor:"2,keyasint"`
	UptimeMillis int64             `cbor:"3,keyasint"`
	WantsReply   bool              `cbor:"4,keyasint,omitempty"`
	Observations []wireObservation `cbor:"5,keyasint,omitempty"`
	Peers        []Peer            `cbor:"6,keyasint,omitempty"`
}

// wireObservation defines the format of an observation.
type wireObservation struct {
	Endpoint  string  `cbor:"1,keyasint"`
	Kind      uint8   `cbor:"2,keyasint"`
	Value     float64 `cbor:"3,keyasint,omitempty"`
	Evidence  float64 `cbor:"4,keyasint"`
	AgeMillis int64   `cbor:"5,keyasint"`
	Source    string  `cbor:"6,keyasint"`
	Hops      int     `cbor:"7,keyasint"`
}

// decoder returns the decoding mode, which enforces the limits of a message.
var decoder = sync.OnceValues(func() (cbor.DecMode, error) {
	return cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
})

// Append appends the frame of a message to out. Observations and peers beyond the limits are omitted from the end of
// the lists. On an error, out is returned unchanged.
func Append(out []byte, message Message) ([]byte, error) {
	encoded := wireMessage{
		Version:      Version,
		Name:         message.Name,
		UptimeMillis: int64(message.Uptime / microtime.Millisecond),
		WantsReply:   message.WantsReply,
		Peers:        message.Peers[:min(len(message.Peers), MaxPeers)],
	}
	for _, observation := range message.Observations[:min(len(message.Observations), MaxObservations)] {
		encoded.Observations = append(encoded.Observations, encodeObservation(&observation))
	}
	body, err := cbor.Marshal(encoded)
	if err != nil {
		return out, fmt.Errorf("gossip: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return out, fmt.Errorf("%w: %d bytes exceed the limit of %d", ErrTooLarge, len(body), MaxFrameBytes)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	return append(out, body...), nil
}

// Parse decodes the first frame of in and returns its size. The size is 0 while the frame is incomplete.
func Parse(in []byte) (message Message, size int, err error) {
	if len(in) < lengthBytes {
		return message, 0, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length == 0 || length > MaxFrameBytes {
		return message, 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrMalformedFrame, length, MaxFrameBytes)
	}
	size = lengthBytes + int(length)
	if len(in) < size {
		return message, 0, nil
	}
	decoded, err := decode(in[lengthBytes:size])
	if err != nil {
		return message, 0, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	message = Message{
		Name:       decoded.Name,
		Uptime:     fromMillis(decoded.UptimeMillis),
		WantsReply: decoded.WantsReply,
		Peers:      decoded.Peers,
	}
	for i := range decoded.Observations {
		message.Observations = append(message.Observations, decoded.Observations[i].decode())
	}
	return message, size, nil
}

// decode decodes the body of a frame and checks its limits.
func decode(body []byte) (decoded wireMessage, err error) {
	mode, err := decoder()
	if err != nil {
		return decoded, err
	}
	if err := mode.Unmarshal(body, &decoded); err != nil {
		return decoded, err
	}
	switch {
	case decoded.Version != Version:
		return decoded, &VersionError{Version: decoded.Version}
	case len(decoded.Observations) > MaxObservations:
		return decoded, &countError{count: len(decoded.Observations), items: "observations", limit: MaxObservations}
	case len(decoded.Peers) > MaxPeers:
		return decoded, &countError{count: len(decoded.Peers), items: "peers", limit: MaxPeers}
	}
	return decoded, nil
}

func encodeObservation(observation *loadbalancer.Observation) wireObservation {
	return wireObservation{
		Endpoint:  observation.Endpoint,
		Kind:      uint8(observation.Kind),
		Value:     observation.Value,
		Evidence:  observation.Evidence,
		AgeMillis: int64(observation.Age / microtime.Millisecond),
		Source:    observation.Source,
		Hops:      observation.Hops,
	}
}

func (o *wireObservation) decode() loadbalancer.Observation {
	return loadbalancer.Observation{
		Endpoint: o.Endpoint,
		Kind:     loadbalancer.ObservationKind(o.Kind),
		Value:    o.Value,
		Evidence: o.Evidence,
		Age:      fromMillis(o.AgeMillis),
		Source:   o.Source,
		Hops:     o.Hops,
	}
}

// fromMillis converts a duration from the wire. A negative one stays negative, so that the load balancer rejects it.
func fromMillis(millis int64) microtime.Time {
	return microtime.Time(min(max(millis, -1), maxMillis)) * microtime.Millisecond
}
