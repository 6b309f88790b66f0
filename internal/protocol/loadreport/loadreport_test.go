package loadreport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAppend(t *testing.T) {
	for name, tc := range map[string]struct {
		ready bool
		want  string
	}{
		"ready":     {true, "before lease n1 Ready"},
		"not ready": {false, "before lease n1 NotReady"},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tc.want, string(Append([]byte("before "), "n1", tc.ready)))
		})
	}
}
