package frontend

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// The fields of a request, as the platform's protocol names them.
const (
	FieldClass          = "class"
	FieldTenant         = "tenant"
	FieldAttemptID      = "id"
	FieldSentAt         = "at"
	FieldCallerID       = "from"
	FieldRetry          = "retry"
	FieldQueuedKB       = "kb"
	FieldCost           = "cost"
	FieldRank           = "rank"
	FieldSubjectKey     = "key"
	FieldIdempotencyKey = "once"
)

// The limits of a request's fields.
const (
	// maxClockLead is how far a request's timestamp may be ahead of this server's clock.
	maxClockLead = 10 * microtime.Second
	// maxAge is longer than any deadline and retention window. Older timestamps are replaced by this age.
	maxAge = 600 * microtime.Second
	// attemptIDDigits is the length of an attempt ID in hex digits.
	attemptIDDigits = 16
	// maxIdempotencyKeyLength is in bytes.
	maxIdempotencyKeyLength = 128
	// maxCost is the largest cost that a request may announce. Larger values are replaced by it.
	maxCost = microtime.Time(3600) * microtime.Second
	// sentAtBits limits the size of a timestamp in milliseconds, so that its microseconds fit an int64.
	sentAtBits = 50
	// retrySet is the value of FieldRetry that marks a retry. All other values mean a first attempt.
	retrySet = "1"
)

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field string // one of the Field constants
	Err   error
}

// Error implements error. The text is sent to callers.
func (e *FieldError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *FieldError) Unwrap() error { return e.Err }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// ReadRequest reads the fields that all frontends share. get returns the value of a field, or "" if it is absent.
// Errors are of type *FieldError.
func ReadRequest(server Server, get func(field string) string) (dispatch.Request, error) {
	var request dispatch.Request
	err := readClassAndTenant(&request, server, get)
	if err == nil {
		err = readAttempt(&request, server, get)
	}
	if err == nil {
		err = readCostAndRank(&request, get)
	}
	if err == nil {
		err = readKeys(&request, get)
	}
	return request, err
}

func readClassAndTenant(request *dispatch.Request, server Server, get func(string) string) error {
	var known bool
	if request.Class, known = server.Class(get(FieldClass)); !known {
		return fieldErrorf(FieldClass, "%w %q", ErrUnknownClass, get(FieldClass))
	}
	if request.Tenant, known = server.Tenant(get(FieldTenant)); !known {
		return fieldErrorf(FieldTenant, "unknown %q", get(FieldTenant))
	}
	return nil
}

// readAttempt reads the attempt's ID, its timestamp, its caller and whether it is a retry.
func readAttempt(request *dispatch.Request, server Server, get func(string) string) error {
	request.RunID = get(FieldAttemptID)
	if !isHex(request.RunID, attemptIDDigits) {
		return fieldErrorf(FieldAttemptID, "%q is not %d hex digits", request.RunID, attemptIDDigits)
	}
	if err := readSentAt(request, server, get(FieldSentAt)); err != nil {
		return err
	}
	callerID, err := strconv.ParseUint(get(FieldCallerID), 10, 32)
	if err != nil {
		return fieldErrorf(FieldCallerID, "%q is not a number", get(FieldCallerID))
	}
	request.CallerID = uint32(callerID)
	request.Retry = get(FieldRetry) == retrySet
	return nil
}

// readSentAt reads the caller's timestamp in Unix milliseconds and sets the arrival time. The arrival time is clamped
// to the last maxAge, because clocks differ slightly and requests may be very old.
func readSentAt(request *dispatch.Request, server Server, text string) error {
	milliseconds, err := strconv.ParseUint(text, 10, sentAtBits)
	if err != nil {
		return fieldErrorf(FieldSentAt, "%q is not a time in milliseconds", text)
	}
	now := server.Now()
	sentAt := server.FromUnixMilli(int64(milliseconds))
	if sentAt > now+maxClockLead {
		return fieldErrorf(FieldSentAt, "%d is over %v ahead", milliseconds, maxClockLead.Duration())
	}
	request.ArrivedAt = min(max(sentAt, now-maxAge), now)
	request.ArrivedAtUnixMilli = int64(milliseconds)
	return nil
}

// readCostAndRank reads the expected memory and cost, and the rank.
func readCostAndRank(request *dispatch.Request, get func(string) string) (err error) {
	if request.QueuedKB, err = parseDecimal(get(FieldQueuedKB)); err != nil {
		return fieldErrorf(FieldQueuedKB, "%q is not a number", get(FieldQueuedKB))
	}
	if cost := get(FieldCost); cost != "" {
		if request.CostHint, err = parseCost(cost); err != nil {
			return err
		}
	}
	if request.Rank, err = parseDecimal(get(FieldRank)); err != nil {
		return fieldErrorf(FieldRank, "%q is not a number", get(FieldRank))
	}
	// Ranks are below 1, but the sender may round a rank just below 1 up to 1.
	if request.Rank == 1 {
		request.Rank = math.Nextafter(1, 0)
	}
	return nil
}

// readKeys reads the request's subject key and its idempotency key.
func readKeys(request *dispatch.Request, get func(string) string) error {
	if text := get(FieldSubjectKey); text != "" {
		key, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return fieldErrorf(FieldSubjectKey, "%q is not a hex number", text)
		}
		request.SubjectKey = key
	}
	request.IdempotencyKey = get(FieldIdempotencyKey)
	if length := len(request.IdempotencyKey); length > maxIdempotencyKeyLength {
		return fieldErrorf(FieldIdempotencyKey, "%d characters are too many", length)
	}
	return nil
}

// parseCost reads the expected cost, in milliseconds on one core.
func parseCost(text string) (microtime.Time, error) {
	milliseconds, err := parseDecimal(text)
	if err != nil {
		return 0, fieldErrorf(FieldCost, "%q is not a number of milliseconds", text)
	}
	return microtime.Time(math.Min(milliseconds*float64(microtime.Millisecond), float64(maxCost))), nil
}

var errNotDecimal = errors.New("not a decimal number")

// parseDecimal parses digits with at most one decimal point. Unlike ParseFloat it accepts no sign, exponent, Inf or
// NaN.
func parseDecimal(text string) (float64, error) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, errNotDecimal
	}
	return strconv.ParseFloat(text, 64)
}

// isHex reports whether text consists of the given number of hex digits.
func isHex(text string, digits int) bool {
	for i := range len(text) {
		if c := text[i] | 0x20; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(text) == digits
}
