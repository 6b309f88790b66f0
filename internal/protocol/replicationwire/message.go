package replicationwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/consensus"
)

// Version is the version of messages and records. Messages and records of other versions are rejected.
const Version = 1

// The limits of a message, in bytes except MaxItems.
const (
	MaxFrame = 160 << 10 // of the CBOR map; less than the limit of unconsumed bytes in package transport
	MaxItems = 512       // maximum number of requests, replies or transfer acknowledgements
	MaxKey   = 4 << 10
	MaxValue = 64 << 10 // of a result or a membership
)

// A frame consists of the length of its body, the checksum of its body, and the body.
const (
	checksumOffset = 4
	bodyOffset     = 12
)

// Every decoding error, and every encoding error about a limit, wraps one of these. After ErrMalformedFrame the
// connection must be closed: bytes were lost, or the peer uses another protocol.
var (
	ErrMalformedFrame = errors.New("replicationwire: malformed frame")
	ErrTooLarge       = errors.New("replicationwire: too large")
)

// Hello identifies a server to the other end of a link. It is the first message in both directions.
type Hello struct {
	ID                 uint32 `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"`           // as an acceptor; it changes when the disk is lost
	ProcessIncarnation uint64 `cbor:"3,keyasint"`           // as a proposer; it changes with each start of the process
	ClusterID          uint64 `cbor:"4,keyasint,omitempty"` // 0: not in a group
}

// Message is a message between two servers. Zero fields are not encoded.
type Message struct {
	Hello        *Hello
	Epoch        uint64 // of the sender's membership
	Requests     []consensus.Request
	Replies      []consensus.Reply
	Membership   *consensus.Membership
	TransferAcks []consensus.TransferAck
}

// Append appends an encoded message to out. If the message exceeds a limit, the error wraps ErrTooLarge. On an error,
// out is returned unchanged.
func Append(out []byte, message Message) ([]byte, error) {
	encoded := encodeMessage(message)
	if encoded.longestList() > MaxItems {
		return out, fmt.Errorf("%w: list of more than %d items", ErrTooLarge, MaxItems)
	}
	body, err := cbor.Marshal(encoded)
	if err != nil {
		return out, fmt.Errorf("replicationwire: encode message: %w", err)
	}
	if len(body) > MaxFrame {
		return out, fmt.Errorf("%w: message of %d bytes exceeds %d", ErrTooLarge, len(body), MaxFrame)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Parse decodes the first message in in. size is its encoded size, or 0 if the message is incomplete.
func Parse(in []byte) (message Message, size int, err error) {
	body, err := frameBody(in)
	if err != nil || body == nil {
		return Message{}, 0, err
	}
	message, err = decodeBody(body)
	if err != nil {
		return Message{}, 0, err
	}
	return message, bodyOffset + len(body), nil
}

// frameBody returns the body of the first frame in in, or nil if the frame is incomplete.
func frameBody(in []byte) ([]byte, error) {
	if len(in) < checksumOffset {
		return nil, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length == 0 || length > MaxFrame {
		return nil, fmt.Errorf("%w: length %d, want 1 to %d", ErrMalformedFrame, length, MaxFrame)
	}
	size := bodyOffset + int(length)
	if len(in) < size {
		return nil, nil
	}
	body := in[bodyOffset:size]
	// Without the checksum, bytes lost in the middle of the stream could be decoded as a vote that no server has cast.
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(in[checksumOffset:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrMalformedFrame)
	}
	return body, nil
}

func decodeBody(body []byte) (Message, error) {
	var encoded messageEncoding
	if err := decodeMode.Unmarshal(body, &encoded); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if encoded.Version != Version {
		return Message{}, fmt.Errorf("%w: version %d, want %d", ErrMalformedFrame, encoded.Version, Version)
	}
	if encoded.longestList() > MaxItems {
		return Message{}, fmt.Errorf("%w: list of more than %d items", ErrMalformedFrame, MaxItems)
	}
	return encoded.decode()
}
