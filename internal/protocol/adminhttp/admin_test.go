package adminhttp

import (
	"errors"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against callers whose call comes in pieces: cut at any byte, nothing is read but the whole.
func TestCutAnywhere(t *testing.T) {
	const call = "PUT /control/in-service?x=1 HTTP/1.1\r\nHost: here\r\nContent-Length: 3\r\n\r\nabc"
	for n := range len(call) {
		_, size, err := Parse([]byte(call[:n]))
		require.NoError(t, err, n)
		require.Zero(t, size, n)
	}
	c, size, err := Parse([]byte(call + "GET"))
	require.NoError(t, err)
	require.Equal(t, len(call), size)
	require.Equal(t, Request{"PUT", "/control/in-service", url.Values{"x": {"1"}}}, c)
}

// Guards the program against what is no call, or too much of one: each gets an error that says what is wrong.
func TestErrorsNameWhatIsWrong(t *testing.T) {
	long := strings.Repeat("a", MaxHeadBytes)
	for _, c := range []struct {
		in, text string
		status   int
	}{
		{"GET / HTTP/1.1\r\nX: " + long, "head is over", 431},
		{"GET / HTTP/1.1\r\nX: " + long + "\r\n\r\n", "head is over", 431},
		{"hello\r\n\r\n", "no HTTP request", 400},
		{"GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "no HTTP request", 400},
		{"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", "4097 is over 4096", 413},
		{"PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding", 411},
	} {
		_, _, err := Parse([]byte(c.in))
		var e *Error
		require.True(t, errors.As(err, &e), c.in)
		require.Equal(t, c.status, e.Status, c.in)
		require.Contains(t, strings.ReplaceAll(e.Text, " bytes", ""), c.text)
		require.Contains(t, string(AppendError(nil, e)), "Connection: close\r\n\r\n{\"error\":")
	}
}

// Guards against a panic on any bytes, and against a call that is longer than what was sent.
func FuzzParse(f *testing.F) {
	f.Add([]byte("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("\n\nGET  HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, err := Parse(in)
		require.LessOrEqual(t, size, len(in))
		require.False(t, err == nil && size == 0 && len(in) > MaxHeadBytes+MaxBodyBytes, "it would wait for ever")
	})
}
