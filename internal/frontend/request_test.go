package frontend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// testServer knows one class and accepts every tenant. Its clock reads one second.
type testServer struct{ Server }

func (testServer) Now() microtime.Time { return microtime.Second }

func (testServer) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}

func (testServer) Class(name string) (index int, known bool) { return 3, name == "block-view" }
func (testServer) Tenant(string) (index int, known bool)     { return 0, true }

// readWith reads a valid request with one field changed.
func readWith(field, value string) (dispatch.Request, error) {
	fields := map[string]string{
		FieldClass:     "block-view",
		FieldAttemptID: "00000000000000a1",
		FieldSentAt:    "1000",
		FieldCallerID:  "4",
		FieldQueuedKB:  "24.5",
		FieldRank:      "0.25",
	}
	fields[field] = value
	return ReadRequest(testServer{}, func(name string) string { return fields[name] })
}

func TestReadRequest(t *testing.T) {
	class := func(r dispatch.Request) any { return r.Class }
	arrivedAt := func(r dispatch.Request) any { return r.ArrivedAt }
	cost := func(r dispatch.Request) any { return r.CostHint }
	rank := func(r dispatch.Request) any { return r.Rank }
	subjectKey := func(r dispatch.Request) any { return r.SubjectKey }
	keyLength := func(r dispatch.Request) any { return len(r.IdempotencyKey) }
	retry := func(r dispatch.Request) any { return r.Retry }
	longestKey := strings.Repeat("k", maxIdempotencyKeyLength)
	for _, tc := range []struct {
		name         string
		field, value string
		read         func(dispatch.Request) any
		want         any
	}{
		{"index of the class", "class", "block-view", class, 3},
		{"timestamp in the past", "at", "900", arrivedAt, 900 * microtime.Millisecond},
		{"timestamp ahead of the server's clock is clamped to now", "at", "11000", arrivedAt, microtime.Second},
		{"timestamp at the epoch", "at", "0", arrivedAt, microtime.Time(0)},
		{"no cost", "cost", "", cost, microtime.Time(0)},
		{"cost with decimals", "cost", "12.5", cost, microtime.Time(12500)},
		{"cost above the limit is clamped", "cost", "99999999999", cost, maxCost},
		{"rank rounded up to 1 by the sender", "rank", "1", rank, 0.9999999999999999},
		{"subject key in hex", "key", "ff", subjectKey, uint64(255)},
		{"longest idempotency key", "once", longestKey, keyLength, maxIdempotencyKeyLength},
		{"retry", "retry", "1", retry, true},
		{"retry flag other than 1", "retry", "yes", retry, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			request, err := readWith(tc.field, tc.value)
			require.NoError(t, err, "%s %q", tc.field, tc.value)
			require.Equal(t, tc.want, tc.read(request), "%s %q", tc.field, tc.value)
		})
	}
}

func TestReadRequestRejectsInvalidFields(t *testing.T) {
	for field, values := range map[string][]string{
		"class": {"", "no-such"},
		"id":    {"", "00000000000000zz", "00000000000000a", "00000000000000a11"},
		"at":    {"", "-1", "1e3", "11001", "9999999999999999"},
		"from":  {"", "-1", "4294967296"},
		"kb":    {"", "+1", "1e1", "NaN", "1.2.3"},
		"rank":  {"", "-0.1", "Inf"},
		"cost":  {"-1", "0x1", "."},
		"key":   {"xyz", "10000000000000000"},
		"once":  {strings.Repeat("k", maxIdempotencyKeyLength+1)},
	} {
		for _, value := range values {
			_, err := readWith(field, value)
			require.ErrorContains(t, err, field+": ", "%q", value)
			var fieldError *FieldError
			require.ErrorAs(t, err, &fieldError, "%q", value)
			require.Equal(t, field, fieldError.Field, "%q", value)
		}
	}
	_, err := readWith("class", "no-such")
	require.ErrorIs(t, err, ErrUnknownClass)
	require.EqualError(t, err, `class: unknown "no-such"`, "this text is sent to callers")
}
