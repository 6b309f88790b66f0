// Package ajp is the codec of AJP 1.3, for both the web server's and the container's side. The AJP frontend, the AJP
// backend and the web servers in tests use it. It works on byte slices, keeps no state between calls, does no I/O and
// does not interpret requests. The format is specified by the "AJPv13" page of the Apache Tomcat project.
package ajp

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// The sizes of the protocol, in bytes.
const (
	// MaxPacket is the size of the largest packet, its header included.
	MaxPacket = 8192
	// headerSize is the size of a packet's header: the sender's magic number and the payload's length.
	headerSize = 4
	// MaxBodyChunk is the most bytes of a body that fit in one packet, in either direction.
	MaxBodyChunk = MaxPacket - headerSize - 4
)

// The limits of the parts of a request that the parser stores.
const (
	maxHeaders            = 128
	maxStoredMethodLength = 64
)

// ErrInvalidPacket is wrapped by every error after which the stream cannot be parsed any further.
var ErrInvalidPacket = errors.New("ajp: broken packet")

// ErrMalformedRequest is wrapped by errors about a request in a valid packet. It can be answered with status 400.
var ErrMalformedRequest = errors.New("ajp: malformed request")

// Code is the type of a packet: the first byte of its payload, except in packets with a request's body.
type Code byte

// The types of packet.
const (
	CodeForwardRequest Code = 2
	CodeSendBodyChunk  Code = 3
	CodeSendHeaders    Code = 4
	CodeEndResponse    Code = 5
	CodeGetBodyChunk   Code = 6
	CodeShutdown       Code = 7
	CodePing           Code = 8
	CodeCPong          Code = 9
	CodeCPing          Code = 10
)

// Sender is the side that sends a packet. Its value is the magic number at the start of that side's packets.
type Sender uint16

// The two sides.
const (
	FromServer    Sender = 0x1234
	FromContainer Sender = 0x4142 // "AB"
)

// Header is one header field.
type Header struct{ Name, Value string }

// SplitPacket returns the payload of the first packet in in, and its size including the header. A nil payload without
// an error means that the packet is incomplete; the payload of an empty packet is empty but not nil. Errors wrap
// ErrInvalidPacket.
func SplitPacket(in []byte, from Sender) (payload []byte, size int, err error) {
	if len(in) >= 2 && Sender(binary.BigEndian.Uint16(in)) != from {
		return nil, 0, fmt.Errorf("%w: unexpected magic number %02x%02x", ErrInvalidPacket, in[0], in[1])
	}
	if len(in) < headerSize {
		return nil, 0, nil
	}
	length := int(binary.BigEndian.Uint16(in[2:]))
	if length > MaxPacket-headerSize {
		return nil, 0, fmt.Errorf("%w: length %d is over %d", ErrInvalidPacket, length, MaxPacket-headerSize)
	}
	size = headerSize + length
	if len(in) < size {
		return nil, 0, nil
	}
	return in[headerSize:size:size], size, nil
}
