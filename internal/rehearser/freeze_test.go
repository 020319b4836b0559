package rehearser

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
)

// frozenFor is longer than it takes until a silent node is taken for dead and
// its requests are adopted.
const frozenFor = 9 * time.Second

// TestHomeNodeFrozen: a caller reads a long report when the node that serves it
// is stopped with SIGSTOP. Its connections stay open and silent, so the caller
// leaves it and goes on at the node that adopted the request. After 9 s the
// node goes on where it was, and still takes itself for the owner. Whoever asks
// it then must get the same tokens or be sent to the new owner: two answers
// under one name would let a caller put together one that nobody gave.
func TestHomeNodeFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	r := ask(t, c.client("monday_reports", nil), "Report on the manuscript 'Lighthouse'.", 600)
	r.waitTokens(t, 100)
	request, address := r.home()
	frozen := c.at(t, address)
	r.takeGap()
	began := time.Now()
	frozen.freeze()
	c.waitElapsed(t, began, frozenFor)
	_, after := r.home()
	require.NotEqual(t, address, after, "the caller is elsewhere while its node is frozen")
	paused := r.takeGap()
	frozen.thaw()
	redirects, served := 0, 0
	again := time.NewTicker(tick)
	defer again.Stop()
	for running := true; running; <-again.C {
		running = !r.over()
		if redirected := r.askAgain(t, frozen); redirected {
			redirects++
		} else {
			served++
		}
	}
	r.waitWhole(t)
	t.Logf("moved from %s to %s, longest pause %s; the thawed node redirected %d callers and served %d",
		address, after, paused, redirects, served)
	c.requireNoRestart(t, request)
}

// over reports whether the report has ended.
func (r *report) over() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// askAgain asks one node for the report from its first token on, as a caller
// does that has kept the node's address, and reads what comes for a while. It
// reports whether the node sent the caller elsewhere without a token, and
// objects to any token that is not the answer's.
func (r *report) askAgain(t *testing.T, n *node) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {"0"},
	}
	request, _ := r.home()
	code, answer, body, err := exchange(ctx, http.MethodGet, n.address, "/v1/requests/"+string(request), "demo-monday_reports", header, nil)
	if code == 0 {
		require.ErrorIs(t, err, context.DeadlineExceeded, "the node breaks the connection")
		return false
	}
	if code == http.StatusTemporaryRedirect {
		to, err := url.Parse(answer.Get("Location"))
		require.NoError(t, err)
		require.NotEqual(t, n.address, to.Host, "the node sends its callers to itself")
		return true
	}
	require.Equal(t, http.StatusOK, code, "%s", body)
	text, end := readEvents(t, body)
	require.True(t, strings.HasPrefix(standin.Answer(r.prompt, r.tokens), text), "the node serves another answer: %q", text)
	require.NotEqual(t, server.EventError, end)
	if end == eventDone {
		require.Equal(t, standin.Answer(r.prompt, r.tokens), text)
	}
	return text == "" && end == server.EventMoved
}
