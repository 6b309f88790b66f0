// Package thrift is the codec of the platform's service: Thrift's strict binary protocol in framed transport. The
// Thrift frontend, the upstream backend and the callers in tests use it. It works on byte slices, keeps no state
// between calls, does no I/O and does not interpret requests.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxFrame is the limit of a frame's payload, in bytes. It is several times the size of a request with a body of 2 KiB.
const MaxFrame = 16 << 10

// frameHeaderSize is the size of the length prefix of each payload, in bytes.
const frameHeaderSize = 4

// The first 32 bits of each message have the version in the upper half and the message type in the lowest byte.
const (
	version1    = 0x80010000
	versionMask = 0xffff0000
)

// messageType is the type of a message.
type messageType byte

const (
	messageCall      messageType = 1
	messageReply     messageType = 2
	messageException messageType = 3
	messageOneway    messageType = 4
)

// valueType is the type of a value on the wire.
type valueType byte

// The types that this service uses, and those that it must be able to skip in unknown fields.
const (
	typeStop   valueType = 0
	typeBool   valueType = 2
	typeByte   valueType = 3
	typeDouble valueType = 4
	typeI16    valueType = 6
	typeI32    valueType = 8
	typeI64    valueType = 10
	typeString valueType = 11
	typeStruct valueType = 12
	typeMap    valueType = 13
	typeSet    valueType = 14
	typeList   valueType = 15
)

// ExceptionCode is the type of a TApplicationException.
type ExceptionCode uint32

// The exception codes that this service uses, with Thrift's numbers.
const (
	ExceptionUnknownMethod ExceptionCode = 1
	ExceptionInternalError ExceptionCode = 6
	ExceptionProtocolError ExceptionCode = 7
)

// The names of the service's methods on the wire.
const (
	ProcessName  = "process"
	giveUpName   = "giveUp"
	probeName    = "probe"
	farewellName = "farewell"
)

// ErrInvalidFrame is wrapped by every error after which the stream cannot be parsed any further.
var ErrInvalidFrame = errors.New("thrift: broken frame")

// Field is an entry of the map of strings in requests and responses. A slice of Fields keeps their order, so that equal
// messages have equal encodings.
type Field struct{ Name, Value string }

// SplitFrame returns the payload of the first frame in in, and its size including the header. A nil payload without an
// error means that the frame is incomplete. Errors wrap ErrInvalidFrame.
func SplitFrame(in []byte) (payload []byte, size int, err error) {
	if len(in) < frameHeaderSize {
		return nil, 0, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length == 0 || length > MaxFrame {
		return nil, 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrInvalidFrame, length, MaxFrame)
	}
	size = frameHeaderSize + int(length)
	if len(in) < size {
		return nil, 0, nil
	}
	return in[frameHeaderSize:size], size, nil
}
