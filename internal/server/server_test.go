package server_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	harborKey   = "harbor-key"
	tidelineKey = "tideline-key"
	operatorKey = "operator-key"
)

// fakeBackend is a node whose answers a test controls.
type fakeBackend struct {
	unconfigured bool
	// nodes, if set, replaces the default list.
	nodes []server.NodeAddress

	mu        sync.Mutex
	answers   map[identifier.RequestID]*answerer.Answer
	submitted []server.Submission
	proposed  []messenger.ChangeProposed
	submit    func(server.Submission) (*answerer.Answer, error)
	// attach, if set, replaces the lookup in answers.
	attach  func(identifier.RequestID) (*answerer.Answer, error)
	propose func(messenger.ChangeProposed) (messenger.ChangeVerdict, error)
}

var _ server.Backend = (*fakeBackend)(nil)

func (b *fakeBackend) Authenticate(key string) (identifier.AccountID, bool) {
	if b.unconfigured {
		return "", false
	}
	account, ok := strings.CutSuffix(key, "-key")
	return identifier.AccountID(account), ok && (key == harborKey || key == tidelineKey)
}

func (b *fakeBackend) AuthenticateOperator(key string) bool { return key == operatorKey }

func (b *fakeBackend) Configured() bool { return !b.unconfigured }

func (b *fakeBackend) Service(name identifier.ServiceName) (catalog.Service, bool) {
	services := map[identifier.ServiceName]catalog.Service{
		"report": {
			Name:     "report",
			Kind:     catalog.ModelService,
			Deadline: timekeeper.Minute,
			MaxBody:  4 << 10,
		},
		"email": {
			Name:     "email",
			Kind:     catalog.PlainService,
			Deadline: timekeeper.Minute,
			MaxBody:  1 << 10,
		},
	}
	s, ok := services[name]
	return s, ok
}

func (b *fakeBackend) Addresses(identifier.AccountID, identifier.ServiceName) ([]server.NodeAddress, timekeeper.Duration) {
	if b.nodes != nil {
		return b.nodes, 30 * timekeeper.Second
	}
	return []server.NodeAddress{{
		Node:    "entry-1",
		Zone:    "boston-a",
		Address: "127.0.0.1:7001",
	}}, 30 * timekeeper.Second
}

func (b *fakeBackend) Submit(_ context.Context, s server.Submission) (*answerer.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.submitted = append(b.submitted, s)
	return b.submit(s)
}

func (b *fakeBackend) Attach(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attach != nil {
		return b.attach(request)
	}
	a, ok := b.answers[request]
	if !ok || a.Account() != account {
		return nil, &answerer.UnknownRequestError{Request: request}
	}
	a.AddCaller()
	context.AfterFunc(ctx, func() { a.RemoveCaller() })
	return a, nil
}

func (b *fakeBackend) Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error {
	_, err := b.Attach(ctx, request, account)
	return err
}

func (b *fakeBackend) Propose(_ context.Context, c messenger.ChangeProposed) (messenger.ChangeVerdict, error) {
	b.proposed = append(b.proposed, c)
	return b.propose(c)
}

func (b *fakeBackend) Files() map[identifier.FileName]server.FileState {
	return map[identifier.FileName]server.FileState{
		"10-zones.ini": {
			Content:  []byte("[zone boston-a]\n"),
			Revision: 7,
			Deleted:  false,
		},
	}
}

func (b *fakeBackend) History() []configurer.Change { return nil }

func (b *fakeBackend) Status() server.Status { return server.Status{Node: "entry-1"} }

func (b *fakeBackend) Timeline(historian.Filter) []historian.Entry { return nil }

func (b *fakeBackend) Explain(identifier.RequestID) []historian.Entry { return nil }

// newAnswer returns an accepted answer with the given tokens for the account
// harbor.
func newAnswer(request identifier.RequestID, tokens ...string) *answerer.Answer {
	a := answerer.New(answerer.Config{
		Spec: messenger.RequestSpec{
			Request: request,
			Account: "harbor",
			Service: "report",
		},
		Accepted: true,
	})
	a.Begin(answerer.Placement{Attempt: 1})
	for i, token := range tokens {
		a.Append(1, identifier.Tokens(i+1), token)
	}
	return a
}

func finish(a *answerer.Answer) *answerer.Answer {
	a.Finish(answerer.End{Outcome: messenger.Done})
	return a
}

// start serves b on a loopback port and returns the address.
func start(t *testing.T, b server.Backend, l server.Limits) string {
	t.Helper()
	s, err := server.New(server.Config{
		Backend: b,
		Limits:  l,
	})
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	httpServer := s.HTTPServer()
	ended := make(chan error, 1)
	go func() { ended <- httpServer.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, httpServer.Close())
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return listener.Addr().String()
}

// exchange sends one request and returns the response and its body.
func exchange(t *testing.T, method, address, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+harborKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	client := &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(data)
}

func parseProblem(t *testing.T, response *http.Response, body string) server.Problem {
	t.Helper()
	require.Equal(t, "application/problem+json", response.Header.Get("Content-Type"), body)
	var p server.Problem
	require.NoError(t, json.Unmarshal([]byte(body), &p))
	require.Equal(t, response.StatusCode, p.Status)
	return p
}

const (
	waitTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

const chat = `{"model":"report","messages":[{"role":"user","content":"a ship"}],"temperature":0.2}`

// Invalid requests must be answered with a typed problem without reaching the
// node, so that the outcome "not_run" is correct.
func TestBadInput(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		header map[string]string
		status int
		reason messenger.Reason
	}{
		{
			name:   "bad key",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Authorization": "Bearer nobody"},
			status: 401,
			reason: server.ReasonUnauthorized,
		},
		{
			name:   "no key",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Authorization": ""},
			status: 401,
			reason: server.ReasonUnauthorized,
		},
		{
			name:   "broken json",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":`,
			status: 400,
			reason: server.ReasonBadJSON,
		},
		{
			name:   "wrong type",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":7}`,
			status: 400,
			reason: server.ReasonBadJSON,
		},
		{
			name:   "image part",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"report","messages":[{"content":[{"type":"image_url"}]}]}`,
			status: 400,
			reason: server.ReasonBadJSON,
		},
		{
			name:   "no model",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"messages":[{"content":"x"}]}`,
			status: 400,
			reason: server.ReasonBadField,
		},
		{
			name:   "no messages",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"report"}`,
			status: 400,
			reason: server.ReasonBadField,
		},
		{
			name:   "negative max_tokens",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"report","messages":[{"content":"x"}],"max_tokens":-1}`,
			status: 400,
			reason: server.ReasonBadField,
		},
		{
			name:   "body over the service's limit",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"report","messages":[{"content":"` + strings.Repeat("x", 5<<10) + `"}]}`,
			status: 413,
			reason: server.ReasonBodyTooLarge,
		},
		{
			name:   "body over the server's limit",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   strings.Repeat("x", 9<<10),
			status: 413,
			reason: server.ReasonBodyTooLarge,
		},
		{
			name:   "plain body over the limit",
			method: "POST",
			path:   "/v1/services/email/send",
			body:   strings.Repeat("x", 2<<10),
			status: 413,
			reason: server.ReasonBodyTooLarge,
		},
		{
			name:   "unknown service",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"poem","messages":[{"content":"x"}]}`,
			status: 404,
			reason: messenger.ReasonUnknownService,
		},
		{
			name:   "unknown plain service",
			method: "POST",
			path:   "/v1/services/fax/send",
			status: 404,
			reason: messenger.ReasonUnknownService,
		},
		{
			name:   "addresses of an unknown service",
			method: "GET",
			path:   "/v1/addresses?service=fax",
			status: 404,
			reason: messenger.ReasonUnknownService,
		},
		{
			name:   "plain service as model",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   `{"model":"email","messages":[{"content":"x"}]}`,
			status: 400,
			reason: server.ReasonWrongKind,
		},
		{
			name:   "deadline that is no number",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Deadline-Ms": "soon"},
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "deadline out of range",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Deadline-Ms": "999999999999"},
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "expired deadline",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Deadline-Ms": "0"},
			status: 504,
			reason: messenger.ReasonDeadlineExpired,
		},
		{
			name:   "long idempotency key",
			method: "POST",
			path:   "/v1/chat/completions",
			body:   chat,
			header: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)},
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "bad event id",
			method: "GET",
			path:   "/v1/requests/r1",
			header: map[string]string{"Last-Event-ID": "-3"},
			status: 400,
			reason: server.ReasonBadHeader,
		},
		{
			name:   "no such path",
			method: "GET",
			path:   "/v1/nothing",
			status: 404,
			reason: server.ReasonNotFound,
		},
		{
			name:   "method not allowed",
			method: "PUT",
			path:   "/v1/chat/completions",
			body:   chat,
			status: 405,
			reason: server.ReasonMethodNotAllowed,
		},
		{
			name:   "caller's key for operators",
			method: "GET",
			path:   "/operator/v1/status",
			status: 401,
			reason: server.ReasonUnauthorized,
		},
		{
			name:   "caller's key for metrics",
			method: "GET",
			path:   "/debug/vars",
			status: 401,
			reason: server.ReasonUnauthorized,
		},
	}
	b := &fakeBackend{}
	address := start(t, b, server.Limits{MaxBodySize: 8 << 10})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			response, body := exchange(t, test.method, address, test.path, test.body, test.header)
			p := parseProblem(t, response, body)
			require.Equal(t, test.status, p.Status)
			require.Equal(t, test.reason, p.Reason)
			require.Equal(t, messenger.NotRun, p.Outcome)
			require.Empty(t, b.submitted)
		})
	}
}

// A node without a configuration knows no keys. It must answer with a retryable
// refusal, because callers treat "unauthorized" as final.
func TestNodeWithoutConfiguration(t *testing.T) {
	address := start(t, &fakeBackend{unconfigured: true}, server.Limits{})
	response, body := exchange(t, "POST", address, "/v1/chat/completions", chat, nil)
	p := parseProblem(t, response, body)
	require.Equal(t, http.StatusServiceUnavailable, p.Status)
	require.Equal(t, messenger.ReasonNoConfiguration, p.Reason)
	require.Equal(t, messenger.NotRun, p.Outcome)
	require.NotZero(t, p.RetryAfter)
}
