package adapter

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ error = (*NotSentError)(nil)
	_ error = (*RefusedError)(nil)
	_ error = (*ConnectionError)(nil)
	_ error = (*ResponseTimeoutError)(nil)
	_ error = (*StatusError)(nil)
	_ error = (*ServerFailedError)(nil)
	_ error = (*TokenSequenceError)(nil)
	_ error = (*UnknownStreamError)(nil)
	_ error = (*StaleFenceError)(nil)
	_ error = (*AmbiguousError)(nil)
	_ error = (*RateLimitedError)(nil)
	_ error = (*UnavailableError)(nil)
	_ error = (*BuyRefusedError)(nil)
)

// NotSentError reports that no byte of a request left this process.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that the server promises not to have run the request.
type RefusedError struct {
	Address string
	Text    string
	// RetryAfter is the server's own wish, or zero.
	RetryAfter timekeeper.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by %s: %s", e.Address, e.Text)
}

// ConnectionError reports that the connection ended before the answer was whole.
// The request may have run.
type ConnectionError struct {
	Address string
	Cause   error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("connection to %s broke: %v", e.Address, e.Cause)
}

func (e *ConnectionError) Unwrap() error { return e.Cause }

// ResponseTimeoutError reports that nothing arrived for longer than the caller's
// patience, while the connection stayed open. The request may have run.
type ResponseTimeoutError struct {
	Address string
	After   timekeeper.Duration
}

func (e *ResponseTimeoutError) Error() string {
	return fmt.Sprintf("%s silent for %v", e.Address, e.After)
}

// StatusError reports an HTTP status that is not a success and that no other
// type of this package stands for.
type StatusError struct {
	Address    string
	Status     int
	Header     http.Header
	Body       []byte
	Text       string
	RetryAfter timekeeper.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Address, e.Status, e.Text)
}

// notRun tells that the server promises not to have run the request.
func (e *StatusError) notRun() bool {
	return e.Header.Get(encoder.OutcomeHeader) == encoder.OutcomeNotRun
}

// ServerFailedError reports that the server ran the request, or took it up, and says
// that it failed.
type ServerFailedError struct {
	Address string
	Status  int
	Header  http.Header
	Body    []byte
	Text    string
}

func (e *ServerFailedError) Error() string {
	return fmt.Sprintf("%s failed with %d: %s", e.Address, e.Status, e.Text)
}

// TokenSequenceError reports that a stream skipped a token.
type TokenSequenceError struct {
	Stream identifier.StreamName
	Want   identifier.Tokens
	Got    identifier.Tokens
}

func (e *TokenSequenceError) Error() string {
	return fmt.Sprintf("stream %s gave token %d in place of %d", e.Stream, e.Got, e.Want)
}

// UnknownStreamError reports that the engine does not know a stream.
type UnknownStreamError struct {
	Address string
	Stream  identifier.StreamName
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("%s knows no stream %s", e.Address, e.Stream)
}

// StaleFenceError reports that an engine refused an order's fencing number.
type StaleFenceError struct {
	Address string
	Fence   identifier.Fence
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("%s refused the stale fencing number %d", e.Address, e.Fence)
}

// AmbiguousError reports that the platform may have taken the effect of a call
// and may not have: only reading back settles it.
type AmbiguousError struct{ Cause error }

func (e *AmbiguousError) Error() string { return fmt.Sprintf("may have taken effect: %v", e.Cause) }

func (e *AmbiguousError) Unwrap() error { return e.Cause }

// RateLimitedError reports that the platform took nothing, because of its
// rate limit.
type RateLimitedError struct{ RetryAfter timekeeper.Duration }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("over the platform's rate, come back in %v", e.RetryAfter)
}

// UnavailableError reports that the platform gave no answer to a call that has
// no effect, or that a call with an effect never left.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// BuyRefusedError reports that the cloud refused to sell a VM.
type BuyRefusedError struct{ Text string }

func (e *BuyRefusedError) Error() string { return "purchase refused: " + e.Text }

// Result puts the end of an attempt, as Engine and Plain report it, into the
// terms that decide whether it may be repeated. What is not known to be safe
// counts as broken.
func Result(err error) messenger.AttemptResult {
	var (
		notSent  *NotSentError
		refused  *RefusedError
		timedOut *ResponseTimeoutError
		failed   *ServerFailedError
	)
	switch {
	case err == nil:
		return messenger.AttemptComplete
	case errors.As(err, &notSent):
		return messenger.AttemptNotSent
	case errors.As(err, &refused):
		return messenger.AttemptRefused
	case errors.As(err, &timedOut):
		return messenger.AttemptTimedOut
	case errors.As(err, &failed):
		return messenger.AttemptFailed
	default:
		return messenger.AttemptBroken
	}
}

// RetryAfter returns the server's own wish when to come back, or zero.
func RetryAfter(err error) timekeeper.Duration {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		return limited.RetryAfter
	}
	return 0
}

// serverError turns the error of a call to a backend server into the types
// that Result knows.
func serverError(err error) error {
	var status *StatusError
	if !errors.As(err, &status) {
		return err
	}
	if status.notRun() {
		return &RefusedError{
			Address:    status.Address,
			Text:       status.Text,
			RetryAfter: status.RetryAfter,
		}
	}
	return &ServerFailedError{
		Address: status.Address,
		Status:  status.Status,
		Header:  status.Header,
		Body:    status.Body,
		Text:    status.Text,
	}
}

// readError turns the error of a call without effect on the platform into
// *UnavailableError.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return &UnavailableError{Cause: err}
}

// effectError turns the error of a call with an effect on the platform into
// *RateLimitedError, *UnavailableError or *AmbiguousError. A 503 is ambiguous
// too: the platform gives it also after the effect was taken.
func effectError(err error) error {
	var notSent *NotSentError
	var status *StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notSent):
		return &UnavailableError{Cause: err}
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: status.RetryAfter}
	case errors.As(err, &status) && status.notRun():
		return &UnavailableError{Cause: err}
	default:
		return &AmbiguousError{Cause: err}
	}
}
