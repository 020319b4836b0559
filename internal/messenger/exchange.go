package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ExchangeSpec describes the request of an opaque exchange. The bytes stay
// with the connection on which they arrived.
type ExchangeSpec struct {
	Exchange identifier.ExchangeID
	// Request is the id that the caller gave this attempt of its request.
	Request identifier.RequestID
	Host    string
	Path    string
	Key     string
	// Received is when the head of the request arrived.
	Received timekeeper.Time
	// TimeLimit is the time the caller waits, or zero if it did not state
	// one.
	TimeLimit timekeeper.Duration
	// PromptTokens and MaxTokens are zero if the caller did not state them.
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// Prefix lists the parts of the prompt in order.
	Prefix []PromptPart
	// Resumes reports whether the caller already has a part of the answer.
	Resumes bool
	// ResumedRequest is the id of the caller's request that brought the first event of the
	// stream that this one resumes, or empty if the caller states none.
	ResumedRequest identifier.RequestID
	// Content is a hash of host, path and body.
	Content identifier.ContentHash
	// LengthHint is the caller's estimate of the number of output tokens, or zero.
	LengthHint identifier.Tokens
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	Hash   identifier.PrefixHash
	Tokens identifier.Tokens
}

// SharedParts returns the parts of a prompt that other requests may share: all but the last,
// which belongs to the request or to its session.
func SharedParts(prefix []PromptPart) []PromptPart { return prefix[:max(len(prefix)-1, 0)] }

// Events of opaque exchanges.
type (
	// ExchangeReceived carries a completely received request.
	ExchangeReceived struct{ Spec ExchangeSpec }
	// ExchangeBegan reports the first byte of the answer, or the first event
	// of a stream, from the current attempt.
	ExchangeBegan struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
		// Peer is the node through which the attempt was sent, or empty if it was
		// sent directly.
		Peer identifier.VMID
		// Framed reports that the end of the answer is not that of its connection.
		Framed bool
	}
	// ExchangeAttemptEnded reports an attempt that ended without an answer
	// that can be passed on to the caller unchanged.
	ExchangeAttemptEnded struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
		// Server is the server that the attempt was sent to.
		Server identifier.VMID
		Result AttemptResult
		// Streaming reports whether a part of the answer was sent to the
		// caller.
		Streaming bool
		// RetryAfter is the delay that the server asked for, or zero.
		RetryAfter timekeeper.Duration
		// Backoff is the time for which the server asked this node to send it
		// no requests, or zero.
		Backoff timekeeper.Duration
		// ServerEnded reports whether the server's address refuses
		// connections.
		ServerEnded bool
		// PathFailed reports that the attempt was not sent for lack of a path,
		// which says nothing about the server.
		PathFailed bool
		// Stale reports that the decision took too long and was not carried out, so that the same
		// server may be chosen again.
		Stale bool
		// Events is the number of whole events that the attempt passed on.
		Events int
	}
	// ExchangeStalled reports an attempt that another server had better take over. The attempt
	// goes on until the answer to this event is a SendExchange.
	ExchangeStalled struct {
		Exchange identifier.ExchangeID
		Attempt  identifier.AttemptNumber
		// Result is AttemptTimedOut if the server has sent no first event, or no next one, in
		// time, and AttemptFailed if it sends a failure that is too long to be held.
		Result AttemptResult
		// Streaming reports whether a part of the answer was sent to the caller.
		Streaming bool
		// Activity is what the server was found to do, or empty if it was not checked.
		Activity ServerActivity
	}
	// ExchangeEnded reports that nothing more is sent to the caller.
	ExchangeEnded struct {
		Exchange identifier.ExchangeID
		// Attempt is the attempt that ended the exchange, or zero if that is the last one.
		Attempt identifier.AttemptNumber
		// Result is the result of the last attempt; it is empty if the caller
		// disconnected.
		Result AttemptResult
		// ServerEnded reports whether the server's address refuses
		// connections.
		ServerEnded bool
		// Events is the number of stream events in the last attempt, and
		// EventsDuration the time between the first and the last of them.
		Events         int
		EventsDuration timekeeper.Duration
	}
)

// DecisionInputs is what the node knew when it decided on an exchange, for
// its log.
type DecisionInputs struct {
	// Route and Account are empty if the request named unknown ones.
	Route   identifier.RouteName
	Account identifier.AccountID
	// Fingerprint identifies the request's content and its account.
	Fingerprint identifier.Fingerprint
	// Limit states who decided on the account's limit; it is empty if no
	// limit was checked.
	Limit    LimitSource
	Revision identifier.Revision
	// RevisionAge is the time since the node last confirmed that its
	// configuration was the newest, ServersAge the age of its data on the
	// servers. Both are negative if there was none.
	RevisionAge timekeeper.Duration
	ServersAge  timekeeper.Duration
	// Candidates is the number of servers that were eligible for the request,
	// and Predicted the expected time until the answer of the chosen one
	// begins.
	Candidates int
	Predicted  timekeeper.Duration
	// ServerFactor is the factor of the chosen server on the time that is expected of a
	// server of mean speed.
	ServerFactor float64
	// Version is the version of the chosen server.
	Version identifier.Version
	// Patience is the time for which the caller would have waited. PredictionError is the
	// usual ratio of observed times to predictions. Both are set if the request was refused
	// for want of room in time.
	Patience        timekeeper.Duration
	PredictionError float64
	// Share states whether the request was within its account's share of the service. It
	// is empty unless the service was short of capacity.
	Share ShareState
}

// ShareState is whether a request is within its account's share of a service.
type ShareState string

// The states of requests for a service that is short of capacity.
const (
	// ShareWithin: the request is within its account's share.
	ShareWithin ShareState = "within"
	// ShareExceeded: the request is beyond it, and is served after those within.
	ShareExceeded ShareState = "exceeded"
)

// LimitSource states who decided on an account's limit.
type LimitSource string

// The sources of limit decisions.
const (
	// LimitOwnPart: this node's own part of the limit had headroom.
	LimitOwnPart LimitSource = "own_part"
	// LimitCentral: this node grants the central part.
	LimitCentral LimitSource = "central"
	// LimitPeer: the node that grants the central part decided.
	LimitPeer LimitSource = "peer"
	// LimitPeerEarlier: that node refused another request of the account, for a time that
	// has not passed.
	LimitPeerEarlier LimitSource = "peer_earlier"
	// LimitPeerTimedOut: that node did not answer in time.
	LimitPeerTimedOut LimitSource = "peer_silent"
	// LimitNoPeer: no node is known to grant the central part.
	LimitNoPeer LimitSource = "no_peer"
)

// Effects of opaque exchanges. Each of the above events except ExchangeBegan
// and ExchangeEnded is followed by exactly one of them.
type (
	// RefuseExchange answers a request of which nothing was executed.
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
		Path     Path
		Account  identifier.AccountID
		Route    *catalog.Route
		// Urgency is passed to the server, which runs requests with smaller
		// values first.
		Urgency  int
		Deadline timekeeper.Time
		// CopyFrom is the address of a server that probably has cached parts
		// of the prompt that the chosen server lacks. The chosen server
		// copies them from there instead of computing them. It is empty if no
		// such server is known.
		CopyFrom string
		// Limited reports whether the server is known to state a limit.
		Limited bool
		// Brittle reports whether the service's servers are known to be brittle.
		Brittle bool
		// FirstEventTimeout and NextEventTimeout limit the time until the
		// first event and between events, after which the attempt counts as
		// stalled. They are zero if no other server could continue the request.
		FirstEventTimeout timekeeper.Duration
		NextEventTimeout  timekeeper.Duration
		Inputs            DecisionInputs
		// From is the memory from which the server continues a stream, decided on at Decided.
		// Movable reports that the stream may be moved while it runs.
		From    Continuation
		Decided timekeeper.Time
		Movable bool
	}
	// KeepWaiting makes a stalled attempt go on, as no other server can take over.
	KeepWaiting struct{ Exchange identifier.ExchangeID }
	// EndExchange ends a request without a further attempt, after it ran and
	// failed or may have run.
	EndExchange struct {
		Exchange identifier.ExchangeID
		Reason   Reason
	}
)

// Requests for the central part of an account's limit.
type (
	// RequestLimit asks the node that grants the central parts of account
	// limits.
	RequestLimit struct {
		Exchange identifier.ExchangeID
		Peer     identifier.VMID
		Address  string
		Account  identifier.AccountID
		Tokens   identifier.Tokens
	}
	// LimitAnswered reports that the node with the central part granted or
	// refused the request. Unknown is set if it could not be reached,
	// NotGranting if it answered that it no longer grants, or has ended.
	LimitAnswered struct {
		Exchange    identifier.ExchangeID
		Peer        identifier.VMID
		Granted     bool
		Unknown     bool
		NotGranting bool
		RetryAfter  timekeeper.Duration
	}
	// LimitRequested reports that a peer asks this node for a part of an
	// account's limit.
	LimitRequested struct {
		Ticket  identifier.Ticket
		Account identifier.AccountID
		Tokens  identifier.Tokens
	}
	// AnswerLimit answers a LimitRequested event.
	AnswerLimit struct {
		Ticket identifier.Ticket
		Answer LimitAnswered
	}
)

// ServerState is the state of a published backend server.
type ServerState string

// The states of published servers.
const (
	ServerReady   ServerState = "ready"
	ServerLeaving ServerState = "leaving"
	// ServerRemoved: the platform has removed the server's entry.
	ServerRemoved ServerState = "removed"
	// ServerUnreadable: the entry exists but can't be read. It occurs only in a read of
	// all entries and changes nothing.
	ServerUnreadable ServerState = "unreadable"
)

// PublishedServer is the entry of a backend server in the platform's store.
type PublishedServer struct {
	Server identifier.VMID
	// Offset is the entry's offset in the store. Of two entries of one
	// server, the one with the larger offset is newer.
	Offset  identifier.Offset
	Service identifier.ServiceName
	Address string
	Zone    identifier.Zone
	Slots   int
	// Version is the version of the server's software; it is empty if the
	// server does not state one.
	Version identifier.Version
	State   ServerState
	// ColdFor is the remaining time during which the server is slow after its
	// start.
	ColdFor timekeeper.Duration
	// LeavesIn is the time until a leaving server is removed, or zero if it
	// is not known.
	LeavesIn timekeeper.Duration
	Market   catalog.Market
}

// StateUpdate is what a node sends its peers in addition to the gossip of
// membership.
type StateUpdate struct {
	Incarnation identifier.Incarnation
	// Servers are the recently changed entries, or all entries if the
	// receiver may know none.
	Servers []PublishedServer
	// AllServers reports that Servers holds all entries, and
	// RequestsAllServers that the sender has not received all of them.
	AllServers         bool
	RequestsAllServers bool
	// ServersAge is the age of the sender's data on the entries.
	ServersAge timekeeper.Duration
	// Round numbers the updates of a relay, from 1. Servers then holds all
	// changes that the relay has learned of since the second last round. Other
	// nodes leave it zero, and Servers holds the changes of the last ServersSpan.
	Round uint64
	// ServersSpan is no longer than the time for which the sender has known all
	// entries. It knows no earlier changes, and no servers that were removed earlier.
	ServersSpan timekeeper.Duration
	// ServersRead and ConfigurationRead are the reads of the store on which
	// ServersAge and ConfigurationAge are based.
	ServersRead       Observation
	ConfigurationRead Observation
	// ConfigurationAge is the time since the sender last confirmed that its
	// configuration was the newest.
	ConfigurationAge timekeeper.Duration
	Revision         identifier.Revision
	// Scope states whose requests InFlight and Demand count.
	Scope UpdateScope
	// Zone is the availability zone if Scope is ScopeZone.
	Zone identifier.Zone
	// InFlight holds the requests in flight by server.
	InFlight map[identifier.VMID]InFlight
	// Factors is the evidence of the servers' speeds, of the same nodes as InFlight. An
	// update of a node's own answers holds only what receivers may lack.
	Factors map[identifier.VMID]FactorEvidence
	Usage   []UsageCount
	// Demand is the callers' demand by service.
	Demand map[identifier.ServiceName]ServiceDemand
	// CachedPrefixes are parts of prompts that servers have recently
	// computed.
	CachedPrefixes []CachedPrefix
	// Suspects are requests during which servers ended.
	Suspects []SuspectRequest
	// Streams are the origins of streams that began recently.
	Streams []BegunStreams
	// Limits are the limits stated by servers.
	Limits []ServerLimit
	// Rollouts are all rollouts that the sender knows, and Versions its
	// counts for those that are not final.
	Rollouts []Rollout
	Versions []VersionCount
	// Leader is the node that holds the lease of the leader tasks, as far as
	// the sender knows, and Fence its fencing number. LeaderAge is the time
	// since the leader last announced this. Leader is empty if none is known.
	Leader    identifier.VMID
	Fence     identifier.Fence
	LeaderAge timekeeper.Duration
	// Grantor is the node from which the sender requests parts of the accounts'
	// limits, or empty if it grants alone.
	Grantor identifier.VMID
	// LeaderAnnounced is the announcement on which LeaderAge is based.
	LeaderAnnounced Observation
	// StoreReturned is the read that ended the last outage of the store, and
	// StoreReturnAge the time since, while removals are deferred for it.
	StoreReturned  Observation
	StoreReturnAge timekeeper.Duration
}

// Observation identifies what a node observed first-hand: a read of the store, or
// that it holds a lease. It stays the same when peers pass it on. So a report that
// returns to a node by way of others, with an age that lacks its transit times, is
// not taken for a newer one.
type Observation struct {
	Node        identifier.VMID
	Incarnation identifier.Incarnation
	// Number counts the observations of one incarnation.
	Number uint64
}

// After reports whether o was made later than p by the same node.
func (o Observation) After(p Observation) bool {
	if o.Incarnation != p.Incarnation {
		return o.Incarnation > p.Incarnation
	}
	return o.Number > p.Number
}

// UpdateScope states whose requests a StateUpdate counts.
type UpdateScope string

// The scopes of state updates.
const (
	// ScopeOwn: the requests of the sender.
	ScopeOwn UpdateScope = ""
	// ScopeZone: the requests of all nodes in an availability zone.
	ScopeZone UpdateScope = "zone"
	// ScopeOthers: the requests of all nodes except the receiver.
	ScopeOthers UpdateScope = "others"
)

// CachedPrefix is a part of a prompt in a server's KV cache.
type CachedPrefix struct {
	Server identifier.VMID
	Part   PromptPart
}

// InFlight is one node's load on a server.
type InFlight struct {
	Running int
	// Prefill is the time the server needs to process the prompts of the
	// requests whose answer has not begun.
	Prefill timekeeper.Duration
}

// FactorEvidence is what answers say of a server's factor on the predicted time, as it
// weighs when it is reported. The evidence of several nodes adds up.
type FactorEvidence struct {
	// Weight is about the number of answers, and Sum the weighted sum of the logarithms of
	// the factors that they show.
	Weight float64
	Sum    float64
}

// ServiceDemand is the demand of one node's callers for a service.
type ServiceDemand struct {
	// Running is the number of requests in flight.
	Running int
	// OfferedLoad is the number of servers that the callers' requests would
	// occupy, including requests that were rejected for lack of servers.
	OfferedLoad float64
	// ServedLoad is the work of the requests that servers began to answer, and Accounts
	// the work that each client account offers, both in servers. They are empty
	// if accounts have no shares.
	ServedLoad float64
	Accounts   map[identifier.AccountHash]float64
}

// UsageCount is the number of an account's requests that began at a node in a
// window.
type UsageCount struct {
	Window  identifier.UsageWindow
	Account identifier.AccountID
	Count   int
}

// Events from the platform's store and cloud, and from peers.
type (
	// CatalogPublished carries a configuration that was read from the store
	// or received from a peer.
	CatalogPublished struct {
		Catalog *catalog.Catalog
		// Data is the configuration as stored, for peers.
		Data []byte
		// FromStore reports whether the configuration was read from the
		// store.
		FromStore bool
		// Orders are the rollout orders read together with the configuration;
		// they may be known already.
		Orders []RolloutOrder
		// All reports whether services missing from OrderedServices had no order
		// before the offset End. An order of these services may be unreadable.
		All             bool
		OrderedServices []identifier.ServiceName
		End             identifier.Offset
	}
	// CatalogConfirmed reports that the store has no newer configuration than
	// this node.
	CatalogConfirmed struct{}
	// ServersPublished carries entries read from the store; they may be known
	// already.
	ServersPublished struct {
		Servers []PublishedServer
		// All reports whether servers missing from Servers have no entry.
		All bool
		// End is the offset up to which Servers covers the store: no record before it
		// is missing. Zero means that only the offsets of Servers tell.
		End identifier.Offset
		// Age is the time since the read was sent. The entries may be as old.
		Age timekeeper.Duration
	}
	// ServersUnavailable reports that a read of the servers' entries failed.
	ServersUnavailable struct{}
	// StateUpdateReceived carries a peer's state update.
	StateUpdateReceived struct {
		From   identifier.VMID
		Update StateUpdate
	}
	// ServersOrdered reports the end of an order for servers.
	ServersOrdered struct {
		Order  ServerOrder
		Result LeaderTaskResult
	}
	// UsageReported reports the end of a usage report.
	UsageReported struct {
		Window identifier.UsageWindow
		Result LeaderTaskResult
	}
)

// LeaderTaskResult is the result of a call under a lease.
type LeaderTaskResult string

// The results of leader task calls.
const (
	LeaderTaskDone LeaderTaskResult = "done"
	// LeaderTaskFenced: a later lease holder has already written.
	LeaderTaskFenced LeaderTaskResult = "fenced"
	// LeaderTaskRefused: the call was understood but cannot be carried out
	// now.
	LeaderTaskRefused LeaderTaskResult = "refused"
	// LeaderTaskUnknown: the call may have been carried out, or may still be.
	LeaderTaskUnknown LeaderTaskResult = "unknown"
)

// ServerOrder sets the wanted number of servers, regardless of the present
// number.
type ServerOrder struct {
	Service identifier.ServiceName
	Zone    identifier.Zone
	Market  catalog.Market
	Count   int
}

// Effects towards the platform's cloud, and peers.
type (
	// OrderServers sends an order for servers under a lease.
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
	// SendStateUpdate sends a peer this node's state update.
	SendStateUpdate struct {
		Peer    identifier.VMID
		Address string
		Update  StateUpdate
	}
)

func (ExchangeReceived) eventBody()     {}
func (ExchangeBegan) eventBody()        {}
func (ExchangeAttemptEnded) eventBody() {}
func (ExchangeStalled) eventBody()      {}
func (ExchangeEnded) eventBody()        {}
func (CatalogPublished) eventBody()     {}
func (CatalogConfirmed) eventBody()     {}
func (ServersPublished) eventBody()     {}
func (ServersUnavailable) eventBody()   {}
func (StateUpdateReceived) eventBody()  {}
func (ServersOrdered) eventBody()       {}
func (UsageReported) eventBody()        {}
func (LimitAnswered) eventBody()        {}
func (LimitRequested) eventBody()       {}

func (RefuseExchange) effect()  {}
func (SendExchange) effect()    {}
func (EndExchange) effect()     {}
func (KeepWaiting) effect()     {}
func (OrderServers) effect()    {}
func (ReportUsage) effect()     {}
func (SendStateUpdate) effect() {}
func (RequestLimit) effect()    {}
func (AnswerLimit) effect()     {}
