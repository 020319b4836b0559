package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// maxShortAnswer is the size up to which any answer, or event of a stream, is held in
	// memory.
	maxShortAnswer identifier.Bytes = 16 << 10
	// maxBufferedAnswer bounds an answer that is buffered until it is complete; a longer one
	// is passed on as it arrives. It bounds an event too.
	maxBufferedAnswer identifier.Bytes = 1 << 20
	// maxLongAnswers bounds the answers over maxShortAnswer in memory, since a service whose
	// servers all send bytes without end would otherwise exhaust it.
	maxLongAnswers = 16
)

// longAnswers counts the answers over maxShortAnswer that are held in memory.
type longAnswers chan struct{}

func newLongAnswers() longAnswers { return make(longAnswers, maxLongAnswers) }

// take reports whether one more long answer may be held, until release.
func (l longAnswers) take() bool {
	select {
	case l <- struct{}{}:
		return true
	default:
		return false
	}
}

// await waits until one more long answer may be held, and reports whether it may.
func (l longAnswers) await(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l longAnswers) release() { <-l }

// answerBuffer holds the bytes of an answer that are not passed on yet.
type answerBuffer struct {
	answers longAnswers
	long    bool
}

// mayHold reports whether the buffer may hold n bytes.
func (b *answerBuffer) mayHold(n int) bool {
	switch {
	case n <= int(maxShortAnswer):
		return true
	case n > int(maxBufferedAnswer):
		return false
	}
	b.long = b.long || b.answers.take()
	return b.long
}

// shorten returns what is left of a long event's bytes after most of them were passed on, without
// the memory that these took.
func (b *answerBuffer) shorten(left []byte) []byte {
	if !b.long || len(left) > int(maxShortAnswer) {
		return left
	}
	b.release()
	return append(make([]byte, 0, max(len(left), streamBuffer)), left...)
}

// awaitHold is as mayHold, but waits until other long answers end.
func (b *answerBuffer) awaitHold(ctx context.Context, n int) bool {
	if n > int(maxBufferedAnswer) {
		return false
	}
	if !b.mayHold(n) {
		b.long = b.answers.await(ctx)
		return b.long
	}
	return true
}

func (b *answerBuffer) release() {
	if b.long {
		b.answers.release()
	}
	b.long = false
}

var _ error = (*LongAnswerError)(nil)

// LongAnswerError reports that an answer is too long to be held in memory until it is complete.
type LongAnswerError struct{ Read identifier.Bytes }

func (e *LongAnswerError) Error() string {
	return fmt.Sprintf("answer is longer than %d bytes", e.Read)
}

// readAll reads an answer to its end. If the buffer may not hold it, the error is a
// *LongAnswerError, and what was read is returned with it.
func (b *answerBuffer) readAll(r io.Reader) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if !b.mayHold(len(body) + 1) {
				return body, &LongAnswerError{Read: identifier.Bytes(len(body))}
			}
			body = b.grow(body)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow returns body with more capacity, at most what the buffer may hold.
func (b *answerBuffer) grow(body []byte) []byte {
	size := min(max(2*cap(body), 512), int(maxBufferedAnswer))
	if !b.long {
		size = min(size, int(maxShortAnswer))
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown
}
