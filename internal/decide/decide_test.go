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

// pureImports are what a decision may import beside the packages of this folder: nothing that does I/O, starts
// goroutines or reads a clock.
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

// impureCalls are what a decision may not call, though it may use the types of these packages.
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

// microtimeFolder is looked at for its imports alone: it reads the clock for the program, and decisions are handed the
// time.
const microtimeFolder = "../microtime"

// Guards the decisions against I/O, goroutines and clocks of their own, also by way of the records they work on.
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

// sourceFiles returns the files of a folder and those below it, without tests.
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

// requirePureCode looks for calls in the text, comments included, and for goroutines in the syntax.
func requirePureCode(t *testing.T, path string) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, call := range impureCalls {
		require.NotContains(t, string(text), call, path)
	}
	ast.Inspect(parseFile(t, path), func(node ast.Node) bool {
		_, starts := node.(*ast.GoStmt)
		require.False(t, starts, "%s starts a goroutine", path)
		return true
	})
}
