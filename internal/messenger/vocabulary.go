package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// RequestSpec describes a request. It never changes after the request was
// received, and moves with it from node to node.
type RequestSpec struct {
	Request identifier.RequestID
	Account identifier.AccountID
	Service identifier.ServiceName
	// Key is empty if the caller gave none.
	Key        identifier.IdempotencyKey
	Idempotent bool
	Long       bool
	// EntryNode is the node that accepted the request from its caller.
	EntryNode identifier.VMID
	Received  timekeeper.Time
	// Deadline is an instant of the clock of the node that holds the spec. It
	// is transferred as the remaining time.
	Deadline     timekeeper.Time
	BodySize     identifier.Bytes
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Prefix holds the hashes of the prompt's leading blocks, shortest first.
	Prefix []identifier.PrefixHash
	// Content is a hash of service and body.
	Content identifier.ContentHash
}

// Outcome is the end of a request as reported to its caller.
type Outcome string

// The outcomes.
const (
	// Done means that the answer is complete.
	Done Outcome = "done"
	// NotRun means that nothing was executed, and nothing will be.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
	// Failed means that the request was executed, and that the backend server
	// reported its failure.
	Failed Outcome = "failed"
	// Cancelled means that the caller cancelled the request.
	Cancelled Outcome = "cancelled"
)

// Reason states why a request was refused or ended without its answer.
type Reason string

// The reasons.
const (
	ReasonNone            Reason = ""
	ReasonUnknownService  Reason = "unknown_service"
	ReasonAccountLimit    Reason = "account_limit"
	ReasonOverload        Reason = "overload"
	ReasonDeadline        Reason = "deadline"
	ReasonDeadlineExpired Reason = "deadline_expired"
	ReasonNoServer        Reason = "no_server"
	// ReasonNoRoom: the service's servers are brittle, and none is known to have a free slot.
	ReasonNoRoom Reason = "no_room"
	// ReasonNoRoomInTime: each of the service's servers is predicted to begin the answer
	// after the caller gave up. ReasonStandingQueue: they would begin it late, since their
	// queues do not drain.
	ReasonNoRoomInTime  Reason = "no_room_in_time"
	ReasonStandingQueue Reason = "standing_queue"
	// ReasonMoreUrgent: more urgent requests for the service are being refused.
	ReasonMoreUrgent Reason = "more_urgent_refused"
	// ReasonOverShare: the service is short of capacity, its account asks for more than its
	// share, and the request could not be answered in time.
	ReasonOverShare Reason = "over_share"
	// ReasonNoPath: the node reaches no backend server, neither directly nor through a
	// peer.
	ReasonNoPath Reason = "no_path"
	// ReasonUnknownStream: no node knows at which version the resumed stream began.
	ReasonUnknownStream     Reason = "unknown_stream"
	ReasonLeaving           Reason = "node_leaving"
	ReasonLogUnavailable    Reason = "log_unavailable"
	ReasonDuplicate         Reason = "duplicate_key"
	ReasonServerFailed      Reason = "server_failed"
	ReasonRetriesExhausted  Reason = "retries_spent"
	ReasonCancelled         Reason = "cancelled"
	ReasonUnprotected       Reason = "no_off_node_record"
	ReasonNoConfiguration   Reason = "no_configuration"
	ReasonServerRefusedWork Reason = "server_refused"
	// ReasonUnknownRoute: no route matches the host and path.
	ReasonUnknownRoute Reason = "unknown_route"
	// ReasonUnknownKey: no account has the key.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonServersEnded: several backend servers ended while they processed
	// the request.
	ReasonServersEnded Reason = "servers_ended"
)

// Refusal is the final answer of a request that ends without its answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter is the delay after which a retry may succeed; zero means
	// that the caller should not retry.
	RetryAfter timekeeper.Duration
}

// AttemptResult is the result of an attempt, as it decides whether the
// attempt may be repeated.
type AttemptResult string

// The results of attempts.
const (
	// AttemptComplete: the complete answer arrived.
	AttemptComplete AttemptResult = "complete"
	// AttemptNotSent: no byte was sent to the server.
	AttemptNotSent AttemptResult = "not_sent"
	// AttemptRefused: the server reported that it did not run the request.
	AttemptRefused AttemptResult = "refused"
	// AttemptMisdirected: another server has the address, and nothing was
	// executed.
	AttemptMisdirected AttemptResult = "misdirected"
	// AttemptBroken: the connection ended early; the request may have been
	// executed.
	AttemptBroken AttemptResult = "broken"
	// AttemptTimedOut: the first event or the next one did not arrive within
	// its timeout; the request may have been executed.
	AttemptTimedOut AttemptResult = "silent"
	// AttemptFailed: the server ran the request and reported a failure.
	AttemptFailed AttemptResult = "failed"
)

// StartMode is the way in which an attempt begins.
type StartMode string

// The start modes.
const (
	// StartFresh runs the request from its beginning.
	StartFresh StartMode = "fresh"
	// StartResume attaches to the named stream, which the server still runs.
	StartResume StartMode = "resume"
	// StartImported continues from KV cache that was transferred to the
	// server.
	StartImported StartMode = "imported"
	// StartPrefill sends the prompt and the tokens delivered so far.
	StartPrefill StartMode = "prefill"
)

// ServerLoad is one load report of a backend server. Reports lag: AsOf is the
// instant of the measurement, by this node's clock.
type ServerLoad struct {
	AsOf            timekeeper.Time
	Running         int
	Waiting         int
	Slots           int
	FreeKVTokens    identifier.Tokens
	TokensPerSecond float64
	Model           identifier.ModelName
	// Fence is the largest fencing number the server has accepted.
	Fence identifier.Fence
}

// VMState is a VM as it appears in the platform's list. The list lags.
type VMState struct {
	VM      identifier.VMID
	Zone    identifier.Zone
	Class   identifier.VMClass
	Market  catalog.Market
	Pool    identifier.PoolName // empty for entry VMs
	Address string              // host:port of the server, or of the node's peer port
	Leaving bool
}

// Record is one record of the platform's log.
type Record struct {
	Offset identifier.Offset
	// Appended is the log's own timestamp of the append.
	Appended timekeeper.Time
	Data     []byte
}

// OrderKind is a kind of order to an engine. Orders are idempotent: they
// state the wanted end state.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel OrderKind = "load_model"
	OrderSetRole   OrderKind = "set_role"
)

// Order is an order to an engine, given under a lease.
type Order struct {
	Kind  OrderKind
	Model identifier.ModelName
	Role  string
	Fence identifier.Fence
}
