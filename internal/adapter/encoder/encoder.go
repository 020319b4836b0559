// Package encoder declares the JSON messages and header names of the protocols with the
// external services: the platform's log, VM list, cloud API and weight store, the model
// engines and the plain servers.
//
// Package adapter implements the client side; the simulated services under
// internal/standin implement the server side. Times are sent as durations in whole
// milliseconds instead of timestamps, since the clocks of the two ends differ.
package encoder

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The headers that the protocols use in addition to the standard ones, and Retry-After.
const (
	// OutcomeHeader states the outcome of a request that was not served.
	OutcomeHeader = "Outcome"
	// RequestIDHeader holds the id of a request to a plain server.
	RequestIDHeader = "Request-Id"
	// DeadlineHeader holds the time until the deadline, in milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// RetryAfterHeader is the standard header, in seconds.
	RetryAfterHeader = "Retry-After"
)

// OutcomeNotRun is the value of OutcomeHeader with which a server guarantees that the
// request did not run and will not.
const OutcomeNotRun = "not_run"

// Problem is the body of every error answer.
type Problem struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMS is the value of Retry-After in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteJSON writes an answer with the given status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// WriteProblem writes an error answer with the given status, and sets the headers that
// correspond to p.
func WriteProblem(w http.ResponseWriter, status int, p Problem) {
	if p.Outcome != "" {
		w.Header().Set(OutcomeHeader, p.Outcome)
	}
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + int64(timekeeper.Second) - 1) / int64(timekeeper.Second)
		w.Header().Set(RetryAfterHeader, strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, status, p)
}
