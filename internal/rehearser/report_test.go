package rehearser

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/engine"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// client returns a caller's library for one of Quillmark's accounts.
func (c *cluster) client(account string, transport http.RoundTripper) *caller.Client {
	return caller.New(caller.Config{
		Nodes:     c.addresses(),
		Key:       "demo-" + account,
		Transport: transport,
	})
}

// report is a manuscript report on its way. It is its own sink.
type report struct {
	prompt string
	tokens identifier.Tokens
	done   chan struct{}
	trace  caller.Trace
	err    error

	mu       sync.Mutex
	got      []string
	misplace int
	restarts int
	request  identifier.RequestID
	node     string
	last     time.Time
	// gap is the longest wait for a token since it was last asked for.
	gap time.Duration
}

var (
	_ caller.Sink    = (*report)(nil)
	_ caller.Watcher = (*report)(nil)
)

// Token implements caller.Sink.
func (r *report) Token(t caller.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Index != identifier.Tokens(len(r.got)+1) {
		r.misplace++
	}
	now := time.Now()
	if len(r.got) > 0 {
		r.gap = max(r.gap, now.Sub(r.last))
	}
	r.last = now
	r.got = append(r.got, t.Text)
	return nil
}

// Restart implements caller.Sink.
func (r *report) Restart() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarts++
	return nil
}

// Attached implements caller.Watcher.
func (r *report) Attached(request identifier.RequestID, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request = request
	r.node = node
}

// ask starts a manuscript report.
func ask(t *testing.T, client *caller.Client, prompt string, tokens identifier.Tokens) *report {
	t.Helper()
	r := &report{
		prompt: prompt,
		tokens: tokens,
		done:   make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTime)
	go func() {
		r.trace, r.err = client.Stream(ctx, caller.Prompt{
			Terms: caller.Terms{
				Key:      identifier.IdempotencyKey(t.Name() + prompt),
				Deadline: timekeeper.Minute * 2,
			},
			Service:   "manuscript_report",
			Text:      prompt,
			MaxTokens: tokens,
		}, r)
		close(r.done)
	}()
	t.Cleanup(func() {
		cancel()
		<-r.done
		if t.Failed() {
			t.Logf("report %q: %d of %d tokens, request %s last at %s, trace %+v, error %v",
				prompt, r.count(), tokens, r.request, r.node, r.trace, r.err)
		}
	})
	return r
}

func (r *report) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.got)
}

// home returns the request and the address of the node that last answered.
func (r *report) home() (identifier.RequestID, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.request, r.node
}

// takeGap returns the longest wait for a token since the last call.
func (r *report) takeGap() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := r.gap
	r.gap = 0
	return gap
}

// waitTokens waits until n tokens have arrived.
func (r *report) waitTokens(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return r.count() >= n }, settleTime, tick, "%d tokens of %q", n, r.prompt)
}

// waitWhole waits for the end and checks that the answer is the whole answer to
// this prompt: each token once and in order, and none of it asked for anew.
func (r *report) waitWhole(t *testing.T) {
	t.Helper()
	select {
	case <-r.done:
	case <-time.After(testTime):
		require.FailNow(t, "the report does not end", r.prompt)
	}
	require.NoError(t, r.err, r.prompt)
	require.Zero(t, r.misplace, "tokens out of order")
	require.Zero(t, r.restarts, "restarts")
	require.Zero(t, r.trace.Restarted, "the caller sent it again")
	require.Equal(t, standin.Tokens(r.prompt, r.tokens), r.got)
}

// runs returns what the engines that are still there ran for a request.
func (c *cluster) runs(t *testing.T, request identifier.RequestID) []engine.Run {
	t.Helper()
	var found []engine.Run
	for _, vm := range c.servers(t, "reading") {
		found = append(found, c.runsAt(t, vm, request)...)
	}
	return found
}

func (c *cluster) runsAt(t *testing.T, vm encoder.VM, request identifier.RequestID) []engine.Run {
	t.Helper()
	var ledger engine.Ledger
	require.NoError(t, standin.Control{Address: vm.Address}.Get(t.Context(), "/ledger", &ledger))
	return slices.DeleteFunc(ledger.Runs, func(run engine.Run) bool {
		return !strings.HasPrefix(string(run.Stream), string(request)+".")
	})
}

// requireNoRestart checks that the answer was begun from nothing only once.
func (c *cluster) requireNoRestart(t *testing.T, request identifier.RequestID) {
	t.Helper()
	fromNothing := 0
	var generated identifier.Tokens
	runs := c.runs(t, request)
	for _, run := range runs {
		generated += run.Generated
		if run.From == 0 {
			fromNothing++
		}
	}
	require.Equal(t, 1, fromNothing, "runs from nothing: %+v", runs)
	t.Logf("engines ran %d streams with %d tokens for %s", len(runs), generated, request)
}
