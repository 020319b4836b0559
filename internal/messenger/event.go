package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Events from callers.
type (
	// RequestReceived: a caller sent a request that authenticated and parsed.
	RequestReceived struct{ Spec RequestSpec }
	// RequestCancelled: the caller gave the request up by name.
	RequestCancelled struct{ Request identifier.RequestID }
	// CallerGone: no caller is attached to the request any more.
	CallerDisconnected struct{ Request identifier.RequestID }
	// CallerAttached: a caller attached to a request of this node again.
	CallerAttached struct{ Request identifier.RequestID }
)

// Events from attempts at backend servers. Events of an attempt that is not
// the request's current one change nothing.
type (
	// AttemptStarted: the server accepted the attempt.
	AttemptStarted struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
	}
	// AttemptProgress: so many tokens of the answer, counted from its
	// beginning, now stand with this node.
	AttemptProgress struct {
		Request   identifier.RequestID
		Attempt   identifier.AttemptNumber
		Delivered identifier.Tokens
	}
	// AttemptEnded: the attempt is over as far as this node can tell.
	AttemptEnded struct {
		Request   identifier.RequestID
		Attempt   identifier.AttemptNumber
		Result    AttemptResult
		Delivered identifier.Tokens
		// RetryAfter is the server's own wish, or zero.
		RetryAfter timekeeper.Duration
		// ServerEnded tells that nothing listens at the server's address any more.
		ServerEnded bool
	}
	// KVMoved: an export and import of KV cache ended.
	KVMoved struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		To      identifier.VMID
		OK      bool
	}
)

// Events of the off-node record of long requests and of handing them on.
type (
	// HoldAcked: the holder has the copy up to the answer so far.
	HoldAcked struct {
		Request identifier.RequestID
		Holder  identifier.VMID
	}
	// HoldFailed: the holder did not confirm. Gone tells that nothing listens
	// at its address: the process that may have had the copy is no more.
	HoldFailed struct {
		Request     identifier.RequestID
		Holder      identifier.VMID
		HolderEnded bool
	}
	// HoldRefused: the holder owns the request itself, with a larger epoch.
	HoldRefused struct {
		Request identifier.RequestID
		Holder  identifier.VMID
	}
	// CopyHeld: a peer gave this node a copy of one of its requests, or
	// renewed it. Where this node took itself for the owner, the peer's epoch
	// is the larger.
	CopyHeld struct {
		Spec      RequestSpec
		Epoch     identifier.Epoch
		Owner     identifier.VMID
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		Stream    identifier.StreamName
		Delivered identifier.Tokens
	}
	// CopyDropped: the owner says that the request has ended.
	CopyDropped struct{ Request identifier.RequestID }
	// RequestHandedOver: a leaving peer gave this node a request to finish.
	RequestHandedOver struct {
		Spec      RequestSpec
		Epoch     identifier.Epoch
		From      identifier.VMID
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		Stream    identifier.StreamName
		Delivered identifier.Tokens
	}
	// HandoverAcked: the successor has the request now.
	HandoverAcked struct {
		Request   identifier.RequestID
		Successor identifier.VMID
	}
	// HandoverFailed: the successor did not confirm. Unless NotTaken is set it
	// may have the request all the same, and the answer stays paused.
	HandoverFailed struct {
		Request   identifier.RequestID
		Successor identifier.VMID
		NotTaken  bool
	}
)

// Events from the platform.
type (
	// LogRead: the next records of a stream, in order. First is the oldest
	// offset the log still keeps; a gap before it was lost to expiry.
	LogRead struct {
		Stream  identifier.LogStream
		First   identifier.Offset
		Records []Record
		// End tells that the stream had no more records at the time of reading.
		End bool
		// Next is where the next read goes on; zero stands for the offset after the
		// last record.
		Next identifier.Offset
	}
	// StoreRestored: the log came back from an older copy of itself. What was
	// appended since that was made is gone.
	StoreRestored struct{ Generation identifier.StoreGeneration }
	// LogUnavailable: the log could not be read.
	LogUnavailable struct{ Stream identifier.LogStream }
	// AppendEnded: an append ended. With OK false it may still have taken
	// effect; only reading the log back settles that.
	AppendEnded struct {
		Ticket identifier.Ticket
		Stream identifier.LogStream
		OK     bool
	}
	// ListRead: the platform's list of VMs as of an instant.
	ListRead struct {
		AsOf timekeeper.Time
		VMs  []VMState
	}
	// NoticeReceived: the cloud will take the VM away at the deadline.
	NoticeReceived struct {
		VM       identifier.VMID
		Deadline timekeeper.Time
	}
	// BuyEnded: a purchase ended. Without VM it was refused, or with
	// Ambiguous set nobody knows.
	BuyEnded struct {
		Ticket    identifier.Ticket
		VM        identifier.VMID
		Refused   bool
		Ambiguous bool
	}
	// OrderEnded: an order ended; Stale tells that the server refused its
	// fencing number.
	OrderEnded struct {
		Ticket identifier.Ticket
		Server identifier.VMID
		OK     bool
		Stale  bool
	}
)

// Events from backend servers and peers.
type (
	// LoadReported: a backend server reported its load.
	LoadReported struct {
		Server identifier.VMID
		Load   ServerLoad
	}
	// LoadMissed: a backend server did not answer a poll in time.
	LoadMissed struct{ Server identifier.VMID }
	// CacheReported: prefix blocks that a server now holds or has dropped.
	CacheReported struct {
		Server  identifier.VMID
		Cached  []identifier.PrefixHash
		Evicted []identifier.PrefixHash
		// Gap tells that events before these were lost.
		Gap bool
	}
	// GossipReceived: a peer sent its news, encoded by package gossiper.
	GossipReceived struct {
		From identifier.VMID
		Data []byte
	}
	// PeerFailed: a message to a peer was not answered in time.
	PeerFailed struct{ Peer identifier.VMID }
)

// Events from operators and from the process itself.
type (
	// ChangeProposed: an operator wants one file to read so, or the whole
	// folder restored.
	ChangeProposed struct {
		Ticket identifier.Ticket
		File   identifier.FileName
		// Content is the whole file; Delete removes it instead.
		Content []byte
		Delete  bool
		// Saw is the file's revision that the operator's change is based on.
		BaseRevision identifier.Revision
		// Restore, where it is not nil, holds all files of the folder that is
		// to replace a configuration that was lost. The fields above but
		// Ticket are empty then.
		Restore map[identifier.FileName][]byte
	}
	// DrainStarted: a planned stop of this node began.
	DrainStarted struct{ Deadline timekeeper.Time }
	// ConfigurationReceived: a peer gave its state of the configuration.
	ConfigurationReceived struct {
		From identifier.VMID
		Data []byte
	}
	// Tick: time has passed. The runner sends one every TickEvery.
	Tick struct{}
)

// TickEvery is the spacing of Tick events.
const TickEvery = 50 * timekeeper.Millisecond

func (RequestReceived) eventBody()       {}
func (RequestCancelled) eventBody()      {}
func (CallerDisconnected) eventBody()    {}
func (CallerAttached) eventBody()        {}
func (AttemptStarted) eventBody()        {}
func (AttemptProgress) eventBody()       {}
func (AttemptEnded) eventBody()          {}
func (KVMoved) eventBody()               {}
func (HoldAcked) eventBody()             {}
func (HoldFailed) eventBody()            {}
func (HoldRefused) eventBody()           {}
func (CopyHeld) eventBody()              {}
func (CopyDropped) eventBody()           {}
func (RequestHandedOver) eventBody()     {}
func (HandoverAcked) eventBody()         {}
func (HandoverFailed) eventBody()        {}
func (LogRead) eventBody()               {}
func (LogUnavailable) eventBody()        {}
func (StoreRestored) eventBody()         {}
func (AppendEnded) eventBody()           {}
func (ListRead) eventBody()              {}
func (NoticeReceived) eventBody()        {}
func (BuyEnded) eventBody()              {}
func (OrderEnded) eventBody()            {}
func (LoadReported) eventBody()          {}
func (LoadMissed) eventBody()            {}
func (CacheReported) eventBody()         {}
func (GossipReceived) eventBody()        {}
func (PeerFailed) eventBody()            {}
func (ChangeProposed) eventBody()        {}
func (DrainStarted) eventBody()          {}
func (ConfigurationReceived) eventBody() {}
func (Tick) eventBody()                  {}
