package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ExchangeSpec is what an opaque exchange asks for. The bytes stay with the
// connection that they came on.
type ExchangeSpec struct {
	Exchange identifier.ExchangeID
	// Request is the caller's own name of this attempt of its request.
	Request identifier.RequestID
	Host    string
	Path    string
	Key     string
	// Received is when the head of the request arrived.
	Received timekeeper.Time
	// Patience is how long the caller waits, or zero where it did not say.
	TimeLimit timekeeper.Duration
	// PromptTokens and MaxTokens are zero where the caller did not say.
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Prefix lists the parts of the prompt in order.
	Prefix []PromptPart
	// Resumes tells that the caller has a part of the answer already.
	Resumes bool
	// Content stands for host, path and body.
	Content identifier.ContentHash
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	Hash   identifier.PrefixHash
	Tokens identifier.Tokens
}

// Events of opaque exchanges.
type (
	// ExchangeReceived: a whole request arrived.
	ExchangeReceived struct{ Spec ExchangeSpec }
	// ExchangeBegan: the first byte of the answer, or the first event of a
	// stream, arrived from the current attempt.
	ExchangeBegan struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
	}
	// ExchangeAttemptEnded: an attempt ended without an answer that could be
	// given to the caller as it is.
	ExchangeAttemptEnded struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
		Result   AttemptResult
		// Streaming tells that a part of the answer went to the caller.
		Streaming bool
		// RetryAfter is the server's own wish, or zero.
		RetryAfter timekeeper.Duration
		// ServerEnded tells that nothing listens at the server's address any more.
		ServerEnded bool
	}
	// ExchangeEnded: nothing more follows for the caller.
	ExchangeEnded struct {
		Exchange identifier.ExchangeID
		// Result is how the last attempt ended; empty where the caller left.
		Result AttemptResult
		// ServerEnded tells that nothing listens at the server's address any more.
		ServerEnded bool
		// Events is how many events of a stream the last attempt brought, and
		// EventsTook the time between the first and the last of them.
		Events         int
		EventsDuration timekeeper.Duration
	}
)

// Basis is what the node knew when it decided on an exchange, for its log.
type DecisionInputs struct {
	// Route and Account are empty where the request named none that is known.
	Route   identifier.RouteName
	Account identifier.AccountID
	// Fingerprint is that of what was asked and by whom.
	Fingerprint identifier.Fingerprint
	// Limit tells who decided on the account's limit; empty where nobody did.
	Limit    LimitSource
	Revision identifier.Revision
	// RevisionAge is how long ago the node knew that no configuration is
	// newer, ServersAge how old its knowledge of the servers was; negative
	// where it never knew.
	RevisionAge timekeeper.Duration
	ServersAge  timekeeper.Duration
	// Candidates is how many servers could have had the request, and Predicted
	// when the chosen one's answer should begin.
	Candidates int
	Predicted  timekeeper.Duration
	// Version is that of the server that was chosen.
	Version identifier.Version
}

// LimitSource tells who decided on an account's limit.
type LimitSource string

// The sources of decisions on limits.
const (
	// LimitOwnPart: this node's own part had room.
	LimitOwnPart LimitSource = "own_part"
	// LimitCentral: this node grants centrally.
	LimitCentral LimitSource = "central"
	// LimitPeer: the node that grants centrally was asked.
	LimitPeer LimitSource = "peer"
	// LimitPeerSilent: it did not answer in time.
	LimitPeerTimedOut LimitSource = "peer_silent"
	// LimitNoPeer: no node is known to grant centrally.
	LimitNoPeer LimitSource = "no_peer"
)

// Effects of opaque exchanges. Each event above but ExchangeBegan and
// ExchangeEnded is followed by exactly one of them.
type (
	// RefuseExchange answers a request of which nothing ran.
	RefuseExchange struct {
		Exchange identifier.ExchangeID
		Refusal  Refusal
		Inputs   DecisionInputs
	}
	// SendExchange sends the request to a backend server.
	SendExchange struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
		Server   identifier.VMID
		Address  string
		Account  identifier.AccountID
		Route    *catalog.Route
		// Urgency goes to the server: zero goes first.
		Urgency  int
		Deadline timekeeper.Time
		// CopyFrom is the address of a server that probably keeps parts of the
		// prompt that the chosen one lacks, which copies them from there
		// instead of reading them; empty where none is known.
		CopyFrom string
		// Limited tells that the server is known to state a limit.
		Limited bool
		// FirstSilence and NextSilence bound the wait for the first event and
		// between events, where another server could go on; else they are
		// zero.
		FirstEventTimeout timekeeper.Duration
		NextEventTimeout  timekeeper.Duration
		Inputs            DecisionInputs
	}
	// EndExchange ends a request without a further attempt. Whether it ran is
	// not known, or it ran and failed.
	EndExchange struct {
		Exchange identifier.ExchangeID
		Reason   Reason
	}
)

// Asking the central node for a part of an account's limit.
type (
	// AskLimit asks the node that grants the limits of accounts centrally.
	RequestLimit struct {
		Exchange identifier.ExchangeID
		Peer     identifier.VMID
		Address  string
		Account  identifier.AccountID
		Tokens   identifier.Tokens
	}
	// LimitAnswered: the central node granted the request or refused it, or
	// with Unknown set could not be asked. With NotGranting set it answered that
	// it no longer grants.
	LimitAnswered struct {
		Exchange    identifier.ExchangeID
		Granted     bool
		Unknown     bool
		NotGranting bool
		RetryAfter  timekeeper.Duration
	}
	// LimitAsked: a peer asks this node for a part of an account's limit.
	LimitRequested struct {
		Ticket  identifier.Ticket
		Account identifier.AccountID
		Tokens  identifier.Tokens
	}
	// AnswerLimit answers a peer that asked.
	AnswerLimit struct {
		Ticket identifier.Ticket
		Answer LimitAnswered
	}
)

// ServerState tells whether a published backend server takes new work.
type ServerState string

// The states of published servers.
const (
	ServerReady   ServerState = "ready"
	ServerLeaving ServerState = "leaving"
	// ServerRemoved: the platform has taken the entry of the server away.
	ServerRemoved ServerState = "removed"
)

// PublishedServer is the entry of a backend server in the platform's store.
type PublishedServer struct {
	Server identifier.VMID
	// Offset is where the entry stands in the store: of two entries of one
	// server the one with the larger offset is the newer.
	Offset  identifier.Offset
	Service identifier.ServiceName
	Address string
	Zone    identifier.Zone
	Slots   int
	// Version is that of the server's software; empty where it does not say.
	Version identifier.Version
	State   ServerState
	// ColdFor is how much longer the server is slow after its start.
	ColdFor timekeeper.Duration
	// LeavesIn is the time that a leaving server has left, or zero where it
	// is not known.
	LeavesIn timekeeper.Duration
	Market   catalog.Market
}

// Share is what a node tells its peers beside the gossip of membership.
type StateUpdate struct {
	Incarnation identifier.Incarnation
	// Servers are entries that changed lately, or all for a peer that may know
	// none.
	Servers []PublishedServer
	// Whole tells that Servers are all entries, and Wants that the sender has not seen
	// all of them yet.
	AllServers         bool
	RequestsAllServers bool
	// ServersAge is how old the sender's knowledge of the entries is.
	ServersAge timekeeper.Duration
	// ConfigurationAge is how long ago the sender knew that no configuration
	// is newer than its own.
	ConfigurationAge timekeeper.Duration
	Revision         identifier.Revision
	// Scope tells whose requests InFlight and Demand are.
	Scope UpdateScope
	// Zone is the availability zone of a share over one.
	Zone identifier.Zone
	// InFlight is the requests at each server.
	InFlight map[identifier.VMID]InFlight
	Usage    []UsageCount
	// Demand is what callers ask of each service.
	Demand map[identifier.ServiceName]ServiceDemand
	// Kept is parts of prompts that servers have read lately.
	CachedPrefixes []CachedPrefix
	// Suspects are requests under which servers ended.
	Suspects []SuspectRequest
	// Limits are the servers that state a limit.
	Limits []ServerLimit
	// Rollouts are all that the sender knows, and Versions what it counted of
	// those that are not over.
	Rollouts []Rollout
	Versions []VersionCount
	// Holder is the node that holds the lease of the duties, as far as the
	// sender knows, with its fence; HolderAge is how long ago it said so. It is
	// empty where none is known.
	Leader    identifier.VMID
	Fence     identifier.Fence
	LeaderAge timekeeper.Duration
}

// ShareScope tells whose requests a share counts.
type UpdateScope string

// The scopes of shares.
const (
	// ShareOwn: the sender's.
	ScopeOwn UpdateScope = ""
	// ShareZone: those of all nodes of an availability zone.
	ScopeZone UpdateScope = "zone"
	// ShareOthers: those of all nodes but the receiver.
	ScopeOthers UpdateScope = "others"
)

// KeptPart is a part of a prompt that a server keeps.
type CachedPrefix struct {
	Server identifier.VMID
	Part   PromptPart
}

// InFlight is one node's requests at a server.
type InFlight struct {
	Running int
	// Prefill is the time that the server needs to read the prompts of those
	// whose answer has not begun.
	Prefill timekeeper.Duration
}

// ServiceDemand is what one node's callers ask of a service.
type ServiceDemand struct {
	// Running is the requests in flight.
	Running int
	// Busy is how many servers the callers' requests keep busy, those included
	// that were turned away for want of servers.
	OfferedLoad float64
}

// UsageCount is the requests of an account that began in a window at a node.
type UsageCount struct {
	Window  identifier.UsageWindow
	Account identifier.AccountID
	Count   int
}

// Events from the platform's store and cloud, and from peers.
type (
	// CatalogPublished: a configuration was read, from the store or a peer.
	CatalogPublished struct {
		Catalog *catalog.Catalog
		// Data is the configuration as the store has it, for peers.
		Data []byte
		// Direct tells that it came from the store.
		FromStore bool
		// Orders are orders of roll-outs that were read with it, none of which need
		// be new.
		Orders []RolloutOrder
	}
	// CatalogConfirmed: the store has no newer configuration than this node.
	CatalogConfirmed struct{}
	// ServersPublished: entries were read from the store, none of which need
	// be new.
	ServersPublished struct {
		Servers []PublishedServer
		// All tells that servers that are missing have no entry.
		All bool
	}
	// ShareReceived: a peer told what it knows.
	StateUpdateReceived struct {
		From   identifier.VMID
		Update StateUpdate
	}
	// ServersOrdered: an order for servers ended.
	ServersOrdered struct {
		Order  ServerOrder
		Result LeaderTaskResult
	}
	// UsageReported: a report of usage ended.
	UsageReported struct {
		Window identifier.UsageWindow
		Result LeaderTaskResult
	}
)

// DutyResult is what became of a call under a lease.
type LeaderTaskResult string

// The results of duty calls.
const (
	LeaderTaskDone LeaderTaskResult = "done"
	// DutyFenced: a later holder was there first.
	LeaderTaskFenced LeaderTaskResult = "fenced"
	// DutyRefused: the call was understood and can't be met now.
	LeaderTaskRefused LeaderTaskResult = "refused"
	// DutyUnknown: it may have been carried out, or may be yet.
	LeaderTaskUnknown LeaderTaskResult = "unknown"
)

// ServerOrder asks for a number of servers, whatever there are.
type ServerOrder struct {
	Service identifier.ServiceName
	Zone    identifier.Zone
	Market  catalog.Market
	Count   int
}

// Effects towards the platform's cloud, and peers.
type (
	// OrderServers gives an order under a lease.
	OrderServers struct {
		Order    ServerOrder
		Fence    identifier.Fence
		NotAfter timekeeper.Time
	}
	// ReportUsage reports a window's requests by account under a lease.
	ReportUsage struct {
		Window   identifier.UsageWindow
		Counts   map[identifier.AccountID]int
		Fence    identifier.Fence
		NotAfter timekeeper.Time
	}
	// SendShare tells a peer what this node knows.
	SendStateUpdate struct {
		Peer    identifier.VMID
		Address string
		Update  StateUpdate
	}
)

func (ExchangeReceived) eventBody()     {}
func (ExchangeBegan) eventBody()        {}
func (ExchangeAttemptEnded) eventBody() {}
func (ExchangeEnded) eventBody()        {}
func (CatalogPublished) eventBody()     {}
func (CatalogConfirmed) eventBody()     {}
func (ServersPublished) eventBody()     {}
func (StateUpdateReceived) eventBody()  {}
func (ServersOrdered) eventBody()       {}
func (UsageReported) eventBody()        {}
func (LimitAnswered) eventBody()        {}
func (LimitRequested) eventBody()       {}

func (RefuseExchange) effect()  {}
func (SendExchange) effect()    {}
func (EndExchange) effect()     {}
func (OrderServers) effect()    {}
func (ReportUsage) effect()     {}
func (SendStateUpdate) effect() {}
func (RequestLimit) effect()    {}
func (AnswerLimit) effect()     {}
