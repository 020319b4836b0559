package loader

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/internal/standin/responder"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// system simulates a node, a plain server and the stand-in that hosts it. Its
// fields inject faults.
type system struct {
	*httptest.Server
	alterTokens func(all []string) []string // returns the tokens to send instead of all
	alterReply  func(r *responder.Reply)
	runsPerCall int // executions recorded for each call
	refuse      bool
	abort       bool   // break every stream before its end marker
	advertised  string // returned in the address list

	mu     sync.Mutex
	ledger map[identifier.RequestID]int
}

func newSystem(t *testing.T) *system {
	s := &system{
		alterTokens: func(all []string) []string { return all },
		alterReply:  func(*responder.Reply) {},
		runsPerCall: 1,
		ledger:      make(map[identifier.RequestID]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"nodes":[{"node":"entry-1","address":%q}],"keep_ms":60000}`, s.advertised)
	})
	mux.HandleFunc("/v1/chat/completions", s.chat)
	mux.HandleFunc("/v1/services/", s.call)
	mux.HandleFunc("/v1/requests/", func(w http.ResponseWriter, _ *http.Request) { s.refusal(w, 409, "retries_spent", "failed") })
	mux.HandleFunc("/admin/vms", func(w http.ResponseWriter, _ *http.Request) {
		encoder.WriteJSON(w, http.StatusOK, []encoder.VM{
			{
				VM:      "portal-1",
				Pool:    "portal",
				Address: s.host(),
			},
			{
				VM:      "reading-1",
				Pool:    "reading",
				Address: "127.0.0.1:1",
			},
		})
	})
	mux.HandleFunc("/ledger", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		encoder.WriteJSON(w, http.StatusOK, responder.Ledger{Runs: s.ledger})
	})
	s.Server = httptest.NewServer(mux)
	t.Cleanup(s.Close)
	s.advertised = s.host()
	return s
}

func (s *system) host() string { return strings.TrimPrefix(s.URL, "http://") }

func (s *system) refusal(w http.ResponseWriter, status int, reason, outcome string) {
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"status":%d,"reason":%q,"outcome":%q}`, status, reason, outcome)
}

func (s *system) chat(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Messages []struct {
			Content string `json:"content"`
		} `json:"messages"`
		MaxTokens identifier.Tokens `json:"max_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.Header().Set("Request-Id", r.Header.Get("Idempotency-Key"))
	for i, token := range s.alterTokens(standin.Tokens(body.Messages[0].Content, body.MaxTokens)) {
		text, _ := json.Marshal(token)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", i+1, text)
	}
	if s.abort {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func (s *system) call(w http.ResponseWriter, r *http.Request) {
	request := identifier.RequestID(r.Header.Get("Idempotency-Key"))
	w.Header().Set("Request-Id", string(request))
	s.mu.Lock()
	if s.ledger[request] == 0 {
		s.ledger[request] = s.runsPerCall
	}
	s.mu.Unlock()
	if s.refuse {
		s.refusal(w, 503, "server_refused", "not_run")
		return
	}
	parts := strings.SplitN(r.URL.Path, "/", 5)
	body := make([]byte, max(r.ContentLength, 0))
	_, _ = r.Body.Read(body)
	reply := responder.Reply{
		Server:  "portal-1",
		Request: request,
		Method:  r.Method,
		Path:    "/call/" + parts[4],
		Body:    string(body),
	}
	s.alterReply(&reply)
	w.Header().Set("Outcome", "done")
	encoder.WriteJSON(w, http.StatusOK, reply)
}

// load runs a short load on s and returns the report.
func (s *system) load(t *testing.T) Report {
	t.Helper()
	report, err := Run(t.Context(), s.config(t))
	require.NoError(t, err)
	return report
}

func (s *system) config(t *testing.T) Config {
	mix := mixOf(t, "quillmark")
	for i := range mix.Kinds {
		if mix.Kinds[i].AtMostOnce() {
			mix.Kinds[i].Rate = mix.Kinds[0].Rate // High enough for a short run.
		}
	}
	return Config{
		Nodes:       []string{s.host()},
		PoolAddress: s.host(),
		Catalog:     example(t, "quillmark"),
		Mix:         mix,
		Keys:        map[identifier.AccountID]string{},
		Seed:        1,
		RunName:     "test",
		Window:      6 * timekeeper.Second,
		Drain:       30 * timekeeper.Second,
		MaxRequests: 60,
		MaxInFlight: 100,
	}
}

func TestRunPassesWithoutViolations(t *testing.T) {
	t.Parallel()
	report := newSystem(t).load(t)
	require.True(t, report.Passed())
	require.Equal(t, 60, report.All.Sent)
	require.Equal(t, 60, report.All.Complete)
	require.Positive(t, report.Runs.Keys)
	require.Equal(t, report.Runs.Keys, report.Runs.ByCount[1])
	var text strings.Builder
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "kept:")
}

// Each system violates one guarantee, and the report must count that violation.
func TestRunDetectsViolations(t *testing.T) {
	tests := map[string]struct {
		breaks func(s *system)
		found  func(r Report) int
	}{
		"token missing": {
			breaks: func(s *system) {
				s.alterTokens = func(all []string) []string { return all[:len(all)-1] }
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"token twice": {
			breaks: func(s *system) {
				s.alterTokens = func(all []string) []string { return append(all[:1:1], all...) }
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"tokens out of order": {
			breaks: func(s *system) {
				s.alterTokens = func(all []string) []string {
					all[0], all[1] = all[1], all[0]
					return all
				}
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"answer to another request": {
			breaks: func(s *system) { s.alterReply = func(r *responder.Reply) { r.Request = "other" } },
			found:  func(r Report) int { return r.All.Wrong },
		},
		"accepted request lost": {
			breaks: func(s *system) { s.abort = true },
			found:  func(r Report) int { return r.All.Lost + r.All.Abandoned },
		},
		"keyed call run twice": {
			breaks: func(s *system) { s.runsPerCall = 2 },
			found:  func(r Report) int { return r.Runs.Duplicated },
		},
		"ran after not run": {
			breaks: func(s *system) { s.refuse = true },
			found:  func(r Report) int { return r.Runs.FalseNotRun },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			test.breaks(s)
			report := s.load(t)
			require.Positive(t, test.found(report))
			require.False(t, report.Passed())
			require.NotEmpty(t, report.Incidents)
		})
	}
}

// After a restart the answer is checked from its first token again.
func TestCheckerRestart(t *testing.T) {
	c := &checker{
		prompt:     "p",
		wantTokens: 3,
		clock:      timekeeper.NewManual(1),
	}
	give := func(from, to identifier.Tokens) {
		for i := from; i <= to; i++ {
			require.NoError(t, c.Token(caller.Token{
				Index: i,
				Text:  standin.Token("p", i),
			}))
		}
	}
	give(1, 2)
	require.NoError(t, c.Restart())
	give(1, 3)
	require.NoError(t, c.verdict(nil))
	give(4, 4)
	require.Error(t, c.verdict(nil))
}

func TestRunRejectsNonLoopbackAddresses(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "localhost:80", "127.0.0.1", "[::]:80"} {
		_, err := Run(t.Context(), Config{Nodes: []string{address}})
		var refused *AddressError
		require.ErrorAs(t, err, &refused, address)
	}
	require.NoError(t, checkAddresses([]string{"127.0.20.11:80", "[::1]:80", ""}))
}

// A misconfigured node returns a foreign address, which must not receive load.
func TestTransportRejectsNonLoopbackAddress(t *testing.T) {
	const foreign = "192.0.2.1:80"
	r := httptest.NewRequest(http.MethodGet, "http://"+foreign, nil)
	response, err := loopbackTransport().RoundTrip(r)
	var refused *AddressError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, foreign, refused.Address)
	require.Nil(t, response)
}

func TestClassify(t *testing.T) {
	refusal := func(outcome caller.Outcome) error {
		return &caller.RefusalError{
			Reason:  "overload",
			Outcome: outcome,
		}
	}
	stream := Arrival{Kind: mixOf(t, "quillmark").Kinds[4]}
	answered := caller.Trace{Nodes: []string{"a"}}
	tests := []struct {
		name   string
		result Result
		want   status
	}{
		{"complete", Result{}, statusComplete},
		{"refused", Result{Err: refusal(caller.OutcomeNotRun)}, statusRefused},
		{"failed", Result{Err: refusal(caller.OutcomeFailed)}, statusFailed},
		{"accepted, then refused", Result{Arrival: stream, Trace: answered, Err: refusal(caller.OutcomeNotRun)}, statusLost},
		{"lost, last refused", Result{Err: &caller.UnknownOutcomeError{Cause: refusal(caller.OutcomeNotRun)}}, statusLost},
		{"lost, no node", Result{Err: &caller.UnknownOutcomeError{Cause: &caller.NoNodeError{}}}, statusLost},
		{"no node", Result{Err: &caller.NoNodeError{}}, statusRefused},
		{"run ended", Result{Err: &caller.NoNodeError{}, Abandoned: true}, statusAbandoned},
	}
	for _, test := range tests {
		require.Equal(t, test.want, classify(test.result), test.name)
	}
}
