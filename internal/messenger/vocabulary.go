package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// RequestSpec is what a request asks for. It never changes after the request
// was received and travels with it from node to node.
type RequestSpec struct {
	Request identifier.RequestID
	Account identifier.AccountID
	Service identifier.ServiceName
	// Key is empty where the caller gave none.
	Key        identifier.IdempotencyKey
	Idempotent bool
	Long       bool
	// Home is the node that accepted the request from its caller.
	EntryNode identifier.VMID
	Received  timekeeper.Time
	// Deadline is absolute, by the clock of the node that holds the spec; it
	// travels as remaining time.
	Deadline     timekeeper.Time
	BodySize     identifier.Bytes
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Prefix names the prompt's leading blocks, shortest first.
	Prefix []identifier.PrefixHash
	// Content stands for service and body.
	Content identifier.ContentHash
}

// Outcome is what a caller is told of the end of a request.
type Outcome string

// The outcomes.
const (
	// Done means that the answer is whole.
	Done Outcome = "done"
	// NotRun means that nothing ran and nothing may start it any more.
	NotRun Outcome = "not_run"
	// Unknown means that it may have run.
	Unknown Outcome = "unknown"
	// Failed means that it ran, and the backend server said that it failed.
	Failed Outcome = "failed"
	// Cancelled means that the caller gave it up.
	Cancelled Outcome = "cancelled"
)

// Reason tells why a request was refused or ended without its answer.
type Reason string

// The reasons.
const (
	ReasonNone              Reason = ""
	ReasonUnknownService    Reason = "unknown_service"
	ReasonAccountLimit      Reason = "account_limit"
	ReasonOverload          Reason = "overload"
	ReasonDeadline          Reason = "deadline"
	ReasonDeadlineExpired   Reason = "deadline_expired"
	ReasonNoServer          Reason = "no_server"
	ReasonLeaving           Reason = "node_leaving"
	ReasonLogUnavailable    Reason = "log_unavailable"
	ReasonDuplicate         Reason = "duplicate_key"
	ReasonServerFailed      Reason = "server_failed"
	ReasonRetriesExhausted  Reason = "retries_spent"
	ReasonCancelled         Reason = "cancelled"
	ReasonUnprotected       Reason = "no_off_node_record"
	ReasonNoConfiguration   Reason = "no_configuration"
	ReasonServerRefusedWork Reason = "server_refused"
	// ReasonUnknownRoute: no route has the host and path.
	ReasonUnknownRoute Reason = "unknown_route"
	// ReasonUnknownKey: no account holds the key.
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonServersEnded: backend servers ended, one after another, under the same
	// request.
	ReasonServersEnded Reason = "servers_ended"
)

// Refusal is the final answer of a request that ends without its answer.
type Refusal struct {
	Reason  Reason
	Outcome Outcome
	// RetryAfter tells when coming back makes sense; zero means it does not.
	RetryAfter timekeeper.Duration
}

// AttemptResult tells how an attempt ended, in the terms that decide whether
// it may be repeated.
type AttemptResult string

// The results of attempts.
const (
	// AttemptComplete: the whole answer arrived.
	AttemptComplete AttemptResult = "complete"
	// AttemptNotSent: no byte left for the server.
	AttemptNotSent AttemptResult = "not_sent"
	// AttemptRefused: the server said that it did not run it.
	AttemptRefused AttemptResult = "refused"
	// AttemptMisdirected: another server has the address, and nothing ran.
	AttemptMisdirected AttemptResult = "misdirected"
	// AttemptBroken: the connection ended early; it may have run.
	AttemptBroken AttemptResult = "broken"
	// AttemptSilent: nothing arrived for longer than the stream's own pace
	// allows; it may have run.
	AttemptTimedOut AttemptResult = "silent"
	// AttemptFailed: the server ran it and said that it failed.
	AttemptFailed AttemptResult = "failed"
)

// StartMode tells how an attempt begins.
type StartMode string

// The start modes.
const (
	// StartFresh runs the request from its beginning.
	StartFresh StartMode = "fresh"
	// StartResume joins the stream of the given name that the server still
	// runs.
	StartResume StartMode = "resume"
	// StartImported continues from KV cache that was moved to the server.
	StartImported StartMode = "imported"
	// StartPrefill sends the prompt and the tokens delivered so far.
	StartPrefill StartMode = "prefill"
)

// ServerLoad is one load report of a backend server. Reports lag: AsOf is the
// instant the server measured, by this node's clock.
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

// VMState is a VM as the platform's list shows it. The list lags.
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
	// Appended is the log's own time of the append.
	Appended timekeeper.Time
	Data     []byte
}

// OrderKind is a kind of order to an engine. Orders are absolute: they name
// the state wanted, so that repeating one does no harm.
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
