package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// StatedLimit is the request rate that a backend server accepts from all
// nodes together. While the limit holds, the server states it in each answer.
type StatedLimit struct {
	// Stated is false if the answer states no limit.
	Stated bool
	Rate   identifier.RequestRate
}

// ServerLimitReceived reports that an answer of a backend server states a
// limit, or states none although the node knew of one when it sent the
// request.
type ServerLimitReceived struct {
	Server identifier.VMID
	// Sent is the time at which the answered request was sent.
	Sent  timekeeper.Time
	Limit StatedLimit
}

// ServerLeavingReceived reports that an answer of a backend server states that
// the server is leaving.
type ServerLeavingReceived struct {
	Server identifier.VMID
	// Sent is the time at which the answered request was sent.
	Sent timekeeper.Time
}

// StatedBrittle is what an answer states of a brittle server. All servers of a service state
// it at the same time.
type StatedBrittle struct {
	Stated bool
	// Rejections is the number of requests that the server can reject in a second.
	Rejections int
	// Malformed reports a statement that can't be read; it binds nobody.
	Malformed bool
}

// ServerBrittleReceived reports that an answer of a backend server states that the server is
// brittle, or does not although its service was known to be.
type ServerBrittleReceived struct {
	Server identifier.VMID
	// Sent is the time at which the answered request was sent.
	Sent    timekeeper.Time
	Brittle StatedBrittle
}

// ServerLimit is a node's knowledge of a server that states a limit, or
// recently did.
type ServerLimit struct {
	Server identifier.VMID
	// Limited is false if the limit was lifted.
	Limited bool
	Rate    identifier.RequestRate
	// Age is the time since the server stated this.
	Age timekeeper.Duration
}

// Permits to send requests to servers that state a limit.
type (
	// RequestPermit asks the node that grants permits for a permit to send to
	// one of several servers, the most suitable first.
	RequestPermit struct {
		Exchange identifier.ExchangeID
		Peer     identifier.VMID
		Address  string
		Limits   []ServerLimit
	}
	// PermitAnswered reports that the request may be sent to Server or, if
	// Server is empty, to none of the requested servers before RetryAfter has
	// passed. Unknown is set if no node answered, NotGranting if the node
	// answered that it does not grant permits.
	PermitAnswered struct {
		Exchange    identifier.ExchangeID
		Server      identifier.VMID
		RetryAfter  timekeeper.Duration
		Unknown     bool
		NotGranting bool
	}
	// PermitRequested reports that a peer asks this node for a permit.
	PermitRequested struct {
		Ticket identifier.Ticket
		Limits []ServerLimit
	}
	// AnswerPermit answers a PermitRequested event.
	AnswerPermit struct {
		Ticket identifier.Ticket
		Answer PermitAnswered
	}
)

func (ServerLimitReceived) eventBody()   {}
func (ServerLeavingReceived) eventBody() {}
func (ServerBrittleReceived) eventBody() {}
func (PermitAnswered) eventBody()        {}
func (PermitRequested) eventBody()       {}

func (RequestPermit) effect() {}
func (AnswerPermit) effect()  {}
