package engine

import (
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const blockTokens = encoder.BlockTokens

// state is the place of a stream in its life.
type state string

const (
	stateWaiting   state = "waiting"
	stateRunning   state = "running"
	stateEnded     state = "ended"
	stateCancelled state = "cancelled"
	stateExpired   state = "expired"
	stateOrphaned  state = "orphaned"
)

// stream is one stream of tokens; the engine's lock guards it.
type stream struct {
	request  encoder.GenerateRequest
	prompt   string // what the tokens follow from
	state    state
	ran      bool
	tokens   []string // the answer so far, what was given included
	deadline timekeeper.Time
	arrived  timekeeper.Time
	endedAt  timekeeper.Time
	// prefillLeft is what is still to be read before the next token; credit
	// is the part of a token that the pace has earned.
	prefillLeft float64
	credit      float64
	prefilled   identifier.Tokens
	reserved    identifier.Tokens
	readers     int
	readerLeft  timekeeper.Time
	changed     chan struct{}
}

func newStream(r encoder.GenerateRequest, now timekeeper.Time) *stream {
	s := &stream{
		request:    r,
		prompt:     r.Prompt,
		state:      stateWaiting,
		tokens:     append([]string{}, r.Given...),
		deadline:   timekeeper.Never,
		arrived:    now,
		readerLeft: now,
		changed:    make(chan struct{}),
	}
	if r.DeadlineMS > 0 {
		s.deadline = now.Add(timekeeper.Duration(r.DeadlineMS))
	}
	if given := strings.Join(r.Given, ""); given != standin.Answer(r.Prompt, r.From) {
		s.prompt += "\x00" + given
	}
	return s
}

// over tells that the stream gets no more tokens.
func (s *stream) over() bool { return s.state != stateWaiting && s.state != stateRunning }

// context is the stream's size in the KV cache.
func (s *stream) context() identifier.Tokens {
	return s.request.PromptTokens + identifier.Tokens(len(s.tokens))
}

// notify wakes the readers.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// emit adds up to n tokens and tells whether the answer is whole.
func (s *stream) emit(n int) (emitted int, whole bool) {
	for emitted < n && identifier.Tokens(len(s.tokens)) < s.request.MaxTokens {
		next := identifier.Tokens(len(s.tokens) + 1)
		s.tokens = append(s.tokens, standin.Token(s.prompt, next))
		emitted++
	}
	return emitted, identifier.Tokens(len(s.tokens)) >= s.request.MaxTokens
}
