package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// NamedLimit is the request rate that a backend server accepts from all nodes
// together, as one of its answers states it. A server states it in each answer for as
// long as it holds.
type StatedLimit struct {
	// Named is false where the answer states no limit.
	Stated bool
	Rate   identifier.RequestRate
}

// ServerLimitHeard: an answer of a backend server arrived that states a limit, or that
// states none although the node knew of one when it sent the request.
type ServerLimitReceived struct {
	Server identifier.VMID
	// Sent is when the request was sent that the answer is to.
	Sent  timekeeper.Time
	Limit StatedLimit
}

// ServerLimit is what a node knows of a server that states a limit, or did lately.
type ServerLimit struct {
	Server identifier.VMID
	// Limited is false where the limit was lifted.
	Limited bool
	Rate    identifier.RequestRate
	// Age is how long ago that was stated.
	Age timekeeper.Duration
}

// Permits to send requests to servers that state a limit.
type (
	// AskPermit asks the node that grants permits for one to one of some servers, the
	// most suitable first.
	RequestPermit struct {
		Exchange identifier.ExchangeID
		Peer     identifier.VMID
		Address  string
		Limits   []ServerLimit
	}
	// PermitAnswered: the request may go to Server or, where that is empty, to none of
	// those asked for before RetryAfter. With Unknown set nobody answered, with
	// NotGranting the node answered that it grants no permits.
	PermitAnswered struct {
		Exchange    identifier.ExchangeID
		Server      identifier.VMID
		RetryAfter  timekeeper.Duration
		Unknown     bool
		NotGranting bool
	}
	// PermitAsked: a peer asks this node for a permit.
	PermitRequested struct {
		Ticket identifier.Ticket
		Limits []ServerLimit
	}
	// AnswerPermit answers a peer that asked.
	AnswerPermit struct {
		Ticket identifier.Ticket
		Answer PermitAnswered
	}
)

func (ServerLimitReceived) eventBody() {}
func (PermitAnswered) eventBody()      {}
func (PermitRequested) eventBody()     {}

func (RequestPermit) effect() {}
func (AnswerPermit) effect()  {}
