package caller

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	_ error = (*RefusalError)(nil)
	_ error = (*UnknownOutcomeError)(nil)
	_ error = (*DivergedError)(nil)
	_ error = (*ProtocolError)(nil)
	_ error = (*NoNodeError)(nil)
	_ error = (*connectionError)(nil)
	_ error = (*idleTimeoutError)(nil)
	_ error = (*movedError)(nil)
	_ error = (*failedError)(nil)
	_ error = (*truncatedStreamError)(nil)
	_ error = (*tokenGapError)(nil)
)

// Outcome is the outcome of a request as a node reports it.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone      Outcome = "done"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Reasons that this library handles.
const (
	reasonUnknownRequest = "unknown_request"
	reasonNodeLeaving    = "node_leaving"
	reasonAnswerDiverged = "answer_diverged"
)

// RefusalError is a problem document with which a node refused a request or
// ended it without an answer.
type RefusalError struct {
	Status  int                  `json:"status"`
	Reason  string               `json:"reason"`
	Title   string               `json:"title"`
	Detail  string               `json:"detail"`
	Outcome Outcome              `json:"outcome"`
	Request identifier.RequestID `json:"request_id"`
	// RetryAfter is the time to wait before a retry. Zero means that a retry is
	// pointless.
	RetryAfter timekeeper.Duration `json:"retry_after_ms"`
	Faults     []string            `json:"faults"`
}

func (e *RefusalError) Error() string {
	text := fmt.Sprintf("refused: %s (status %d, outcome %s)", e.Reason, e.Status, e.Outcome)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// UnknownOutcomeError reports a request that was sent and whose outcome no node
// reported in time. The request may have run.
type UnknownOutcomeError struct {
	Request identifier.RequestID
	Key     identifier.IdempotencyKey
	// Received is the number of tokens that did arrive.
	Received identifier.Tokens
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("request %s with key %s: outcome unknown after %d tokens: %v", e.Request, e.Key, e.Received, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// DivergedError reports that a node has a different answer from the one whose
// first tokens arrived, and that no node could continue the latter in time. The
// tokens received are the valid beginning of an answer whose rest is lost. The
// request did run.
type DivergedError struct {
	Request identifier.RequestID
	Key     identifier.IdempotencyKey
	// Received is the number of tokens that did arrive.
	Received identifier.Tokens
	Cause    error
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("request %s with key %s: no node continues the answer after token %d: %v",
		e.Request, e.Key, e.Received, e.Cause)
}

func (e *DivergedError) Unwrap() error { return e.Cause }

// NoNodeError reports that no node was available. The request was not sent.
type NoNodeError struct{ Cause error }

func (e *NoNodeError) Error() string { return fmt.Sprintf("no node available: %v", e.Cause) }

func (e *NoNodeError) Unwrap() error { return e.Cause }

// ProtocolError reports a response that violates the protocol.
type ProtocolError struct {
	Node   string
	Detail string
	Cause  error
}

func (e *ProtocolError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("node %s: %s", e.Node, e.Detail)
	}
	return fmt.Sprintf("node %s: %s: %v", e.Node, e.Detail, e.Cause)
}

func (e *ProtocolError) Unwrap() error { return e.Cause }

// connectionError reports a connection that failed, ended early or timed out.
// If sent is false, no part of the request was sent.
type connectionError struct {
	node  string
	sent  bool
	cause error
}

func (e *connectionError) Error() string { return fmt.Sprintf("connection to %s: %v", e.node, e.cause) }

func (e *connectionError) Unwrap() error { return e.cause }

// idleTimeoutError reports a connection that was closed because no data arrived
// in time.
type idleTimeoutError struct{ after timekeeper.Duration }

func (e *idleTimeoutError) Error() string { return fmt.Sprintf("no data for %s", e.after) }
