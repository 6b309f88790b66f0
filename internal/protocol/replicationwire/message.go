package replicationwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"pewterline/internal/decide/consensus"
)

// Version is the version of messages and records. Other versions are errors.
const Version = 1

// The limits of a message, in bytes except MaxItems.
const (
	MaxFrame = 160 << 10 // of the CBOR map; less than transport's limit of unconsumed bytes
	MaxItems = 512       // requests, replies or transfer acknowledgements
	MaxKey   = 4 << 10
	MaxValue = 64 << 10 // a result, or a membership
)

// A frame is the length of its body, the body's checksum, and the body.
const (
	checksumOffset = 4
	bodyOffset     = 12
)

// Every error of this package wraps one of these. After ErrMalformedFrame the connection must be closed: bytes were
// lost, or the peer speaks another protocol.
var (
	ErrMalformedFrame = errors.New("replicationwire: broken frame")
	ErrTooLarge       = errors.New("replicationwire: too large")
)

// Hello identifies a server to the other end of a link. It is the first message in both directions.
type Hello struct {
	ID                 uint32 `cbor:"1,keyasint"`
	Incarnation        uint64 `cbor:"2,keyasint"`           // as an acceptor; it changes if the disk is lost
	ProcessIncarnation uint64 `cbor:"3,keyasint"`           // as a proposer; it changes with each process
	ClusterID          uint64 `cbor:"4,keyasint,omitempty"` // 0: in no group
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

// Append appends an encoded message to out. On an error, which wraps ErrTooLarge, out is returned unchanged.
func Append(out []byte, message Message) ([]byte, error) {
	encoded := encodeMessage(message)
	if encoded.longestList() > MaxItems {
		return out, fmt.Errorf("%w: a list of over %d items", ErrTooLarge, MaxItems)
	}
	body, err := cbor.Marshal(encoded)
	if err != nil {
		return out, fmt.Errorf("replicationwire: encode a message: %w", err)
	}
	if len(body) > MaxFrame {
		return out, fmt.Errorf("%w: a message of %d bytes is over %d", ErrTooLarge, len(body), MaxFrame)
	}
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	return append(out, body...), nil
}

// Parse decodes the first message in in. size is its length, or 0 while it is incomplete.
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

// frameBody returns the body of the first frame of in, or nil while it is incomplete.
func frameBody(in []byte) ([]byte, error) {
	if len(in) < checksumOffset {
		return nil, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length == 0 || length > MaxFrame {
		return nil, fmt.Errorf("%w: length %d is not within 1 to %d", ErrMalformedFrame, length, MaxFrame)
	}
	size := bodyOffset + int(length)
	if len(in) < size {
		return nil, nil
	}
	body := in[bodyOffset:size]
	// Without the checksum, a link that has lost bytes in the middle could lead to a vote that no server has cast.
	if xxhash.Sum64(body) != binary.BigEndian.Uint64(in[checksumOffset:]) {
		return nil, fmt.Errorf("%w: wrong checksum", ErrMalformedFrame)
	}
	return body, nil
}

func decodeBody(body []byte) (Message, error) {
	var encoded messageEncoding
	if err := decoding.Unmarshal(body, &encoded); err != nil {
		return Message{}, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	if encoded.Version != Version {
		return Message{}, fmt.Errorf("%w: version %d, ours is %d", ErrMalformedFrame, encoded.Version, Version)
	}
	if encoded.longestList() > MaxItems {
		return Message{}, fmt.Errorf("%w: a list of over %d items", ErrMalformedFrame, MaxItems)
	}
	return encoded.decode()
}
