package replicationwire

import (
	"fmt"

	"pewterline/internal/decide/consensus"
)

type requestEncoding struct {
	To          identityEncoding `cbor:"1,keyasint"`
	Key         []byte           `cbor:"2,keyasint"`
	Epoch       uint64           `cbor:"3,keyasint"`
	AttemptedAt int64            `cbor:"4,keyasint"`
	Ballot      ballotEncoding   `cbor:"5,keyasint"`
	Accept      bool             `cbor:"6,keyasint,omitempty"`
	Value       *valueEncoding   `cbor:"7,keyasint,omitempty"`
	Read        bool             `cbor:"8,keyasint,omitempty"`
}

type replyEncoding struct {
	From     identityEncoding `cbor:"1,keyasint"`
	Key      []byte           `cbor:"2,keyasint"`
	Epoch    uint64           `cbor:"3,keyasint"`
	Ballot   ballotEncoding   `cbor:"4,keyasint"`
	Accept   bool             `cbor:"5,keyasint,omitempty"`
	OK       bool             `cbor:"6,keyasint,omitempty"`
	Promised *ballotEncoding  `cbor:"7,keyasint,omitempty"`
	Accepted *ballotEncoding  `cbor:"8,keyasint,omitempty"`
	Value    *valueEncoding   `cbor:"9,keyasint,omitempty"`
	Read     bool             `cbor:"10,keyasint,omitempty"`
}

type transferAckEncoding struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	From  identityEncoding
}

type messageEncoding struct {
	Version      int                   `cbor:"1,keyasint"`
	Hello        *Hello                `cbor:"2,keyasint,omitempty"`
	Epoch        uint64                `cbor:"3,keyasint,omitempty"`
	Requests     []requestEncoding     `cbor:"4,keyasint,omitempty"`
	Replies      []replyEncoding       `cbor:"5,keyasint,omitempty"`
	Membership   string                `cbor:"6,keyasint,omitempty"`
	TransferAcks []transferAckEncoding `cbor:"7,keyasint,omitempty"`
}

// checkBounds checks that a key and its value are within the limits, and that the kind of the value is known.
func checkBounds(key []byte, value *valueEncoding) error {
	switch {
	case len(key) > MaxKey:
		return fmt.Errorf("%w: key of %d bytes exceeds %d", ErrTooLarge, len(key), MaxKey)
	case value == nil:
		return nil
	case len(value.Result) > MaxValue:
		return fmt.Errorf("%w: value of %d bytes exceeds %d", ErrTooLarge, len(value.Result), MaxValue)
	case value.Kind > uint8(consensus.KindMembership):
		return fmt.Errorf("%w: unknown value kind %d", ErrMalformedFrame, value.Kind)
	}
	return nil
}

func encodeRequest(request consensus.Request) requestEncoding {
	return requestEncoding{
		To:          encodeIdentity(request.To),
		Key:         []byte(request.Key),
		Epoch:       request.Epoch,
		AttemptedAt: request.AttemptedAt,
		Ballot:      encodeBallot(request.Ballot),
		Accept:      request.Accept,
		Value:       encodeValue(request.Value),
		Read:        request.Read,
	}
}

func (e requestEncoding) decode() (consensus.Request, error) {
	if err := checkBounds(e.Key, e.Value); err != nil {
		return consensus.Request{}, err
	}
	return consensus.Request{
		To:          e.To.decode(),
		Key:         string(e.Key),
		Epoch:       e.Epoch,
		AttemptedAt: e.AttemptedAt,
		Ballot:      e.Ballot.decode(),
		Accept:      e.Accept,
		Read:        e.Read,
		Value:       e.Value.decode(),
	}, nil
}

func encodeReply(reply consensus.Reply) replyEncoding {
	return replyEncoding{
		From:     encodeIdentity(reply.From),
		Key:      []byte(reply.Key),
		Epoch:    reply.Epoch,
		Ballot:   encodeBallot(reply.Ballot),
		Accept:   reply.Accept,
		OK:       reply.OK,
		Promised: encodeOptionalBallot(reply.Promised),
		Accepted: encodeOptionalBallot(reply.Accepted),
		Value:    encodeValue(reply.Value),
		Read:     reply.Read,
	}
}

func (e replyEncoding) decode() (consensus.Reply, error) {
	if err := checkBounds(e.Key, e.Value); err != nil {
		return consensus.Reply{}, err
	}
	return consensus.Reply{
		From:     e.From.decode(),
		Key:      string(e.Key),
		Epoch:    e.Epoch,
		Ballot:   e.Ballot.decode(),
		Accept:   e.Accept,
		Read:     e.Read,
		OK:       e.OK,
		Promised: e.Promised.decodeOptional(),
		Accepted: e.Accepted.decodeOptional(),
		Value:    e.Value.decode(),
	}, nil
}

func encodeMessage(message Message) messageEncoding {
	encoded := messageEncoding{
		Version:    Version,
		Hello:      message.Hello,
		Epoch:      message.Epoch,
		Membership: encodeMembership(message.Membership),
	}
	for _, request := range message.Requests {
		encoded.Requests = append(encoded.Requests, encodeRequest(request))
	}
	for _, reply := range message.Replies {
		encoded.Replies = append(encoded.Replies, encodeReply(reply))
	}
	for _, ack := range message.TransferAcks {
		encodedAck := transferAckEncoding{Epoch: ack.Epoch, From: encodeIdentity(ack.From)}
		encoded.TransferAcks = append(encoded.TransferAcks, encodedAck)
	}
	return encoded
}

func (e messageEncoding) decode() (Message, error) {
	message := Message{Hello: e.Hello, Epoch: e.Epoch}
	for _, encoded := range e.Requests {
		request, err := encoded.decode()
		if err != nil {
			return Message{}, err
		}
		message.Requests = append(message.Requests, request)
	}
	for _, encoded := range e.Replies {
		reply, err := encoded.decode()
		if err != nil {
			return Message{}, err
		}
		message.Replies = append(message.Replies, reply)
	}
	for _, ack := range e.TransferAcks {
		message.TransferAcks = append(message.TransferAcks,
			consensus.TransferAck{Epoch: ack.Epoch, From: ack.From.decode()})
	}
	var err error
	message.Membership, err = decodeMembership(e.Membership)
	return message, err
}

// longestList returns the number of items in the longest list.
func (e messageEncoding) longestList() int {
	return max(len(e.Requests), len(e.Replies), len(e.TransferAcks))
}
