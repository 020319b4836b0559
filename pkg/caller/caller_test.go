package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

type receivedRequest struct {
	node        int
	method      string
	path        string
	key         string
	lastEventID string
}

// cluster is a set of nodes whose responses a test defines.
type cluster struct {
	mu       sync.Mutex
	requests []receivedRequest
	nodes    []*httptest.Server
	// addressRefusals is the number of further requests for addresses that are
	// refused.
	addressRefusals int
}

// newCluster starts nodes that handle requests with handle. Address lists
// contain all nodes in order.
func newCluster(t *testing.T, size int, handle func(c *cluster, node int, w http.ResponseWriter, r *http.Request)) *cluster {
	t.Helper()
	c := &cluster{}
	for node := range size {
		c.nodes = append(c.nodes, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/addresses" {
				c.addresses(w)
				return
			}
			c.record(node, r)
			handle(c, node, w, r)
		})))
		t.Cleanup(c.nodes[node].Close)
	}
	return c
}

func (c *cluster) addresses(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addressRefusals > 0 {
		c.addressRefusals--
		writeProblem(w, 503, "no_configuration", "not_run", 1)
		return
	}
	list := struct {
		Nodes []caller.Node `json:"nodes"`
		Keep  int           `json:"keep_ms"`
	}{Keep: 60_000}
	for node := range c.nodes {
		list.Nodes = append(list.Nodes, caller.Node{Address: c.address(node)})
	}
	_ = json.NewEncoder(w).Encode(list)
}

func (c *cluster) record(node int, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, receivedRequest{
		node:        node,
		method:      r.Method,
		path:        r.URL.Path,
		key:         r.Header.Get("Idempotency-Key"),
		lastEventID: r.Header.Get("Last-Event-ID"),
	})
}

func (c *cluster) address(node int) string { return strings.TrimPrefix(c.nodes[node].URL, "http://") }

func (c *cluster) client(change func(*caller.Config)) *caller.Client {
	config := caller.Config{
		Key:               "harbor-key",
		StreamIdleTimeout: 200 * timekeeper.Millisecond,
		ProgressTimeout:   20 * timekeeper.Second,
		RetryDelay:        5 * timekeeper.Millisecond,
		SearchTimeout:     50 * timekeeper.Millisecond,
	}
	for node := range c.nodes {
		config.Nodes = append(config.Nodes, c.address(node))
	}
	if change != nil {
		change(&config)
	}
	return caller.New(config)
}

// openStream starts a stream of request r1.
func openStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", "r1")
	writeFlushed(w, ": heartbeat\n\n")
}

func writeFlushed(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

// writeTokens writes the tokens with the indexes from..to; the text of token i
// is "<i>".
func writeTokens(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		writeFlushed(w, fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"<%d>\"}}]}\n\n", i, i))
	}
}

func finishStream(w http.ResponseWriter) {
	writeFlushed(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

func writeProblem(w http.ResponseWriter, status int, reason, outcome string, retryAfter int) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"status":%d,"reason":%q,"outcome":%q,"retry_after_ms":%d}`, status, reason, outcome, retryAfter)
}

// abortConnection closes the connection without ending the response.
func abortConnection() { panic(http.ErrAbortHandler) }

type textSink struct {
	strings.Builder
	restarts int
}

var _ caller.Sink = (*textSink)(nil)

func (s *textSink) Token(t caller.Token) error {
	s.WriteString(t.Text)
	return nil
}

func (s *textSink) Restart() error {
	s.restarts++
	s.Reset()
	return nil
}

var reportPrompt = caller.Prompt{
	Service: "report",
	Text:    "a ship",
}

// However a stream breaks, the client must continue on another node after the
// last token, and deliver each token once and in order.
func TestStreamResumes(t *testing.T) {
	interruptions := map[string]func(c *cluster, w http.ResponseWriter, r *http.Request){
		"cut":   func(*cluster, http.ResponseWriter, *http.Request) { abortConnection() },
		"ended": func(*cluster, http.ResponseWriter, *http.Request) {},
		"moved": func(c *cluster, w http.ResponseWriter, _ *http.Request) {
			writeFlushed(w, fmt.Sprintf("event: moved\ndata: {\"address\":%q}\n\n", c.address(1)))
		},
		"hole": func(_ *cluster, w http.ResponseWriter, _ *http.Request) { writeTokens(w, 4, 4) },
	}
	for name, interrupt := range interruptions {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
				openStream(w)
				if node == 0 {
					writeTokens(w, 1, 2)
					interrupt(c, w, r)
					return
				}
				writeTokens(w, 2, 4) // Token 2 is a duplicate.
				finishStream(w)
			})
			var got textSink
			trace, err := c.client(nil).Stream(t.Context(), reportPrompt, &got)
			require.NoError(t, err)
			require.Equal(t, "<1><2><3><4>", got.String())
			require.Zero(t, got.restarts)
			require.Equal(t, identifier.RequestID("r1"), trace.Request)
			require.Equal(t, 1, trace.Reattached)
			require.Equal(t, identifier.Tokens(4), trace.Tokens)
			require.Len(t, c.requests, 2)
			require.Equal(t, receivedRequest{
				node:        1,
				method:      "GET",
				path:        "/v1/requests/r1",
				lastEventID: "2",
			}, c.requests[1])
		})
	}
}

// An open connection stops receiving data while new ones work. The client must
// reconnect to the same node.
func TestIdleConnectionIsReopened(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, _ int, w http.ResponseWriter, r *http.Request) {
		openStream(w)
		if r.Method == http.MethodPost {
			writeTokens(w, 1, 2)
			<-r.Context().Done()
			return
		}
		writeTokens(w, 3, 4)
		finishStream(w)
	})
	var got textSink
	_, err := c.client(nil).Stream(t.Context(), reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3><4>", got.String())
	require.Len(t, c.requests, 2)
	require.Zero(t, c.requests[1].node)
}

// A frozen node accepts a new connection but never answers. The client must try
// another node after a short wait, since that may have adopted the request.
func TestFailoverFromFrozenNode(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			openStream(w)
			writeTokens(w, 1, 2)
			<-r.Context().Done()
		case node == 0:
			<-r.Context().Done()
		default:
			openStream(w)
			writeTokens(w, 3, 4)
			finishStream(w)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), caller.DefaultAnswerTimeout.Std()/2)
	defer cancel()
	var got textSink
	_, err := c.client(func(c *caller.Config) { c.SearchTimeout = timekeeper.Minute }).Stream(ctx, reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3><4>", got.String())
	require.Len(t, c.requests, 3)
}

// A node fails before its response. It may have run the request, so the client
// must send it again with the same key.
func TestRequestWithLostResponseIsResentWithSameKey(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			abortConnection()
		}
		w.Header().Set("Outcome", "done")
		_, _ = fmt.Fprint(w, "sent")
	})
	reply, trace, err := c.client(nil).Call(t.Context(), caller.Call{
		Service: "email",
		Method:  http.MethodPost,
		Path:    "/send",
	})
	require.NoError(t, err)
	require.Equal(t, "sent", string(reply.Body))
	require.NotEmpty(t, trace.Key)
	// The HTTP transport may also have resent it to the first node.
	require.Equal(t, 1, c.requests[len(c.requests)-1].node)
	for _, v := range c.requests {
		require.Equal(t, trace.Key, identifier.IdempotencyKey(v.key))
	}
}

// The first node fails before its response and may have run the request. A "not
// run" from the second node must not be returned as the outcome.
func TestNotRunIsUnknownAfterLostResponse(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			abortConnection()
		}
		writeProblem(w, 409, "duplicate_key", "not_run", 0)
	})
	_, _, err := c.client(nil).Call(t.Context(), caller.Call{
		Service: "email",
		Method:  http.MethodPost,
		Path:    "/send",
	})
	var lost *caller.UnknownOutcomeError
	require.ErrorAs(t, err, &lost)
}

// A node fails and no other adopts the request. After the search timeout the
// request must be sent again and the sink restarted.
func TestUnknownRequestIsResent(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			writeProblem(w, 404, "unknown_request", "unknown", 0)
		case node == 0 && len(c.requests) == 1:
			openStream(w)
			writeTokens(w, 1, 2)
			abortConnection()
		default:
			openStream(w)
			writeTokens(w, 1, 3)
			finishStream(w)
		}
	})
	var got textSink
	trace, err := c.client(nil).Stream(t.Context(), reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3>", got.String())
	require.Equal(t, 1, got.restarts)
	require.Equal(t, 1, trace.Restarted)
}

// Guards against waiting for the search timeout if no node knows the request, and against running
// it twice if a node redirects to an unreachable one.
func TestRequestUnknownToAllNodesIsResentEarly(t *testing.T) {
	for _, redirected := range []bool{false, true} {
		t.Run(fmt.Sprintf("redirected: %v", redirected), func(t *testing.T) {
			c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodPost && node == 0 && len(c.requests) == 1:
					openStream(w)
					writeTokens(w, 1, 2)
					_ = c.nodes[0].Listener.Close()
					abortConnection()
				case r.Method == http.MethodPost:
					openStream(w)
					writeTokens(w, 1, 3)
					finishStream(w)
				case node == 1 && redirected:
					w.Header().Set("Location", "http://"+c.address(0)+"/v1/requests/r1")
					w.WriteHeader(http.StatusTemporaryRedirect)
				default:
					writeProblem(w, 404, "unknown_request", "unknown", 0)
				}
			})
			client := c.client(func(config *caller.Config) {
				config.Nodes = config.Nodes[1:]
				config.SearchTimeout = timekeeper.Minute
				config.ProgressTimeout = timekeeper.Second
				config.UnknownRequestTimeout = 100 * timekeeper.Millisecond
			})
			var got textSink
			trace, err := client.Stream(t.Context(), reportPrompt, &got)
			// The unreachable node may still have the request.
			if redirected {
				require.Error(t, err)
				require.Zero(t, trace.Restarted)
				return
			}
			require.NoError(t, err)
			require.Equal(t, "<1><2><3>", got.String())
			require.Equal(t, 1, trace.Restarted)
		})
	}
}

// steppingClock advances by a step at each reading.
type steppingClock struct {
	step timekeeper.Duration
	now  atomic.Int64
}

func (c *steppingClock) Now() timekeeper.Time { return timekeeper.Time(c.now.Add(int64(c.step))) }

// Guards against resending a request before a slower node names its owner.
func TestRequestUnknownToSomeNodesIsNotResent(t *testing.T) {
	c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			openStream(w)
			writeTokens(w, 1, 2)
			_ = c.nodes[0].Listener.Close()
			abortConnection()
		case node == 1:
			w.Header().Set("Location", "http://"+c.address(0)+"/v1/requests/r1")
			w.WriteHeader(http.StatusTemporaryRedirect)
		default:
			writeProblem(w, 404, "unknown_request", "unknown", 0)
		}
	})
	client := c.client(func(config *caller.Config) {
		config.Nodes = config.Nodes[1:]
		config.Clock = &steppingClock{step: 50 * timekeeper.Millisecond}
		config.SearchTimeout = timekeeper.Hour
		config.UnknownRequestTimeout = 100 * timekeeper.Millisecond
	})
	var got textSink
	trace, err := client.Stream(t.Context(), reportPrompt, &got)
	require.Error(t, err)
	require.Zero(t, trace.Restarted)
}

// Guards against resending a request before the default timeout.
func TestUnknownRequestTimeoutHasDefault(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, _ int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			openStream(w)
			writeTokens(w, 1, 2)
			abortConnection()
		case len(c.requests) < 20:
			writeProblem(w, 404, "unknown_request", "unknown", 0)
		default:
			openStream(w)
			writeTokens(w, 3, 3)
			finishStream(w)
		}
	})
	client := c.client(func(config *caller.Config) { config.SearchTimeout = timekeeper.Minute })
	var got textSink
	trace, err := client.Stream(t.Context(), reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3>", got.String())
	require.Zero(t, trace.Restarted)
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name         string
		status       int
		reason       string
		outcome      caller.Outcome
		retryAfterMS int
		wantRequests int
		wantSuccess  bool
	}{
		{
			name:         "final",
			status:       504,
			reason:       "deadline",
			outcome:      caller.OutcomeNotRun,
			wantRequests: 1,
		},
		{
			name:         "bad key",
			status:       401,
			reason:       "unauthorized",
			outcome:      caller.OutcomeNotRun,
			wantRequests: 1,
		},
		{
			name:         "comes back",
			status:       503,
			reason:       "overload",
			outcome:      caller.OutcomeNotRun,
			retryAfterMS: 5,
			wantRequests: 2,
			wantSuccess:  true,
		},
		{
			name:         "next node at once",
			status:       503,
			reason:       "node_leaving",
			outcome:      caller.OutcomeNotRun,
			retryAfterMS: 60_000,
			wantRequests: 2,
			wantSuccess:  true,
		},
		{
			name:         "too late to come back",
			status:       429,
			reason:       "account_limit",
			outcome:      caller.OutcomeNotRun,
			retryAfterMS: 60_000,
			wantRequests: 1,
		},
		{
			name:         "unknown, asks again under its key",
			status:       503,
			reason:       "log_unavailable",
			outcome:      caller.OutcomeUnknown,
			retryAfterMS: 5,
			wantRequests: 2,
			wantSuccess:  true,
		},
		{
			name:         "unknown for good",
			status:       409,
			reason:       "duplicate_key",
			outcome:      caller.OutcomeUnknown,
			wantRequests: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 2, func(c *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
				if len(c.requests) == 1 {
					writeProblem(w, test.status, test.reason, string(test.outcome), test.retryAfterMS)
					return
				}
				openStream(w)
				finishStream(w)
			})
			var got textSink
			prompt := reportPrompt
			prompt.Deadline = 30 * timekeeper.Second
			_, err := c.client(func(c *caller.Config) { c.ProgressTimeout = 2 * timekeeper.Minute }).Stream(t.Context(), prompt, &got)
			require.Len(t, c.requests, test.wantRequests)
			if test.wantSuccess {
				require.NoError(t, err)
				return
			}
			var refusal *caller.RefusalError
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
			require.Equal(t, test.outcome, refusal.Outcome)
		})
	}
}

// Resume does not have the request and must never send it again. The trace must
// show no restart and no key.
func TestResumeNeverResends(t *testing.T) {
	c := newCluster(t, 1, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		openStream(w)
		writeTokens(w, 1, 3)
		finishStream(w)
	})
	var got textSink
	trace, err := c.client(nil).Resume(t.Context(), "manuscript_report", "r1", "0", &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3>", got.String())
	require.Zero(t, trace.Restarted)
	require.Empty(t, trace.Key)
}

// Resume can't send the request again, so it must skip a leaving node and continue
// from the same position on the next node.
func TestResumeSkipsLeavingNode(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			writeProblem(w, 503, "node_leaving", "not_run", 1000)
			return
		}
		openStream(w)
		writeTokens(w, 3, 4)
		finishStream(w)
	})
	var got textSink
	_, err := c.client(nil).Resume(t.Context(), "report", "r1", "2-0123456789abcdef", &got)
	require.NoError(t, err)
	require.Equal(t, "<3><4>", got.String())
	for _, v := range c.requests {
		require.Equal(t, "/v1/requests/r1", v.path)
		require.Equal(t, "2-0123456789abcdef", v.lastEventID)
	}
}

// The failure of an accepted request must return a typed error, not a partial
// answer that looks complete.
func TestErrorEvent(t *testing.T) {
	c := newCluster(t, 1, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		openStream(w)
		writeTokens(w, 1, 2)
		writeFlushed(w, "event: error\ndata: {\"reason\":\"retries_spent\",\"outcome\":\"unknown\"}\n\n")
	})
	_, err := c.client(nil).Stream(t.Context(), reportPrompt, &textSink{})
	var refusal *caller.RefusalError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, caller.OutcomeUnknown, refusal.Outcome)
}

// Two nodes each regard the other as the owner. The client must leave the
// redirect loop and try the third node.
func TestRedirectLoopEnds(t *testing.T) {
	c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		if node < 2 {
			w.Header().Set("Location", "http://"+c.address(1-node)+"/v1/requests/r1")
			w.Header().Set("Request-Id", "r1")
			w.WriteHeader(map[bool]int{true: 303, false: 307}[r.Method == http.MethodPost])
			return
		}
		openStream(w)
		writeTokens(w, 1, 1)
		finishStream(w)
	})
	var got textSink
	_, err := c.client(func(c *caller.Config) { c.SearchTimeout = timekeeper.Minute }).Stream(t.Context(), reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1>", got.String())
}

func TestComplete(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			w.Header().Set("Location", "http://"+c.address(1)+"/v1/requests/r1")
			w.Header().Set("Request-Id", "r1")
			w.WriteHeader(http.StatusSeeOther)
			return
		}
		_, _ = fmt.Fprint(w, `{"choices":[{"message":{"content":"the ship"}}],"usage":{"completion_tokens":2}}`)
	})
	got, trace, err := c.client(nil).Complete(t.Context(), reportPrompt)
	require.NoError(t, err)
	require.Equal(t, "the ship", got)
	require.Equal(t, identifier.RequestID("r1"), trace.Request)
}

func TestNoNode(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.nodes[0].Close()
	ctx, cancel := context.WithTimeout(t.Context(), timekeeper.Duration(100).Std())
	defer cancel()
	_, err := c.client(nil).Stream(ctx, reportPrompt, &textSink{})
	var none *caller.NoNodeError
	require.ErrorAs(t, err, &none)
}

// If a connection is refused, nothing was sent, and the client must try the
// next node without a delay.
func TestUnreachableFirstNode(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		openStream(w)
		writeTokens(w, 1, 1)
		finishStream(w)
	})
	c.nodes[0].Close()
	var got textSink
	_, err := c.client(func(c *caller.Config) { c.RetryDelay = timekeeper.Minute }).Stream(t.Context(), reportPrompt, &got)
	require.NoError(t, err)
	require.Equal(t, "<1>", got.String())
	require.Len(t, c.requests, 1)
}

// Nodes that have just started refuse requests for addresses with a retry time.
// The client must retry.
func TestNodesWithoutConfiguration(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		openStream(w)
		finishStream(w)
	})
	c.addressRefusals = 3
	_, err := c.client(nil).Stream(t.Context(), reportPrompt, &textSink{})
	require.NoError(t, err)
	require.Zero(t, c.addressRefusals)
}

// The client must request the list once and cache it, and continue to use an
// expired list if no node is reachable.
func TestAddressesAreCached(t *testing.T) {
	c := newCluster(t, 2, nil)
	clock := timekeeper.NewManual(1)
	client := c.client(func(config *caller.Config) { config.Clock = clock })
	first, err := client.Addresses(t.Context(), "report")
	require.NoError(t, err)
	require.Len(t, first, 2)
	c.nodes[0].Close()
	c.nodes[1].Close()
	for range 2 {
		again, err := client.Addresses(t.Context(), "report")
		require.NoError(t, err)
		require.Equal(t, first, again)
		clock.Advance(2 * timekeeper.Minute) // The list expires.
	}
}
