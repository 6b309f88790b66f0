// Package decide holds the decisions beside those of control, each area in a package of its own.
package decide

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pure are the imports that a decision may have: nothing that does I/O, starts goroutines or reads a clock.
var pure = map[string]bool{
	"cmp": true, "errors": true, "fmt": true, "maps": true, "math": true, "math/rand/v2": true, "slices": true, "sort": true,
	"strconv": true, "strings": true, "time": true, "iter": true, "container/heap": true, "math/bits": true, "encoding/binary": true,
	"pewterline/internal/microtime": true, "pewterline/internal/testbed/faults": true, "pewterline/control": true,
	"github.com/cespare/xxhash/v2": true, "github.com/benbjohnson/immutable": true, "gonum.org/v1/gonum/stat": true,
}

// clocks are what a decision may not call, though it may use the package's types.
var clocks = []string{"time.Now", "time.Since", "time.After", "time.Sleep", "time.NewTimer", "time.Tick", "rand.Uint64()", "rand.IntN(", "rand.Float64()"}

// Guards the decisions against I/O, goroutines and clocks of their own, also by way of the records they work on.
func TestDecisionsArePure(t *testing.T) {
	looked := 0
	for _, root := range []string{".", "../testbed/faults", "../testbed/faultsearch", "../testbed/modelcheck", "../microtime"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
			require.NoError(t, err)
			for _, i := range file.Imports {
				name := strings.Trim(i.Path.Value, `"`)
				require.True(t, pure[name] || strings.HasPrefix(name, "pewterline/internal/decide/"), "%s imports %s", path, name)
			}
			if root == "../microtime" {
				return nil // it reads the clock for the program; decisions are handed the time
			}
			looked++
			text := source(t, path)
			for _, c := range clocks {
				require.NotContains(t, text, c, path)
			}
			require.NotContains(t, text, "\tgo func", path)
			return nil
		}))
	}
	require.GreaterOrEqual(t, looked, 4)
}

func source(t *testing.T, path string) string {
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}
