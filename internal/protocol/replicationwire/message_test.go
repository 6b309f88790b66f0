package replicationwire

import (
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
)

// sampleMessage returns a message in which every field is set.
func sampleMessage() Message {
	acceptor := consensus.Identity{ID: 3, Incarnation: 1 << 63}
	ballot := consensus.Ballot{Number: 9, Proposer: acceptor}
	value := consensus.Value{Kind: consensus.KindSucceeded, Owner: 3, Incarnation: 4, Attempt: 5,
		AttemptedAt: 1764547200000, Result: "did \xff it"}
	return Message{
		Hello: &Hello{3, 4, 5, 6},
		Epoch: 2,
		Requests: []consensus.Request{
			{To: acceptor, Key: "t\x00\xffk", Epoch: 2, AttemptedAt: 8, Ballot: ballot, Read: true},
			{To: acceptor, Key: "k", Epoch: 2, AttemptedAt: 8, Ballot: ballot, Accept: true, Value: value},
		},
		Replies: []consensus.Reply{
			{From: acceptor, Key: "k", Epoch: 2, Ballot: ballot, Promised: ballot, Read: true},
			{From: acceptor, Key: "k", Epoch: 2, Ballot: ballot, Accept: true, OK: true, Accepted: ballot, Value: value},
		},
		Membership: &consensus.Membership{
			ClusterID:         7,
			Epoch:             2,
			ReplicationFactor: 3,
			Current:           []consensus.Member{{Identity: acceptor, Addr: "127.0.0.1:1"}},
			Reason:            "be\"cause",
		},
		TransferAcks: []consensus.TransferAck{{Epoch: 2, From: acceptor}},
	}
}

// A message is decoded as it was encoded. A truncated message is reported as incomplete, and a corrupted byte is an
// error or makes the message incomplete.
func TestMessages(t *testing.T) {
	want := sampleMessage()
	out, err := Append(nil, want)
	require.NoError(t, err)
	out, err = Append(out, Message{Epoch: 3})
	require.NoError(t, err)
	got, n, err := Parse(out)
	require.NoError(t, err)
	require.Equal(t, want, got)
	for i := range n {
		_, size, err := Parse(out[:i])
		require.NoError(t, err)
		require.Zero(t, size)
	}
	for i := range n {
		corrupted := append([]byte(nil), out[:n]...)
		corrupted[i] ^= 0x10
		_, size, err := Parse(corrupted)
		if i >= 4 { // otherwise the length is corrupted, and the frame may seem incomplete
			require.ErrorIs(t, err, ErrMalformedFrame, i)
		}
		require.Zero(t, size)
	}
	got, _, err = Parse(out[n:])
	require.NoError(t, err)
	require.Equal(t, Message{Epoch: 3}, got)
}

// Guards memory use: messages over the limits are rejected when they are encoded or decoded.
func TestBounds(t *testing.T) {
	cases := []struct {
		name    string
		message Message
	}{
		{"requests", Message{Requests: make([]consensus.Request, MaxItems+1)}},
		{"replies", Message{Replies: make([]consensus.Reply, MaxItems+1)}},
		{"transfer acknowledgements", Message{TransferAcks: make([]consensus.TransferAck, MaxItems+1)}},
		{"frame", Message{Requests: []consensus.Request{{
			Value: consensus.Value{Kind: consensus.KindSucceeded, Result: strings.Repeat("x", MaxFrame)},
		}}}},
	}
	for _, tc := range cases {
		t.Run("encode: "+tc.name, func(t *testing.T) {
			_, err := Append(nil, tc.message)
			require.ErrorIs(t, err, ErrTooLarge)
		})
	}
	value := consensus.Value{Kind: consensus.KindSucceeded, Result: strings.Repeat("x", MaxValue+1)}
	unknown := consensus.Value{Kind: consensus.KindMembership + 1}
	decodeCases := []struct {
		name    string
		message Message
		want    error
	}{
		{"key of a request", Message{Requests: []consensus.Request{{Key: strings.Repeat("k", MaxKey+1)}}}, ErrTooLarge},
		{"key of a reply", Message{Replies: []consensus.Reply{{Key: strings.Repeat("k", MaxKey+1)}}}, ErrTooLarge},
		{"value of a request", Message{Requests: []consensus.Request{{Value: value}}}, ErrTooLarge},
		{"value of a reply", Message{Replies: []consensus.Reply{{Value: value}}}, ErrTooLarge},
		{"unknown kind", Message{Requests: []consensus.Request{{Value: unknown}}}, ErrMalformedFrame},
	}
	for _, tc := range decodeCases {
		t.Run("decode: "+tc.name, func(t *testing.T) {
			out, err := Append(nil, tc.message)
			require.NoError(t, err)
			_, _, err = Parse(out)
			require.ErrorIs(t, err, tc.want)
		})
	}
	_, _, err := Parse([]byte{0xff, 0, 0, 0})
	require.ErrorIs(t, err, ErrMalformedFrame)
}

// A record is decoded as it was encoded. An invalid record is an error.
func TestRecords(t *testing.T) {
	ballot := consensus.Ballot{Number: 9, Proposer: consensus.Identity{ID: 1, Incarnation: 2}}
	registers := []consensus.SavedRegister{
		{Key: "k", Register: consensus.Register{Promised: ballot, LastAttemptAt: 5}},
		{Key: "\xff", Register: consensus.Register{
			Promised:         ballot,
			Accepted:         ballot,
			Value:            consensus.Value{Kind: consensus.KindLeased, AttemptedAt: 5},
			LastAttemptAt:    6,
			TransferredEpoch: 7,
		}},
	}
	cases := []struct {
		name string
		want Record
	}{
		{"incarnation", Record{Incarnation: 1 << 62}},
		{"membership", Record{Membership: sampleMessage().Membership}},
		{"forget before", Record{ForgetBefore: 99}},
		{"registers", Record{Registers: registers}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			out, err := AppendRecord(nil, tc.want)
			require.NoError(t, err)
			got, err := ParseRecord(out)
			require.NoError(t, err)
			require.Equal(t, tc.want, got)
		})
	}
	for _, invalid := range []string{"", "\xff", "\xa1\x01\x09"} {
		_, err := ParseRecord([]byte(invalid))
		require.ErrorIs(t, err, ErrMalformedFrame)
	}
}

// Any body with a correct checksum is either decoded or rejected, and a decoded message or record can be encoded
// again, unless the message is too large.
func FuzzParse(f *testing.F) {
	out, err := Append(nil, sampleMessage())
	require.NoError(f, err)
	f.Add(out[bodyOffset:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		in := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(len(body))), xxhash.Sum64(body))
		message, size, err := Parse(append(in, body...))
		if err != nil || size == 0 {
			return
		}
		if _, err := Append(nil, message); err != nil && !errors.Is(err, ErrTooLarge) {
			t.Fatalf("%v: %+v", err, message)
		}
		if record, err := ParseRecord(body); err == nil {
			if _, err := AppendRecord(nil, record); err != nil {
				t.Fatalf("%v: %+v", err, record)
			}
		}
	})
}
