//go:build planted

package sim

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pewterline/internal/planted"
)

// Each planted bug is seen by the rules on its kept script, and the program without it keeps them there. A rule that
// saw nothing would pass all else.
func TestPlantedBugsAreSeen(t *testing.T) {
	defer planted.Set(planted.None)
	for _, bug := range planted.All {
		s := read(t, "testdata/planted/"+string(bug)+".txt")
		planted.Set(planted.None)
		out, err := Play(s, Options{})
		require.NoError(t, err)
		clean(t, s, out)
		planted.Set(bug)
		out, err = Play(s, Options{StopAtFirst: true})
		require.NoError(t, err)
		require.NotEmpty(t, out.Violations, bug)
	}
}
