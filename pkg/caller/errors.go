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
	_ error = (*brokenError)(nil)
	_ error = (*silentError)(nil)
	_ error = (*movedError)(nil)
	_ error = (*endError)(nil)
	_ error = (*earlyEndError)(nil)
	_ error = (*holeError)(nil)
)

// Outcome is what the system says became of a request.
type Outcome string

// The outcomes.
const (
	OutcomeDone      Outcome = "done"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUnknown   Outcome = "unknown"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// The reasons that the library itself acts on.
const (
	reasonUnknownRequest = "unknown_request"
	reasonNodeLeaving    = "node_leaving"
	reasonAnswerDiverged = "answer_diverged"
)

// RefusalError is a refusal, or an end without an answer, as a node's problem
// document tells it.
type RefusalError struct {
	Status  int                  `json:"status"`
	Reason  string               `json:"reason"`
	Title   string               `json:"title"`
	Detail  string               `json:"detail"`
	Outcome Outcome              `json:"outcome"`
	Request identifier.RequestID `json:"request_id"`
	// RetryAfter is when coming back makes sense; zero means it does not.
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

// UnknownOutcomeError reports a request that was sent and whose end could not be
// learned from any node in time. It may have run.
type UnknownOutcomeError struct {
	Request identifier.RequestID
	Key     identifier.IdempotencyKey
	// Received is the number of tokens that did arrive.
	Received identifier.Tokens
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("request %s with key %s lost after %d tokens: %v", e.Request, e.Key, e.Received, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// DivergedError reports that a node has another answer to the request than the
// one whose first tokens arrived, and that no node turned up that could go on
// with the latter. What did arrive is the true beginning of an answer, but its
// end is gone. The request did run.
type DivergedError struct {
	Request identifier.RequestID
	Key     identifier.IdempotencyKey
	// Received is the number of tokens that did arrive.
	Received identifier.Tokens
	Cause    error
}

func (e *DivergedError) Error() string {
	return fmt.Sprintf("request %s with key %s: no node goes on with the answer after its token %d: %v",
		e.Request, e.Key, e.Received, e.Cause)
}

func (e *DivergedError) Unwrap() error { return e.Cause }

// NoNodeError reports that no node could be reached. Nothing was sent.
type NoNodeError struct{ Cause error }

func (e *NoNodeError) Error() string { return fmt.Sprintf("no node answers: %v", e.Cause) }

func (e *NoNodeError) Unwrap() error { return e.Cause }

// ProtocolError reports a response that does not follow the protocol.
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

// brokenError reports a connection that ended or went silent. With sent false
// no byte of the request left.
type brokenError struct {
	node  string
	sent  bool
	cause error
}

func (e *brokenError) Error() string { return fmt.Sprintf("connection to %s: %v", e.node, e.cause) }

func (e *brokenError) Unwrap() error { return e.cause }

// silentError is the cause of a connection that was closed for its silence.
type silentError struct{ after timekeeper.Duration }

func (e *silentError) Error() string { return fmt.Sprintf("silent for %s", e.after) }
