package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
	"pewterline/internal/microtime"
)

func TestEnumStrings(t *testing.T) {
	tests := map[string]interface{ String() string }{
		"succeeded":     StatusSucceeded,
		"rejected":      StatusRejected,
		"failed":        StatusFailed,
		"expired":       StatusExpired,
		"Status(4)":     StatusExpired + 1,
		"not started":   RunNotStarted,
		"unsupported":   RunUnsupported,
		"cancelled":     RunCancelled,
		"indeterminate": RunIndeterminate,
		"RunOutcome(7)": RunIndeterminate + 1,
		"granted":       VerdictGranted,
		"unavailable":   VerdictUnavailable,
		"unknown":       VerdictUnknown,
		"Verdict(6)":    VerdictUnknown + 1,
	}
	for want, value := range tests {
		require.Equal(t, want, value.String())
	}
}

// Each outcome of a run maps to the outcome that is reported to package control.
func TestControlOutcomeOfEveryRunOutcome(t *testing.T) {
	tests := map[RunOutcome]control.Outcome{
		RunSucceeded:     control.OutcomeOK,
		RunFailed:        control.OutcomeError,
		RunCancelled:     control.OutcomeCancelled,
		RunNotStarted:    control.OutcomeCancelled,
		RunUnsupported:   control.OutcomeRejected,
		RunRejected:      control.OutcomeRejected,
		RunIndeterminate: control.OutcomeTimeout,
	}
	for outcome, want := range tests {
		require.Equal(t, want, outcome.controlOutcome(), outcome)
	}
}

func TestTickSchedule(t *testing.T) {
	var schedule tickSchedule
	require.Equal(t, microtime.Never, schedule.next())
	schedule.add(30, 3)
	schedule.add(10, 1)
	schedule.add(20, 2)
	require.Equal(t, microtime.Time(10), schedule.next())
	require.Equal(t, []uint64{1, 2}, schedule.takeDue(20), "ticks must be returned in the order of their due times")
	require.Empty(t, schedule.takeDue(29))
	schedule.postponeTo(40)
	require.Equal(t, microtime.Time(40), schedule.next())
	require.Equal(t, []uint64{3}, schedule.takeDue(40))
}

// Health checks report a fault only after unhealthyGrace, but a drain at once.
func TestHealthDuringGraceAndDrain(t *testing.T) {
	env := newHarness(t)
	env.core.Start(env.now, 0, false)
	env.core.Step(env.now)
	env.core.health.set(env.now, false)
	require.True(t, env.core.Healthy())
	env.core.Step(env.now + unhealthyGrace)
	require.False(t, env.core.Healthy())
	env.core.health.set(env.now, true)
	require.True(t, env.core.Healthy())
	env.core.health.set(env.now+unhealthyGrace, false)
	require.True(t, env.core.Healthy())
	env.core.Drain(env.now+unhealthyGrace, env.now+unhealthyGrace, env.now+microtime.Second)
	require.False(t, env.core.Healthy())
}

// Submit returns an error that names the invalid field, and does not open the request.
func TestRequestErrors(t *testing.T) {
	valid := Request{RunID: "a", Class: 1, IdempotencyKey: "k", QueuedKB: 1, Body: []byte("body")}
	tests := []struct {
		name   string
		change func(*Request)
		want   string
	}{
		{"unknown class", func(r *Request) { r.Class = 2 }, "class: none of that number"},
		{"run ID in use", func(r *Request) { r.RunID = "open" }, `id: "open" is open already`},
		{"zero memory", func(r *Request) { r.QueuedKB = 0 }, "kb: 0 is not within 0 to 2000"},
		{"rank of 1", func(r *Request) { r.Rank = 1 }, "rank: 1 is not within 0 to 1"},
		{"missing key", func(r *Request) { r.IdempotencyKey = "" }, "once: missing in a keyed class"},
		{"key of another class", func(r *Request) { r.Class, r.IdempotencyKey = 0, "known" },
			"once: the key is of a request of another class"},
		{"key of another body", func(r *Request) { r.IdempotencyKey, r.Body = "known", []byte("other") },
			"once: the key is of a request with another body"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			env := newHarness(t)
			open := valid
			open.RunID, open.IdempotencyKey, open.Responder = "open", "known", &recordingResponder{}
			_, err := env.core.Submit(env.now, open)
			require.NoError(t, err)
			attempt := valid
			tc.change(&attempt)
			_, err = env.core.Submit(env.now, attempt)
			var requestError *RequestError
			require.ErrorAs(t, err, &requestError)
			require.EqualError(t, err, tc.want)
			require.Equal(t, 1, env.core.OpenRequests())
		})
	}
}
