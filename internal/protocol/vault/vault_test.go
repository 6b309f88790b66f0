package vault

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const id = "9b1f03aa5c7e2d41"

// readInPieces passes the stream to a parser byte by byte, as over a slow connection, and returns the parsed values.
func readInPieces[T any](t *testing.T, stream []byte, parse func([]byte) (T, int, error)) (got []T) {
	from := 0
	for to := range len(stream) + 1 {
		value, n, err := parse(stream[from:to])
		require.NoError(t, err)
		if from += n; n > 0 {
			got = append(got, value)
		}
	}
	require.Equal(t, len(stream), from)
	return got
}

// readWhole passes the whole rest of the stream to a parser until it is consumed, and returns the parsed values.
func readWhole[T any](t *testing.T, stream []byte, parse func([]byte) (T, int, error)) (got []T) {
	for len(stream) > 0 {
		value, n, err := parse(stream)
		require.NoError(t, err)
		require.Positive(t, n)
		got, stream = append(got, value), stream[n:]
	}
	return got
}

// Encoded commands decode to the same commands. The bodies include one that looks like a line of the protocol, an empty
// one and the longest.
func TestCommandsRoundTrip(t *testing.T) {
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

// Encoded replies decode to the same replies.
func TestRepliesRoundTrip(t *testing.T) {
	longest := bytes.Repeat([]byte("\r\n"), MaxBody/2)
	lines := []byte(id + " notnow\r\n")
	stream := AppendReply(nil, id, Yes, lines)
	want := []Reply{{ID: id, Status: Yes, Body: lines}}
	for status := NotNow; status <= Pointless; status++ {
		stream = AppendReply(stream, id, status, []byte("ignored without the status yes"))
		want = append(want, Reply{ID: id, Status: status})
	}
	stream = AppendReply(stream, id, Yes, nil)
	want = append(want, Reply{ID: id, Status: Yes, Body: []byte{}})
	require.Equal(t, want, readInPieces(t, stream, ParseReply))
	stream = AppendReply(stream, id, Yes, longest)
	require.Equal(t, append(want, Reply{ID: id, Status: Yes, Body: longest}), readWhole(t, stream, ParseReply))
}

// Commands and replies are encoded to the bytes of the protocol's examples.
func TestProtocolExamples(t *testing.T) {
	require.Equal(t, "ask "+id+" 250 3\r\nabc\r\nunask "+id+"\r\n",
		string(AppendUnask(AppendAsk(nil, id, 250, []byte("abc")), id)))
	replies := AppendReply(nil, id, Yes, []byte("abc"))
	for status := NotNow; status <= Pointless; status++ {
		replies = AppendReply(replies, id, status, nil)
	}
	require.Equal(t, id+" yes 3\r\nabc\r\n"+
		id+" notnow\r\n"+id+" failed\r\n"+id+" overdue\r\n"+id+" pointless\r\n", string(replies))
}

// Malformed input is an error as soon as the fault is certain: the parser must neither wait for further bytes nor
// panic.
func TestMalformedInput(t *testing.T) {
	long := strings.Repeat("x", maxLine)
	for _, bad := range []string{
		"\r\n", long, long + "\r\n", id + "\r\n", id + " \r\n", id + " Yes 1\r\n", id + " no\r\n", id + "  notnow\r\n",
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
		"\r\n", long, "dance\r\n", "ask\r\n", "unask\r\n", "unask " + id + " 1\r\n", "unask " + id[1:] + "\r\n",
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
	// A partial line that may still end within the limit is incomplete, not malformed.
	_, n, err := ParseReply([]byte(long[1:]))
	require.NoError(t, err)
	require.Zero(t, n)
}

// Guards the reply parser against arbitrary input. Each parsed reply must decode to the same value after encoding.
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
			require.True(t, err != nil || len(in) <= maxLine+MaxBody+1, "waits for more than the limits allow")
			return
		}
		decoded, _, err := ParseReply(AppendReply(nil, reply.ID, reply.Status, reply.Body))
		require.NoError(t, err)
		require.Equal(t, reply, decoded)
	})
}

// Guards the command parser, which the fake vault uses, in the same way.
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
			require.True(t, err != nil || len(in) <= maxLine+MaxBody+1, "waits for more than the limits allow")
			return
		}
		out := AppendUnask(nil, command.ID)
		if command.Verb == Ask {
			out = AppendAsk(nil, command.ID, command.WaitMS, command.Body)
		}
		decoded, _, err := ParseCommand(out)
		require.NoError(t, err)
		require.Equal(t, command, decoded)
	})
}
