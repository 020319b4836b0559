// Package docs_test compares the tables of OPERATIONS.md with the code.
package docs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/runner"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
	"github.com/dotterelhollow/dotterelhollow/platform"
)

const page = "OPERATIONS.md"

// table returns the rows of the first table of a section of the page, without
// its head.
func table(t *testing.T, heading string) [][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	_, section, found := strings.Cut(string(text), "\n## "+heading+"\n")
	require.True(t, found, "%s has no section %q", page, heading)
	section, _, _ = strings.Cut(section, "\n## ")
	var rows [][]string
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "|") {
			rows = append(rows, cells(line))
		} else if len(rows) > 0 {
			break
		}
	}
	require.Greater(t, len(rows), 2, "section %q has no table", heading)
	return rows[2:]
}

func cells(line string) []string {
	parts := strings.Split(strings.Trim(line, "|"), "|")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// named returns the words in backquotes of the rows' first cells, sorted.
func named(t *testing.T, rows [][]string) []string {
	t.Helper()
	quoted := regexp.MustCompile("`([a-z0-9_]+)`")
	var names []string
	for _, row := range rows {
		found := quoted.FindAllStringSubmatch(row[0], -1)
		require.NotEmpty(t, found, "row %q names nothing", row[0])
		for _, match := range found {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return names
}

// emptyReducer serves a Runner that only publishes its metrics.
type emptyReducer struct{ runner.Reducer }

func (emptyReducer) Catalog() *catalog.Catalog { return nil }

func TestMetricsOfThePage(t *testing.T) {
	r := runner.New(runner.Config{Reducer: emptyReducer{}})
	var published map[string]any
	require.NoError(t, json.Unmarshal([]byte(r.Metrics().Var().String()), &published))
	var names []string
	for name := range published {
		names = append(names, name)
	}
	slices.Sort(names)
	rows := table(t, "Metrics")
	require.Equal(t, names, named(t, rows))
	for _, row := range rows {
		require.Len(t, row, 4)
		require.NotEmpty(t, row[2], "%s has no unit", row[0])
	}
}

func TestKindsOfThePage(t *testing.T) {
	kinds := slices.Concat(noteKinds(t), constants(t, "../internal/gossiper", "ChangeKind"))
	slices.Sort(kinds)
	require.Equal(t, slices.Compact(kinds), named(t, table(t, "Read the time line")))
}

func TestReasonsOfThePage(t *testing.T) {
	reasons := slices.Concat(
		constants(t, "../internal/messenger", "Reason"),
		constants(t, "../internal/server", "messenger.Reason"),
	)
	reasons = slices.DeleteFunc(reasons, func(reason string) bool { return reason == "" })
	slices.Sort(reasons)
	require.Equal(t, reasons, named(t, table(t, "What a refusal means")))
}

// source parses the files of the product below a directory.
func source(t *testing.T, dir string) (*token.FileSet, []*ast.File) {
	t.Helper()
	set := token.NewFileSet()
	var files []*ast.File
	require.NoError(t, filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, 0)
		files = append(files, file)
		return err
	}))
	return set, files
}

// constants returns the values of the string constants of a type.
func constants(t *testing.T, dir, typeName string) []string {
	t.Helper()
	var values []string
	_, files := source(t, dir)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && spec.Type != nil && text(spec.Type) == typeName {
				for _, value := range spec.Values {
					values = append(values, literal(value))
				}
			}
			return true
		})
	}
	require.NotEmpty(t, values)
	return values
}

// passedOn are the expressions that stand for a kind which is set elsewhere:
// by a call of timelineEntry, by takeover.kind, and by a constant of ChangeKind.
var passedOn = []string{"kind", "t.kind", "messenger.TimelineKind"}

// noteKinds returns the kinds of the events that the decisions put on the time
// line. A kind that it cannot read from the source fails the test.
func noteKinds(t *testing.T) []string {
	t.Helper()
	var kinds []string
	set, files := source(t, "../internal")
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			value := kindIn(n)
			if value == nil {
				return true
			}
			if kind := literal(value); kind != "" {
				kinds = append(kinds, kind)
				return true
			}
			require.Contains(t, passedOn, text(value), "kind that the test cannot read: %s", set.Position(value.Pos()))
			return true
		})
	}
	return kinds
}

// kindIn returns the expression that sets a TimelineKind at n, or nil.
func kindIn(n ast.Node) ast.Expr {
	switch n := n.(type) {
	case *ast.CompositeLit:
		switch text(n.Type) {
		case "messenger.TimelineEntry":
			return field(n, "Kind")
		case "takeover":
			return field(n, "kind")
		}
	case *ast.CallExpr:
		if text(n.Fun) == "c.timelineEntry" {
			return n.Args[0]
		}
	}
	return nil
}

func field(literal *ast.CompositeLit, name string) ast.Expr {
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok && text(pair.Key) == name {
			return pair.Value
		}
	}
	return nil
}

// literal returns the value of a string literal, or nothing.
func literal(e ast.Expr) string {
	basic, ok := e.(*ast.BasicLit)
	if !ok || basic.Kind != token.STRING {
		return ""
	}
	value, err := strconv.Unquote(basic.Value)
	if err != nil {
		return ""
	}
	return value
}

// text returns a name, a name with its package or receiver, or that of the
// function that is called.
func text(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return text(e.X) + "." + e.Sel.Name
	case *ast.CallExpr:
		return text(e.Fun)
	}
	return ""
}

// The lines of the page are those that a node writes: the same keys, so that a
// reader finds in a log what the page points at.
func TestLinesOfFailedRequests(t *testing.T) {
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	_, section, found := strings.Cut(string(text), "\n## Explain a failed request\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	want := loggedKeys(t)
	seen := map[string]int{}
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "{") {
			continue
		}
		keys, message := keysOf(t, line)
		seen[message]++
		require.Equal(t, want[message], keys, message)
	}
	require.Equal(t, map[string]int{
		"attempt ended":  2,
		"exchange ended": 3,
	}, seen)
}

// keysOf returns the keys of a line of the log, but for the node's, and its
// message.
func keysOf(t *testing.T, line string) ([]string, string) {
	t.Helper()
	var entry map[string]any
	require.NoError(t, json.Unmarshal([]byte(line), &entry))
	delete(entry, "node")
	return slices.Sorted(maps.Keys(entry)), entry["@message"].(string)
}

// loggedKeys returns the keys of the lines that a failed request leaves, by
// message.
func loggedKeys(t *testing.T) map[string][]string {
	t.Helper()
	var log bytes.Buffer
	f := forwarder.New(forwarder.Config{
		Decider:  &oneAttempt{},
		Protocol: platform.Protocol{},
		Clock:    timekeeper.System{},
		Logger: hclog.New(&hclog.LoggerOptions{
			Name:       "dotterelhollow",
			Output:     &log,
			JSONFormat: true,
		}),
	})
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Dotterelhollow-Request-Id", "r-1")
	f.ServeHTTP(httptest.NewRecorder(), r)
	out := map[string][]string{}
	for line := range strings.Lines(log.String()) {
		keys, message := keysOf(t, line)
		out[message] = keys
	}
	return out
}

// oneAttempt sends a request to an address where nothing listens, and gives up.
type oneAttempt struct{}

func (*oneAttempt) Receive(_ context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	return messenger.SendExchange{
		Exchange: spec.Exchange,
		Address:  "127.0.0.1:1",
		Route:    &catalog.Route{},
		Deadline: timekeeper.System{}.Now().Add(timekeeper.Minute),
	}
}

func (*oneAttempt) Began(context.Context, messenger.ExchangeBegan) {}

func (*oneAttempt) AttemptEnded(_ context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect {
	return messenger.EndExchange{
		Exchange: e.Exchange,
		Reason:   messenger.ReasonServerFailed,
	}
}

func (*oneAttempt) Ended(messenger.ExchangeEnded) {}

func (*oneAttempt) LimitReceived(context.Context, messenger.ServerLimitReceived) {}
