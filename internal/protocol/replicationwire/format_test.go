package replicationwire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/decide/consensus"
	"pewterline/internal/testbed/golden"
)

var (
	acceptorA  = consensus.Identity{ID: 1, Incarnation: 0x1122334455667788}
	acceptorB  = consensus.Identity{ID: 70000, Incarnation: 1 << 63}
	lowBallot  = consensus.Ballot{Number: 9, Proposer: acceptorA}
	highBallot = consensus.Ballot{Number: 1 << 33, Proposer: acceptorB}
	succeeded  = consensus.Value{Kind: consensus.KindSucceeded, Owner: 70000, Incarnation: 4, Attempt: 5,
		AttemptedAt: 1764547200000, Result: "did \xff it"}
	leased = consensus.Value{Kind: consensus.KindLeased, Owner: 1, Incarnation: 0x1122334455667788, Attempt: 300,
		AttemptedAt: -5}
	membership = consensus.Membership{ClusterID: 7, Epoch: 2, ReplicationFactor: 3, ForcedAt: 1764547200001,
		Current: []consensus.Member{{Identity: acceptorA, Addr: "127.0.0.1:7401"}, {Identity: acceptorB, Addr: "[::1]:7402"}},
		Next:    []consensus.Member{{Identity: acceptorA, Addr: "127.0.0.1:7401"}}, Reason: "be\"cause\n"}
)

// recordedMessages are the messages that testdata/frames.hex contains, by name.
var recordedMessages = map[string]Message{
	"keep-alive":          {Epoch: 3},
	"empty":               {},
	"hello":               {Hello: &Hello{ID: 3, Incarnation: 1 << 62, ProcessIncarnation: 5, ClusterID: 6}, Epoch: 2},
	"hello-without-group": {Hello: &Hello{ID: 3, Incarnation: 4, ProcessIncarnation: 5}},
	"membership":          {Epoch: 2, Membership: &membership},
	"transfer-acks": {Epoch: 2, TransferAcks: []consensus.TransferAck{
		{Epoch: 2, From: acceptorA}, {Epoch: 3, From: acceptorB}}},
	"requests": {Epoch: 2, Requests: []consensus.Request{
		{To: acceptorA, Key: "tenant\x00\xffkey", Epoch: 2, AttemptedAt: 8, Ballot: lowBallot, Read: true},
		{To: acceptorB, Key: "k", Epoch: 2, AttemptedAt: -8, Ballot: highBallot},
		{To: acceptorB, Key: "k", Epoch: 2, AttemptedAt: 1764547200000, Ballot: highBallot, Accept: true, Value: succeeded},
		{To: acceptorA, Epoch: 2, Ballot: lowBallot, Accept: true, Value: leased}}},
	"replies": {Epoch: 2, Replies: []consensus.Reply{
		{From: acceptorA, Key: "k", Epoch: 2, Ballot: lowBallot, Read: true, OK: true},
		{From: acceptorB, Key: "k", Epoch: 2, Ballot: lowBallot, Promised: highBallot},
		{From: acceptorB, Key: "k", Epoch: 2, Ballot: highBallot, Accept: true, OK: true, Accepted: highBallot,
			Value: succeeded}}},
	"everything": {Hello: &Hello{ID: 1, Incarnation: 2, ProcessIncarnation: 3, ClusterID: 4}, Epoch: 5,
		Requests:     []consensus.Request{{To: acceptorA, Key: "k", Epoch: 2, Ballot: lowBallot}},
		Replies:      []consensus.Reply{{From: acceptorA, Key: "k", Epoch: 2, Ballot: lowBallot}},
		Membership:   &membership,
		TransferAcks: []consensus.TransferAck{{Epoch: 2, From: acceptorA}}},
}

// recordedRecords are the records that testdata/records.hex contains, by name.
var recordedRecords = map[string]Record{
	"empty":         {},
	"incarnation":   {Incarnation: 1 << 62},
	"membership":    {Membership: &membership},
	"forget-before": {ForgetBefore: 1764547200000},
	"slots": {Registers: []consensus.SavedRegister{
		{Key: "promised", Register: consensus.Register{Promised: lowBallot, LastAttemptAt: 5}},
		{Key: "tenant\x00\xffkey", Register: consensus.Register{Promised: highBallot, Accepted: lowBallot,
			Value: succeeded, LastAttemptAt: 1764547200000, TransferredEpoch: 7}},
		{Key: "leased", Register: consensus.Register{Promised: lowBallot, Accepted: lowBallot, Value: leased,
			LastAttemptAt: -5}},
	}},
	"everything": {Incarnation: 1, Membership: &membership,
		Registers: []consensus.SavedRegister{{Key: "k", Register: consensus.Register{Promised: lowBallot}}}, ForgetBefore: 2},
}

// Guards rolling upgrades: this release must encode and decode frames in the same way as the release that recorded
// testdata/frames.hex.
func TestFramesAreAsRecorded(t *testing.T) {
	frames := golden.Frames(t, "testdata/frames.hex")
	require.Len(t, frames, len(recordedMessages))
	for _, frame := range frames {
		t.Run(frame.Name, func(t *testing.T) {
			message, known := recordedMessages[frame.Name]
			require.True(t, known)
			written, err := Append(nil, message)
			require.NoError(t, err)
			require.Equal(t, frame.Bytes, written)
			read, size, err := Parse(frame.Bytes)
			require.NoError(t, err)
			require.Len(t, frame.Bytes, size)
			require.Equal(t, message, read)
		})
	}
}

// Guards upgrades: this release must encode and decode the log records of the release that recorded
// testdata/records.hex in the same way.
func TestRecordsAreAsRecorded(t *testing.T) {
	frames := golden.Frames(t, "testdata/records.hex")
	require.Len(t, frames, len(recordedRecords))
	for _, frame := range frames {
		t.Run(frame.Name, func(t *testing.T) {
			record, known := recordedRecords[frame.Name]
			require.True(t, known)
			written, err := AppendRecord(nil, record)
			require.NoError(t, err)
			require.Equal(t, frame.Bytes, written)
			read, err := ParseRecord(frame.Bytes)
			require.NoError(t, err)
			require.Equal(t, record, read)
		})
	}
}
