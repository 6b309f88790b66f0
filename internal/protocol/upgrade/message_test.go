package upgrade

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
)

func TestReadBack(t *testing.T) {
	state := control.LearnedState{
		ConcurrencyLimit: 2,
		Classes:          []control.LearnedClassState{{Name: "a", SlotTime: control.MeanEstimate{Count: 3, Value: 0.1}}},
	}
	all := []Message{
		{Kind: Hello, Name: "n0"},
		{Kind: Welcome, OutOfService: true, Learned: &state},
		{Kind: Succeeded, Class: "lot-intake", Tenant: "t", IdempotencyKey: "k", ArrivedAtMilli: 1764576000123,
			Result: make([]byte, MaxResult)},
		{Kind: ConnectionCount, Connections: 7},
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
	cases := []struct{ name, in string }{
		{"empty body", "\x00\x00\x00\x00"},
		{"body over the bound", "\x00\x01\x00\x01"},
		{"no kind", "\x00\x00\x00\x01\xa0"},
		{"body that ends within a number", "\x00\x00\x00\x03\xa1\x01\x18"},
		{"unknown kind", "\x00\x00\x00\x04\xa1\x01\x18\xfe"},
	}
	for _, tc := range cases {
		_, _, err := Parse([]byte(tc.in))
		require.ErrorIs(t, err, ErrMalformedFrame, tc.name)
	}
}

// Each kind has a name for the log.
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

// Guards against any bytes from a socket in a shared folder.
func FuzzParse(f *testing.F) {
	f.Add(Append(nil, Message{Kind: Started, IdempotencyKey: "k"}))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, _ := Parse(in)
		require.LessOrEqual(t, size, len(in))
	})
}
