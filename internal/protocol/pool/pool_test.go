package pool

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the link against whatever the pool sends: no panic, and never more taken than was there.
func FuzzParse(f *testing.F) {
	f.Add([]byte("finished 1 00ff PASS 12.5 3\r\nabc\r\n"))
	f.Add([]byte("bound EMPTY 12\r\npolled g 0.5 1 0 2\r\n"))
	f.Add([]byte("unknown spawn\r\nchatter 3 hello there\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := Parse(in)
		require.LessOrEqual(t, n, len(in))
		if err != nil {
			require.ErrorIs(t, err, ErrLine)
			require.Zero(t, n)
		} else if n > 0 {
			require.NotZero(t, m.Kind)
		}
	})
}

// A line without an end must not be waited for until memory runs out, and neither must a result of a made-up
// length.
func TestBounds(t *testing.T) {
	_, _, err := Parse(bytes.Repeat([]byte("x"), maxLine))
	require.ErrorIs(t, err, ErrLine)
	_, _, err = Parse([]byte("finished 1 a PASS 1 99999999\r\n"))
	require.ErrorIs(t, err, ErrLine)
	_, n, err := Parse([]byte("finished 1 a PASS 1 4\r\nabcd\r"))
	require.NoError(t, err)
	require.Zero(t, n)
}
