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

// retryAfterMS is the retry delay stated in refusals.
const retryAfterMS = 1000

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var request encoder.GenerateRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	if err := validate(&request); err != nil {
		writeNotRun(w, http.StatusBadRequest, err)
		return
	}
	s, err := e.start(request)
	if err != nil {
		writeNotRun(w, http.StatusServiceUnavailable, err)
		return
	}
	if e.switches.Consume(func(f *Faults) *int { return &f.DropStartResponses }) {
		standin.AbortConnection()
	}
	e.serveStream(w, r, s, request.From)
}

// FieldError reports an invalid field of a request.
type FieldError struct {
	Field  string
	Reason string
}

var _ error = (*FieldError)(nil)

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// RefusalError reports that the engine refused a stream before running it.
type RefusalError struct{ Reason string }

var _ error = (*RefusalError)(nil)

func (e *RefusalError) Error() string { return e.Reason }

// validate sets the request's omitted fields and checks it. Its error is a
// *FieldError.
func validate(r *encoder.GenerateRequest) error {
	if r.PromptTokens == 0 {
		r.PromptTokens = encoder.PromptTokens(r.Prompt)
	}
	if r.Prefix == nil {
		r.Prefix = encoder.Prefix(r.Prompt)
	}
	switch {
	case r.Stream == "":
		return &FieldError{
			Field:  "stream",
			Reason: "missing",
		}
	case r.MaxTokens <= 0:
		return &FieldError{
			Field:  "max_tokens",
			Reason: "not positive",
		}
	case r.From != identifier.Tokens(len(r.Given)):
		return &FieldError{
			Field:  "given",
			Reason: "not as many tokens as from says",
		}
	}
	return nil
}

func writeNotRun(w http.ResponseWriter, status int, err error) {
	problem := encoder.Problem{
		Error:   err.Error(),
		Outcome: encoder.OutcomeNotRun,
	}
	if status == http.StatusServiceUnavailable {
		problem.RetryAfterMS = retryAfterMS
	}
	encoder.WriteProblem(w, status, problem)
}

func writeUnknownStream(w http.ResponseWriter) {
	encoder.WriteProblem(w, http.StatusNotFound, encoder.Problem{Error: "unknown stream"})
}

// start queues a stream or returns the existing one with its name, so that starts
// are idempotent. It counts the caller as a reader. Its error is a *RefusalError.
func (e *Engine) start(r encoder.GenerateRequest) (*stream, error) {
	faults := e.switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[r.Stream]; ok {
		s.readers++
		return s, nil
	}
	switch {
	case faults.Refuse:
		return nil, &RefusalError{Reason: "refusing"}
	case r.Model != e.model:
		return nil, &RefusalError{Reason: fmt.Sprintf("model %q is not loaded", r.Model)}
	case r.PromptTokens+r.MaxTokens > e.config.KVTokens:
		return nil, &RefusalError{Reason: "context does not fit"}
	case len(e.waiting) >= e.config.MaxWaiting:
		return nil, &RefusalError{Reason: "queue is full"}
	}
	s := newStream(r, e.config.Clock.Now())
	s.readers++
	e.streams[r.Stream] = s
	e.waiting = append(e.waiting, s)
	e.wakeScheduler()
	return s, nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 31)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, &FieldError{
			Field:  "from",
			Reason: err.Error(),
		})
		return
	}
	e.mu.Lock()
	s, ok := e.streams[identifier.StreamName(r.PathValue("name"))]
	if ok {
		s.readers++
	}
	e.mu.Unlock()
	if !ok {
		writeUnknownStream(w)
		return
	}
	e.serveStream(w, r, s, identifier.Tokens(from))
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[identifier.StreamName(r.PathValue("name"))]
	if !ok {
		writeUnknownStream(w)
		return
	}
	e.finish(s, stateCancelled)
	w.WriteHeader(http.StatusNoContent)
}

// serveStream writes the tokens after index from as they are generated, and then
// removes one reader, which the caller must have added.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, from identifier.Tokens) {
	defer e.removeReader(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	breakAfter := e.switches.Get().AbortAfter
	for sent := 0; ; {
		tokens, ok := e.nextTokens(r.Context(), s, from)
		if !ok {
			return
		}
		for _, token := range tokens {
			if breakAfter > 0 && sent == breakAfter {
				_ = flusher.Flush()
				standin.AbortConnection()
			}
			from++
			sent++
			if writeToken(w, from, token) != nil {
				return
			}
		}
		if len(tokens) == 0 {
			e.writeEnd(w, s, from)
		}
		if flusher.Flush() != nil || len(tokens) == 0 {
			return
		}
	}
}

// nextTokens waits for tokens after index from. It returns none if the stream has
// ended, and false if the reader disconnected.
func (e *Engine) nextTokens(ctx context.Context, s *stream, from identifier.Tokens) ([]string, bool) {
	for {
		e.mu.Lock()
		available := identifier.Tokens(len(s.tokens))
		tokens := append([]string{}, s.tokens[min(from, available):]...)
		changed, ended := s.changed, s.ended()
		e.mu.Unlock()
		if len(tokens) > 0 || ended {
			return tokens, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (e *Engine) removeReader(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	s.lastReaderLeftAt = e.config.Clock.Now()
}

func writeToken(w http.ResponseWriter, index identifier.Tokens, token string) error {
	data, err := json.Marshal(encoder.Token{Token: token})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", index, data)
	return err
}

// writeEnd writes the final event of an ended stream. For a stream that ended in
// the queue, the event states that it did not run.
func (e *Engine) writeEnd(w http.ResponseWriter, s *stream, tokens identifier.Tokens) {
	e.mu.Lock()
	end, ran := s.state, s.wasStarted
	e.mu.Unlock()
	name, body := encoder.EndEvent, any(encoder.End{Tokens: tokens})
	if end != stateEnded {
		problem := encoder.Problem{Error: string(end)}
		if !ran {
			problem.Outcome = encoder.OutcomeNotRun
		}
		name, body = encoder.ErrorEvent, problem
	}
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)
}
