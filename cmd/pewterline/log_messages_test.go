package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// logTablePath is the page with the table of all log messages.
const logTablePath = "../../docs/operators/log-messages.md"

// logMessage is one kind of log line.
type logMessage struct {
	level  string
	fields string // names in the order of the code
}

// The operators' table and the code must have the same messages, with the same levels and fields, and each row must
// state a meaning and an action.
func TestLogMessagesAreInTheTable(t *testing.T) {
	t.Parallel()
	code := messagesOfCode(t)
	require.Greater(t, len(code), 50)
	table := messagesOfTable(t)
	for _, message := range slices.Sorted(maps.Keys(code)) {
		row, ok := table[message]
		if !ok {
			t.Errorf("not in the table:\n| `%s` | %s | %s |  |  |", message, code[message].level, code[message].fields)
			continue
		}
		if row != code[message] {
			t.Errorf("%q: the table says %+v, the code %+v", message, row, code[message])
		}
	}
	for _, message := range slices.Sorted(maps.Keys(table)) {
		if _, ok := code[message]; !ok {
			t.Errorf("in the table, and no longer in the code: %q", message)
		}
	}
}

// messagesOfTable returns the messages in the rows of the page.
func messagesOfTable(t *testing.T) map[string]logMessage {
	t.Helper()
	text, err := os.ReadFile(logTablePath)
	require.NoError(t, err)
	out := map[string]logMessage{}
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if len(cells) < 5 || !strings.HasPrefix(cells[0], "| `") {
			continue
		}
		require.Len(t, cells, 5, line)
		message := strings.TrimSuffix(strings.TrimPrefix(cells[0], "| `"), "`")
		require.NotContains(t, out, message, "two rows")
		require.NotEmpty(t, strings.TrimSpace(cells[3]), "%q has no meaning", message)
		require.NotEmpty(t, strings.Trim(cells[4], " |"), "%q has no action", message)
		out[message] = logMessage{level: cells[1], fields: cells[2]}
	}
	return out
}

// messagesOfCode returns the messages of the log calls in the server's packages. A message that is not a constant
// cannot be in a table, and is an error.
func messagesOfCode(t *testing.T) map[string]logMessage {
	t.Helper()
	out := map[string]logMessage{}
	for _, root := range []string{".", "../../control", "../../internal"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && (entry.Name() == "testbed" || entry.Name() == "simadapter"):
				return filepath.SkipDir // not part of the server
			case entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.CallExpr:
					collectLogCall(t, files, node, out)
				case *ast.CompositeLit:
					collectLogAction(t, files, node, out)
				}
				return true
			})
			return nil
		}))
	}
	return out
}

// collectLogCall adds the message of a call that writes a log line.
func collectLogCall(t *testing.T, files *token.FileSet, call *ast.CallExpr, out map[string]logMessage) {
	t.Helper()
	level, ok := logLevel(call)
	if !ok {
		return
	}
	if _, ok := call.Args[0].(*ast.Ident); ok && call.Ellipsis.IsValid() {
		return // the call forwards the arguments of another one
	}
	message, ok := constantMessage(call)
	if !ok {
		t.Errorf("%s: the message is not a constant", files.Position(call.Pos()))
		return
	}
	if message == controlPrefix+"%s" {
		return // the message comes from the decision module; collectLogAction finds it
	}
	found := logMessage{level: level, fields: logFields(message, call.Args[1:])}
	if level == "info" && strings.HasSuffix(found.fields, "error") {
		found.level = "warn" // as in logs.Logf
	}
	if match := fieldsFormat.FindStringSubmatch(message); match != nil {
		message = match[1]
	}
	if known, ok := out[message]; ok && known != found {
		t.Errorf("%s: %q is logged elsewhere with other fields", files.Position(call.Pos()), message)
	}
	out[message] = found
}

// controlPrefix is the prefix of the lines that the decision module requests.
const controlPrefix = "control: "

// collectLogAction adds the text of a control.Log, the action by which the decision module requests a log line.
func collectLogAction(t *testing.T, files *token.FileSet, literal *ast.CompositeLit, out map[string]logMessage) {
	t.Helper()
	name, ok := literal.Type.(*ast.Ident)
	if !ok || name.Name != "Log" {
		return
	}
	for _, element := range literal.Elts {
		field, ok := element.(*ast.KeyValueExpr)
		if !ok || lastName(field.Key) != "Text" {
			continue // a type of the same name
		}
		text := field.Value
		if call, ok := text.(*ast.CallExpr); ok { // fmt.Sprintf
			text = call.Args[0]
		}
		message, ok := constantString(text)
		if !ok {
			t.Errorf("%s: the message is not a constant", files.Position(literal.Pos()))
		}
		out[controlPrefix+message] = logMessage{level: "info", fields: "-"}
	}
}

// logLevel returns the level of a call that writes a log line; ok is false for other calls.
func logLevel(call *ast.CallExpr) (level string, ok bool) {
	if len(call.Args) == 0 {
		return "", false
	}
	var receiver, name string
	switch callee := call.Fun.(type) {
	case *ast.Ident:
		name = callee.Name
	case *ast.SelectorExpr:
		name = callee.Sel.Name
		receiver = lastName(callee.X)
	}
	if name == "logf" || name == "Logf" {
		return "info", true
	}
	level = strings.ToLower(name)
	isLogger := receiver == "logger" || receiver == "limited"
	return level, isLogger && slices.Contains([]string{"debug", "info", "warn", "error"}, level)
}

// lastName returns the last name of an expression such as p.logs.logger.
func lastName(expr ast.Expr) string {
	switch x := expr.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return x.Sel.Name
	default:
		return ""
	}
}

// constantMessage returns the message of a log call. If the call joins a constant prefix and the format of another
// call, the message is the prefix followed by "...".
func constantMessage(call *ast.CallExpr) (message string, ok bool) {
	joined, isJoined := call.Args[0].(*ast.BinaryExpr)
	if isJoined && call.Ellipsis.IsValid() {
		prefix, ok := constantString(joined.X)
		return prefix + "...", ok
	}
	return constantString(call.Args[0])
}

// constantString returns the value of a string literal, or of several joined literals.
func constantString(expr ast.Expr) (text string, ok bool) {
	switch x := expr.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(x.Value)
		return text, err == nil
	case *ast.BinaryExpr:
		left, leftOK := constantString(x.X)
		right, rightOK := constantString(x.Y)
		return left + right, leftOK && rightOK
	default:
		return "", false
	}
}

var formatField = regexp.MustCompile(`(\w+)=%`)

// logFields returns the names of a line's fields: those before each "=" in a format, followed by those of zap fields.
func logFields(message string, args []ast.Expr) string {
	var names []string
	for _, match := range formatField.FindAllStringSubmatch(message, -1) {
		names = append(names, match[1])
	}
	for _, arg := range args {
		call, ok := arg.(*ast.CallExpr)
		if !ok {
			continue
		}
		callee, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || lastName(callee.X) != "zap" {
			continue
		}
		if callee.Sel.Name == "Error" {
			names = append(names, "error")
		} else if name, ok := constantString(call.Args[0]); ok {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}
