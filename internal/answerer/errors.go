package answerer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ error = (*NotOwnerError)(nil)
	_ error = (*UnknownRequestError)(nil)
	_ error = (*StoreFullError)(nil)
	_ error = (*NodeStoppingError)(nil)
	_ error = (*KeyConflictError)(nil)
	_ error = (*WaitError)(nil)
	_ error = (*DivergedError)(nil)
	_ error = (*InvalidDigestError)(nil)
)

// ElsewhereError reports that another node has the request.
type NotOwnerError struct {
	Request identifier.RequestID
	// Address is the caller address of the node that has it.
	Address string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("request %s is at %s", e.Request, e.Address)
}

// UnknownRequestError reports a request that no reachable node has, or that
// belongs to another client account; the two are not told apart, so that no
// account learns of another's requests.
type UnknownRequestError struct{ Request identifier.RequestID }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("request %s is not known", e.Request)
}

// FullError reports that the node has no room for another request. Nothing
// of the request has run.
type StoreFullError struct{ RetryAfter timekeeper.Duration }

func (e *StoreFullError) Error() string {
	return fmt.Sprintf("no room for another request, retry after %s", e.RetryAfter)
}

// StoppedError reports that the node is stopping. Nothing of the request has
// run.
type NodeStoppingError struct{}

func (e *NodeStoppingError) Error() string { return "the node is stopping" }

// KeyConflictError reports an idempotency key that stands for another request
// of the same client account. Nothing has run: giving the older request's
// answer to a caller that asked something else would cross answers.
type KeyConflictError struct{ Key identifier.IdempotencyKey }

func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("idempotency key %q stands for another request", e.Key)
}

// WaitError reports a wait that its context ended.
type WaitError struct {
	Request identifier.RequestID
	Cause   error
}

func (e *WaitError) Error() string {
	return fmt.Sprintf("waiting for request %s: %v", e.Request, e.Cause)
}

func (e *WaitError) Unwrap() error { return e.Cause }

// DivergedError reports an answer that differs from what its caller has of
// it. Nothing of it may go to that caller.
type DivergedError struct {
	Request identifier.RequestID
	// Index is the last token that the caller has.
	Index identifier.Tokens
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("the answer to request %s differs from the caller's up to token %d", e.Request, e.Index)
}

// DigestError reports a text that is no digest.
type InvalidDigestError struct{ Text string }

func (e *InvalidDigestError) Error() string {
	return fmt.Sprintf("%q is no digest of %d hexadecimal digits", e.Text, 2*digestSize)
}
