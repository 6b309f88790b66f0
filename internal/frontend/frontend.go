// Package frontend holds the code that the protocol frontends share: the interface of the server behind them and the
// parser of request fields. Each frontend is a subpackage for one protocol: thriftfrontend serves the proxies of the
// platform, ajpfrontend serves web servers. The frontends own the sessions of their connections. They never decide
// whether or when a request runs: they submit it to the request core through Server.
package frontend

import (
	"errors"
	"strconv"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// HeaderPrefix is the prefix of the HTTP headers that carry a request's fields. The field's name follows the prefix.
const HeaderPrefix = "X-Relay-"

// LingerTimeout is how long a peer may take to close its connection after it was asked to do so.
const LingerTimeout = 2 * microtime.Second

// admissionLevelDecimals is the number of decimals of the admission level in responses.
const admissionLevelDecimals = 4

// ErrUnknownClass is wrapped by the FieldError for a class that is not in the settings. It is not the peer's fault:
// the peer may have loaded an older or newer version of the settings than this server.
var ErrUnknownClass = errors.New("unknown")

// Server is the log server as a frontend sees it. All its methods are called on the event loop.
type Server interface {
	// Now returns the time of the event loop's current turn.
	Now() microtime.Time
	// FromUnixMilli converts a wall clock time to the program's time.
	FromUnixMilli(milliseconds int64) microtime.Time
	// Class returns the index of a class in the settings; known is false if they do not list it.
	Class(name string) (index int, known bool)
	// Tenant returns the index of a tenant in the settings. If they list none, every tenant is known, with index 0.
	Tenant(name string) (index int, known bool)

	// Submit submits a request to the core, which calls its Responder at most once, and never before Submit has
	// returned. After an error the core has no trace of the request.
	Submit(request dispatch.Request) (control.RequestID, error)
	// Cancel abandons a request: its response is no longer needed.
	Cancel(id control.RequestID)

	// Healthy reports whether shallow health checks succeed.
	Healthy() bool
	// CheckBackend checks whether the backend executes runs, and passes the result to done: immediately if it is known
	// already, and otherwise within a second.
	CheckBackend(done func(healthy bool))
	// AdmissionLevel returns the advertised admission level; known is false while there is none.
	AdmissionLevel() (level float64, known bool)
	// Draining reports whether connections should be closed because the process shuts down.
	Draining() bool

	// Logf writes a line to the log.
	Logf(format string, args ...any)
}

// AdmissionLevelText returns the admission level, formatted for responses; known is false while there is none.
func AdmissionLevelText(server Server) (text string, known bool) {
	level, known := server.AdmissionLevel()
	if !known {
		return "", false
	}
	return strconv.FormatFloat(level, 'f', admissionLevelDecimals, 64), true
}

// CeilMilliseconds rounds up to whole milliseconds, so that a short Retry-After never becomes 0.
func CeilMilliseconds(t microtime.Time) int64 {
	return int64((t + microtime.Millisecond - 1) / microtime.Millisecond)
}
