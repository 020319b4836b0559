package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Effects towards callers.
type (
	// Refuse immediately sends the caller the final answer of a request that
	// was not accepted.
	Refuse struct {
		Request identifier.RequestID
		Refusal Refusal
	}
	// Accept informs the caller that the request was accepted. From then on
	// the system owes the caller the complete answer.
	Accept struct{ Request identifier.RequestID }
	// Finish ends an accepted request. If Outcome is Done, the runner sends
	// the caller the rest of the answer; otherwise it sends Reason as the
	// last event.
	Finish struct {
		Request    identifier.RequestID
		Outcome    Outcome
		Reason     Reason
		RetryAfter timekeeper.Duration
	}
	// AnswerFrom makes the runner answer the caller of a request that lost
	// its claim with the winner's answer: the recorded one, or else the one
	// fetched from the winner's node. If neither is available, the outcome is
	// Unknown.
	AnswerFrom struct {
		Request identifier.RequestID
		Winner  identifier.VMID
		// Recorded is the winner's outcome in the log, or nil.
		Recorded *RecordedOutcome
	}
	// Redirect sends the callers of a request to the node that now owns it.
	Redirect struct {
		Request identifier.RequestID
		To      identifier.VMID
	}
)

// RecordedOutcome is the logged end of a claimed request.
type RecordedOutcome struct {
	Outcome Outcome
	Status  int
	Body    []byte
	// BodyOmitted reports whether the answer was too large to be stored.
	BodyOmitted bool
}

// Effects towards backend servers.
type (
	// SendAttempt starts an attempt.
	SendAttempt struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		Server  identifier.VMID
		Address string
		Mode    StartMode
		// Stream is the name of the engine's stream. With StartResume it is
		// the stream of an earlier attempt.
		Stream identifier.StreamName
		// From is the number of tokens that this node already has.
		From     identifier.Tokens
		Priority catalog.Priority
		Deadline timekeeper.Time
		// FirstEventTimeout and NextEventTimeout limit the time until the
		// first byte and between bytes. When one expires, the runner reports
		// AttemptTimedOut.
		FirstEventTimeout timekeeper.Duration
		NextEventTimeout  timekeeper.Duration
	}
	// StopAttempt detaches this node from an attempt. With Cancel the server
	// is also asked to drop the stream; otherwise the stream continues, so
	// that another node can resume it.
	StopAttempt struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		Server  identifier.VMID
		Address string
		Stream  identifier.StreamName
		Cancel  bool
	}
	// MoveKV copies the KV cache of a stream to another server.
	MoveKV struct {
		Request     identifier.RequestID
		Attempt     identifier.AttemptNumber
		Stream      identifier.StreamName
		FromAddress string
		To          identifier.VMID
		ToAddress   string
	}
	// PollServer asks a backend server for its load and cache events.
	PollServer struct {
		Server  identifier.VMID
		Address string
		Kind    catalog.ServiceKind
	}
	// GiveOrder sends an engine an order under a lease.
	GiveOrder struct {
		Ticket  identifier.Ticket
		Server  identifier.VMID
		Address string
		Order   Order
		// NotAfter is the time at which the lease stops covering the order.
		// The runner checks its clock immediately before it sends the order.
		NotAfter timekeeper.Time
	}
)

// Effects towards peers.
type (
	// Hold stores a copy of a long request and its body at a peer, and then
	// forwards the answer to it: tokens are released to the caller only after
	// the holder has them. Each push names the attempt, server and stream of
	// the last SendAttempt. After HoldFailed nothing more is released until
	// the next Hold or Unhold.
	Hold struct {
		Request identifier.RequestID
		Epoch   identifier.Epoch
		Holder  identifier.VMID
		Address string
	}
	// Unhold ends delivery through a holder, which drops its copy. With an
	// empty Holder it only releases the answer without protection by a copy.
	Unhold struct {
		Request identifier.RequestID
		Holder  identifier.VMID
		Address string
	}
	// HandOver transfers a request in flight to a successor. From then on
	// nothing more is sent to callers until HandoverFailed arrives with
	// NotTaken, or the answer ends at this node.
	HandOver struct {
		Request   identifier.RequestID
		Epoch     identifier.Epoch
		Successor identifier.VMID
		Address   string
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		// Stream is the engine's stream, which the successor may resume.
		Stream identifier.StreamName
	}
	// ConfirmHandover answers the peer that handed the request over: the
	// request is now safe here, even if this node dies.
	ConfirmHandover struct{ Request identifier.RequestID }
	// Adopt makes this node the owner of a request whose copy it holds.
	Adopt struct {
		Request identifier.RequestID
		Epoch   identifier.Epoch
	}
	// Forget drops the runner's state of a request or of its copy.
	Forget struct{ Request identifier.RequestID }
	// SendGossip sends a peer a gossip message of this node.
	SendGossip struct {
		Peer    identifier.VMID
		Address string
		Data    []byte
	}
)

// Effects towards the platform and operators.
type (
	// AppendRecord appends a record to a stream of the log.
	AppendRecord struct {
		Ticket identifier.Ticket
		Stream identifier.LogStream
		Data   []byte
	}
	// AppendOutcome appends the outcome of a claimed request. The runner adds
	// the answer if it is small enough.
	AppendOutcome struct {
		Request identifier.RequestID
		Account identifier.AccountID
		Key     identifier.IdempotencyKey
		Nonce   identifier.Nonce
		Stream  identifier.LogStream
		Outcome Outcome
	}
	// BuyVM buys a VM. The client token identifies the slot and its
	// generation, which makes a repeated purchase idempotent.
	BuyVM struct {
		Ticket      identifier.Ticket
		ClientToken string
		Class       identifier.VMClass
		Zone        identifier.Zone
		Market      catalog.Market
		Pool        identifier.PoolName
		NotAfter    timekeeper.Time
	}
	// ReleaseVM returns a VM to the cloud provider.
	ReleaseVM struct {
		VM       identifier.VMID
		NotAfter timekeeper.Time
	}
	// ReplyOperator sends an operator the verdict on a proposed change.
	ReplyOperator struct {
		Ticket  identifier.Ticket
		Verdict ChangeVerdict
	}
	// FetchConfiguration requests a peer's configuration state while the log
	// is unavailable.
	FetchConfiguration struct {
		Peer    identifier.VMID
		Address string
	}
	// TimelineEntry records an entry on the timeline.
	TimelineEntry struct {
		Kind    TimelineKind
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		VM      identifier.VMID
		Detail  string
	}
	// Exit ends the process: nothing is left that a planned stop has to wait
	// for.
	Exit struct{}
)

// ChangeVerdict is the result of a proposed configuration change.
type ChangeVerdict struct {
	Accepted bool
	Revision identifier.Revision
	// Unknown reports that the log could not settle the change in time. The
	// operator has to read the history later.
	Unknown bool
	// Faults are the reasons for a rejection.
	Faults []string
}

// TimelineKind is a kind of timeline entry.
type TimelineKind string

func (Refuse) effect()             {}
func (Accept) effect()             {}
func (Finish) effect()             {}
func (AnswerFrom) effect()         {}
func (Redirect) effect()           {}
func (SendAttempt) effect()        {}
func (StopAttempt) effect()        {}
func (MoveKV) effect()             {}
func (PollServer) effect()         {}
func (GiveOrder) effect()          {}
func (Hold) effect()               {}
func (Unhold) effect()             {}
func (HandOver) effect()           {}
func (ConfirmHandover) effect()    {}
func (Adopt) effect()              {}
func (Forget) effect()             {}
func (SendGossip) effect()         {}
func (AppendRecord) effect()       {}
func (AppendOutcome) effect()      {}
func (BuyVM) effect()              {}
func (ReleaseVM) effect()          {}
func (ReplyOperator) effect()      {}
func (FetchConfiguration) effect() {}
func (TimelineEntry) effect()      {}
func (Exit) effect()               {}
