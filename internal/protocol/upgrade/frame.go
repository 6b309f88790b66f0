package upgrade

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Version is the version of the messages. It is part of the preamble, so that another version is detected before any
// message is decoded.
const Version = 1

// Preamble is sent first in both directions.
var Preamble = [6]byte{'p', 'w', 't', 'u', 0, Version}

const (
	preambleMagicBytes = 4 // size of the part of the preamble before the version
	lengthBytes        = 4 // size of the length before the body of a frame
)

// The limits of a message's body and of a result in it, in bytes. The platform limits results to 4 KiB.
const (
	MaxFrame  = 64 << 10
	MaxResult = MaxFrame - 4<<10
)

// ChunkKeys is the number of keys that are sent before the successor has to ask for more. Even with the largest
// results, a chunk is smaller than transport's limit of unsent bytes.
const ChunkKeys = 32

// Every error of this package wraps one of these errors. After either of them the connection must be closed.
var (
	ErrMalformedFrame  = errors.New("upgrade: broken frame")
	ErrVersionMismatch = errors.New("upgrade: the other process speaks another version")
)

// CheckPreamble checks the preamble at the front of in. complete is false while bytes of the preamble are missing.
func CheckPreamble(in []byte) (complete bool, err error) {
	received := min(len(in), len(Preamble))
	for i := range received {
		if in[i] == Preamble[i] {
			continue
		}
		if i < preambleMagicBytes {
			return false, fmt.Errorf("%w: no preamble", ErrMalformedFrame)
		}
		return false, ErrVersionMismatch
	}
	return received == len(Preamble), nil
}

// Append appends an encoded message to out.
func Append(out []byte, message Message) []byte {
	body := encode(message)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	return append(out, body...)
}

// Size returns the length of a body from the four bytes at the front of in, which precede the body.
func Size(in []byte) (int, error) {
	length := binary.BigEndian.Uint32(in)
	if length == 0 || length > MaxFrame {
		return 0, fmt.Errorf("%w: length %d is not within 1 to %d", ErrMalformedFrame, length, MaxFrame)
	}
	return int(length), nil
}

// Parse decodes the first message in in. size is its length, or 0 while it is incomplete.
func Parse(in []byte) (message Message, size int, err error) {
	if len(in) < lengthBytes {
		return Message{}, 0, nil
	}
	length, err := Size(in)
	if err != nil || len(in) < lengthBytes+length {
		return Message{}, 0, err
	}
	size = lengthBytes + length
	message, err = Decode(in[lengthBytes:size])
	return message, size, err
}
