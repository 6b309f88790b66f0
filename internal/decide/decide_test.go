package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// pureImports lists the packages that decision packages may import besides each other. It leaves out packages whose
// purpose is I/O, goroutines or synchronization.
var pureImports = []string{
	"cmp",
	"container/heap",
	"encoding/binary",
	"errors",
	"fmt",
	"iter",
	"maps",
	"math",
	"math/bits",
	"math/rand/v2",
	"slices",
	"sort",
	"strconv",
	"strings",
	"time",

	"github.com/benbjohnson/immutable",
	"github.com/cespare/xxhash/v2",
	"gonum.org/v1/gonum/stat",

	"pewterline/control",
	"pewterline/internal/microtime",
	"pewterline/internal/testbed/faults",
}

// impureCalls lists calls that are forbidden in decision packages, which may use the types of the same packages.
var impureCalls = []string{
	"time.Now",
	"time.Since",
	"time.After",
	"time.Sleep",
	"time.NewTimer",
	"time.Tick",
	"rand.Uint64()",
	"rand.IntN(",
	"rand.Float64()",
}

// microtimeFolder is checked only for its imports: its Clock reads the system's clocks, and decision packages get the
// time as an argument.
const microtimeFolder = "../microtime"

// Guards the determinism of the decision packages and of the testbed packages that drive or describe them: none does
// I/O, starts a goroutine or reads a clock.
func TestDecisionsArePure(t *testing.T) {
	checked := 0
	for _, folder := range []string{
		".",
		"../testbed/faults",
		"../testbed/faultsearch",
		"../testbed/modelcheck",
		microtimeFolder,
	} {
		for _, path := range sourceFiles(t, folder) {
			requirePureImports(t, path)
			if folder != microtimeFolder {
				requirePureCode(t, path)
				checked++
			}
		}
	}
	require.GreaterOrEqual(t, checked, 4)
}

// sourceFiles returns the paths of all Go files in a folder and below it, except tests.
func sourceFiles(t *testing.T, folder string) (paths []string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			paths = append(paths, path)
		}
		return err
	})
	require.NoError(t, err)
	return paths
}

func parseFile(t *testing.T, path string) *ast.File {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	require.NoError(t, err)
	return file
}

func requirePureImports(t *testing.T, path string) {
	t.Helper()
	for _, imported := range parseFile(t, path).Imports {
		name := strings.Trim(imported.Path.Value, `"`)
		if !strings.HasPrefix(name, "pewterline/internal/decide/") {
			require.Contains(t, pureImports, name, path)
		}
	}
}

// requirePureCode searches the source text, comments included, for impure calls, and the syntax tree for go statements.
func requirePureCode(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, call := range impureCalls {
		require.NotContains(t, string(text), call, path)
	}
	ast.Inspect(parseFile(t, path), func(node ast.Node) bool {
		_, startsGoroutine := node.(*ast.GoStmt)
		require.False(t, startsGoroutine, "%s starts a goroutine", path)
		return true
	})
}
