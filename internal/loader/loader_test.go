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

// system is one node, the host of one plain server, and that server. It does
// all right but for what the switches say.
type system struct {
	*httptest.Server
	tokens  func(all []string) []string // what is sent in place of an answer
	reply   func(r *responder.Reply)
	runs    int // of a keyed call
	refuse  bool
	cut     bool   // at the end of an answer, for good
	address string // given out to callers

	mu     sync.Mutex
	ledger map[identifier.RequestID]int
}

func newSystem(t *testing.T) *system {
	s := &system{
		tokens: func(all []string) []string { return all },
		reply:  func(*responder.Reply) {},
		runs:   1,
		ledger: make(map[identifier.RequestID]int),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"nodes":[{"node":"entry-1","address":%q}],"keep_ms":60000}`, s.address)
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
	s.address = s.host()
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
	for i, token := range s.tokens(standin.Tokens(body.Messages[0].Content, body.MaxTokens)) {
		text, _ := json.Marshal(token)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%s}}]}\n\n", i+1, text)
	}
	if s.cut {
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
		s.ledger[request] = s.runs
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
	s.reply(&reply)
	w.Header().Set("Outcome", "done")
	encoder.WriteJSON(w, http.StatusOK, reply)
}

// load runs a short load on s.
func (s *system) load(t *testing.T) Report {
	t.Helper()
	report, err := Run(t.Context(), s.config(t))
	require.NoError(t, err)
	return report
}

func (s *system) config(t *testing.T) Config {
	mix := mixOf(t, "quillmark")
	for i := range mix.Kinds {
		if mix.Kinds[i].Keyed() {
			mix.Kinds[i].Rate = mix.Kinds[0].Rate // So that a short run has some.
		}
	}
	return Config{
		Nodes:       []string{s.host()},
		Pool:        s.host(),
		Catalog:     example(t, "quillmark"),
		Mix:         mix,
		Keys:        map[identifier.AccountID]string{},
		Seed:        1,
		Name:        "test",
		Window:      6 * timekeeper.Second,
		Drain:       2 * timekeeper.Second,
		MaxRequests: 60,
		MaxInFlight: 100,
	}
}

func TestRunOfASoundSystem(t *testing.T) {
	t.Parallel()
	report := newSystem(t).load(t)
	require.True(t, report.Kept())
	require.Equal(t, 60, report.All.Sent)
	require.Equal(t, 60, report.All.Whole)
	require.Positive(t, report.Runs.Keys)
	require.Equal(t, report.Runs.Keys, report.Runs.ByCount[1])
	var text strings.Builder
	require.NoError(t, report.WriteText(&text))
	require.Contains(t, text.String(), "kept:")
}

// The controls of the checker: each system breaks one promise, and the report
// must say which.
func TestRunFindsBrokenPromises(t *testing.T) {
	tests := map[string]struct {
		breaks func(s *system)
		found  func(r Report) int
	}{
		"token missing": {
			breaks: func(s *system) {
				s.tokens = func(all []string) []string { return all[:len(all)-1] }
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"token twice": {
			breaks: func(s *system) {
				s.tokens = func(all []string) []string { return append(all[:1:1], all...) }
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"tokens out of order": {
			breaks: func(s *system) {
				s.tokens = func(all []string) []string {
					all[0], all[1] = all[1], all[0]
					return all
				}
			},
			found: func(r Report) int { return r.All.Wrong },
		},
		"answer of another request": {
			breaks: func(s *system) { s.reply = func(r *responder.Reply) { r.Request = "other" } },
			found:  func(r Report) int { return r.All.Wrong },
		},
		"accepted answer lost": {
			breaks: func(s *system) { s.cut = true },
			found:  func(r Report) int { return r.All.Lost + r.All.GivenUp },
		},
		"keyed call run twice": {
			breaks: func(s *system) { s.runs = 2 },
			found:  func(r Report) int { return r.Runs.Doubled },
		},
		"not run, but ran": {
			breaks: func(s *system) { s.refuse = true },
			found:  func(r Report) int { return r.Runs.NotRunRan },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			test.breaks(s)
			report := s.load(t)
			require.Positive(t, test.found(report))
			require.False(t, report.Kept())
			require.NotEmpty(t, report.Incidents)
		})
	}
}

// A request that no node knows any more is sent again, and its answer begins
// anew: what came before is void, and the rest is checked from the start.
func TestCheckerAfterARestart(t *testing.T) {
	c := &checker{
		prompt: "p",
		want:   3,
		clock:  timekeeper.NewManual(1),
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

func TestOnlyLoopbackAddresses(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "localhost:80", "127.0.0.1", "[::]:80"} {
		_, err := Run(t.Context(), Config{Nodes: []string{address}})
		var refused *AddressError
		require.ErrorAs(t, err, &refused, address)
	}
	require.NoError(t, checkAddresses([]string{"127.0.20.11:80", "[::1]:80", ""}))
}

// A node's settings are wrong and it gives out a stranger's address. The load
// must not go there.
func TestAddressGivenOutByANode(t *testing.T) {
	const stranger = "192.0.2.1:80"
	r := httptest.NewRequest(http.MethodGet, "http://"+stranger, nil)
	response, err := loopbackTransport().RoundTrip(r)
	var refused *AddressError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, stranger, refused.Address)
	require.Nil(t, response)
}

func TestFates(t *testing.T) {
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
		want   fate
	}{
		{"whole", Result{}, fateWhole},
		{"refused", Result{Err: refusal(caller.OutcomeNotRun)}, fateRefused},
		{"failed", Result{Err: refusal(caller.OutcomeFailed)}, fateFailed},
		{"accepted, then refused", Result{Arrival: stream, Trace: answered, Err: refusal(caller.OutcomeNotRun)}, fateLost},
		{"lost, last refused", Result{Err: &caller.UnknownOutcomeError{Cause: refusal(caller.OutcomeNotRun)}}, fateLost},
		{"lost, no node", Result{Err: &caller.UnknownOutcomeError{Cause: &caller.NoNodeError{}}}, fateLost},
		{"no node", Result{Err: &caller.NoNodeError{}}, fateRefused},
		{"run over", Result{Err: &caller.NoNodeError{}, GivenUp: true}, fateGivenUp},
	}
	for _, test := range tests {
		require.Equal(t, test.want, fateOf(test.result), test.name)
	}
}
