package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Submit returns an error that names the invalid field, and does not open the request.
func TestRequestErrors(t *testing.T) {
	valid := Request{RunID: "a", Class: 1, IdempotencyKey: "k", QueuedKB: 1, Body: []byte("body")}
	tests := []struct {
		name   string
		change func(*Request)
		want   string
	}{
		{"unknown class", func(r *Request) { r.Class = 2 }, "class: none of that number"},
		{"run ID in use", func(r *Request) { r.RunID = "open" }, `id: "open" is open already`},
		{"zero memory", func(r *Request) { r.QueuedKB = 0 }, "kb: 0 is not within 0 to 2000"},
		{"rank of 1", func(r *Request) { r.Rank = 1 }, "rank: 1 is not within 0 to 1"},
		{"missing key", func(r *Request) { r.IdempotencyKey = "" }, "once: missing in a keyed class"},
		{"key of another class", func(r *Request) { r.Class, r.IdempotencyKey = 0, "known" },
			"once: the key is of a request of another class"},
		{"key of another body", func(r *Request) { r.IdempotencyKey, r.Body = "known", []byte("other") },
			"once: the key is of a request with another body"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			env := newHarness(t)
			open := valid
			open.RunID, open.IdempotencyKey, open.Responder = "open", "known", &recordingResponder{}
			_, err := env.core.Submit(env.now, open)
			require.NoError(t, err)
			attempt := valid
			tc.change(&attempt)
			_, err = env.core.Submit(env.now, attempt)
			var requestError *RequestError
			require.ErrorAs(t, err, &requestError)
			require.EqualError(t, err, tc.want)
			require.Equal(t, 1, env.core.OpenRequests())
		})
	}
}
