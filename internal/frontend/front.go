// Package frontend has what the fronts share: what they need of the log server behind them, and the fields by which a request tells
// what it is. Each front, in a package of its own, speaks one protocol to callers.
package frontend

import (
	"errors"
	"strconv"

	"pewterline/control"
	"pewterline/internal/dispatch"
	"pewterline/internal/microtime"
)

// HeaderPrefix begins the HTTP headers that carry a request's fields; the field's name follows.
const HeaderPrefix = "X-Relay-"

// LingerTimeout is how long the peer of a connection that is to end may take to close it.
const LingerTimeout = 2 * microtime.Second

// ErrUnknownClass is wrapped by the error for a request of a class that is not in the settings. It makes sense to a caller that
// heard of the settings before or after this server.
var ErrUnknownClass = errors.New("class: unknown")

// Server is what a front needs of the log server. All its methods are called on the loop.
type Server interface {
	// Now is the time of the loop's turn.
	Now() microtime.Time
	// FromUnixMilli converts a time of the wall clock to the program's.
	FromUnixMilli(milliseconds int64) microtime.Time
	// Class finds the place of a class in the settings.
	Class(name string) (place int, known bool)
	// Tenant finds the place of a tenant in the settings. Where they name none, each tenant is known, at place 0.
	Tenant(name string) (place int, known bool)

	// Submit hands a request to the core, which calls its Reply at most once, and never before Submit has returned. After an
	// error the core knows nothing of the request.
	Submit(request dispatch.Request) (control.RequestID, error)
	// GiveUp says that nobody waits for a request any more.
	Cancel(id control.RequestID)

	// Healthy is the answer to health checks.
	Healthy() bool
	// Verify tells done whether work gets done: at once where that is known, else within a second.
	CheckBackend(done func(good bool))
	// FreeValue is the number that goes with every answer; known is false while there is none.
	AdmissionLevel() (value float64, known bool)
	// Leaving says that connections are to end, as the process does.
	Draining() bool

	// Logf writes a line to the log.
	Logf(format string, args ...any)
}

// AdmissionLevelText is the text of the number that goes with every answer; known is false while there is none.
func AdmissionLevelText(server Server) (text string, known bool) {
	value, known := server.AdmissionLevel()
	if !known {
		return "", false
	}
	return strconv.FormatFloat(value, 'f', 4, 64), true
}

// CeilMilliseconds rounds up, so that advice to wait is never cut to none.
func CeilMilliseconds(t microtime.Time) int64 {
	return int64((t + microtime.Millisecond - 1) / microtime.Millisecond)
}
