package dispatch

import "errors"

// ErrCallsUnsupported means that the settings enable calls and the backend does not support them.
var ErrCallsUnsupported = errors.New(
	"dispatch: settings.extra.downstream: calls need a worker pool to do the work")

// RequestError is the error of Submit for an invalid request. Frontends send its text to the caller.
type RequestError struct {
	// Field is the invalid field, by its name in the callers' protocol.
	Field string
	// Problem describes what is wrong with the field.
	Problem string
}

func (e *RequestError) Error() string { return e.Field + ": " + e.Problem }
