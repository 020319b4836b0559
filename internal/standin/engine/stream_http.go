package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// retryAfterMS is when a refused caller is told to come back.
const retryAfterMS = 1000

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request encoder.GenerateRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if fault := check(&request); fault != "" {
		notRun(w, http.StatusBadRequest, fault)
		return
	}
	s, refusal := e.start(request)
	if refusal != "" {
		notRun(w, http.StatusServiceUnavailable, refusal)
		return
	}
	if e.switches.Take(func(f *Faults) *int { return &f.LoseStarts }) {
		standin.Cut()
	}
	e.serve(w, r, s, request.From)
}

// check fills in what the request leaves out and names its fault.
func check(r *encoder.GenerateRequest) string {
	if r.PromptTokens == 0 {
		r.PromptTokens = encoder.PromptTokens(r.Prompt)
	}
	if r.Prefix == nil {
		r.Prefix = encoder.Prefix(r.Prompt)
	}
	switch {
	case r.Stream == "":
		return "stream: missing"
	case r.MaxTokens <= 0:
		return "max_tokens: not positive"
	case r.From < 0 || r.From != identifier.Tokens(len(r.Given)):
		return "given: not as many tokens as from says"
	}
	return ""
}

func notRun(w http.ResponseWriter, status int, text string) {
	problem := encoder.Problem{
		Error:   text,
		Outcome: encoder.OutcomeNotRun,
	}
	if status == http.StatusServiceUnavailable {
		problem.RetryAfterMS = retryAfterMS
	}
	encoder.WriteProblem(w, status, problem)
}

// start queues a stream, or finds the one of that name: a repeated start
// never runs twice.
func (e *Engine) start(r encoder.GenerateRequest) (*stream, string) {
	faults := e.switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[r.Stream]; ok {
		s.readers++
		return s, ""
	}
	switch {
	case faults.Refuse:
		return nil, "refusing"
	case r.Model != e.model:
		return nil, fmt.Sprintf("model %q is not loaded", r.Model)
	case r.PromptTokens+r.MaxTokens > e.config.KVTokens:
		return nil, "context does not fit"
	case len(e.waiting) >= e.config.MaxWaiting:
		return nil, "queue is full"
	}
	s := newStream(r, e.config.Clock.Now())
	s.readers++
	e.streams[r.Stream] = s
	e.waiting = append(e.waiting, s)
	e.nudge()
	return s, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 31)
	if err != nil {
		notRun(w, http.StatusBadRequest, "from: "+err.Error())
		return
	}
	e.mu.Lock()
	s, ok := e.streams[identifier.StreamName(r.PathValue("name"))]
	if ok {
		s.readers++
	}
	e.mu.Unlock()
	if !ok {
		encoder.WriteProblem(w, http.StatusNotFound, encoder.Problem{Error: "unknown stream"})
		return
	}
	e.serve(w, r, s, identifier.Tokens(from))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[identifier.StreamName(r.PathValue("name"))]
	if !ok {
		encoder.WriteProblem(w, http.StatusNotFound, encoder.Problem{Error: "unknown stream"})
		return
	}
	e.finish(s, stateCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// serve writes the tokens after index from as they come. The caller has
// counted itself as a reader.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, s *stream, from identifier.Tokens) {
	defer e.leave(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	breakAfter := e.switches.Get().BreakAfter
	for sent := 0; ; {
		tokens, state, ok := e.next(r.Context(), s, from)
		if !ok {
			return
		}
		for _, token := range tokens {
			if breakAfter > 0 && sent == breakAfter {
				_ = flusher.Flush()
				standin.Cut()
			}
			from++
			sent++
			if writeToken(w, from, token) != nil {
				return
			}
		}
		if len(tokens) == 0 {
			writeEnd(w, state, from)
		}
		if flusher.Flush() != nil || len(tokens) == 0 {
			return
		}
	}
}

// next waits for tokens after index from. It returns none when the stream is
// over, and ok false when the reader has gone.
func (e *Engine) next(ctx context.Context, s *stream, from identifier.Tokens) ([]string, state, bool) {
	for {
		e.mu.Lock()
		have := identifier.Tokens(len(s.tokens))
		tokens := append([]string{}, s.tokens[min(from, have):]...)
		now, changed := s.state, s.changed
		over := s.over()
		e.mu.Unlock()
		if len(tokens) > 0 || over {
			return tokens, now, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, now, false
		}
	}
}

func (e *Engine) leave(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.readerLeft = e.config.Clock.Now()
}

func writeToken(w http.ResponseWriter, index identifier.Tokens, token string) error {
	data, err := json.Marshal(encoder.Token{Token: token})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
	return err
}

func writeEnd(w http.ResponseWriter, end state, tokens identifier.Tokens) {
	name, body := encoder.EndEvent, any(encoder.End{Tokens: tokens})
	if end != stateEnded {
		name = encoder.ErrorEvent
		body = encoder.Problem{Error: string(end)}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
}
