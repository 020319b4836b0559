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
	_ error       = (*WrongError)(nil)
)

// WrongError reports an answer that is not the one to its request.
type WrongError struct {
	Index identifier.Tokens
	Want  string
	Got   string
}

func (e *WrongError) Error() string {
	if e.Index > 0 {
		return fmt.Sprintf("token %d: expected %q, got %q", e.Index, e.Want, e.Got)
	}
	return fmt.Sprintf("expected %s, got %s", e.Want, e.Got)
}

// checker takes the tokens of one answer and compares each with the one that
// every stand-in engine gives for the prompt at that place.
type checker struct {
	prompt string
	want   identifier.Tokens
	clock  timekeeper.Clock
	taken  identifier.Tokens
	first  timekeeper.Time
	last   timekeeper.Time
	gaps   []timekeeper.Duration
	wrong  error
}

// Token takes a token.
func (c *checker) Token(t caller.Token) error {
	now := c.clock.Now()
	if c.first == 0 {
		c.first = now
	} else {
		c.gaps = append(c.gaps, now.Sub(c.last))
	}
	c.last = now
	c.taken++
	want := standin.Token(c.prompt, c.taken)
	if (t.Index != c.taken || t.Text != want) && c.wrong == nil {
		c.wrong = &WrongError{
			Index: c.taken,
			Want:  want,
			Got:   fmt.Sprintf("%s as token %d", t.Text, t.Index),
		}
	}
	return nil
}

// Restart begins the answer anew. The first token that the caller saw counts
// on: it is the one that the caller waited for.
func (c *checker) Restart() error {
	c.taken = 0
	return nil
}

// verdict tells what was wrong with the answer, given how its stream ended.
func (c *checker) verdict(end error) error {
	var protocol *caller.ProtocolError
	switch {
	case c.wrong != nil:
		return c.wrong
	case errors.As(end, &protocol):
		return protocol
	case end == nil && c.taken != c.want:
		return &WrongError{
			Want: fmt.Sprintf("%d tokens", c.want),
			Got:  fmt.Sprintf("%d", c.taken),
		}
	}
	return nil
}
