package frontend

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/microtime"
)

// testServer knows one class and no tenants, at a time of one second.
type testServer struct{ Server }

func (testServer) Now() microtime.Time { return microtime.Second }
func (testServer) FromUnixMilli(ms int64) microtime.Time {
	return microtime.Time(ms) * microtime.Millisecond
}
func (testServer) Class(name string) (place int, ok bool)  { return 3, name == "block-view" }
func (testServer) Tenant(name string) (place int, ok bool) { return 0, true }

// readWith reads a good request with one field changed.
func readWith(field, value string) (any, error) {
	fields := map[string]string{"class": "block-view", "id": "00000000000000a1", "at": "1000", "from": "4", "kb": "24.5", "rank": "0.25"}
	fields[field] = value
	r, err := ReadRequest(testServer{}, func(name string) string { return fields[name] })
	return map[string]any{"class": r.Class, "at": r.ArrivedAt, "cost": r.CostHint, "rank": r.Rank, "key": r.SubjectKey, "once": len(r.IdempotencyKey), "retry": r.Retry}[field], err
}

func TestReadRequest(t *testing.T) {
	for _, c := range []struct {
		field, value string
		want         any
	}{
		{"class", "block-view", 3}, {"at", "900", 900 * microtime.Millisecond}, {"at", "11000", microtime.Second}, // ahead: it came now
		{"at", "0", microtime.Time(0)}, {"cost", "", microtime.Time(0)}, {"cost", "12.5", microtime.Time(12500)},
		{"cost", "99999999999", maxCost}, {"rank", "1", 0.9999999999999999}, {"key", "ff", uint64(255)},
		{"once", strings.Repeat("k", maxIdempotencyKeyLength), maxIdempotencyKeyLength}, {"retry", "1", true}, {"retry", "yes", false},
	} {
		got, err := readWith(c.field, c.value)
		require.NoError(t, err, "%s %q", c.field, c.value)
		require.Equal(t, c.want, got, "%s %q", c.field, c.value)
	}
}

func TestReadRequestTurnsDown(t *testing.T) {
	for field, values := range map[string][]string{
		"class": {"", "no-such"}, "id": {"", "00000000000000zz", "00000000000000a", "00000000000000a11"}, "at": {"", "-1", "1e3", "11001", "9999999999999999"},
		"from": {"", "-1", "4294967296"}, "kb": {"", "+1", "1e1", "NaN", "1.2.3"}, "rank": {"", "-0.1", "Inf"}, "cost": {"-1", "0x1", "."},
		"key": {"xyz", "10000000000000000"}, "once": {strings.Repeat("k", maxIdempotencyKeyLength+1)},
	} {
		for _, value := range values {
			_, err := readWith(field, value)
			require.ErrorContains(t, err, field+": ", "%q", value)
		}
	}
	_, err := readWith("class", "no-such")
	require.ErrorIs(t, err, ErrUnknownClass)
}
