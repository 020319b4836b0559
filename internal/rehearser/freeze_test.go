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

// freezeTime exceeds the time after which an unresponsive node is declared dead and its
// requests are adopted.
const freezeTime = 9 * time.Second

// Guards against two answers under one request id: a paused node that resumes after its request was
// adopted must send the same tokens or redirect to the new owner.
func TestServingNodeFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	r := startReport(t, c.client("monday_reports", nil), "Report on the manuscript 'Lighthouse'.", 600)
	r.waitTokens(t, 100)
	request, address := r.attachment()
	frozen := c.nodeAt(t, address)
	r.takeMaxGap()
	began := time.Now()
	frozen.freeze()
	c.waitElapsed(t, began, freezeTime)
	_, after := r.attachment()
	require.NotEqual(t, address, after, "the caller has moved from its frozen node")
	paused := r.takeMaxGap()
	frozen.thaw()
	redirects, served := 0, 0
	again := time.NewTicker(pollInterval)
	defer again.Stop()
	for running := true; running; <-again.C {
		running = !r.ended()
		if redirected := r.requestAgain(t, frozen); redirected {
			redirects++
		} else {
			served++
		}
	}
	r.waitComplete(t)
	t.Logf("moved from %s to %s, longest pause %s; the thawed node redirected %d callers and served %d",
		address, after, paused, redirects, served)
	c.requireNoRestart(t, request)
}

func (r *report) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// requestAgain requests the report from its first token from one node, as a caller with
// an old address does, and reads for a while. It reports whether the node redirected
// the caller without sending a token, and fails the test if it sent tokens of another
// answer.
func (r *report) requestAgain(t *testing.T, n *node) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	header := http.Header{
		"Accept":        {"text/event-stream"},
		"Last-Event-Id": {"0"},
	}
	request, _ := r.attachment()
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
	require.True(t, strings.HasPrefix(standin.Answer(r.prompt, r.tokens), text), "the node served another answer: %q", text)
	require.NotEqual(t, server.EventError, end)
	if end == eventDone {
		require.Equal(t, standin.Answer(r.prompt, r.tokens), text)
	}
	return text == "" && end == server.EventMoved
}
