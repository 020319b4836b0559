// Package router chooses the backend server for an attempt.
//
// Predict estimates the times of a server's first and last token from this node's
// requests in flight there and from the prefix hints. Choose filters the candidates and
// takes the one with the lowest cost in milliseconds, with ties broken at random. Hints
// estimates which prompt prefixes each server has cached.
//
// All functions are deterministic: time and randomness are passed in. Nothing is safe
// for concurrent use.
package router

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Candidate is a backend server that could run the job.
type Candidate struct {
	Server identifier.VMID
	Zone   identifier.Zone
	// Market determines the risk of a reclaim. The price is not considered, because the
	// cheap servers are the reclaimable ones.
	Market  catalog.Market
	Leaving bool
	Suspect bool
	// OwnInFlight is the number of this node's requests on the server, and OwnPrefill
	// the number of their prompt tokens that are still to be read.
	OwnInFlight int
	OwnPrefill  identifier.Tokens
	// Load is the server's last report, or zero. It appears in the explanation but does
	// not affect the choice; see Predict.
	Load messenger.ServerLoad
	// PrefixHit is the expected number of cached prompt tokens.
	PrefixHit identifier.Tokens
	Slots     int
	// TokensPerSecond and PrefillPerSecond are the rates of an idle server, or zero for
	// a plain server.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// SameZone reports whether the server is in this node's zone.
	SameZone bool
}

// Job is a request to be placed on a server.
type Job struct {
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	Priority     catalog.Priority
	Deadline     timekeeper.Time
	Target       catalog.Target
	AvoidZones   map[identifier.Zone]bool
	AvoidServers map[identifier.VMID]bool
}

// Prediction is the expected time to the first token, between tokens, and to the end.
type Prediction struct {
	FirstToken timekeeper.Duration
	PerToken   timekeeper.Duration
	Completion timekeeper.Duration
}

// Choice is the chosen server with an explanation for operators.
type Choice struct {
	Server      identifier.VMID
	Predicted   Prediction
	Explanation string
}
