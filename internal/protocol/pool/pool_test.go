package pool

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the message parser against arbitrary input: it must not panic, and must not consume more than the input.
func FuzzParse(f *testing.F) {
	f.Add([]byte("finished 1 00ff PASS 12.5 3\r\nabc\r\n"))
	f.Add([]byte("bound EMPTY 12\r\npolled g 0.5 1 0 2\r\n"))
	f.Add([]byte("unknown spawn\r\nchatter 3 hello there\r\n"))
	f.Add([]byte("blocked 4 00ff 3\r\nabc\r\nverified v PASS\r\n"))
	f.Add([]byte("blocked 4 00ff 65537\r\n"))
	f.Add([]byte("polled g NaN -Inf 0x1p-2\r\nverified v NOOP\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, n, err := ParseMessage(in)
		require.LessOrEqual(t, n, len(in))
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			require.Zero(t, n)
		} else if n > 0 {
			require.NotZero(t, m.Kind)
		}
	})
}

// The parser must not buffer a line without an end, or a result of an invalid length, until the process runs out of
// memory.
func TestLineAndResultLimits(t *testing.T) {
	_, _, err := ParseMessage(bytes.Repeat([]byte("x"), maxLine))
	require.ErrorIs(t, err, ErrMalformed)
	_, _, err = ParseMessage([]byte("finished 1 a PASS 1 99999999\r\n"))
	require.ErrorIs(t, err, ErrMalformed)
	_, n, err := ParseMessage([]byte("finished 1 a PASS 1 4\r\nabcd\r"))
	require.NoError(t, err)
	require.Zero(t, n)
}

// Encoded commands decode to the same commands when they arrive byte by byte. Malformed commands are errors.
func TestCommandsRoundTrip(t *testing.T) {
	text := AppendPoll(AppendSuspend(AppendSpawn(AppendBind(nil, 7), "a1", "lot-intake", []byte("b\r\nody")), "a1"), "g")
	want := []Command{
		{Verb: Bind, Notice: 7},
		{Verb: Spawn, ID: "a1", Class: "lot-intake", Body: []byte("b\r\nody")},
		{Verb: Suspend, ID: "a1"},
		{Verb: Poll, Tag: "g"},
	}
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
	for _, bad := range []string{
		"bind x\r\n", "spawn a b\r\n", "spawn a b -1\r\n", "spawn a b 99999999\r\n", "spawn a b 1\r\nxyz", "dance\r\n",
		string(make([]byte, 2000)),
	} {
		_, _, err := ParseCommand([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
	m, n, err := ParseMessage(AppendFinished(nil, 3, "a1", Killed, 20, []byte("x")))
	require.NoError(t, err)
	require.Equal(t, Message{
		Kind: Finished, Notice: 3, ID: "a1", Outcome: Killed, Milliseconds: 20, Result: []byte("x"),
	}, m)
	require.Positive(t, n)
}

// Messages and commands about downstream calls and deep health checks decode to the same values when they arrive in
// pieces. The bodies include empty ones, the longest and some that look like lines of the protocol.
func TestCallsAndHealthChecksRoundTrip(t *testing.T) {
	lines, longest := []byte("supply a1 3\r\n"), bytes.Repeat([]byte("\r\n"), maxCall/2)
	text := AppendBlocked(nil, 1, "a1", lines)
	text = AppendBlocked(text, 2, "a2", nil)
	text = AppendVerified(text, "v", Pass)
	text = AppendBlocked(text, 3, "a3", longest)
	text = AppendVerified(text, "v", Fail)
	require.Equal(t, []Message{
		{Kind: Blocked, Notice: 1, ID: "a1", Call: lines},
		{Kind: Blocked, Notice: 2, ID: "a2", Call: []byte{}},
		{Kind: Verified, Tag: "v", Outcome: Pass},
		{Kind: Blocked, Notice: 3, ID: "a3", Call: longest},
		{Kind: Verified, Tag: "v", Outcome: Fail},
	}, readInPieces(t, text, ParseMessage))
	text = AppendSupply(nil, "a1", lines)
	text = AppendSupply(text, "a2", nil)
	text = AppendVerify(text, "v")
	text = AppendSupply(text, "a3", longest)
	require.Equal(t, []Command{
		{Verb: Supply, ID: "a1", Body: lines},
		{Verb: Supply, ID: "a2", Body: []byte{}},
		{Verb: Verify, Tag: "v"},
		{Verb: Supply, ID: "a3", Body: longest},
	}, readInPieces(t, text, ParseCommand))
	supply := AppendSupply(nil, "a1", []byte("abc"))
	require.Equal(t, "supply a1 3\r\nabc\r\nverify v\r\n", string(AppendVerify(supply, "v")))
	blocked := AppendBlocked(nil, 7, "a1", []byte("abc"))
	require.Equal(t, "blocked 7 a1 3\r\nabc\r\nverified v FAIL\r\n", string(AppendVerified(blocked, "v", Fail)))
}

// readInPieces passes the stream to a parser in pieces of a few bytes, and returns the parsed values.
func readInPieces[T any](t *testing.T, stream []byte, parse func([]byte) (T, int, error)) (got []T) {
	const piece = 7
	from := 0
	for to := 0; to < len(stream)+piece; to += piece {
		for n := -1; n != 0; from += n {
			var value T
			var err error
			value, n, err = parse(stream[from:min(to, len(stream))])
			require.NoError(t, err)
			if n > 0 {
				got = append(got, value)
			}
		}
	}
	require.Equal(t, len(stream), from)
	return got
}

// Malformed lines about downstream calls and deep health checks are errors as soon as the fault is certain; lines that
// may still become valid are incomplete.
func TestMalformedCallsAndHealthChecks(t *testing.T) {
	for _, bad := range []string{
		"blocked 1 a\r\n", "blocked x a 1\r\nb\r\n", "blocked x a 9\r\n", "blocked -1 a 0\r\n\r\n",
		"blocked 1 a -1\r\n",
		"blocked 1 a 65537\r\n", "blocked 1 a 1\r\nbcd", "blocked 1 a 0\r\n\n\r", "blocked 1 a 1 1\r\nb\r\n",
		"verified v\r\n", "verified v KILLED\r\n",
		"verified v NOOP\r\n", "verified v pass\r\n", "verified v PASS 1\r\n",
	} {
		m, n, err := ParseMessage([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, bad)
		require.Zero(t, n, bad)
		require.Zero(t, m, bad)
	}
	for _, bad := range []string{
		"supply a\r\n", "supply a x\r\n", "supply a 65537\r\n", "supply a 1\r\nbcd", "supply a 1 1\r\n",
		"verify\r\n", "verify v w\r\n",
	} {
		c, n, err := ParseCommand([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, bad)
		require.Zero(t, n, bad)
		require.Zero(t, c, bad)
	}
	for _, incomplete := range []string{"blocked 1 a 65536\r\nb", "blocked 1 a 1\r\nb\r", "verified v PASS\r"} {
		_, n, err := ParseMessage([]byte(incomplete))
		require.NoError(t, err)
		require.Zero(t, n)
	}
}

// A duration that is not finite is malformed, because it would corrupt every mean that includes it. A gauge that is not
// finite is only unknown, and the connection stays usable.
func TestNonFiniteNumbers(t *testing.T) {
	for _, bad := range []string{
		"bound EMPTY NaN\r\n", "bound EMPTY Inf\r\n", "finished 1 a PASS nan 0\r\n\r\n",
		"finished 1 a PASS -inf 0\r\n\r\n", "polled g 1e999\r\n",
	} {
		_, _, err := ParseMessage([]byte(bad))
		require.ErrorIs(t, err, ErrMalformed, bad)
	}
	m, _, err := ParseMessage([]byte("polled g 0.5 NaN -Inf 2\r\n"))
	require.NoError(t, err)
	require.Equal(t, []float64{0.5, unknownGauge, unknownGauge, 2}, m.Gauges)
}
