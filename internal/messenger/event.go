package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Events from callers.
type (
	// RequestReceived reports a request that was authenticated and parsed.
	RequestReceived struct{ Spec RequestSpec }
	// RequestCancelled reports that the caller cancelled the request by its
	// id.
	RequestCancelled struct{ Request identifier.RequestID }
	// CallerDisconnected reports that no caller is attached to the request
	// any more.
	CallerDisconnected struct{ Request identifier.RequestID }
	// CallerAttached reports that a caller reattached to a request of this
	// node.
	CallerAttached struct{ Request identifier.RequestID }
)

// Events from attempts at backend servers. Events of any but the request's
// current attempt are ignored.
type (
	// AttemptStarted reports that the server accepted the attempt.
	AttemptStarted struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
	}
	// AttemptProgress reports the number of tokens of the answer, counted
	// from its beginning, that this node has received.
	AttemptProgress struct {
		Request   identifier.RequestID
		Attempt   identifier.AttemptNumber
		Delivered identifier.Tokens
	}
	// AttemptEnded reports that the attempt has ended, as far as this node
	// can observe.
	AttemptEnded struct {
		Request   identifier.RequestID
		Attempt   identifier.AttemptNumber
		Result    AttemptResult
		Delivered identifier.Tokens
		// RetryAfter is the delay that the server asked for, or zero.
		RetryAfter timekeeper.Duration
		// ServerEnded reports whether the server's address refuses
		// connections.
		ServerEnded bool
	}
	// KVMoved reports the end of an export and import of KV cache.
	KVMoved struct {
		Request identifier.RequestID
		Attempt identifier.AttemptNumber
		To      identifier.VMID
		OK      bool
	}
)

// Events of off-node copies of long requests and of handovers.
type (
	// HoldAcked reports that the holder has a copy that is complete up to the
	// current end of the answer.
	HoldAcked struct {
		Request identifier.RequestID
		Holder  identifier.VMID
	}
	// HoldFailed reports that the holder did not confirm. HolderEnded is set
	// if its address refuses connections: the process that may have had the
	// copy no longer exists.
	HoldFailed struct {
		Request     identifier.RequestID
		Holder      identifier.VMID
		HolderEnded bool
	}
	// HoldRefused reports that the holder owns the request itself, with a
	// larger epoch.
	HoldRefused struct {
		Request identifier.RequestID
		Holder  identifier.VMID
	}
	// CopyHeld reports that a peer stored a copy of one of its requests at
	// this node, or renewed it. If this node considered itself the owner, the
	// peer's epoch is the larger one.
	CopyHeld struct {
		Spec      RequestSpec
		Epoch     identifier.Epoch
		Owner     identifier.VMID
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		Stream    identifier.StreamName
		Delivered identifier.Tokens
	}
	// CopyDropped reports that the request has ended at its owner.
	CopyDropped struct{ Request identifier.RequestID }
	// RequestHandedOver reports that a leaving peer handed a request over to
	// this node.
	RequestHandedOver struct {
		Spec      RequestSpec
		Epoch     identifier.Epoch
		From      identifier.VMID
		Attempt   identifier.AttemptNumber
		Server    identifier.VMID
		Stream    identifier.StreamName
		Delivered identifier.Tokens
	}
	// HandoverAcked reports that the successor now owns the request.
	HandoverAcked struct {
		Request   identifier.RequestID
		Successor identifier.VMID
	}
	// HandoverFailed reports that the successor did not confirm. Unless
	// NotTaken is set, it may own the request nevertheless, and the answer
	// stays paused.
	HandoverFailed struct {
		Request   identifier.RequestID
		Successor identifier.VMID
		NotTaken  bool
	}
)

// Events from the platform.
type (
	// LogRead carries the next records of a stream, in order. First is the
	// oldest offset that the log still retains; records in a gap before it
	// have expired.
	LogRead struct {
		Stream  identifier.LogStream
		First   identifier.Offset
		Records []Record
		// End reports whether the stream had no more records at the time of
		// reading.
		End bool
		// Next is the offset of the next read; zero stands for the offset
		// after the last record.
		Next identifier.Offset
		// Lost reports that records of this stream were deleted before they were read.
		Lost bool
	}
	// StoreRestored reports that the log was restored from an older copy of
	// itself. Records appended after the copy was made are lost.
	StoreRestored struct{ Generation identifier.StoreGeneration }
	// LogUnavailable reports that the log could not be read.
	LogUnavailable struct{ Stream identifier.LogStream }
	// AppendEnded reports the end of an append. If OK is false, the append
	// may still have taken effect; only reading the log back settles that.
	AppendEnded struct {
		Ticket identifier.Ticket
		Stream identifier.LogStream
		OK     bool
	}
	// ListRead carries the platform's list of VMs as of an instant.
	ListRead struct {
		AsOf timekeeper.Time
		VMs  []VMState
	}
	// NoticeReceived reports that the cloud will reclaim the VM at the
	// deadline.
	NoticeReceived struct {
		VM       identifier.VMID
		Deadline timekeeper.Time
	}
	// BuyEnded reports the end of a purchase. With an empty VM it was
	// refused, or its result is unknown if Ambiguous is set.
	BuyEnded struct {
		Ticket    identifier.Ticket
		VM        identifier.VMID
		Refused   bool
		Ambiguous bool
	}
	// OrderEnded reports the end of an order. Stale is set if the server
	// refused its fencing number.
	OrderEnded struct {
		Ticket identifier.Ticket
		Server identifier.VMID
		OK     bool
		Stale  bool
	}
)

// Events from backend servers and peers.
type (
	// LoadReported carries a load report of a backend server.
	LoadReported struct {
		Server identifier.VMID
		Load   ServerLoad
	}
	// LoadMissed reports that a backend server did not answer a poll in time.
	LoadMissed struct{ Server identifier.VMID }
	// CacheReported carries prefix blocks that a server has added to its
	// cache or evicted from it.
	CacheReported struct {
		Server  identifier.VMID
		Cached  []identifier.PrefixHash
		Evicted []identifier.PrefixHash
		// Gap reports whether earlier cache events were lost.
		Gap bool
	}
	// GossipReceived carries a gossip message of a peer, encoded by package
	// gossiper.
	GossipReceived struct {
		From identifier.VMID
		Data []byte
	}
	// PeerFailed reports that a message to a peer was not answered in time.
	PeerFailed struct {
		Peer identifier.VMID
		// Ended reports whether the peer's address refuses connections, so that its
		// process no longer exists.
		Ended bool
	}
)

// Events from operators and from the process itself.
type (
	// ChangeProposed carries an operator's change of one file, or a request
	// to restore the whole folder.
	ChangeProposed struct {
		Ticket identifier.Ticket
		File   identifier.FileName
		// Content is the whole new file. With Delete the file is removed
		// instead.
		Content []byte
		Delete  bool
		// BaseRevision is the file's revision that the change is based on.
		BaseRevision identifier.Revision
		// Restore, unless it is nil, holds all files of the folder that
		// replaces a lost configuration. All fields above except Ticket are
		// then empty.
		Restore map[identifier.FileName][]byte
	}
	// DrainStarted reports that a planned stop of this node began.
	DrainStarted struct{ Deadline timekeeper.Time }
	// ConfigurationReceived carries a peer's configuration state.
	ConfigurationReceived struct {
		From identifier.VMID
		Data []byte
	}
	// Tick reports that time has passed. The runner sends one every
	// TickInterval.
	Tick struct{}
)

// TickInterval is the time between Tick events.
const TickInterval = 50 * timekeeper.Millisecond

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
