package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// String returns a distinct name for each value of an enumeration, and "unknown" and the type for any other value.
func TestEnumerationNames(t *testing.T) {
	tests := []struct {
		name  string
		count int
		value func(int) fmt.Stringer
	}{
		{"outcome", int(OutcomeAlreadyEnded) + 1, func(i int) fmt.Stringer { return Outcome(i) }},
		{"idempotency", int(NonIdempotent) + 1, func(i int) fmt.Stringer { return Idempotency(i) }},
		{"preemption mode", int(PreemptSuspend) + 1, func(i int) fmt.Stringer { return PreemptionMode(i) }},
		{"load signal", int(LoadSignalWeight) + 1, func(i int) fmt.Stringer { return LoadSignalKind(i) }},
		{"dependency", int(DependencyTier) + 1, func(i int) fmt.Stringer { return Dependency(i) }},
		{"state", int(requestStates), func(i int) fmt.Stringer { return requestState(i) }},
		{"reason", int(reasonHung) + 1, func(i int) fmt.Stringer { return unhealthyReason(i) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			names := map[string]bool{}
			for i := range tc.count {
				name := tc.value(i).String()
				require.False(t, strings.HasPrefix(name, "unknown"), "value %d is %q", i, name)
				require.False(t, names[name], "%q is the name of two values", name)
				names[name] = true
			}
			require.Equal(t, "unknown "+tc.name, tc.value(tc.count).String())
		})
	}
}
