package vault

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const id = "9b1f03aa5c7e2d41"

// readInPieces hands a parser the stream byte by byte, as a slow connection does, and collects what it takes off.
func readInPieces[T any](t *testing.T, stream []byte, parse func([]byte) (T, int, error)) (got []T) {
	from := 0
	for to := range len(stream) + 1 {
		one, n, err := parse(stream[from:to])
		require.NoError(t, err)
		if from += n; n > 0 {
			got = append(got, one)
		}
	}
	require.Equal(t, len(stream), from)
	return got
}

// readWhole hands a parser all that there is, as often as it takes something off.
func readWhole[T any](t *testing.T, stream []byte, parse func([]byte) (T, int, error)) (got []T) {
	for len(stream) > 0 {
		one, n, err := parse(stream)
		require.NoError(t, err)
		require.Positive(t, n)
		got, stream = append(got, one), stream[n:]
	}
	return got
}

// What a log server writes, the vault reads back: bodies that look like lines, empty ones and the longest.
func TestCommandsReadBack(t *testing.T) {
	longest := bytes.Repeat([]byte("\r\n"), MaxBody/2)
	lines := []byte("unask " + id + "\r\n")
	stream := AppendAsk(nil, id, 250, lines)
	stream = AppendUnask(stream, id)
	stream = AppendAsk(stream, "00000000000000AF", 1, nil)
	want := []Command{{Verb: Ask, ID: id, WaitMS: 250, Body: lines}, {Verb: Unask, ID: id},
		{Verb: Ask, ID: "00000000000000AF", WaitMS: 1, Body: []byte{}}}
	require.Equal(t, want, readInPieces(t, stream, ParseCommand))
	stream = AppendAsk(stream, id, MaxWaitMS, longest)
	want = append(want, Command{Verb: Ask, ID: id, WaitMS: MaxWaitMS, Body: longest})
	require.Equal(t, want, readWhole(t, stream, ParseCommand))
}

// What the vault writes, a log server reads back.
func TestRepliesReadBack(t *testing.T) {
	longest := bytes.Repeat([]byte("\r\n"), MaxBody/2)
	lines := []byte(id + " notnow\r\n")
	stream := AppendReply(nil, id, Yes, lines)
	want := []Reply{{ID: id, Status: Yes, Body: lines}}
	for status := NotNow; status <= Pointless; status++ {
		stream = AppendReply(stream, id, status, []byte("no body goes with it"))
		want = append(want, Reply{ID: id, Status: status})
	}
	stream = AppendReply(stream, id, Yes, nil)
	want = append(want, Reply{ID: id, Status: Yes, Body: []byte{}})
	require.Equal(t, want, readInPieces(t, stream, ParseReply))
	stream = AppendReply(stream, id, Yes, longest)
	require.Equal(t, append(want, Reply{ID: id, Status: Yes, Body: longest}), readWhole(t, stream, ParseReply))
}

// The bytes on the wire are those of the protocol's examples.
func TestExamplesOfTheProtocol(t *testing.T) {
	require.Equal(t, "ask "+id+" 250 3\r\nabc\r\nunask "+id+"\r\n",
		string(AppendUnask(AppendAsk(nil, id, 250, []byte("abc")), id)))
	replies := AppendReply(nil, id, Yes, []byte("abc"))
	for status := NotNow; status <= Pointless; status++ {
		replies = AppendReply(replies, id, status, nil)
	}
	require.Equal(t, id+" yes 3\r\nabc\r\n"+
		id+" notnow\r\n"+id+" failed\r\n"+id+" overdue\r\n"+id+" pointless\r\n", string(replies))
}

// Broken input is an error at the point where that is certain, never a wait for more and never a panic.
func TestBounds(t *testing.T) {
	endless := strings.Repeat("x", maxLine)
	for _, bad := range []string{
		"\r\n", endless, endless + "\r\n", id + "\r\n", id + " \r\n", id + " Yes 1\r\n", id + " no\r\n", id + "  notnow\r\n",
		id + " notnow 0\r\n", id + " yes\r\n", id + " yes 1 1\r\n", id + " yes x\r\n", id + " yes -1\r\n", id + " yes +1\r\n",
		id + " yes 65537\r\n", id + " yes 18446744073709551616\r\n", id + " yes 1\r\nabc", id + " yes 1\r\n\r\n\n",
		id + " yes 0\r\n\n\r",
		id[1:] + " notnow\r\n", id + "0 notnow\r\n", id[1:] + "g notnow\r\n", id[1:] + "@ notnow\r\n",
		id[1:] + "\x01 notnow\r\n",
	} {
		_, n, err := ParseReply([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, "%.60q", bad)
		require.Zero(t, n, "%.60q", bad)
	}
	for _, bad := range []string{
		"\r\n", endless, "dance\r\n", "ask\r\n", "unask\r\n", "unask " + id + " 1\r\n", "unask " + id[1:] + "\r\n",
		"unask " + id[1:] + "`\r\n",
		"ask " + id + " 250\r\n", "ask " + id + " 250 1 1\r\n", "ask " + id[1:] + " 250 1\r\n", "ask " + id + " 0 1\r\n",
		"ask " + id + " -1 1\r\n", "ask " + id + " 1.5 1\r\n", "ask " + id + " 3600001 1\r\n",
		"ask " + id + " 99999999999 1\r\n",
		"ask " + id + " 250 65537\r\n", "ask " + id + " 250 1\r\nabc", "ASK " + id + " 250 0\r\n\r\n",
	} {
		_, n, err := ParseCommand([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, "%.60q", bad)
		require.Zero(t, n, "%.60q", bad)
	}
	// The longest line that may still be whole is waited for.
	_, n, err := ParseReply([]byte(endless[1:]))
	require.NoError(t, err)
	require.Zero(t, n)
}

// Guards a log server against whatever comes from the vault's address. What is taken off is what its own bytes say.
func FuzzParseReply(f *testing.F) {
	f.Add([]byte(id + " yes 3\r\nabc\r\n" + id + " notnow\r\n"))
	f.Add([]byte(id + " failed\r\n"))
	f.Add([]byte(id + " overdue\r\n"))
	f.Add([]byte(id + " pointless\r\n"))
	f.Add([]byte(id + " yes 65537\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		reply, n, err := ParseReply(in)
		require.LessOrEqual(t, n, len(in))
		if err != nil || n == 0 {
			require.Zero(t, reply)
			require.Zero(t, n)
			require.True(t, err == nil || errors.Is(err, ErrMalformed))
			require.True(t, err != nil || len(in) <= maxLine+MaxBody+1, "waits without bound")
			return
		}
		again, _, err := ParseReply(AppendReply(nil, reply.ID, reply.Status, reply.Body))
		require.NoError(t, err)
		require.Equal(t, reply, again)
	})
}

// Guards the fake of the vault, which reads what a log server writes.
func FuzzParseCommand(f *testing.F) {
	f.Add([]byte("ask " + id + " 250 3\r\nabc\r\n"))
	f.Add([]byte("unask " + id + "\r\n"))
	f.Add([]byte("ask " + id + " 3600001 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		command, n, err := ParseCommand(in)
		require.LessOrEqual(t, n, len(in))
		if err != nil || n == 0 {
			require.Zero(t, command)
			require.Zero(t, n)
			require.True(t, err == nil || errors.Is(err, ErrMalformed))
			require.True(t, err != nil || len(in) <= maxLine+MaxBody+1, "waits without bound")
			return
		}
		out := AppendUnask(nil, command.ID)
		if command.Verb == Ask {
			out = AppendAsk(nil, command.ID, command.WaitMS, command.Body)
		}
		again, _, err := ParseCommand(out)
		require.NoError(t, err)
		require.Equal(t, command, again)
	})
}
