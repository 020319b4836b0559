// Package planner makes one plan for a whole wave of reclaims: what becomes of
// every stream on the backend servers that leave.
//
// A stream that ends before its server goes stays where it is. For the others
// each leaving server has a few seconds of bandwidth, which PlanWave spends on
// KV cache exports in the order of what they save (the penalty at stake and
// the tokens that need no recomputing) per second of transfer. What does not
// fit runs on until the last moment and is then resumed elsewhere by prefill.
//
// A plan is a pure function of its inputs. A second notice in the middle of a
// wave is a second call: transfers under way are in the streams, and servers
// that were refused as replacements are simply not among the rooms.
package planner

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Action is what becomes of a stream.
type Action string

// The actions.
const (
	// Finish leaves the stream where it is: it ends in time.
	Finish Action = "finish"
	// Export copies the stream's KV cache to another server, which goes on
	// from there.
	Export Action = "export"
	// Prefill resumes the stream on another server, which reads the prompt
	// and the tokens delivered so far again.
	Prefill Action = "prefill"
)

// Stream is one stream in flight.
type Stream struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Server  identifier.VMID
	// Zone is the availability zone of Server. A plan avoids the zones of
	// the leaving servers as long as there is room elsewhere.
	Zone identifier.Zone
	// Remaining is the maximum number of tokens that the stream may still
	// generate, and TokensPerSecond is its current rate.
	Remaining       identifier.Tokens
	TokensPerSecond float64
	// PrefillPerSecond is the pace at which another server would read the
	// context again. Zero means unknown: the penalty counts as at stake.
	PrefillPerSecond float64
	// Context is the number of tokens of the prompt and of the answer so far;
	// KVBytes is the size of its KV cache.
	Context identifier.Tokens
	KVBytes identifier.Bytes
	// Penalty is what a miss of Target costs.
	Penalty  identifier.Money
	Target   timekeeper.Time
	Deadline timekeeper.Time
	Priority catalog.Priority
	// MovingTo is the server to which an earlier plan is exporting the
	// stream at this instant, and MovingUntil the expected end. Both are
	// zero for a stream that is not being moved.
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

// Move is the part of a plan for one stream. An empty To with Prefill means
// that no server has room: the stream is then routed like any other request.
type Move struct {
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
	Action  Action
	To      identifier.VMID
	Start   timekeeper.Time
}

// Rules switches single rules of the plan, so that a measurement can show
// what each is worth and a test that it is needed.
type Rules struct {
	// FinishInPlace leaves streams that end in time where they are.
	FinishInPlace bool
	// ExportKV moves KV caches; without it all streams resume by prefill.
	ExportKV bool
	// RankByValue orders exports by what they save per second of transfer;
	// without it they go in the order of their names.
	RankByValue bool
	// AvoidZones prefers servers outside the zones of the leaving servers.
	AvoidZones bool
	// AvoidLeaving never moves a stream to a leaving server.
	AvoidLeaving bool
	// KeepRoom never gives a server more than it has room for.
	KeepRoom bool
	// KeepBandwidth starts no export that cannot end before the deadline.
	KeepBandwidth bool
	// PrefillLate lets streams that resume by prefill run on until the last
	// moment; without it they move at once.
	PrefillLate bool
	// TokenValue is what one recomputed token costs.
	TokenValue identifier.Money
	// LinkShare is the part of each link's time that the plan may use; see
	// NodeShare. Zero means all of it.
	LinkShare float64
}

// DefaultTokenValue prices a recomputed token at a little more than its share
// of an engine's hour, so that among streams with no penalty at stake the one
// with the most tokens per byte is moved first.
const DefaultTokenValue identifier.Money = 2

// AllRules returns the rules with all of them on.
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
