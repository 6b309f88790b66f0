package adminhttp

import (
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request may come in pieces: cut at any byte, nothing is read but the whole.
func TestCutAnywhere(t *testing.T) {
	const sent = "PUT /control/in-service?x=1 HTTP/1.1\r\nHost: here\r\nContent-Length: 3\r\n\r\nabc"
	for n := range len(sent) {
		_, size, err := Parse([]byte(sent[:n]))
		require.NoError(t, err, n)
		require.Zero(t, size, n)
	}
	request, size, err := Parse([]byte(sent + "GET"))
	require.NoError(t, err)
	require.Equal(t, len(sent), size)
	require.Equal(t, Request{"PUT", "/control/in-service", url.Values{"x": {"1"}}}, request)
}

// What is no request, or too much of one, gets an error that says what is wrong.
func TestErrorsNameWhatIsWrong(t *testing.T) {
	long := strings.Repeat("a", MaxHeadBytes)
	for _, tc := range []struct {
		name   string
		in     string
		text   string
		status int
	}{
		{"part of a long head", "GET / HTTP/1.1\r\nX: " + long, "head is over", 431},
		{"long head", "GET / HTTP/1.1\r\nX: " + long + "\r\n\r\n", "head is over", 431},
		{"no request line", "hello\r\n\r\n", "no HTTP request", 400},
		{"no length", "GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "no HTTP request", 400},
		{"long body", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", "4097 is over 4096", 413},
		{"chunked body", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding", 411},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := Parse([]byte(tc.in))
			var failure *Error
			require.ErrorAs(t, err, &failure)
			require.Equal(t, tc.status, failure.Status)
			require.Contains(t, strings.ReplaceAll(failure.Text, " bytes", ""), tc.text)
			require.Contains(t, string(AppendError(nil, failure)), "Connection: close\r\n\r\n{\"error\":")
		})
	}
}

// No bytes make Parse panic, or find a request that is longer than what was sent; and it waits for more only within the
// bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("\n\nGET  HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, err := Parse(in)
		require.LessOrEqual(t, size, len(in))
		waits := err == nil && size == 0
		require.False(t, waits && len(in) > MaxHeadBytes+MaxBodyBytes, "it would wait for ever")
	})
}
