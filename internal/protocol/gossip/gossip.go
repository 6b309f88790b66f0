// Package gossip reads and writes what instances tell each other of the log servers: frames of a length and a CBOR
// map (RFC 8949), over byte slices. Unknown fields are passed over; another version, a frame that is too long and a
// list that is too long are errors.
package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/loadbalancer"
	"pewterline/internal/microtime"
)

// Version is of the messages; one that does not have it is not understood.
const Version = 1

// The bounds of a message.
const (
	MaxFrameBytes   = 192 << 10 // below what transport lets wait in a buffer
	MaxObservations = 2000
	MaxPeers        = 64
)

// ErrMalformedFrame is wrapped by every error: the connection is past help.
var ErrMalformedFrame = errors.New("gossip: broken frame")

// Message is all that instances say: who they are, and what they know. Asking marks one that wants an answer.
type Message struct {
	Name         string
	Uptime       microtime.Time
	WantsReply   bool
	Observations []loadbalancer.Observation
	Peers        []Peer
}

// Peer is another instance and where it listens.
type Peer struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

type wireMessage struct {
	Version  int        `cbor:"1,keyasint"`
	Name     string     `cbor:"2,keyasint"`
	UptimeMS int64      `cbor:"3,keyasint"`
	Asking   bool       `cbor:"4,keyasint,omitempty"`
	Facts    []wireFact `cbor:"5,keyasint,omitempty"`
	Peers    []Peer     `cbor:"6,keyasint,omitempty"`
}

type wireFact struct {
	Server   string  `cbor:"1,keyasint"`
	Kind     uint8   `cbor:"2,keyasint"`
	Value    float64 `cbor:"3,keyasint,omitempty"`
	Evidence float64 `cbor:"4,keyasint"`
	AgeMS    int64   `cbor:"5,keyasint"`
	Source   string  `cbor:"6,keyasint"`
	Hops     int     `cbor:"7,keyasint"`
}

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4 * MaxObservations, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// Append writes a message. What goes beyond the bounds is left out, the last first.
func Append(out []byte, m Message) ([]byte, error) {
	w := wireMessage{Version: Version, Name: m.Name, UptimeMS: int64(m.Uptime / microtime.Millisecond), Asking: m.WantsReply,
		Peers: m.Peers[:min(len(m.Peers), MaxPeers)]}
	for _, f := range m.Observations[:min(len(m.Observations), MaxObservations)] {
		w.Facts = append(w.Facts, wireFact{f.Endpoint, uint8(f.Kind), f.Value, f.Evidence, int64(f.Age / microtime.Millisecond), f.Source, f.Hops})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return out, fmt.Errorf("gossip: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return out, fmt.Errorf("gossip: a message of %d bytes is over %d", len(body), MaxFrameBytes)
	}
	return append(binary.BigEndian.AppendUint32(out, uint32(len(body))), body...), nil
}

// Parse takes the first message off in. n is 0 while it is not whole.
func Parse(in []byte) (m Message, n int, err error) {
	if len(in) < 4 {
		return m, 0, nil
	}
	size := binary.BigEndian.Uint32(in)
	if size == 0 || size > MaxFrameBytes {
		return m, 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrMalformedFrame, size, MaxFrameBytes)
	}
	if len(in) < 4+int(size) {
		return m, 0, nil
	}
	var w wireMessage
	if err := reader.Unmarshal(in[4:4+size], &w); err != nil {
		return m, 0, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	switch {
	case w.Version != Version:
		return m, 0, fmt.Errorf("%w: version %d, ours is %d", ErrMalformedFrame, w.Version, Version)
	case len(w.Facts) > MaxObservations:
		return m, 0, fmt.Errorf("%w: %d facts are over %d", ErrMalformedFrame, len(w.Facts), MaxObservations)
	case len(w.Peers) > MaxPeers:
		return m, 0, fmt.Errorf("%w: %d peers are over %d", ErrMalformedFrame, len(w.Peers), MaxPeers)
	}
	const most = 1 << 40 // milliseconds; what is beyond would not fit in microseconds, and is refused as out of bounds
	ms := func(v int64) microtime.Time { return microtime.Time(min(max(v, -1), most)) * microtime.Millisecond }
	m = Message{Name: w.Name, Uptime: ms(w.UptimeMS), WantsReply: w.Asking, Peers: w.Peers}
	for _, f := range w.Facts {
		m.Observations = append(m.Observations, loadbalancer.Observation{Endpoint: f.Server, Kind: loadbalancer.ObservationKind(f.Kind), Value: f.Value, Evidence: f.Evidence, Age: ms(f.AgeMS),
			Source: f.Source, Hops: f.Hops})
	}
	return m, 4 + int(size), nil
}
