package conventions

import (
	"go/ast"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// operationsPage is the page that explains each log line to operators.
var operationsPage = filepath.Join(moduleRoot, "docs", "operations.md")

// logFunctions maps the functions of slog that log to the index of their message argument.
var logFunctions = map[string]int{"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "Log": 2, "LogAttrs": 2}

// logLine is one call that writes a log line.
type logLine struct {
	position   token.Position
	function   string
	message    string
	attributes []string // constant keys
}

// stringLiteral returns the value of a string literal; false if the expression is anything else.
func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// logLines returns the calls of slog that log a constant message. Calls with another message fail
// the test, since an operator cannot look it up on the page.
func logLines(t *testing.T) []logLine {
	t.Helper()
	files, fset := sourceFiles(t)
	var lines []logLine
	for _, file := range files {
		ast.Inspect(file.ast, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			function, ok := call.Fun.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			logger, ok := function.X.(*ast.Ident)
			index, logs := logFunctions[function.Sel.Name]
			if !ok || logger.Name != "slog" || !logs {
				return true
			}
			position := fset.Position(call.Pos())
			message, constant := stringLiteral(call.Args[index])
			if !constant {
				t.Errorf("%s: the message is not constant", position)
				return true
			}
			line := logLine{position: position, function: function.Sel.Name, message: message}
			for i, argument := range call.Args[index+1:] {
				if key, ok := stringLiteral(argument); ok && i%2 == 0 {
					line.attributes = append(line.attributes, key)
				}
			}
			lines = append(lines, line)
			return true
		})
	}
	if len(lines) == 0 {
		t.Fatal("no log lines found")
	}
	return lines
}

// Each log line is explained on the operators' page.
func TestLogLinesAreOnTheOperationsPage(t *testing.T) {
	page, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range logLines(t) {
		if !strings.Contains(string(page), "`"+line.message+"`") {
			t.Errorf("%s: %q is not on the page", line.position, line.message)
		}
	}
}

var (
	messageStyle   = regexp.MustCompile(`^[a-z][^A-Z]*[^.!:]$`)
	attributeStyle = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

	// replacedAttributes maps attribute keys that must not be used to the key to use instead.
	replacedAttributes = map[string]string{"err": "error", "why": "reason", "boot": "incarnation", "session": "incarnation", "epoch": "revision"}
)

// Log lines have one style: messages in lower case without a full stop, attribute keys in snake
// case, and the same key everywhere for the same thing.
func TestLogLinesHaveOneStyle(t *testing.T) {
	for _, line := range logLines(t) {
		if !messageStyle.MatchString(line.message) {
			t.Errorf("%s: message %q", line.position, line.message)
		}
		for _, key := range line.attributes {
			if !attributeStyle.MatchString(key) {
				t.Errorf("%s: attribute %q", line.position, key)
			}
			if name, replaced := replacedAttributes[key]; replaced {
				t.Errorf("%s: attribute %q should be %q", line.position, key, name)
			}
		}
		if unique := slices.Compact(slices.Sorted(slices.Values(line.attributes))); len(unique) < len(line.attributes) {
			t.Errorf("%s: an attribute is repeated", line.position)
		}
	}
}
