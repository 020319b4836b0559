// Package encoder declares the JSON shapes and header names of the protocols
// between this system and what it stands on: the platform's log, VM list,
// cloud API and weight store, the model engines and the plain servers.
//
// Package adapter speaks them as a client; the stand-ins under
// internal/standin speak them as servers. All spans travel as whole
// milliseconds that remain, never as instants, because the clocks of the two
// ends differ.
package encoder

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The headers that the protocols use beside the standard ones.
const (
	// OutcomeHeader tells what became of a request that was not served.
	OutcomeHeader = "Outcome"
	// RequestIDHeader names the request towards a plain server.
	RequestIDHeader = "Request-Id"
	// DeadlineHeader is the time that remains, in milliseconds.
	DeadlineHeader = "Deadline-Ms"
	// RetryAfterHeader is the standard header, in seconds.
	RetryAfterHeader = "Retry-After"
)

// OutcomeNotRun is the value of OutcomeHeader by which a server promises that
// nothing of the request ran or will run.
const OutcomeNotRun = "not_run"

// Problem is the body of every answer that is an error.
type Problem struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome,omitempty"`
	// RetryAfterMS is exact where the Retry-After header counts in seconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// WriteJSON answers with status and the JSON form of v.
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

// WriteProblem answers with status and a Problem, and with the headers that
// say the same.
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
