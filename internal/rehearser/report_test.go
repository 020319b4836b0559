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

// client returns a caller's client for one of Quillmark's accounts.
func (c *cluster) client(account string, transport http.RoundTripper) *caller.Client {
	return caller.New(caller.Config{
		Nodes:     c.addresses(),
		Key:       "demo-" + account,
		Transport: transport,
	})
}

// report is a manuscript report in progress. It implements its own sink.
type report struct {
	prompt string
	tokens identifier.Tokens
	done   chan struct{}
	trace  caller.Trace
	err    error

	mu        sync.Mutex
	got       []string
	misplaced int
	restarts  int
	request   identifier.RequestID
	node      string
	lastToken time.Time
	// maxGap is the longest time between two tokens since the last call of takeMaxGap.
	maxGap time.Duration
}

var (
	_ caller.Sink           = (*report)(nil)
	_ caller.AttachObserver = (*report)(nil)
)

// Token implements caller.Sink.
func (r *report) Token(t caller.Token) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Index != identifier.Tokens(len(r.got)+1) {
		r.misplaced++
	}
	now := time.Now()
	if len(r.got) > 0 {
		r.maxGap = max(r.maxGap, now.Sub(r.lastToken))
	}
	r.lastToken = now
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

// Attached implements caller.AttachObserver.
func (r *report) Attached(request identifier.RequestID, node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.request = request
	r.node = node
}

func startReport(t *testing.T, client *caller.Client, prompt string, tokens identifier.Tokens) *report {
	t.Helper()
	r := &report{
		prompt: prompt,
		tokens: tokens,
		done:   make(chan struct{}),
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	go func() {
		r.trace, r.err = client.Stream(ctx, caller.Prompt{
			Options: caller.Options{
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

// attachment returns the request and the address of the node that last answered.
func (r *report) attachment() (identifier.RequestID, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.request, r.node
}

// takeMaxGap returns the longest time between two tokens since the last call.
func (r *report) takeMaxGap() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	gap := r.maxGap
	r.maxGap = 0
	return gap
}

func (r *report) waitTokens(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return r.count() >= n }, settleTimeout, pollInterval, "%d tokens of %q", n, r.prompt)
}

// waitComplete waits for the end and checks that the answer is complete: each token
// once and in order, without a restart.
func (r *report) waitComplete(t *testing.T) {
	t.Helper()
	select {
	case <-r.done:
	case <-time.After(testTimeout):
		require.FailNow(t, "the report does not end", r.prompt)
	}
	require.NoError(t, r.err, r.prompt)
	require.Zero(t, r.misplaced, "tokens out of order")
	require.Zero(t, r.restarts, "restarts")
	require.Zero(t, r.trace.Restarted, "the caller sent it again")
	require.Equal(t, standin.Tokens(r.prompt, r.tokens), r.got)
}

// runs returns the runs of a request on the engines that still run.
func (c *cluster) runs(t *testing.T, request identifier.RequestID) []engine.Run {
	t.Helper()
	var runs []engine.Run
	for _, vm := range c.servers(t, "reading") {
		runs = append(runs, c.runsAt(t, vm, request)...)
	}
	return runs
}

func (c *cluster) runsAt(t *testing.T, vm encoder.VM, request identifier.RequestID) []engine.Run {
	t.Helper()
	var ledger engine.Ledger
	require.NoError(t, standin.Control{Address: vm.Address}.Get(t.Context(), "/ledger", &ledger))
	return slices.DeleteFunc(ledger.Runs, func(run engine.Run) bool {
		return !strings.HasPrefix(string(run.Stream), string(request)+".")
	})
}

// requireNoRestart checks that only one run of the request started at its first token.
func (c *cluster) requireNoRestart(t *testing.T, request identifier.RequestID) {
	t.Helper()
	fromStart := 0
	var generated identifier.Tokens
	runs := c.runs(t, request)
	for _, run := range runs {
		generated += run.Generated
		if run.From == 0 {
			fromStart++
		}
	}
	require.Equal(t, 1, fromStart, "runs from the first token: %+v", runs)
	t.Logf("engines ran %d streams with %d tokens for %s", len(runs), generated, request)
}
