// Package replicationwire reads and writes what log servers that hold copies say to each other, and what they keep of it on disk: frames of
// a length, a checksum and a CBOR map (RFC 8949), over byte slices. Unknown fields are passed over; another version, a frame that
// is too long, a list that is too long and a wrong checksum are errors.
package replicationwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/consensus"
)

// Version is of the messages and of the records; what does not have it is not understood.
const Version = 1

// The bounds of a message.
const (
	MaxFrame = 160 << 10 // below what transport lets wait in a buffer
	MaxItems = 512       // requests, replies or slots
	MaxKey   = 4 << 10
	MaxValue = 64 << 10 // a result, or a group
	head     = 12
)

// The errors; every error wraps one of them. After ErrFrame the connection is past help: bytes of it were lost, or it is of
// something else.
var (
	ErrFrame    = errors.New("copylink: broken frame")
	ErrTooLarge = errors.New("copylink: too large")
)

// Hello says who is at an end of a link. It comes first.
type Hello struct {
	ID                 uint32 `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"` // as a holder
	ProcessIncarnation uint64 `cbor:"3,keyasint"`
	ClusterID          uint64 `cbor:"4,keyasint,omitempty"` // its name; 0: none is known
}

// Message is all that servers say.
type Message struct {
	Hello        *Hello
	Epoch        uint64 // that the sender goes by
	Requests     []consensus.Request
	Replies      []consensus.Reply
	Membership   *consensus.Membership
	TransferAcks []consensus.TransferAck
}

type ballot struct {
	_    struct{} `cbor:",toarray"`
	N    uint64
	ID   uint32
	Life uint64
}

type member struct {
	_    struct{} `cbor:",toarray"`
	ID   uint32
	Life uint64
}

type value struct {
	Kind   uint8  `cbor:"1,keyasint,omitempty"`
	Owner  uint32 `cbor:"2,keyasint,omitempty"`
	Life   uint64 `cbor:"3,keyasint,omitempty"`
	Try    uint64 `cbor:"4,keyasint,omitempty"`
	At     int64  `cbor:"5,keyasint,omitempty"`
	Result []byte `cbor:"6,keyasint,omitempty"`
}

type request struct {
	To     member `cbor:"1,keyasint"`
	Key    []byte `cbor:"2,keyasint"`
	Epoch  uint64 `cbor:"3,keyasint"`
	At     int64  `cbor:"4,keyasint"`
	Ballot ballot `cbor:"5,keyasint"`
	Accept bool   `cbor:"6,keyasint,omitempty"`
	Value  *value `cbor:"7,keyasint,omitempty"`
	Peek   bool   `cbor:"8,keyasint,omitempty"`
}

type reply struct {
	From     member  `cbor:"1,keyasint"`
	Key      []byte  `cbor:"2,keyasint"`
	Epoch    uint64  `cbor:"3,keyasint"`
	Ballot   ballot  `cbor:"4,keyasint"`
	Accept   bool    `cbor:"5,keyasint,omitempty"`
	OK       bool    `cbor:"6,keyasint,omitempty"`
	Promised *ballot `cbor:"7,keyasint,omitempty"`
	Accepted *ballot `cbor:"8,keyasint,omitempty"`
	Value    *value  `cbor:"9,keyasint,omitempty"`
	Peek     bool    `cbor:"10,keyasint,omitempty"`
}

type mark struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	Of    member
}

type message struct {
	Version  int       `cbor:"1,keyasint"`
	Hello    *Hello    `cbor:"2,keyasint,omitempty"`
	Epoch    uint64    `cbor:"3,keyasint,omitempty"`
	Requests []request `cbor:"4,keyasint,omitempty"`
	Replies  []reply   `cbor:"5,keyasint,omitempty"`
	Group    string    `cbor:"6,keyasint,omitempty"`
	Marks    []mark    `cbor:"7,keyasint,omitempty"`
}

var reader = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

func toBallot(b consensus.Ballot) ballot {
	return ballot{N: b.Number, ID: b.Proposer.ID, Life: b.Proposer.Incarnation}
}

func (b ballot) ballot() consensus.Ballot {
	return consensus.Ballot{Number: b.N, Proposer: consensus.Identity{ID: b.ID, Incarnation: b.Life}}
}

func someBallot(b consensus.Ballot) *ballot {
	if b == (consensus.Ballot{}) {
		return nil
	}
	w := toBallot(b)
	return &w
}

func (b *ballot) orNone() (out consensus.Ballot) {
	if b != nil {
		out = b.ballot()
	}
	return out
}

func toMember(m consensus.Identity) member  { return member{ID: m.ID, Life: m.Incarnation} }
func (m member) member() consensus.Identity { return consensus.Identity{ID: m.ID, Incarnation: m.Life} }

func toValue(v consensus.Value) *value {
	if v == (consensus.Value{}) {
		return nil
	}
	return &value{uint8(v.Kind), v.Owner, v.Incarnation, v.Attempt, v.AttemptedAt, []byte(v.Result)}
}

func (v *value) value() consensus.Value {
	if v == nil {
		return consensus.Value{}
	}
	return consensus.Value{Kind: consensus.ValueKind(v.Kind), Owner: v.Owner, Incarnation: v.Life, Attempt: v.Try, AttemptedAt: v.At, Result: string(v.Result)}
}

func bounds(key int, v *value) error {
	switch {
	case key > MaxKey:
		return fmt.Errorf("%w: a key of %d bytes is over %d", ErrTooLarge, key, MaxKey)
	case v != nil && len(v.Result) > MaxValue:
		return fmt.Errorf("%w: a value of %d bytes is over %d", ErrTooLarge, len(v.Result), MaxValue)
	case v != nil && v.Kind > uint8(consensus.KindMembership):
		return fmt.Errorf("%w: a value of kind %d", ErrFrame, v.Kind)
	}
	return nil
}

// Append writes a message.
func Append(out []byte, m Message) ([]byte, error) {
	w := message{Version: Version, Hello: m.Hello, Epoch: m.Epoch}
	if len(m.Requests) > MaxItems || len(m.Replies) > MaxItems || len(m.TransferAcks) > MaxItems {
		return out, fmt.Errorf("%w: over %d items", ErrTooLarge, MaxItems)
	}
	for _, r := range m.Requests {
		w.Requests = append(w.Requests, request{toMember(r.To), []byte(r.Key), r.Epoch, r.AttemptedAt, toBallot(r.Ballot), r.Accept, toValue(r.Value), r.Read})
	}
	for _, r := range m.Replies {
		w.Replies = append(w.Replies, reply{toMember(r.From), []byte(r.Key), r.Epoch, toBallot(r.Ballot), r.Accept, r.OK, someBallot(r.Promised), someBallot(r.Accepted), toValue(r.Value), r.Read})
	}
	if m.Membership != nil {
		w.Group = m.Membership.String()
	}
	for _, k := range m.TransferAcks {
		w.Marks = append(w.Marks, mark{Epoch: k.Epoch, Of: toMember(k.From)})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return out, fmt.Errorf("copylink: %w", err)
	}
	if len(body) > MaxFrame {
		return out, fmt.Errorf("%w: a message of %d bytes is over %d", ErrTooLarge, len(body), MaxFrame)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Parse takes the first message off in. n is 0 while it is not whole.
func Parse(in []byte) (m Message, n int, err error) {
	if len(in) < 4 {
		return m, 0, nil
	}
	size := binary.BigEndian.Uint32(in)
	if size == 0 || size > MaxFrame {
		return m, 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrFrame, size, MaxFrame)
	}
	n = head + int(size)
	if len(in) < n {
		return m, 0, nil
	}
	// Guards the votes against a link that has lost bytes in the middle: what follows would be read as something else.
	if xxhash.Sum64(in[head:n]) != binary.BigEndian.Uint64(in[4:]) {
		return m, 0, fmt.Errorf("%w: wrong checksum", ErrFrame)
	}
	var w message
	if err := reader.Unmarshal(in[head:n], &w); err != nil {
		return m, 0, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if w.Version != Version {
		return m, 0, fmt.Errorf("%w: version %d, ours is %d", ErrFrame, w.Version, Version)
	}
	if len(w.Requests) > MaxItems || len(w.Replies) > MaxItems || len(w.Marks) > MaxItems {
		return m, 0, fmt.Errorf("%w: over %d items", ErrFrame, MaxItems)
	}
	m = Message{Hello: w.Hello, Epoch: w.Epoch}
	for _, r := range w.Requests {
		if err := bounds(len(r.Key), r.Value); err != nil {
			return m, 0, err
		}
		m.Requests = append(m.Requests, consensus.Request{To: r.To.member(), Key: string(r.Key), Epoch: r.Epoch, AttemptedAt: r.At, Ballot: r.Ballot.ballot(), Accept: r.Accept, Read: r.Peek, Value: r.Value.value()})
	}
	for _, r := range w.Replies {
		if err := bounds(len(r.Key), r.Value); err != nil {
			return m, 0, err
		}
		m.Replies = append(m.Replies, consensus.Reply{From: r.From.member(), Key: string(r.Key), Epoch: r.Epoch, Ballot: r.Ballot.ballot(), Accept: r.Accept, Read: r.Peek, OK: r.OK,
			Promised: r.Promised.orNone(), Accepted: r.Accepted.orNone(), Value: r.Value.value()})
	}
	if w.Group != "" {
		g, err := consensus.ParseMembership(w.Group)
		if err != nil {
			return m, 0, fmt.Errorf("%w: %w", ErrFrame, err)
		}
		m.Membership = &g
	}
	for _, k := range w.Marks {
		m.TransferAcks = append(m.TransferAcks, consensus.TransferAck{Epoch: k.Epoch, From: k.Of.member()})
	}
	return m, n, nil
}

// Record is what a holder keeps on disk: who it is, which group it goes by, slots, and that all keys before a time are forgotten.
// Fields that are zero say nothing.
type Record struct {
	Incarnation  uint64
	Membership   *consensus.Membership
	Registers    []consensus.SavedRegister
	ForgetBefore int64
}

type slot struct {
	Key      []byte  `cbor:"1,keyasint"`
	Promised ballot  `cbor:"2,keyasint"`
	Accepted *ballot `cbor:"3,keyasint,omitempty"`
	Value    *value  `cbor:"4,keyasint,omitempty"`
	At       int64   `cbor:"5,keyasint,omitempty"`
	Moved    uint64  `cbor:"6,keyasint,omitempty"`
}

type record struct {
	Version int    `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint,omitempty"`
	Group   string `cbor:"3,keyasint,omitempty"`
	Slots   []slot `cbor:"4,keyasint,omitempty"`
	Forget  int64  `cbor:"5,keyasint,omitempty"`
}

// AppendRecord writes a record, whose end is the end of the slice.
func AppendRecord(out []byte, r Record) ([]byte, error) {
	w := record{Version: Version, Life: r.Incarnation, Forget: r.ForgetBefore}
	if r.Membership != nil {
		w.Group = r.Membership.String()
	}
	for _, s := range r.Registers {
		w.Slots = append(w.Slots, slot{[]byte(s.Key), toBallot(s.Register.Promised), someBallot(s.Register.Accepted), toValue(s.Register.Value), s.Register.LastAttemptAt, s.Register.TransferredEpoch})
	}
	body, err := cbor.Marshal(w)
	if err != nil {
		return out, fmt.Errorf("copylink: %w", err)
	}
	return append(out, body...), nil
}

// ParseRecord reads a record.
func ParseRecord(in []byte) (r Record, err error) {
	var w record
	if err := reader.Unmarshal(in, &w); err != nil {
		return r, fmt.Errorf("%w: a record: %w", ErrFrame, err)
	}
	if w.Version != Version {
		return r, fmt.Errorf("%w: a record of version %d, ours is %d", ErrFrame, w.Version, Version)
	}
	r = Record{Incarnation: w.Life, ForgetBefore: w.Forget}
	if w.Group != "" {
		g, err := consensus.ParseMembership(w.Group)
		if err != nil {
			return r, fmt.Errorf("%w: a record: %w", ErrFrame, err)
		}
		r.Membership = &g
	}
	for _, s := range w.Slots {
		r.Registers = append(r.Registers, consensus.SavedRegister{Key: string(s.Key), Register: consensus.Register{Promised: s.Promised.ballot(), Accepted: s.Accepted.orNone(), Value: s.Value.value(), LastAttemptAt: s.At, TransferredEpoch: s.Moved}})
	}
	return r, nil
}
