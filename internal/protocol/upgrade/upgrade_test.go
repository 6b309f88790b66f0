package upgrade

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

func TestReadBack(t *testing.T) {
	all := []Message{
		{Kind: Hello, Name: "n0"}, {Kind: Welcome, OutOfService: true, Learned: &control.LearnedState{ConcurrencyLimit: 2, Classes: []control.LearnedClassState{{Name: "a", SlotTime: control.MeanEstimate{Count: 3, Value: 0.1}}}}},
		{Kind: Succeeded, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k", ArrivedAtMilli: 1764576000123, Result: make([]byte, MaxResult)}, {Kind: ConnectionCount, Connections: 7},
	}
	var out []byte
	for _, m := range all {
		out = Append(out, m)
	}
	for _, want := range all {
		for cut := 0; cut < 40 && cut < len(out); cut++ {
			if _, size, err := Parse(out[:cut]); size > 0 {
				require.NoError(t, err)
				break
			}
		}
		m, size, err := Parse(out)
		require.NoError(t, err)
		require.Equal(t, want, m)
		out = out[size:]
	}
	require.Empty(t, out)
}

// Guards against another release, known by its first bytes, and against a length or a kind that makes no sense.
func TestRefused(t *testing.T) {
	ok, err := CheckPreamble(Preamble[:3])
	require.False(t, ok)
	require.NoError(t, err)
	ok, err = CheckPreamble(append(Preamble[:], 1, 2))
	require.True(t, ok)
	require.NoError(t, err)
	_, err = CheckPreamble([]byte("pwtu\x00\x02"))
	require.ErrorIs(t, err, ErrVersionMismatch)
	_, err = CheckPreamble([]byte("GET / "))
	require.ErrorIs(t, err, ErrMalformedFrame)
	for _, in := range []string{"\x00\x00\x00\x00", "\x00\x01\x00\x01", "\x00\x00\x00\x01\xa0", "\x00\x00\x00\x03\xa1\x01\x18", "\x00\x00\x00\x04\xa1\x01\x18\xfe"} {
		_, _, err := Parse([]byte(in))
		require.ErrorIs(t, err, ErrMalformedFrame, "%q", in)
	}
}

// Guards against any bytes from a socket in a shared folder.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: Started, IdempotencyKey: "k"}))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, _ := Parse(in)
		require.LessOrEqual(t, size, len(in))
	})
}
