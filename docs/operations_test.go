// Package docs_test checks that the tables and log lines in OPERATIONS.md match
// the code.
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
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
	"github.com/dotterelhollow/dotterelhollow/platform"
)

const pageFile = "OPERATIONS.md"

// table returns the rows of the first table in the section with the given
// heading, without the table's header.
func table(t *testing.T, heading string) [][]string {
	t.Helper()
	text, err := os.ReadFile(pageFile)
	require.NoError(t, err)
	_, section, found := strings.Cut(string(text), "\n## "+heading+"\n")
	require.True(t, found, "%s has no section %q", pageFile, heading)
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

// quotedNames returns the names in backquotes in the rows' first cells, sorted.
func quotedNames(t *testing.T, rows [][]string) []string {
	t.Helper()
	quoted := regexp.MustCompile("`([a-z0-9_]+)`")
	var names []string
	for _, row := range rows {
		found := quoted.FindAllStringSubmatch(row[0], -1)
		require.NotEmpty(t, found, "row %q has no name in backquotes", row[0])
		for _, match := range found {
			names = append(names, match[1])
		}
	}
	slices.Sort(names)
	return names
}

// emptyReducer implements only what a Runner needs to publish its metrics.
type emptyReducer struct{ runner.Reducer }

func (emptyReducer) Catalog() *catalog.Catalog { return nil }

func TestDocumentedMetrics(t *testing.T) {
	r := runner.New(runner.Config{Reducer: emptyReducer{}})
	var published map[string]any
	require.NoError(t, json.Unmarshal([]byte(r.Metrics().Var().String()), &published))
	var names []string
	for name := range published {
		names = append(names, name)
	}
	slices.Sort(names)
	rows := table(t, "Metrics")
	require.Equal(t, names, quotedNames(t, rows))
	for _, row := range rows {
		require.Len(t, row, 4)
		require.NotEmpty(t, row[2], "%s has no unit", row[0])
	}
}

func TestDocumentedTimelineKinds(t *testing.T) {
	kinds := slices.Concat(timelineKinds(t), constants(t, "../internal/gossiper", "ChangeKind"))
	slices.Sort(kinds)
	require.Equal(t, slices.Compact(kinds), quotedNames(t, table(t, "Read the time line")))
}

func TestDocumentedReasons(t *testing.T) {
	reasons := slices.Concat(
		constants(t, "../internal/messenger", "Reason"),
		constants(t, "../internal/server", "messenger.Reason"),
	)
	reasons = slices.DeleteFunc(reasons, func(reason string) bool { return reason == "" })
	slices.Sort(reasons)
	require.Equal(t, reasons, quotedNames(t, table(t, "What a refusal means")))
}

// parseSources parses all Go files below a directory except tests.
func parseSources(t *testing.T, dir string) (*token.FileSet, []*ast.File) {
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

// constants returns the values of the string constants of a type declared below
// dir.
func constants(t *testing.T, dir, typeName string) []string {
	t.Helper()
	var values []string
	_, files := parseSources(t, dir)
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

// indirectKinds lists the expressions for kinds whose values the test finds
// elsewhere: in calls of timelineEntry, in takeover.kind, and in the constants of
// ChangeKind.
var indirectKinds = []string{"kind", "t.kind", "messenger.TimelineKind"}

// timelineKinds returns the kinds of all timeline entries in the source. A kind
// whose value it cannot determine fails the test.
func timelineKinds(t *testing.T) []string {
	t.Helper()
	var kinds []string
	set, files := parseSources(t, "../internal")
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			value := kindExpr(n)
			if value == nil {
				return true
			}
			if kind := literal(value); kind != "" {
				kinds = append(kinds, kind)
				return true
			}
			require.Contains(t, indirectKinds, text(value), "cannot determine kind at %s", set.Position(value.Pos()))
			return true
		})
	}
	return kinds
}

// kindExpr returns the expression that sets a TimelineKind at n, or nil.
func kindExpr(n ast.Node) ast.Expr {
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

// literal returns the value of a string literal, or "" for other expressions.
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

// text returns an identifier, a qualified identifier, or that of the function
// in a call.
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

// The example log lines on the page must have the same keys as the lines that a
// node writes.
func TestDocumentedLogLines(t *testing.T) {
	text, err := os.ReadFile(pageFile)
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
		keys, message := parseLogLine(t, line)
		seen[message]++
		require.Equal(t, want[message], keys, message)
	}
	require.Equal(t, map[string]int{
		"attempt ended":  2,
		"exchange ended": 3,
	}, seen)
}

// parseLogLine returns the sorted keys of a log line, except "node", and its
// message.
func parseLogLine(t *testing.T, line string) ([]string, string) {
	t.Helper()
	var entry map[string]any
	require.NoError(t, json.Unmarshal([]byte(line), &entry))
	delete(entry, "node")
	return slices.Sorted(maps.Keys(entry)), entry["@message"].(string)
}

// loggedKeys returns the keys of the log lines written for a failed request, by
// message.
func loggedKeys(t *testing.T) map[string][]string {
	t.Helper()
	var log bytes.Buffer
	f := forwarder.New(forwarder.Config{
		Decider:  &singleAttemptDecider{},
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
		keys, message := parseLogLine(t, line)
		out[message] = keys
	}
	return out
}

// singleAttemptDecider sends a request once, to an address where nothing listens,
// and then ends the exchange as failed.
type singleAttemptDecider struct{}

func (*singleAttemptDecider) Receive(_ context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	return messenger.SendExchange{
		Exchange: spec.Exchange,
		Address:  "127.0.0.1:1",
		Route:    &catalog.Route{},
		Deadline: timekeeper.System{}.Now().Add(timekeeper.Minute),
	}
}

func (*singleAttemptDecider) Began(context.Context, messenger.ExchangeBegan) {}

func (*singleAttemptDecider) AttemptEnded(_ context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect {
	return messenger.EndExchange{
		Exchange: e.Exchange,
		Reason:   messenger.ReasonServerFailed,
	}
}

func (*singleAttemptDecider) Stalled(_ context.Context, e messenger.ExchangeStalled) messenger.Effect {
	return messenger.KeepWaiting{Exchange: e.Exchange}
}

func (*singleAttemptDecider) Ended(messenger.ExchangeEnded) {}

func (*singleAttemptDecider) LimitReceived(context.Context, messenger.ServerLimitReceived) {}

func (*singleAttemptDecider) LeavingReceived(context.Context, messenger.ServerLeavingReceived) {}

func (*singleAttemptDecider) PathTried(context.Context, messenger.PathTried)     {}
func (*singleAttemptDecider) Moving(context.Context, identifier.ExchangeID) bool { return false }

func (*singleAttemptDecider) BrittleReceived(context.Context, messenger.ServerBrittleReceived) {}
