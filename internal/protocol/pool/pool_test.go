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

// What a log server writes, the worker pool reads back, whole and in pieces; what is no command is an error.
func TestCommandsReadBack(t *testing.T) {
	text := AppendPoll(AppendSuspend(AppendSpawn(AppendBind(nil, 7), "a1", "lot-intake", []byte("b\r\nody")), "a1"), "g")
	want := []Command{{Order: Bind, Notice: 7}, {Order: Spawn, ID: "a1", Class: "lot-intake", Body: []byte("b\r\nody")},
		{Order: Suspend, ID: "a1"}, {Order: Poll, Tag: "g"}}
	var got []Command
	from := 0
	for to := range len(text) + 1 {
		c, n, err := ParseCommand(text[from:to])
		require.NoError(t, err)
		if from += n; n > 0 {
			got = append(got, c)
		}
	}
	require.Equal(t, want, got)
	for _, bad := range []string{"bind x\r\n", "spawn a b\r\n", "spawn a b -1\r\n", "spawn a b 99999999\r\n", "spawn a b 1\r\nxyz", "dance\r\n", string(make([]byte, 2000))} {
		_, _, err := ParseCommand([]byte(bad))
		require.ErrorIs(t, err, ErrLine, bad)
	}
	m, n, err := Parse(AppendFinished(nil, 3, "a1", Killed, 20, []byte("x")))
	require.NoError(t, err)
	require.Equal(t, Message{Kind: Finished, Notice: 3, ID: "a1", End: Killed, MS: 20, Result: []byte("x")}, m)
	require.Positive(t, n)
}
