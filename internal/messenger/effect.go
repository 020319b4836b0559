package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Effects towards callers.
type (
	// Refuse gives the caller the final answer of a request that was not
	// accepted, at once.
	Refuse struct {
		Request identifier.RequestID
		Refusal Refusal
	}
	// Accept tells the caller that the request was accepted; from here on the
	// system owes the whole answer.
	Accept struct{ Request identifier.RequestID }
	// Finish ends an accepted request. With Outcome Done the runner gives the
	// caller the rest of the answer; else Reason goes out as the last event.
	Finish struct {
		Request    identifier.RequestID
		Outcome    Outcome
		Reason     Reason
		RetryAfter timekeeper.Duration
	}
	// AnswerFrom tells the runner to answer the caller of a request that lost
	// its claim from the winner: its recorded answer, or else by asking the
	// winner's node; where neither is to be had, the outcome is Unknown.
	AnswerFrom struct {
		Request identifier.RequestID
		Winner  identifier.VMID
		// Recorded is the winner's outcome from the log, or nil.
		Recorded *RecordedOutcome
	}
	// Redirect tells the callers of a request that another node has it now.
	Redirect struct {
		Request identifier.RequestID
		To      identifier.VMID
	}
)

// RecordedOutcome is the end of a claimed request as the log keeps it.
type RecordedOutcome struct {
	Outcome Outcome
	Status  int
	Body    []byte
	// BodyOmitted tells that the answer was too large to be kept.
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
		// Stream names the engine's stream. With StartResume it is the stream
		// of an earlier attempt.
		Stream identifier.StreamName
		// From is the number of tokens that already stand with this node.
		From     identifier.Tokens
		Priority catalog.Priority
		Deadline timekeeper.Time
		// FirstSilence and NextSilence bound the wait for the first byte and
		// between bytes; past them the runner reports AttemptSilent.
		FirstEventTimeout timekeeper.Duration
		NextEventTimeout  timekeeper.Duration
	}
	// StopAttempt ends this node's part in an attempt. With Cancel the server
	// is told to drop the stream too; without, the stream lives on for
	// another node to resume.
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
	// GiveOrder gives an engine an order under a lease.
	GiveOrder struct {
		Ticket  identifier.Ticket
		Server  identifier.VMID
		Address string
		Order   Order
		// NotAfter is the instant past which the lease no longer covers the
		// order: the runner checks its clock right before the order leaves.
		NotAfter timekeeper.Time
	}
)

// Effects towards peers.
type (
	// Hold gives a peer a copy of a long request, its body included, and from
	// then on its answer: tokens go to the caller only once the holder has
	// them. Each push names the attempt, server and stream of the last
	// SendAttempt. After HoldFailed nothing more is released until the next
	// Hold or Unhold.
	Hold struct {
		Request identifier.RequestID
		Epoch   identifier.Epoch
		Holder  identifier.VMID
		Address string
	}
	// Unhold ends delivery through a holder, which drops its copy. Without a
	// Holder it only lets the answer go out unprotected.
	Unhold struct {
		Request identifier.RequestID
		Holder  identifier.VMID
		Address string
	}
	// HandOver gives a request in flight to a successor. From here on nothing
	// more goes to callers until HandoverFailed says NotTaken, or the answer
	// ends here.
	HandOver struct {
		Request   identifier.RequestID
		Epoch     identifier.Epoch
		Successor identifier.VMID
		Address   string
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		// Stream is the engine's stream that the successor may resume.
		Stream identifier.StreamName
	}
	// ConfirmHandover answers the peer that handed the request over: it is
	// safe here now, also against the death of this node.
	ConfirmHandover struct{ Request identifier.RequestID }
	// Adopt makes this node the owner of a request whose copy it holds.
	Adopt struct {
		Request identifier.RequestID
		Epoch   identifier.Epoch
	}
	// Forget drops what the runner keeps of a request or of its copy.
	Forget struct{ Request identifier.RequestID }
	// SendGossip sends a peer this node's news.
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
	// AppendOutcome appends the outcome of a claimed request; the runner adds
	// the answer where it is small enough.
	AppendOutcome struct {
		Request identifier.RequestID
		Account identifier.AccountID
		Key     identifier.IdempotencyKey
		Nonce   identifier.Nonce
		Stream  identifier.LogStream
		Outcome Outcome
	}
	// BuyVM buys a VM. The client token names the slot and its generation, so
	// that a repeated purchase is the same purchase.
	BuyVM struct {
		Ticket      identifier.Ticket
		ClientToken string
		Class       identifier.VMClass
		Zone        identifier.Zone
		Market      catalog.Market
		Pool        identifier.PoolName
		NotAfter    timekeeper.Time
	}
	// ReleaseVM gives a VM back.
	ReleaseVM struct {
		VM       identifier.VMID
		NotAfter timekeeper.Time
	}
	// ReplyOperator tells an operator what became of a proposed change.
	ReplyOperator struct {
		Ticket  identifier.Ticket
		Verdict ChangeVerdict
	}
	// FetchConfiguration asks a peer for its state of the configuration,
	// while the log is out.
	FetchConfiguration struct {
		Peer    identifier.VMID
		Address string
	}
	// Note puts an event on the time line.
	TimelineEntry struct {
		Kind    TimelineKind
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		VM      identifier.VMID
		Detail  string
	}
	// Exit tells the runner that a planned stop has nothing left to wait for.
	Exit struct{}
)

// ChangeVerdict is what became of a proposed change of the configuration.
type ChangeVerdict struct {
	Accepted bool
	Revision identifier.Revision
	// Unknown tells that the log could not settle it in time: the operator
	// reads the history later.
	Unknown bool
	// Faults tell why it was rejected.
	Faults []string
}

// NoteKind is a kind of event on the time line.
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
