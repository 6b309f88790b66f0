package upgrade

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

// Messages that were appended to one buffer are decoded one by one, unchanged.
func TestRoundTrip(t *testing.T) {
	state := control.LearnedState{
		ConcurrencyLimit: 2,
		Classes:          []control.LearnedClassState{{Name: "a", SlotTime: control.MeanEstimate{Count: 3, Value: 0.1}}},
	}
	messages := []Message{
		{Kind: Hello, Name: "n0"},
		{Kind: Welcome, OutOfService: true, Learned: &state},
		{Kind: Succeeded, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k", ArrivedAtMilli: 1764576000123,
			Result: make([]byte, MaxResult)},
		{Kind: ConnectionCount, Connections: 7},
	}
	var out []byte
	for _, message := range messages {
		out = Append(out, message)
	}
	for _, want := range messages {
		for cut := 0; cut < 40 && cut < len(out); cut++ {
			if _, size, err := Parse(out[:cut]); size > 0 {
				require.NoError(t, err)
				break
			}
		}
		message, size, err := Parse(out)
		require.NoError(t, err)
		require.Equal(t, want, message)
		out = out[size:]
	}
	require.Empty(t, out)
}

// A preamble of another version or protocol is rejected, and so is a frame with an invalid length, body or kind.
func TestRejectedInput(t *testing.T) {
	complete, err := CheckPreamble(Preamble[:3])
	require.False(t, complete)
	require.NoError(t, err)
	complete, err = CheckPreamble(append(Preamble[:], 1, 2))
	require.True(t, complete)
	require.NoError(t, err)
	_, err = CheckPreamble([]byte("pwtu\x00\x02"))
	require.ErrorIs(t, err, ErrVersionMismatch)
	_, err = CheckPreamble([]byte("GET / "))
	require.ErrorIs(t, err, ErrMalformedFrame)
	tests := []struct{ name, in string }{
		{"empty body", "\x00\x00\x00\x00"},
		{"body over the limit", "\x00\x01\x00\x01"},
		{"no kind", "\x00\x00\x00\x01\xa0"},
		{"body truncated within a number", "\x00\x00\x00\x03\xa1\x01\x18"},
		{"unknown kind", "\x00\x00\x00\x04\xa1\x01\x18\xfe"},
	}
	for _, tc := range tests {
		_, _, err := Parse([]byte(tc.in))
		require.ErrorIs(t, err, ErrMalformedFrame, tc.name)
	}
}

// Each kind has a unique name for the log.
func TestKindNames(t *testing.T) {
	names := map[string]bool{}
	for kind := Hello; kind < kindCount; kind++ {
		require.NotEmpty(t, kind.String())
		names[kind.String()] = true
	}
	require.Len(t, names, int(kindCount)-1)
	require.Equal(t, "ownership transferred", OwnershipTransferred.String())
	require.Equal(t, "kind 0", Kind(0).String())
	require.Equal(t, "kind 200", Kind(200).String())
}

// Guards against a crash on arbitrary bytes: as the socket is in a shared folder, other programs can write to it.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: Started, IdempotencyKey: "k"}))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, _ := Parse(in)
		require.LessOrEqual(t, size, len(in))
	})
}
