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

// NotOwnerError reports that another node owns the request.
type NotOwnerError struct {
	Request identifier.RequestID
	// Address is the caller address of the owner.
	Address string
}

func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("request %s is owned by the node at %s", e.Request, e.Address)
}

// UnknownRequestError reports a request that no reachable node has, or that
// belongs to another client account. The two are indistinguishable, so that
// accounts cannot probe for each other's requests.
type UnknownRequestError struct{ Request identifier.RequestID }

func (e *UnknownRequestError) Error() string {
	return fmt.Sprintf("request %s is unknown", e.Request)
}

// StoreFullError reports that the node has no memory for another request. No
// part of the request has run.
type StoreFullError struct{ RetryAfter timekeeper.Duration }

func (e *StoreFullError) Error() string {
	return fmt.Sprintf("answer store is full, retry after %s", e.RetryAfter)
}

// NodeStoppingError reports that the node is stopping. No part of the request
// has run.
type NodeStoppingError struct{}

func (e *NodeStoppingError) Error() string { return "node is stopping" }

// KeyConflictError reports an idempotency key that the same client account has
// already used for a different request. No part of the new request has run, and
// it must not receive the answer to the older one.
type KeyConflictError struct{ Key identifier.IdempotencyKey }

func (e *KeyConflictError) Error() string {
	return fmt.Sprintf("idempotency key %q was already used for a different request", e.Key)
}

// WaitError reports a wait whose context ended.
type WaitError struct {
	Request identifier.RequestID
	Cause   error
}

func (e *WaitError) Error() string {
	return fmt.Sprintf("waiting for request %s: %v", e.Request, e.Cause)
}

func (e *WaitError) Unwrap() error { return e.Cause }

// DivergedError reports an answer that differs from the tokens that its caller
// already has. The caller must not receive any of it.
type DivergedError struct {
	Request identifier.RequestID
	// Index is the number of tokens that the caller has.
	Index identifier.Tokens
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("answer to request %s differs from the caller's within the first %d tokens", e.Request, e.Index)
}

// InvalidDigestError reports a text that is not a digest.
type InvalidDigestError struct{ Text string }

func (e *InvalidDigestError) Error() string {
	return fmt.Sprintf("%q is not a digest of %d hexadecimal digits", e.Text, 2*digestSize)
}
