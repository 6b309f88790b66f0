package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"pewterline/internal/microtime"
)

// The rules that a violation can name.
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

// Violation is a broken rule, with all that was seen of the request.
type Violation struct {
	Rule    string
	Server  string
	At      microtime.Time // since the world's start
	Message string
	History []string // one event a line, in the order of time
}

// String is the violation with its history, one line an event.
func (v Violation) String() string {
	text := fmt.Sprintf("%s on %s at %v: %s", v.Rule, v.Server, v.At.Duration(), v.Message)
	for _, line := range v.History {
		text += "\n    " + line
	}
	return text
}

// Key tells violations of one sort from others: what the shrinker must preserve.
func (v Violation) Key() string {
	head, _, _ := strings.Cut(v.Message, ":")
	return v.Rule + "/" + head
}

// report records a violation. The part of the message before its first colon is the violation's key. The request may
// be nil where the violation is of none.
func (o *Observer) report(rule string, server *serverState, request *requestState, format string, args ...any) {
	violation := Violation{Rule: rule, Server: server.name, At: o.world.Since(), Message: fmt.Sprintf(format, args...)}
	if request != nil {
		violation.History = o.history(server, request)
	}
	if len(o.Violations) < o.MaxViolations {
		o.Violations = append(o.Violations, violation)
	}
}

// note adds an event to the history of a request.
func (o *Observer) note(request *requestState, format string, args ...any) {
	request.notes = append(request.notes, note{o.world.Since(), fmt.Sprintf(format, args...)})
}

// history is what was seen of a request, with all attempts under its idempotency key, in the order of time.
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
