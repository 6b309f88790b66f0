package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/control"
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
