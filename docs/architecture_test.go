// Package docs checks that the documentation names packages and identifiers that exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Both patterns match text in backquotes: packagePath matches the path of a package or file of the repository,
// qualified matches an identifier with the name of its package.
var (
	packagePath = regexp.MustCompile("`((?:internal|cmd|control|example|deploy)(?:/[\\w.-]+)*)`")
	qualified   = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*)(?:\\.([A-Z]\\w*))?`")
)

// Pages must not name packages, files or identifiers that no longer exist, which would mislead their readers.
func TestPagesNameExistingIdentifiers(t *testing.T) {
	declared := declarations(t, "..")
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range packagePath.FindAllStringSubmatch(string(text), -1) {
			_, err := os.Stat(filepath.Join("..", strings.TrimSuffix(match[1], "/...")))
			require.NoError(t, err, page)
		}
		for _, match := range qualified.FindAllStringSubmatch(string(text), -1) {
			name := match[1] + "." + match[2]
			require.True(t, declared[name], "%s: %s is not declared", page, name)
			if match[3] != "" {
				require.True(t, declared[name+"."+match[3]], "%s: %s.%s is not declared", page, name, match[3])
			}
		}
	}
}

// pages returns the paths of all pages that describe the current program.
func pages(t *testing.T) []string {
	t.Helper()
	found := []string{"../README.md", "../example/README.md"}
	for _, pattern := range []string{"*.md", "*/*.md"} {
		names, err := filepath.Glob(pattern)
		require.NoError(t, err)
		found = append(found, names...)
	}
	require.Contains(t, found, "ARCHITECTURE.md")
	return found
}

// testName matches a test, a fuzz target or a benchmark.
var testName = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w+`)

// Pages name tests as evidence for what they state, so each test that they name must exist.
func TestPagesNameTestsThatExist(t *testing.T) {
	declared := map[string]bool{}
	walk(t, "..", "_test.go", func(text string) {
		for _, match := range regexp.MustCompile(`(?m)^func (\w+)\(`).FindAllStringSubmatch(text, -1) {
			declared[match[1]] = true
		}
	})
	named := 0
	walk(t, ".", ".md", func(text string) {
		for _, name := range testName.FindAllString(text, -1) {
			named++
			require.True(t, declared[name], "a page names %s, but there is no such test", name)
		}
	})
	require.Positive(t, named)
}

// walk calls visit with the text of each file below root whose name ends in suffix.
func walk(t *testing.T, root, suffix string, visit func(text string)) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(root, func(name string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, suffix) {
			return err
		}
		text, err := os.ReadFile(name)
		visit(string(text))
		return err
	}))
}

// declarations returns the top-level identifiers of all packages below root, and the members of their types, as
// package.Name and package.Type.Member.
func declarations(t *testing.T, root string) map[string]bool {
	t.Helper()
	declared := map[string]bool{}
	require.NoError(t, filepath.WalkDir(root, func(name string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, decl := range file.Decls {
			declare(declared, file.Name.Name+".", decl)
		}
		return nil
	}))
	return declared
}

func declare(declared map[string]bool, prefix string, decl ast.Decl) {
	switch decl := decl.(type) {
	case *ast.FuncDecl:
		if decl.Recv != nil {
			prefix += receiver(decl.Recv.List[0].Type) + "."
		}
		declared[prefix+decl.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range decl.Specs {
			switch spec := spec.(type) {
			case *ast.TypeSpec:
				declared[prefix+spec.Name.Name] = true
				declareMembers(declared, prefix+spec.Name.Name+".", spec.Type)
			case *ast.ValueSpec:
				for _, name := range spec.Names {
					declared[prefix+name.Name] = true
				}
			}
		}
	}
}

func declareMembers(declared map[string]bool, prefix string, expr ast.Expr) {
	var fields *ast.FieldList
	switch expr := expr.(type) {
	case *ast.StructType:
		fields = expr.Fields
	case *ast.InterfaceType:
		fields = expr.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			declared[prefix+name.Name] = true
		}
	}
}

func receiver(expr ast.Expr) string {
	switch expr := expr.(type) {
	case *ast.StarExpr:
		return receiver(expr.X)
	case *ast.IndexExpr:
		return receiver(expr.X)
	case *ast.Ident:
		return expr.Name
	}
	return ""
}
