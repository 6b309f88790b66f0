package upgrade

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/testbed/golden"
)

// learned is the learned state in the recorded stream.
var learned = control.LearnedState{
	ConcurrencyLimit: 12.5, PriorityShare: 0.1, LoadSignal: 3,
	UsualSlowdown: control.MeanEstimate{Count: 20, Value: 0.0123},
	SlotTime:      control.MeanEstimate{Count: 1, Value: 1.0 / 3},
	CallTime:      control.MeanEstimate{Count: 2, Value: 0.25},
	Classes: []control.LearnedClassState{
		{
			Name:            "lot-intake",
			ServiceTime:     control.MeanEstimate{Count: 3, Value: 0.1},
			SlotTime:        control.MeanEstimate{Count: 4, Value: 0.2},
			RejectedShare:   control.MeanEstimate{Count: 5, Value: 0.3},
			CallsPerRequest: control.MeanEstimate{Count: 6, Value: 0.4},
		},
		{Name: "empty"},
	},
}

const recordedMilli = 1764576000123

// recordedMessages are the messages whose frames follow the preamble in testdata/stream.hex, at least one of each kind.
var recordedMessages = map[string]Message{
	"hello":                   {Kind: Hello, Name: "n0"},
	"welcome":                 {Kind: Welcome, OutOfService: true, Learned: &learned},
	"welcome-nothing-learned": {Kind: Welcome, Learned: &control.LearnedState{}},
	"welcome-bare":            {Kind: Welcome},
	"reject":                  {Kind: Reject, Reason: "an upgrade is under way"},
	"next-chunk":              {Kind: NextChunk},
	"synced":                  {Kind: Synced},
	"ownership-transferred":   {Kind: OwnershipTransferred},
	"service-out":             {Kind: ServiceChanged, OutOfService: true},
	"service-in":              {Kind: ServiceChanged},
	"connection-count":        {Kind: ConnectionCount, Connections: 384},
	"claim": {Kind: Claim, Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: "k\x00 1",
		ArrivedAtMilli: recordedMilli},
	"grant": {Kind: Grant, Class: "lot-intake", Tenant: "hill-estate", IdempotencyKey: "k",
		ArrivedAtMilli: recordedMilli},
	"started": {Kind: Started, Class: "lot-intake", IdempotencyKey: "k", ArrivedAtMilli: -1},
	"succeeded": {Kind: Succeeded, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k", ArrivedAtMilli: recordedMilli,
		Result: []byte("did \xff it")},
	"succeeded-empty": {Kind: Succeeded, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k",
		ArrivedAtMilli: recordedMilli},
	"failed": {Kind: Failed, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k",
		ArrivedAtMilli: recordedMilli},
	"released": {Kind: Released, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k",
		ArrivedAtMilli: recordedMilli},
}

// Guards upgrades from the release whose stream was recorded, and downgrades to it: the format must be the same in both
// directions.
func TestRecordedStream(t *testing.T) {
	frames := golden.Frames(t, "testdata/stream.hex")
	require.Equal(t, golden.Frame{Name: "preamble", Bytes: Preamble[:]}, frames[0])
	complete, err := CheckPreamble(frames[0].Bytes)
	require.NoError(t, err)
	require.True(t, complete)
	require.Len(t, frames[1:], len(recordedMessages))
	kinds := map[Kind]bool{}
	for _, frame := range frames[1:] {
		t.Run(frame.Name, func(t *testing.T) {
			message, known := recordedMessages[frame.Name]
			require.True(t, known)
			kinds[message.Kind] = true
			require.Equal(t, frame.Bytes, Append(nil, message))
			read, size, err := Parse(frame.Bytes)
			require.NoError(t, err)
			require.Len(t, frame.Bytes, size)
			require.Equal(t, message, read)
		})
	}
	require.Len(t, kinds, int(Released), "a kind has no recorded frame")
}
