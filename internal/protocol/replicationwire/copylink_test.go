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

func sample() Message {
	m := consensus.Identity{ID: 3, Incarnation: 1 << 63}
	b := consensus.Ballot{Number: 9, Proposer: m}
	v := consensus.Value{Kind: consensus.KindSucceeded, Owner: 3, Incarnation: 4, Attempt: 5, AttemptedAt: 1764547200000, Result: "did \xff it"}
	g := consensus.Membership{ClusterID: 7, Epoch: 2, ReplicationFactor: 3, Current: []consensus.Member{{Identity: m, Addr: "127.0.0.1:1"}}, Reason: "be\"cause"}
	return Message{Hello: &Hello{3, 4, 5, 6}, Epoch: 2,
		Requests:   []consensus.Request{{To: m, Key: "t\x00\xffk", Epoch: 2, AttemptedAt: 8, Ballot: b, Read: true}, {To: m, Key: "k", Epoch: 2, AttemptedAt: 8, Ballot: b, Accept: true, Value: v}},
		Replies:    []consensus.Reply{{From: m, Key: "k", Epoch: 2, Ballot: b, Promised: b, Read: true}, {From: m, Key: "k", Epoch: 2, Ballot: b, Accept: true, OK: true, Accepted: b, Value: v}},
		Membership: &g, TransferAcks: []consensus.TransferAck{{Epoch: 2, From: m}}}
}

// What is written is read, cut anywhere: half a message is no message. A byte that is not what was sent ends the link.
func TestMessages(t *testing.T) {
	want := sample()
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
		spoilt := append([]byte(nil), out[:n]...)
		spoilt[i] ^= 0x10
		_, size, err := Parse(spoilt)
		if i >= 4 { // else the length has changed, and more may be waited for
			require.ErrorIs(t, err, ErrFrame, i)
		}
		require.Zero(t, size)
	}
	got, _, err = Parse(out[n:])
	require.NoError(t, err)
	require.Equal(t, Message{Epoch: 3}, got)
}

// Guards memory against what is too large, in either direction.
func TestBounds(t *testing.T) {
	_, err := Append(nil, Message{Requests: make([]consensus.Request, MaxItems+1)})
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = Append(nil, Message{Requests: []consensus.Request{{Value: consensus.Value{Kind: consensus.KindSucceeded, Result: strings.Repeat("x", MaxFrame)}}}})
	require.ErrorIs(t, err, ErrTooLarge)
	out, err := Append(nil, Message{Requests: []consensus.Request{{Key: strings.Repeat("k", MaxKey+1)}}})
	require.NoError(t, err)
	_, _, err = Parse(out)
	require.ErrorIs(t, err, ErrTooLarge)
	_, _, err = Parse([]byte{0xff, 0, 0, 0})
	require.ErrorIs(t, err, ErrFrame)
}

// A record is read as it was written.
func TestRecords(t *testing.T) {
	g := sample().Membership
	b := consensus.Ballot{Number: 9, Proposer: consensus.Identity{ID: 1, Incarnation: 2}}
	for _, want := range []Record{{Incarnation: 1 << 62}, {Membership: g}, {ForgetBefore: 99},
		{Registers: []consensus.SavedRegister{{Key: "k", Register: consensus.Register{Promised: b, LastAttemptAt: 5}}, {Key: "\xff", Register: consensus.Register{Promised: b, Accepted: b, Value: consensus.Value{Kind: consensus.KindLeased, AttemptedAt: 5}, LastAttemptAt: 6, TransferredEpoch: 7}}}}} {
		out, err := AppendRecord(nil, want)
		require.NoError(t, err)
		got, err := ParseRecord(out)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	for _, bad := range []string{"", "\xff", "\xa1\x01\x09"} {
		_, err := ParseRecord([]byte(bad))
		require.ErrorIs(t, err, ErrFrame)
	}
}

// Whatever bytes come under a right checksum, they are read or refused, and what is read can be written.
func FuzzParse(f *testing.F) {
	out, err := Append(nil, sample())
	require.NoError(f, err)
	f.Add(out[head:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		in := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, uint32(len(body))), xxhash.Sum64(body))
		m, n, err := Parse(append(in, body...))
		if err != nil || n == 0 {
			return
		}
		if _, err := Append(nil, m); err != nil && !errors.Is(err, ErrTooLarge) {
			t.Fatalf("%v: %+v", err, m)
		}
		if r, err := ParseRecord(body); err == nil {
			if _, err := AppendRecord(nil, r); err != nil {
				t.Fatalf("%v: %+v", err, r)
			}
		}
	})
}
