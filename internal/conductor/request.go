package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// phase is the state of a request in flight.
type phase int

const (
	// claiming: the claim was appended to the log and has not been read back.
	claiming phase = iota
	// holding: the copy was sent to a holder; the request is not yet accepted.
	holding
	// waiting: the request is accepted and no attempt is in progress.
	waiting
	// running: the current attempt is in progress.
	running
)

type request struct {
	spec     messenger.RequestSpec
	service  catalog.Service
	phase    phase
	accepted bool
	epoch    identifier.Epoch
	// reservedTokens counts against the account's limit.
	reservedTokens identifier.Tokens
	// callerDisconnectedAt is when the last caller disconnected, or Never.
	callerDisconnectedAt timekeeper.Time

	claim    claimState
	hold     holdState
	move     moveState
	handover handoverState

	// attempt is the number of the current or last attempt; localAttempts
	// counts the attempts sent by this node.
	attempt       identifier.AttemptNumber
	localAttempts int
	// server, zone, address and stream identify where the attempt runs.
	server  identifier.VMID
	zone    identifier.Zone
	address string
	stream  identifier.StreamName
	// sentAt is when the attempt was sent, and firstTokenAt when its first
	// token was received, or zero.
	sentAt       timekeeper.Time
	firstTokenAt timekeeper.Time
	// predictedCompletion is the predicted duration of the attempt, and
	// predictedPerToken the predicted time between tokens.
	predictedCompletion timekeeper.Duration
	predictedPerToken   timekeeper.Duration
	// predictedFirstToken is the predicted time to the first token, or zero if
	// the attempt joins an existing stream.
	predictedFirstToken timekeeper.Duration
	// joinsStream reports whether the attempt joins an existing stream.
	joinsStream bool
	// delivered is the number of tokens of the answer received by this node.
	delivered identifier.Tokens
	// mayHaveRun reports whether an attempt may have had an effect. The outcome
	// not_run is correct only while it is false and no attempt is in progress.
	mayHaveRun bool

	// retryAt is when the next attempt is due in the phase waiting.
	retryAt timekeeper.Time
	// rejoined is set if the current stream was rejoined over a new connection,
	// after rejoinedTokens tokens.
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

// needsClaim reports whether the request needs a claim before it may run.
func (r *request) needsClaim() bool { return !r.spec.Idempotent && r.spec.Key != "" }

// isModel reports whether the answer is a stream of tokens.
func (r *request) isModel() bool { return r.service.Kind == catalog.ModelService }

// neverRan reports whether no attempt of the request can have run.
func (r *request) neverRan() bool { return !r.mayHaveRun && r.phase != running }

// tokensPerSecond returns the expected rate of the stream, or unloaded if it is
// not predicted.
func (r *request) tokensPerSecond(unloaded float64) float64 {
	if r.predictedPerToken <= 0 {
		return unloaded
	}
	return float64(timekeeper.Second) / float64(r.predictedPerToken)
}
