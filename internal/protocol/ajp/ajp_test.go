package ajp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards the parsers of both sides against arbitrary input.
func FuzzPackets(f *testing.F) {
	f.Add(AppendForwardRequest(nil, Request{Method: "POST", URI: "/lot-intake", Secret: "s", Query: "a=b",
		Headers: []Header{{"content-length", "4"}, {"X-Relay-Once", "k"}}}))
	f.Add(AppendForwardRequest(nil, Request{Method: "BREW", URI: "/"}))
	f.Add(AppendSendHeaders(nil, 200, "OK", []Header{{"Content-Type", "text/plain"}, {"X", "y"}}))
	f.Add(AppendResponseBody(nil, []byte("result")))
	f.Add(AppendGetBodyChunk(nil, 100))
	f.Add([]byte{0x12, 0x34, 0, 4, 0, 2, 'a', 'b'})
	f.Fuzz(func(t *testing.T, in []byte) {
		for _, from := range []Sender{FromServer, FromContainer} {
			payload, n, err := SplitPacket(in, from)
			if err != nil || payload == nil {
				continue
			}
			require.LessOrEqual(t, n, len(in))
			if r, err := ParseForwardRequest(payload); err == nil {
				require.NotEmpty(t, r.Method)
				require.GreaterOrEqual(t, r.ContentLength, int64(-1))
			}
			if b, err := ParseBodyChunk(payload); err == nil {
				require.LessOrEqual(t, len(b), len(payload))
			}
			_, _ = ParseResponse(payload)
		}
	})
}

// Requests, request bodies and response bodies survive encoding and decoding. Header names in the protocol's table are
// encoded as codes, others as strings.
func TestRoundTrip(t *testing.T) {
	want := Request{Method: "POST", URI: "/lot-intake", Query: "x=1", RemoteAddr: "127.0.0.1", Secret: "vine",
		Headers: []Header{{"content-length", "9000"}, {"X-Relay-Class", "lot-intake"}}, ContentLength: 9000}
	payload, _, err := SplitPacket(AppendForwardRequest(nil, want), FromServer)
	require.NoError(t, err)
	got, err := ParseForwardRequest(payload)
	require.NoError(t, err)
	require.Equal(t, want, got)

	body := make([]byte, 9000)
	body[8999] = 7
	var decoded []byte
	for rest := body; len(decoded) < len(body); {
		var out []byte
		out, rest = AppendBodyChunk(nil, rest)
		require.LessOrEqual(t, len(out), MaxPacket)
		payload, _, err := SplitPacket(out, FromServer)
		require.NoError(t, err)
		chunk, err := ParseBodyChunk(payload)
		require.NoError(t, err)
		decoded = append(decoded, chunk...)
	}
	require.Equal(t, body, decoded)

	out := AppendSendHeaders(nil, 503, "Service Unavailable", []Header{{"Retry-After", "1"}})
	out = AppendResponseBody(out, body)
	decoded = nil
	for len(out) > 0 {
		payload, n, err := SplitPacket(out, FromContainer)
		require.NoError(t, err)
		p, err := ParseResponse(payload)
		require.NoError(t, err)
		decoded = append(decoded, p.BodyChunk...)
		out = out[n:]
	}
	require.Equal(t, body, decoded)
}
