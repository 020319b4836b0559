package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// visit is one request that a node got.
type visit struct {
	node   int
	method string
	path   string
	key    string
	last   string
}

// cluster is a number of nodes whose behaviour a test scripts.
type cluster struct {
	mu     sync.Mutex
	visits []visit
	nodes  []*httptest.Server
	// refuseAddresses counts the questions for addresses that are refused.
	refuseAddresses int
}

// newCluster starts nodes that answer as handle says. Address lists name all
// nodes in order.
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
	if c.refuseAddresses > 0 {
		c.refuseAddresses--
		problem(w, 503, "no_configuration", "not_run", 1)
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
	c.visits = append(c.visits, visit{
		node:   node,
		method: r.Method,
		path:   r.URL.Path,
		key:    r.Header.Get("Idempotency-Key"),
		last:   r.Header.Get("Last-Event-ID"),
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

// open begins a stream of request r1.
func open(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Request-Id", "r1")
	write(w, ": heartbeat\n\n")
}

func write(w http.ResponseWriter, text string) {
	_, _ = fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

// tokens writes the tokens from one index to another; token i reads "<i>".
func tokens(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		write(w, fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"<%d>\"}}]}\n\n", i, i))
	}
}

func done(w http.ResponseWriter) {
	write(w, "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
}

func problem(w http.ResponseWriter, status int, reason, outcome string, retryAfter int) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"status":%d,"reason":%q,"outcome":%q,"retry_after_ms":%d}`, status, reason, outcome, retryAfter)
}

// cut ends the connection without a proper end.
func cut() { panic(http.ErrAbortHandler) }

// text is a sink that keeps the answer.
type text struct {
	strings.Builder
	restarts int
}

var _ caller.Sink = (*text)(nil)

func (s *text) Token(t caller.Token) error {
	s.WriteString(t.Text)
	return nil
}

func (s *text) Restart() error {
	s.restarts++
	s.Reset()
	return nil
}

var report = caller.Prompt{
	Service: "report",
	Text:    "a ship",
}

// The caller's node breaks a stream after two tokens, in each of the ways in
// which a stream can break. The caller goes on at the next node after the last
// token it has, and sees each token once and in order.
func TestStreamResumes(t *testing.T) {
	breaks := map[string]func(c *cluster, w http.ResponseWriter, r *http.Request){
		"cut":   func(*cluster, http.ResponseWriter, *http.Request) { cut() },
		"ended": func(*cluster, http.ResponseWriter, *http.Request) {},
		"moved": func(c *cluster, w http.ResponseWriter, _ *http.Request) {
			write(w, fmt.Sprintf("event: moved\ndata: {\"address\":%q}\n\n", c.address(1)))
		},
		"hole": func(_ *cluster, w http.ResponseWriter, _ *http.Request) { tokens(w, 4, 4) },
	}
	for name, breakOff := range breaks {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
				open(w)
				if node == 0 {
					tokens(w, 1, 2)
					breakOff(c, w, r)
					return
				}
				tokens(w, 2, 4) // Token 2 comes once more.
				done(w)
			})
			var got text
			trace, err := c.client(nil).Stream(t.Context(), report, &got)
			require.NoError(t, err)
			require.Equal(t, "<1><2><3><4>", got.String())
			require.Zero(t, got.restarts)
			require.Equal(t, identifier.RequestID("r1"), trace.Request)
			require.Equal(t, 1, trace.Reattached)
			require.Equal(t, identifier.Tokens(4), trace.Tokens)
			require.Len(t, c.visits, 2)
			require.Equal(t, visit{
				node:   1,
				method: "GET",
				path:   "/v1/requests/r1",
				last:   "2",
			}, c.visits[1])
		})
	}
}

// An open connection goes silent for good while new ones work. The caller
// hears no heartbeat, opens a new connection to the same node, and goes on.
func TestSilentConnectionIsReopened(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, _ int, w http.ResponseWriter, r *http.Request) {
		open(w)
		if r.Method == http.MethodPost {
			tokens(w, 1, 2)
			<-r.Context().Done()
			return
		}
		tokens(w, 3, 4)
		done(w)
	})
	var got text
	_, err := c.client(nil).Stream(t.Context(), report, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3><4>", got.String())
	require.Len(t, c.visits, 2)
	require.Zero(t, c.visits[1].node)
}

// The node freezes: the open connection goes silent, and a new one stands but
// brings nothing. The caller must not wait on it for long, since another node
// will have adopted the request by then.
func TestFrozenNodeIsLeft(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			open(w)
			tokens(w, 1, 2)
			<-r.Context().Done()
		case node == 0:
			<-r.Context().Done()
		default:
			open(w)
			tokens(w, 3, 4)
			done(w)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), caller.DefaultAnswerTimeout.Std()/2)
	defer cancel()
	var got text
	_, err := c.client(func(c *caller.Config) { c.SearchTimeout = timekeeper.Minute }).Stream(ctx, report, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3><4>", got.String())
	require.Len(t, c.visits, 3)
}

// The node dies before its answer. Whether it ran the request nobody knows, so
// the caller sends it again only under the same key.
func TestLostResponseIsSentAgainUnderItsKey(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			cut()
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
	// The HTTP transport may have sent it again to the first node, too.
	require.Equal(t, 1, c.visits[len(c.visits)-1].node)
	for _, v := range c.visits {
		require.Equal(t, trace.Key, identifier.IdempotencyKey(v.key))
	}
}

// The first node dies before its answer, the second one refuses: "not run",
// it says, of what it was sent. The first node may have run the request all the
// same, so the caller must not be told "not run".
func TestNotRunIsNotBelievedAfterALostResponse(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			cut()
		}
		problem(w, 409, "duplicate_key", "not_run", 0)
	})
	_, _, err := c.client(nil).Call(t.Context(), caller.Call{
		Service: "email",
		Method:  http.MethodPost,
		Path:    "/send",
	})
	var lost *caller.UnknownOutcomeError
	require.ErrorAs(t, err, &lost)
}

// The node dies and no other adopts the request. Once it has been looked for
// long enough it is sent again, and the sink is told that the answer begins
// anew; what it had is void.
func TestForgottenRequestStartsAgain(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			problem(w, 404, "unknown_request", "unknown", 0)
		case node == 0 && len(c.visits) == 1:
			open(w)
			tokens(w, 1, 2)
			cut()
		default:
			open(w)
			tokens(w, 1, 3)
			done(w)
		}
	})
	var got text
	trace, err := c.client(nil).Stream(t.Context(), report, &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3>", got.String())
	require.Equal(t, 1, got.restarts)
	require.Equal(t, 1, trace.Restarted)
}

// The node of a short request dies, and no other has a copy. All nodes that can
// be reached say so, for a while, and the caller sends the request again long
// before a long request would have been given up. While one of them still
// sends it on to the silent node, it waits: that node may have the request.
func TestRequestThatAllNodesDenyStartsAgainSoon(t *testing.T) {
	for _, elsewhere := range []bool{false, true} {
		t.Run(fmt.Sprintf("sent on: %v", elsewhere), func(t *testing.T) {
			c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodPost && node == 0 && len(c.visits) == 1:
					open(w)
					tokens(w, 1, 2)
					_ = c.nodes[0].Listener.Close()
					cut()
				case r.Method == http.MethodPost:
					open(w)
					tokens(w, 1, 3)
					done(w)
				case node == 1 && elsewhere:
					w.Header().Set("Location", "http://"+c.address(0)+"/v1/requests/r1")
					w.WriteHeader(http.StatusTemporaryRedirect)
				default:
					problem(w, 404, "unknown_request", "unknown", 0)
				}
			})
			client := c.client(func(config *caller.Config) {
				config.Nodes = config.Nodes[1:]
				config.SearchTimeout = timekeeper.Minute
				config.ProgressTimeout = timekeeper.Second
				config.UnknownRequestTimeout = 100 * timekeeper.Millisecond
			})
			var got text
			trace, err := client.Stream(t.Context(), report, &got)
			if elsewhere {
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

func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		status  int
		reason  string
		outcome caller.Outcome
		retry   int
		visits  int
		ok      bool
	}{
		{
			name:    "final",
			status:  504,
			reason:  "deadline",
			outcome: caller.OutcomeNotRun,
			visits:  1,
		},
		{
			name:    "bad key",
			status:  401,
			reason:  "unauthorized",
			outcome: caller.OutcomeNotRun,
			visits:  1,
		},
		{
			name:    "comes back",
			status:  503,
			reason:  "overload",
			outcome: caller.OutcomeNotRun,
			retry:   5,
			visits:  2,
			ok:      true,
		},
		{
			name:    "next node at once",
			status:  503,
			reason:  "node_leaving",
			outcome: caller.OutcomeNotRun,
			retry:   60_000,
			visits:  2,
			ok:      true,
		},
		{
			name:    "too late to come back",
			status:  429,
			reason:  "account_limit",
			outcome: caller.OutcomeNotRun,
			retry:   60_000,
			visits:  1,
		},
		{
			name:    "unknown, asks again under its key",
			status:  503,
			reason:  "log_unavailable",
			outcome: caller.OutcomeUnknown,
			retry:   5,
			visits:  2,
			ok:      true,
		},
		{
			name:    "unknown for good",
			status:  409,
			reason:  "duplicate_key",
			outcome: caller.OutcomeUnknown,
			visits:  1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 2, func(c *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
				if len(c.visits) == 1 {
					problem(w, test.status, test.reason, string(test.outcome), test.retry)
					return
				}
				open(w)
				done(w)
			})
			var got text
			prompt := report
			prompt.Deadline = 30 * timekeeper.Second
			_, err := c.client(func(c *caller.Config) { c.ProgressTimeout = 2 * timekeeper.Minute }).Stream(t.Context(), prompt, &got)
			require.Len(t, c.visits, test.visits)
			if test.ok {
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

// A caller resumes an earlier request and meets a node that is leaving. There
// is no request that it could send again, so it asks the next node for the
// answer, from the same place.
// A caller resumes a request that it sent in an earlier life. The request is
// not at hand, so it is never sent again: the trace tells of no restart, and of
// no key that was never used.
func TestResumeIsNoRestart(t *testing.T) {
	c := newCluster(t, 1, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		open(w)
		tokens(w, 1, 3)
		done(w)
	})
	var got text
	trace, err := c.client(nil).Resume(t.Context(), "manuscript_report", "r1", "0", &got)
	require.NoError(t, err)
	require.Equal(t, "<1><2><3>", got.String())
	require.Zero(t, trace.Restarted)
	require.Empty(t, trace.Key)
}

func TestResumePassesALeavingNode(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			problem(w, 503, "node_leaving", "not_run", 1000)
			return
		}
		open(w)
		tokens(w, 3, 4)
		done(w)
	})
	var got text
	_, err := c.client(nil).Resume(t.Context(), "report", "r1", "2-0123456789abcdef", &got)
	require.NoError(t, err)
	require.Equal(t, "<3><4>", got.String())
	for _, v := range c.visits {
		require.Equal(t, "/v1/requests/r1", v.path)
		require.Equal(t, "2-0123456789abcdef", v.last)
	}
}

// An accepted request fails. The caller gets the typed end, and not half an
// answer that looks whole.
func TestErrorEvent(t *testing.T) {
	c := newCluster(t, 1, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		open(w)
		tokens(w, 1, 2)
		write(w, "event: error\ndata: {\"reason\":\"retries_spent\",\"outcome\":\"unknown\"}\n\n")
	})
	_, err := c.client(nil).Stream(t.Context(), report, &text{})
	var refusal *caller.RefusalError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, caller.OutcomeUnknown, refusal.Outcome)
}

// Two nodes each take the other for the owner. The caller must not run
// between them for ever: it asks the third one, too.
func TestRedirectLoopIsLeft(t *testing.T) {
	c := newCluster(t, 3, func(c *cluster, node int, w http.ResponseWriter, r *http.Request) {
		if node < 2 {
			w.Header().Set("Location", "http://"+c.address(1-node)+"/v1/requests/r1")
			w.Header().Set("Request-Id", "r1")
			w.WriteHeader(map[bool]int{true: 303, false: 307}[r.Method == http.MethodPost])
			return
		}
		open(w)
		tokens(w, 1, 1)
		done(w)
	})
	var got text
	_, err := c.client(func(c *caller.Config) { c.SearchTimeout = timekeeper.Minute }).Stream(t.Context(), report, &got)
	require.NoError(t, err)
	require.Equal(t, "<1>", got.String())
}

func TestWhole(t *testing.T) {
	c := newCluster(t, 2, func(c *cluster, node int, w http.ResponseWriter, _ *http.Request) {
		if node == 0 {
			w.Header().Set("Location", "http://"+c.address(1)+"/v1/requests/r1")
			w.Header().Set("Request-Id", "r1")
			w.WriteHeader(http.StatusSeeOther)
			return
		}
		_, _ = fmt.Fprint(w, `{"choices":[{"message":{"content":"the ship"}}],"usage":{"completion_tokens":2}}`)
	})
	got, trace, err := c.client(nil).Complete(t.Context(), report)
	require.NoError(t, err)
	require.Equal(t, "the ship", got)
	require.Equal(t, identifier.RequestID("r1"), trace.Request)
}

func TestNoNode(t *testing.T) {
	c := newCluster(t, 1, nil)
	c.nodes[0].Close()
	ctx, cancel := context.WithTimeout(t.Context(), timekeeper.Duration(100).Std())
	defer cancel()
	_, err := c.client(nil).Stream(ctx, report, &text{})
	var none *caller.NoNodeError
	require.ErrorAs(t, err, &none)
}

// The first node of the caller's list is gone: nothing listens there any more.
// Nothing was sent, so the caller asks the next one at once.
func TestFirstNodeIsGone(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		open(w)
		tokens(w, 1, 1)
		done(w)
	})
	c.nodes[0].Close()
	var got text
	_, err := c.client(func(c *caller.Config) { c.RetryDelay = timekeeper.Minute }).Stream(t.Context(), report, &got)
	require.NoError(t, err)
	require.Equal(t, "<1>", got.String())
	require.Len(t, c.visits, 1)
}

// All nodes have just started and know no service yet. They say when to come
// back, and the caller does.
func TestNodesThatHaveJustStarted(t *testing.T) {
	c := newCluster(t, 2, func(_ *cluster, _ int, w http.ResponseWriter, _ *http.Request) {
		open(w)
		done(w)
	})
	c.refuseAddresses = 3
	_, err := c.client(nil).Stream(t.Context(), report, &text{})
	require.NoError(t, err)
	require.Zero(t, c.refuseAddresses)
}

// The list is kept for as long as the node said, and asked for once.
func TestAddressesAreKept(t *testing.T) {
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
		clock.Advance(2 * timekeeper.Minute) // With no node in reach the old list goes on.
	}
}
