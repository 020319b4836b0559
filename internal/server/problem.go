package server

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"

	"github.com/kataras/iris/v12"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Reasons for refusals by the server itself. Package messenger declares the
// others.
const (
	ReasonUnauthorized        messenger.Reason = "unauthorized"
	ReasonNotFound            messenger.Reason = "not_found"
	ReasonMethodNotAllowed    messenger.Reason = "method_not_allowed"
	ReasonBodyTooLarge        messenger.Reason = "body_too_large"
	ReasonBodyIncomplete      messenger.Reason = "body_unread"
	ReasonBadJSON             messenger.Reason = "bad_json"
	ReasonBadField            messenger.Reason = "bad_field"
	ReasonBadHeader           messenger.Reason = "bad_header"
	ReasonWrongKind           messenger.Reason = "wrong_service_kind"
	ReasonUnknownRequest      messenger.Reason = "unknown_request"
	ReasonNoVerdict           messenger.Reason = "no_verdict"
	ReasonInternal            messenger.Reason = "internal"
	ReasonBaseRevisionMissing messenger.Reason = "saw_revision_missing"
	ReasonChangeRejected      messenger.Reason = "change_rejected"
	ReasonChangeUnsettled     messenger.Reason = "change_unsettled"
	ReasonAnswerDiverged      messenger.Reason = "answer_diverged"
)

// Problem is a refusal as a problem document.
type Problem struct {
	Type   string           `json:"type"`
	Title  string           `json:"title"`
	Status int              `json:"status"`
	Reason messenger.Reason `json:"reason"`
	Detail string           `json:"detail,omitempty"`
	Faults []string         `json:"faults,omitempty"`
	// Outcome states whether the request ran.
	Outcome messenger.Outcome    `json:"outcome"`
	Request identifier.RequestID `json:"request_id,omitempty"`
	// RetryAfter is the time to wait before a retry. Zero means that the caller
	// should not retry.
	RetryAfter timekeeper.Duration `json:"retry_after_ms,omitempty"`
}

// problemTypePrefix precedes the reason in the URI of a problem type.
const problemTypePrefix = "urn:dotterelhollow:problem:"

// newProblem returns the problem for a request that the server rejected before
// it reached the node, so that it did not run.
func newProblem(status int, reason messenger.Reason, format string, args ...any) *Problem {
	return &Problem{
		Type:    problemTypePrefix + string(reason),
		Title:   http.StatusText(status),
		Status:  status,
		Reason:  reason,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: messenger.NotRun,
	}
}

// refusalProblem returns the problem for a request that the node refused or
// that ended without an answer.
func refusalProblem(request identifier.RequestID, r messenger.Refusal) *Problem {
	status := refusalStatus(r)
	return &Problem{
		Type:       problemTypePrefix + string(r.Reason),
		Title:      http.StatusText(status),
		Status:     status,
		Reason:     r.Reason,
		Outcome:    r.Outcome,
		Request:    request,
		RetryAfter: r.RetryAfter,
	}
}

// refusalStatus returns the HTTP status for a refusal.
func refusalStatus(r messenger.Refusal) int {
	switch r.Reason {
	case messenger.ReasonUnknownService:
		return http.StatusNotFound
	case messenger.ReasonAccountLimit:
		return http.StatusTooManyRequests
	case messenger.ReasonDeadline, messenger.ReasonDeadlineExpired:
		return http.StatusGatewayTimeout
	case messenger.ReasonDuplicate, messenger.ReasonCancelled:
		return http.StatusConflict
	case messenger.ReasonServerFailed, messenger.ReasonRetriesExhausted:
		return http.StatusBadGateway
	case messenger.ReasonServersEnded:
		if r.Outcome != messenger.NotRun {
			return http.StatusBadGateway
		}
	}
	return http.StatusServiceUnavailable
}

// divergedProblem returns the problem for a caller whose received tokens differ
// from the answer on this node. Its outcome is unknown.
func divergedProblem(request identifier.RequestID) *Problem {
	p := newProblem(http.StatusConflict, ReasonAnswerDiverged, "this node's answer differs from what you have of it")
	p.Outcome = messenger.Unknown
	p.Request = request
	return p
}

// write sends p as the whole response. It must precede any other write.
func (p *Problem) write(ctx iris.Context) {
	header := ctx.ResponseWriter().Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(p.RetryAfter)))
	}
	if p.Request != "" {
		header.Set(HeaderRequestID, string(p.Request))
	}
	ctx.StatusCode(p.Status)
	writeAll(ctx, p.encode())
}

func (p *Problem) encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		// A Problem has no field that can fail to encode.
		return []byte(`{}`)
	}
	return data
}

// wholeSeconds rounds up, since an early retry would be refused again.
func wholeSeconds(d timekeeper.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
