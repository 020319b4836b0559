// Package router chooses the backend server for an attempt.
//
// Predict estimates when a server would give the first token and the last,
// from what this node has in flight there and the prefix hints. Choose filters
// the candidates and takes the one with the lowest score, in milliseconds; of
// equal ones, any. Hints remembers which server probably has which prompt
// prefix in its cache.
//
// Everything here is pure: time and randomness are arguments. Nothing is safe
// for concurrent use.
package router

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Candidate is a backend server that could take the job.
type Candidate struct {
	Server identifier.VMID
	Zone   identifier.Zone
	// Market tells how likely the server is reclaimed. Its price is not asked
	// for: the cheap servers are those that are reclaimed.
	Market  catalog.Market
	Leaving bool
	Suspect bool
	// OwnInFlight counts this node's own requests on the server; OwnPrefill
	// is the part of their prompts that it has still to read.
	OwnInFlight int
	OwnPrefill  identifier.Tokens
	// Load is the last report, or zero. It is told in the explanation and
	// moves no choice; see Predict.
	Load messenger.ServerLoad
	// PrefixHit is the expected number of prompt tokens in the cache.
	PrefixHit identifier.Tokens
	Slots     int
	// TokensPerSecond and PrefillPerSecond are the paces of an unloaded
	// server; they are zero for a plain server.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// SameZone tells that the server is in this node's zone.
	SameZone bool
}

// Job is the work to place.
type Job struct {
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	Priority     catalog.Priority
	Deadline     timekeeper.Time
	Target       catalog.Target
	AvoidZones   map[identifier.Zone]bool
	AvoidServers map[identifier.VMID]bool
}

// Prediction is how long the parts of an answer will take from now.
type Prediction struct {
	FirstToken timekeeper.Duration
	PerToken   timekeeper.Duration
	Completion timekeeper.Duration
}

// Choice is the server chosen and the reason in short.
type Choice struct {
	Server      identifier.VMID
	Predicted   Prediction
	Explanation string
}
