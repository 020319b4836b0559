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

// NotSentError reports that no byte of a request was sent.
type NotSentError struct {
	Address string
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("not sent to %s: %v", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// RefusedError reports that the server guarantees that it did not run the request.
type RefusedError struct {
	Address string
	Text    string
	// RetryAfter is the time after which the server asks for a retry, or zero.
	RetryAfter timekeeper.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused by %s: %s", e.Address, e.Text)
}

// ConnectionError reports that the connection failed before the answer was complete, or
// that the answer was malformed. The request may have run.
type ConnectionError struct {
	Address string
	Cause   error
}

func (e *ConnectionError) Error() string {
	return fmt.Sprintf("connection to %s failed: %v", e.Address, e.Cause)
}

func (e *ConnectionError) Unwrap() error { return e.Cause }

// ResponseTimeoutError reports that nothing was received within a ResponseTimeouts
// limit, while the connection stayed open. The request may have run.
type ResponseTimeoutError struct {
	Address string
	After   timekeeper.Duration
	// ConnectTime is the time that connecting took, or zero if there was no connection.
	ConnectTime timekeeper.Duration
}

func (e *ResponseTimeoutError) Error() string {
	return fmt.Sprintf("%s sent no data for %v, connected after %v", e.Address, e.After, e.ConnectTime)
}

// StatusError reports an HTTP status that is not a success and has no error type of its
// own.
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

// notRun reports whether the server guarantees that it did not run the request.
func (e *StatusError) notRun() bool {
	return e.Header.Get(encoder.OutcomeHeader) == encoder.OutcomeNotRun
}

// ServerFailedError reports that the server ran or accepted the request and answered
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

// TokenSequenceError reports that a stream skipped a token or ended at the wrong one.
type TokenSequenceError struct {
	Stream identifier.StreamName
	Want   identifier.Tokens
	Got    identifier.Tokens
}

func (e *TokenSequenceError) Error() string {
	return fmt.Sprintf("stream %s sent token %d instead of %d", e.Stream, e.Got, e.Want)
}

// UnknownStreamError reports that the engine has no stream of that name.
type UnknownStreamError struct {
	Address string
	Stream  identifier.StreamName
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("%s has no stream %s", e.Address, e.Stream)
}

// StaleFenceError reports that an engine refused an order because of its fencing
// number.
type StaleFenceError struct {
	Address string
	Fence   identifier.Fence
}

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("%s refused the stale fencing number %d", e.Address, e.Fence)
}

// AmbiguousError reports that a call to the platform may have had its effect. Only
// reading the state back resolves this.
type AmbiguousError struct{ Cause error }

func (e *AmbiguousError) Error() string { return fmt.Sprintf("may have taken effect: %v", e.Cause) }

func (e *AmbiguousError) Unwrap() error { return e.Cause }

// RateLimitedError reports that the platform rejected a call because of its rate limit.
// The call had no effect.
type RateLimitedError struct{ RetryAfter timekeeper.Duration }

func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("platform rate limit exceeded, retry after %v", e.RetryAfter)
}

// UnavailableError reports that a call without effect failed, or that a call with an
// effect was not sent or did not run.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform unavailable: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// BuyRefusedError reports that the cloud did not sell a VM, for example because
// it has no capacity.
type BuyRefusedError struct{ Text string }

func (e *BuyRefusedError) Error() string { return "purchase refused: " + e.Text }

// Result returns the result of an attempt that ended with err, as Engine and Plain
// return it. Errors that are not known to be safe to retry count as broken.
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

// RetryAfter returns the time after which the server or the platform asks for a retry,
// or zero.
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

// serverError converts a *StatusError of a backend server to *RefusedError or
// *ServerFailedError.
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

// readError wraps the error of a platform call without effect in an *UnavailableError.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return &UnavailableError{Cause: err}
}

// effectError converts the error of a platform call with an effect to
// *RateLimitedError, *UnavailableError or *AmbiguousError. A 503 is ambiguous, since
// the platform may send it after the effect.
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
