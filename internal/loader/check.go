package loader

import (
	"errors"
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/caller"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ caller.Sink = (*checker)(nil)
	_ error       = (*AnswerMismatchError)(nil)
)

// AnswerMismatchError reports an answer that differs from the expected one.
// Index is the token at which they differ, or 0 if the whole answer does.
type AnswerMismatchError struct {
	Index identifier.Tokens
	Want  string
	Got   string
}

func (e *AnswerMismatchError) Error() string {
	if e.Index > 0 {
		return fmt.Sprintf("token %d: expected %q, got %q", e.Index, e.Want, e.Got)
	}
	return fmt.Sprintf("expected %s, got %s", e.Want, e.Got)
}

// checker receives the tokens of one answer and compares each with the token
// that every stand-in engine generates at that index of the prompt's answer.
type checker struct {
	prompt     string
	wantTokens identifier.Tokens
	clock      timekeeper.Clock
	received   identifier.Tokens
	firstAt    timekeeper.Time
	lastAt     timekeeper.Time
	gaps       []timekeeper.Duration
	mismatch   error
}

// Token compares a received token with the expected one. It never returns an
// error: the first mismatch is kept for verdict.
func (c *checker) Token(t caller.Token) error {
	now := c.clock.Now()
	if c.firstAt == 0 {
		c.firstAt = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.lastAt))
	}
	c.lastAt = now
	c.received++
	want := standin.Token(c.prompt, c.received)
	if (t.Index != c.received || t.Text != want) && c.mismatch == nil {
		c.mismatch = &AnswerMismatchError{
			Index: c.received,
			Want:  want,
			Got:   fmt.Sprintf("%s as token %d", t.Text, t.Index),
		}
	}
	return nil
}

// Restart expects the answer from its first token again. The time of the first
// token received before the restart stays, as the caller waited until then.
func (c *checker) Restart() error {
	c.received = 0
	return nil
}

// verdict returns the answer's first mismatch or protocol violation, or nil.
// end is the error with which the stream ended.
func (c *checker) verdict(end error) error {
	var protocol *caller.ProtocolError
	switch {
	case c.mismatch != nil:
		return c.mismatch
	case errors.As(end, &protocol):
		return protocol
	case end == nil && c.received != c.wantTokens:
		return &AnswerMismatchError{
			Want: fmt.Sprintf("%d tokens", c.wantTokens),
			Got:  fmt.Sprintf("%d", c.received),
		}
	}
	return nil
}
