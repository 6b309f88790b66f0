//go:build planted

package consensus

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pewterline/internal/planted"
)

var fromZero = flag.Bool("hunt", false, "hunt each planted bug from seed 0, not from a seed that is known to find it")

// known are seeds near which each bug was found.
var known = map[planted.ID]uint64{planted.CopyFirst: 8, planted.CopyOneSet: 518, planted.CopyEarly: 400}

// Each planted bug of the protocol is found by the simulated group. One that finds nothing would pass all else.
func TestPlantedCopies(t *testing.T) {
	defer planted.Set(planted.None)
	for _, bug := range planted.Copies {
		planted.Set(bug)
		began, found, first := time.Now(), "", known[bug]
		if *fromZero {
			first = 0
		}
		for seed := first; seed < first+3000 && found == ""; seed++ {
			if _, found = playGroup(t, seed); found != "" {
				t.Logf("%s: seed %d, after %v: %s", bug, seed, time.Since(began).Round(time.Millisecond), found)
			}
		}
		require.NotEmpty(t, found, bug)
	}
}
