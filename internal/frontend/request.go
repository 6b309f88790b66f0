package frontend

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// The bounds of a request's fields.
const (
	maxClockLead            = 10 * microtime.Second  // that a request's own time may be ahead of ours
	maxAge                  = 600 * microtime.Second // beyond any deadline and window; what came before that came then
	attemptIDDigits         = 16
	maxIdempotencyKeyLength = 128                                     // characters of a once-key
	maxCost                 = microtime.Time(3600) * microtime.Second // of the work that a request may be said to take; more is taken for it
)

// ReadRequest reads the fields that all fronts share; get returns "" for one that is absent. The error names the field.
func ReadRequest(server Server, get func(field string) string) (r dispatch.Request, err error) {
	if err = readOwner(&r, server, get); err != nil {
		return r, err
	}
	if err = readAttempt(&r, server, get); err != nil {
		return r, err
	}
	if err = readSize(&r, get); err != nil {
		return r, err
	}
	return r, readIdempotencyKey(&r, get)
}

// readOwner reads the class and the tenant.
func readOwner(r *dispatch.Request, server Server, get func(string) string) error {
	var known bool
	if r.Class, known = server.Class(get("class")); !known {
		return fmt.Errorf("%w %q", ErrUnknownClass, get("class"))
	}
	if r.Tenant, known = server.Tenant(get("tenant")); !known {
		return fmt.Errorf("tenant: unknown %q", get("tenant"))
	}
	return nil
}

// readAttempt reads what names the try, when it was sent and by whom.
func readAttempt(r *dispatch.Request, server Server, get func(string) string) error {
	if r.RunID = get("id"); !isHex(r.RunID, attemptIDDigits) {
		return fmt.Errorf("id: %q is not %d hex digits", r.RunID, attemptIDDigits)
	}
	at, err := strconv.ParseUint(get("at"), 10, 50) // no sign; and its microseconds can be counted
	if err != nil {
		return fmt.Errorf("at: %q is not a time in milliseconds", get("at"))
	}
	now := server.Now()
	if r.ArrivedAt = server.FromUnixMilli(int64(at)); r.ArrivedAt > now+maxClockLead {
		return fmt.Errorf("at: %d is over %v ahead", at, maxClockLead.Duration())
	}
	r.ArrivedAt, r.ArrivedAtUnixMilli = min(max(r.ArrivedAt, now-maxAge), now), int64(at)
	from, err := strconv.ParseUint(get("from"), 10, 32)
	if err != nil {
		return fmt.Errorf("from: %q is not a number", get("from"))
	}
	r.CallerID = uint32(from)
	r.Retry = get("retry") == "1"
	return nil
}

// readSize reads the memory and the work to expect, and the rank.
func readSize(r *dispatch.Request, get func(string) string) (err error) {
	if r.QueuedKB, err = parseDecimal(get("kb")); err != nil {
		return fmt.Errorf("kb: %q is not a number", get("kb"))
	}
	if cost := get("cost"); cost != "" {
		if r.CostHint, err = parseCost(cost); err != nil {
			return err
		}
	}
	if r.Rank, err = parseDecimal(get("rank")); err != nil {
		return fmt.Errorf("rank: %q is not a number", get("rank"))
	}
	// Written with few digits, a rank just under 1 reads as 1.
	if r.Rank == 1 {
		r.Rank = math.Nextafter(1, 0)
	}
	return nil
}

// readIdempotencyKey reads what the request is about and its once-key.
func readIdempotencyKey(r *dispatch.Request, get func(string) string) (err error) {
	if key := get("key"); key != "" {
		if r.SubjectKey, err = strconv.ParseUint(key, 16, 64); err != nil {
			return fmt.Errorf("key: %q is not a hex number", key)
		}
	}
	if r.IdempotencyKey = get("once"); len(r.IdempotencyKey) > maxIdempotencyKeyLength {
		return fmt.Errorf("once: %d characters are too many", len(r.IdempotencyKey))
	}
	return nil
}

// parseCost reads the work to expect, in milliseconds on one core.
func parseCost(text string) (microtime.Time, error) {
	ms, err := parseDecimal(text)
	if err != nil {
		return 0, fmt.Errorf("cost: %q is not a number of milliseconds", text)
	}
	return microtime.Time(math.Min(ms*float64(microtime.Millisecond), float64(maxCost))), nil
}

// parseDecimal reads digits with at most one point among them: no sign, exponent or word, which ParseFloat takes too.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseFloat(text, 64)
}

// isHex says whether text is that many hex digits.
func isHex(text string, digits int) bool {
	for i := range len(text) {
		if c := text[i] | 0x20; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(text) == digits
}
