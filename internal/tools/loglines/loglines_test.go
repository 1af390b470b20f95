// Package loglines has no code: its test holds docs/log-lines.md against the sources.
package loglines

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const root = "../../.."

// logLine is a log line and the package that writes it.
type logLine struct{ text, pkg string }

// TestEveryLogLineIsDocumented keeps the page complete and free of lines that nobody writes.
func TestEveryLogLineIsDocumented(t *testing.T) {
	written, documented := writtenLines(t), documentedLines(t)
	if len(written) < 40 {
		t.Fatalf("only %d log lines were found in the sources", len(written))
	}
	for l := range written {
		if !documented[l] {
			t.Errorf("docs/log-lines.md has no row for `%s` of `%s`", l.text, l.pkg)
		}
	}
	for l := range documented {
		if !written[l] {
			t.Errorf("docs/log-lines.md tells of `%s` of `%s`, which nothing writes", l.text, l.pkg)
		}
	}
}

// tableRow is a row of the page's table: a text, its level, the package that writes it.
var tableRow = regexp.MustCompile("^\\| `([^`]+)` \\| (?:debug|info|warn|error) \\| `([^`]+)` \\| \\S")

func documentedLines(t *testing.T) map[logLine]bool {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(root, "docs", "log-lines.md"))
	if err != nil {
		t.Fatal(err)
	}
	lines := map[logLine]bool{}
	for text := range strings.Lines(string(page)) {
		if cells := tableRow.FindStringSubmatch(text); cells != nil {
			lines[logLine{cells[1], cells[2]}] = true
		}
	}
	return lines
}

// writtenLines finds the calls of loggers with a constant text, in all that is no test.
func writtenLines(t *testing.T) map[logLine]bool {
	t.Helper()
	lines := map[logLine]bool{}
	for _, top := range []string{"internal", "cmd", "client"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			pkg, err := filepath.Rel(root, filepath.Dir(path))
			ast.Inspect(file, func(node ast.Node) bool {
				if text := logText(node); text != "" {
					lines[logLine{text, pkg}] = true
				}
				return true
			})
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return lines
}

// logText is the text of a log line that a node writes, empty if it writes none.
func logText(node ast.Node) string {
	switch node := node.(type) {
	case *ast.CallExpr:
		called, ok := node.Fun.(*ast.SelectorExpr)
		if !ok || len(node.Args) == 0 || !isLogger(called) {
			return ""
		}
		return stringOf(node.Args[0])
	case *ast.CompositeLit: // Log{Text: "..."}
		if kind, ok := node.Type.(*ast.Ident); ok && kind.Name == "Log" {
			return textField(node)
		}
	}
	return ""
}

func textField(literal *ast.CompositeLit) string {
	for _, element := range literal.Elts {
		if field, ok := element.(*ast.KeyValueExpr); ok && lastName(field.Key) == "Text" {
			return stringOf(field.Value)
		}
	}
	return ""
}

// isLogger reports whether a selector is a method that logs.
func isLogger(called *ast.SelectorExpr) bool {
	switch called.Sel.Name {
	case "logInfo", "logDebug", "logError":
		return true
	case "Debug", "Info", "Warn", "Error":
		return loggerNames[lastName(called.X)]
	}
	return false
}

// loggerNames are what loggers are called in the sources.
var loggerNames = map[string]bool{"log": true, "Log": true, "logger": true, "Logger": true, "slog": true, "host": true}

// lastName is the last name of an expression such as c.log or logger().
func lastName(x ast.Expr) string {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name
	case *ast.SelectorExpr:
		return x.Sel.Name
	case *ast.CallExpr:
		return lastName(x.Fun)
	}
	return ""
}

func stringOf(x ast.Expr) string {
	literal, ok := x.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return ""
	}
	return text
}
