package adminhttp

import (
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A request that is truncated at any byte is incomplete, and the complete request is parsed.
func TestIncompleteRequests(t *testing.T) {
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

// Malformed and oversized requests get an error with the reason and the HTTP status.
func TestMalformedAndOversizedRequests(t *testing.T) {
	long := strings.Repeat("a", MaxHeadBytes)
	for _, tc := range []struct {
		name   string
		in     string
		text   string
		status int
	}{
		{"incomplete head over the limit", "GET / HTTP/1.1\r\nX: " + long, "head is over", 431},
		{"complete head over the limit", "GET / HTTP/1.1\r\nX: " + long + "\r\n\r\n", "head is over", 431},
		{"malformed request line", "hello\r\n\r\n", "no HTTP request", 400},
		{"malformed content length", "GET / HTTP/1.1\r\nContent-Length: many\r\n\r\n", "no HTTP request", 400},
		{"body over the limit", "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 4097\r\n\r\n", "4097 is over 4096", 413},
		{"chunked body", "PUT / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "Transfer-Encoding", 411},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, _, err := Parse([]byte(tc.in))
			var requestError *Error
			require.ErrorAs(t, err, &requestError)
			require.Equal(t, tc.status, requestError.Status)
			require.Contains(t, strings.ReplaceAll(requestError.Text, " bytes", ""), tc.text)
			require.Contains(t, string(AppendError(nil, requestError)), "Connection: close\r\n\r\n{\"error\":")
		})
	}
}

// Guards Parse against arbitrary input: it must not panic, must not return a size beyond the input, and must not wait
// for further bytes beyond the size limits.
func FuzzParse(f *testing.F) {
	f.Add([]byte("GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("\n\nGET  HTTP/1.1\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		_, size, err := Parse(in)
		require.LessOrEqual(t, size, len(in))
		incomplete := err == nil && size == 0
		require.False(t, incomplete && len(in) > MaxHeadBytes+MaxBodyBytes, "waits for more than the limits allow")
	})
}
