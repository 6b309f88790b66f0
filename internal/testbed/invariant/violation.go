package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pewterline/internal/microtime"
)

// Names of the rules, as described in the package documentation.
const (
	ruleLost      = "lost"
	ruleDuplicate = "duplicate"
	ruleResult    = "result"
	ruleDrain     = "drain"
	ruleFallOver  = "fall-over"
	ruleRecovery  = "recovery"
	ruleCall      = "call"
	ruleCheck     = "check"
)

// Violation is a violated rule, with the observed history of the request.
type Violation struct {
	Rule    string
	Server  string
	At      microtime.Time // since the start of the simulation
	Message string
	History []string // one event per line, in order of time
}

// String formats the violation with its history, one event per line.
func (v Violation) String() string {
	text := fmt.Sprintf("%s on %s at %v: %s", v.Rule, v.Server, v.At.Duration(), v.Message)
	for _, line := range v.History {
		text += "\n    " + line
	}
	return text
}

// Key identifies the kind of the violation; a shrunk script must produce a violation with the same key.
func (v Violation) Key() string {
	head, _, _ := strings.Cut(v.Message, ":")
	return v.Rule + "/" + head
}

// report records a violation. The part of the message before its first colon becomes part of the violation's key. The
// request is nil if the violation concerns no single request.
func (o *Observer) report(rule string, server *serverState, request *requestState, format string, args ...any) {
	violation := Violation{Rule: rule, Server: server.name, At: o.clock.Since(), Message: fmt.Sprintf(format, args...)}
	if request != nil {
		violation.History = o.history(server, request)
	}
	if len(o.Violations) < o.MaxViolations {
		o.Violations = append(o.Violations, violation)
	}
}

// note adds an event to the history of a request.
func (o *Observer) note(request *requestState, format string, args ...any) {
	request.notes = append(request.notes, note{o.clock.Since(), fmt.Sprintf(format, args...)})
}

// history returns the events of a request and of all attempts with its idempotency key on the server, in time order.
func (o *Observer) history(server *serverState, request *requestState) []string {
	attempts := []*requestState{request}
	if state := server.keys[request.idempotencyKey]; request.idempotencyKey != "" && state != nil {
		attempts = state.attempts
	}
	type event struct {
		note
		requestID string
	}
	var events []event
	for _, attempt := range attempts {
		for _, n := range attempt.notes {
			events = append(events, event{n, attempt.id})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	var lines []string
	for _, e := range events {
		lines = append(lines, fmt.Sprintf("%v %s %s", e.at.Duration(), e.requestID, e.text))
	}
	return lines
}
