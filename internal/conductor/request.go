package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// phase is where a request stands in its life.
type phase int

const (
	// claiming: its claim was appended and not yet read back.
	claiming phase = iota
	// holding: its copy is on the way to a holder; it is not yet accepted.
	holding
	// waiting: it is accepted and no attempt is under way.
	waiting
	// running: its current attempt is under way.
	running
)

// request is a request in flight on this node.
type request struct {
	spec     messenger.RequestSpec
	service  catalog.Service
	phase    phase
	accepted bool
	epoch    identifier.Epoch
	// reserved are the tokens that count against the account's limit.
	reservedTokens identifier.Tokens
	// callerGoneAt is when the last caller detached, or Never.
	callerDisconnectedAt timekeeper.Time

	claim    claimState
	hold     holdState
	move     moveState
	handover handoverState

	// attempt is the number of the current or last attempt; tries counts
	// those of this node.
	attempt       identifier.AttemptNumber
	localAttempts int
	// server, zone, address and stream tell where the attempt runs.
	server  identifier.VMID
	zone    identifier.Zone
	address string
	stream  identifier.StreamName
	// began is when the attempt was sent, and firstAt when its first token
	// came, or zero.
	sentAt       timekeeper.Time
	firstTokenAt timekeeper.Time
	// expected is the predicted completion of the attempt, perToken its
	// predicted pace.
	predictedCompletion timekeeper.Duration
	predictedPerToken   timekeeper.Duration
	// awaited is the predicted time to the first token, or zero where the
	// attempt joins a stream that is under way.
	predictedFirstToken timekeeper.Duration
	// joins tells that the attempt joins such a stream.
	joinsStream bool
	// delivered counts the tokens of the answer that stand with this node.
	delivered identifier.Tokens
	// mayHaveRun tells that an attempt may have had an effect. While it is
	// false, and nothing is under way, not_run is true.
	mayHaveRun bool

	// retryAt is when the next attempt is due, in the phase waiting.
	retryAt timekeeper.Time
	// rejoined tells that the current stream was rejoined over a new
	// connection, at rejoinedAt tokens.
	rejoined       bool
	rejoinedTokens identifier.Tokens
	// failedZones and failedServers are avoided by the next attempt.
	failedZones   map[identifier.Zone]bool
	failedServers map[identifier.VMID]bool
}

// newRequest returns a request that this node received or took over.
func newRequest(spec messenger.RequestSpec, service catalog.Service) *request {
	return &request{
		spec:                 spec,
		service:              service,
		callerDisconnectedAt: timekeeper.Never,
		failedZones:          map[identifier.Zone]bool{},
		failedServers:        map[identifier.VMID]bool{},
		hold:                 holdState{stalledAt: timekeeper.Never},
	}
}

// claimed reports whether the request needs a claim before it may run.
func (r *request) needsClaim() bool { return !r.spec.Idempotent && r.spec.Key != "" }

// model reports whether the answer is a stream of tokens.
func (r *request) isModel() bool { return r.service.Kind == catalog.ModelService }

// untouched reports whether nothing of the request can have run.
func (r *request) neverRan() bool { return !r.mayHaveRun && r.phase != running }

// pace returns the tokens per second the stream is expected to make.
func (r *request) tokensPerSecond(unloaded float64) float64 {
	if r.predictedPerToken <= 0 {
		return unloaded
	}
	return float64(timekeeper.Second) / float64(r.predictedPerToken)
}
