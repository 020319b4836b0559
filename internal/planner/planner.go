// Package planner makes one plan for a whole wave of reclaims: a move for every
// stream on the backend servers that are leaving.
//
// Streams that will end before their server is removed stay there. For the others,
// each leaving server has a few seconds of bandwidth. PlanWave assigns it to KV
// cache exports, ordered by what they save (the penalty at stake and the tokens
// that need not be recomputed) per second of transfer. All other streams continue
// until shortly before the deadline and are then resumed elsewhere by prefill.
//
// A plan is a pure function of its inputs. PlanWave is called again for each further
// notice during a wave: the streams then state their exports in progress, and the
// headroom omits replacement servers that were refused.
package planner

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Action is the planned action for a stream.
type Action string

// The actions of a plan.
const (
	// Finish leaves the stream on its server, where it ends in time.
	Finish Action = "finish"
	// Export copies the stream's KV cache to another server, which continues
	// the stream.
	Export Action = "export"
	// Prefill resumes the stream on another server, which processes the prompt
	// and the delivered tokens again.
	Prefill Action = "prefill"
)

// Stream is a stream in flight.
type Stream struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Server  identifier.VMID
	// Zone is the availability zone of Server. A plan avoids the zones of the
	// leaving servers while there is headroom elsewhere.
	Zone identifier.Zone
	// Remaining is the maximum number of tokens that the stream may still
	// generate, and TokensPerSecond is its current rate.
	Remaining       identifier.Tokens
	TokensPerSecond float64
	// PrefillPerSecond is the rate at which another server would process the
	// context again. Zero means unknown: the penalty then counts as avoided by
	// an export.
	PrefillPerSecond float64
	// Context is the number of tokens of the prompt and of the answer so far;
	// KVBytes is the size of its KV cache.
	Context identifier.Tokens
	KVBytes identifier.Bytes
	// Penalty is the cost of missing Target.
	Penalty  identifier.Money
	Target   timekeeper.Time
	Deadline timekeeper.Time
	Priority catalog.Priority
	// MovingTo is the server to which an earlier plan is exporting the stream,
	// and MovingUntil the expected end of the export. Both are zero if no
	// export is in progress.
	MovingTo    identifier.VMID
	MovingUntil timekeeper.Time
}

// Headroom is the unused capacity of one server. Exports in progress are not
// yet subtracted.
type Headroom struct {
	Server   identifier.VMID
	Zone     identifier.Zone
	Slots    int
	KVTokens identifier.Tokens
}

// Move is the planned move of one stream. An empty To with Prefill means that
// no server has headroom: the stream is then routed like a new request.
type Move struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Action  Action
	To      identifier.VMID
	Start   timekeeper.Time
}

// Rules switches individual rules of the plan on, so that the effect of each
// can be measured and tested.
type Rules struct {
	// FinishInPlace leaves streams that will end in time on their server.
	FinishInPlace bool
	// ExportKV moves KV caches; without it all streams resume by prefill.
	ExportKV bool
	// RankByValue orders exports by what they save per second of transfer;
	// without it they are ordered by request.
	RankByValue bool
	// AvoidZones prefers servers outside the zones of the leaving servers.
	AvoidZones bool
	// AvoidLeaving never moves a stream to a leaving server.
	AvoidLeaving bool
	// KeepRoom never assigns more streams to a server than its headroom allows.
	KeepRoom bool
	// KeepBandwidth starts no export that cannot end before the deadline.
	KeepBandwidth bool
	// PrefillLate lets streams that resume by prefill continue until shortly
	// before the deadline; without it they move at once.
	PrefillLate bool
	// TokenValue is the cost of recomputing one token.
	TokenValue identifier.Money
	// LinkShare is the fraction of each link's time that the plan may use; see
	// NodeShare. Zero means all of it.
	LinkShare float64
}

// DefaultTokenValue is slightly above a token's share of an engine's hourly
// price, so that among streams without a penalty at stake the one with the most
// tokens per byte is moved first.
const DefaultTokenValue identifier.Money = 2

// AllRules returns Rules with all rules on.
func AllRules() Rules {
	return Rules{
		FinishInPlace: true,
		ExportKV:      true,
		RankByValue:   true,
		AvoidZones:    true,
		AvoidLeaving:  true,
		KeepRoom:      true,
		KeepBandwidth: true,
		PrefillLate:   true,
		TokenValue:    DefaultTokenValue,
	}
}
