package engine

import (
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const blockTokens = encoder.BlockTokens

// state is the lifecycle state of a stream.
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
	request    encoder.GenerateRequest
	tokenSeed  string // the prompt argument of standin.Token
	state      state
	wasStarted bool
	tokens     []string // the answer so far, including request.Given
	deadline   timekeeper.Time
	receivedAt timekeeper.Time
	endedAt    timekeeper.Time
	// prefillRemaining is the number of context tokens to process before the
	// next token; tokenCredit accumulates fractions of tokens to generate.
	prefillRemaining float64
	tokenCredit      float64
	prefilledTokens  identifier.Tokens
	reservedTokens   identifier.Tokens
	readers          int
	lastReaderLeftAt timekeeper.Time
	changed          chan struct{}
}

func newStream(r encoder.GenerateRequest, now timekeeper.Time) *stream {
	s := &stream{
		request:          r,
		tokenSeed:        r.Prompt,
		state:            stateWaiting,
		tokens:           append([]string{}, r.Given...),
		deadline:         timekeeper.Never,
		receivedAt:       now,
		lastReaderLeftAt: now,
		changed:          make(chan struct{}),
	}
	if r.DeadlineMS > 0 {
		s.deadline = now.Add(timekeeper.Duration(r.DeadlineMS))
	}
	if given := strings.Join(r.Given, ""); given != standin.Answer(r.Prompt, r.From) {
		s.tokenSeed += "\x00" + given
	}
	return s
}

// ended reports whether the stream generates no more tokens.
func (s *stream) ended() bool { return s.state != stateWaiting && s.state != stateRunning }

// contextTokens is the stream's size in the KV cache.
func (s *stream) contextTokens() identifier.Tokens {
	return s.request.PromptTokens + identifier.Tokens(len(s.tokens))
}

// notifyReaders wakes all goroutines that wait on changed.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// generate appends up to n tokens and reports whether the answer is complete.
func (s *stream) generate(n int) (generated int, complete bool) {
	for generated < n && identifier.Tokens(len(s.tokens)) < s.request.MaxTokens {
		next := identifier.Tokens(len(s.tokens) + 1)
		s.tokens = append(s.tokens, standin.Token(s.tokenSeed, next))
		generated++
	}
	return generated, identifier.Tokens(len(s.tokens)) >= s.request.MaxTokens
}
