package dispatch

import "errors"

// ErrCallsUnsupported says that the settings have runs make calls, which the backend cannot carry out.
var ErrCallsUnsupported = errors.New(
	"dispatch: settings.extra.downstream: calls need a worker pool to do the work")

// RequestError says why Submit does not take a request. Frontends send its text to the caller.
type RequestError struct {
	// Field is the field at fault, as callers know it.
	Field string
	// Problem says in words what is wrong with it.
	Problem string
}

func (e *RequestError) Error() string { return e.Field + ": " + e.Problem }
