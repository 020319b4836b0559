// Package gossiper maintains the membership of nodes and backend servers, and
// spreads it between nodes by gossip.
//
// A node monitors its peers by heartbeats: counters that each node increments
// for itself, and that spread directly and through other nodes. A node whose
// counter does not advance becomes suspect, and later dead; it is alive again
// as soon as the counter advances. Each node decides this for itself, so an
// isolated node cannot convince others that their peers are dead.
//
// Leaving is permanent: a mark that a VM is leaving is never revoked. Marks
// are sent at the next Tick, before all other data, and each receiver
// forwards them at its own next Tick.
//
// A message has a byte budget. It is filled, in order of priority, with
// leaving marks, heartbeats that are nearly overdue, changed heartbeats,
// changed statuses, and then a random slice of the complete state, which
// repairs losses. Nodes are identified by short keys; a receiver that does
// not know a key requests the node's record. A node that has just started, or
// was suspended, requests the complete state from a peer.
//
// The state is pure: time and randomness are arguments, and messages are
// returned instead of sent. It is not safe for concurrent use.
package gossiper

//go:generate protoc --go_out=gossiperpb --go_opt=paths=source_relative --proto_path=gossiperpb gossip.proto

import (
	"math/bits"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Defaults of Config.
const (
	DefaultPeriod       = 250 * timekeeper.Millisecond
	DefaultSuspectAfter = 1500 * timekeeper.Millisecond
	DefaultDeadAfter    = 4 * timekeeper.Second
	DefaultFanout       = 2
	DefaultByteBudget   = 2200
)

// relayIntervals is the number of mean intervals between two heartbeats of
// one peer that relayAllowance grants.
const relayIntervals = 6

// Bounds of the tables.
const (
	maxNodes   = 4096
	maxServers = 8192
	maxMarks   = 16384
	maxSyncs   = 16
)

// Config configures Members. Zero values of the last five fields stand for
// the defaults.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is the capacity of the VM in a unit that all nodes share; zero
	// if it is not known.
	Capacity uint32
	// Seeds are peer addresses to contact while the node knows no peer.
	Seeds []string
	// Period is the gossip period.
	Period timekeeper.Duration
	// SuspectAfter and DeadAfter limit the age of a peer's last heartbeat, in
	// addition to the time for relaying it through other nodes.
	SuspectAfter timekeeper.Duration
	DeadAfter    timekeeper.Duration
	// Fanout is the number of peers that receive a message in each period.
	Fanout int
	// ByteBudget is the maximum size of a message.
	ByteBudget int
}

func (c Config) withDefaults() Config {
	if c.Period <= 0 {
		c.Period = DefaultPeriod
	}
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = DefaultSuspectAfter
	}
	if c.DeadAfter <= 0 {
		c.DeadAfter = DefaultDeadAfter
	}
	if c.Fanout <= 0 {
		c.Fanout = DefaultFanout
	}
	if c.ByteBudget <= 0 {
		c.ByteBudget = DefaultByteBudget
	}
	return c
}

// safeguards can be disabled individually, so that tests can prove that they
// are needed.
type safeguards struct {
	permanentMarks bool
	graceOnResume  bool
	newerListOnly  bool
	urgentMarks    bool
}

// Members is the membership as known to one node.
type Members struct {
	config Config
	guard  safeguards

	self  *nodeRecord
	nodes table[nodeRecord]
	// version is incremented whenever a member is added or removed or changes
	// its state.
	version uint64
	keys    map[uint64]*nodeRecord
	seeds   table[seed]
	servers table[serverRecord]
	marks   table[mark]
	// listAsOf is the instant of the newest list that was merged.
	listAsOf timekeeper.Time

	// lastNow is the latest instant passed to a method that takes the time.
	lastNow timekeeper.Time
	// startedAt is the first such instant.
	startedAt timekeeper.Time
	nextRound timekeeper.Time
	// urgent makes the next Tick send messages before the period ends.
	urgent bool
	// replies holds the peers that receive a message with the next Tick, and
	// requestedKeys the time of the last request for a record.
	replies       table[reply]
	requestedKeys map[uint64]timekeeper.Time
	// wantSync is set until a peer has sent the complete state.
	wantSync        bool
	syncRequestedAt timekeeper.Time
	// partners are the peers that receive messages in regular rounds if there
	// are many peers, oldest first. partnerRounds is the number of rounds so
	// far.
	partners      []identifier.VMID
	partnerRounds int
	// syncs holds the peers that are being sent the complete state, with the
	// position of the next piece.
	syncs       table[syncState]
	unknownKeys uint64
}

// New returns a membership that contains only the node itself.
func New(c Config) *Members {
	c = c.withDefaults()
	m := &Members{
		config: c,
		guard: safeguards{
			permanentMarks: true,
			graceOnResume:  true,
			newerListOnly:  true,
			urgentMarks:    true,
		},
		nodes:         newTable[nodeRecord](maxNodes),
		keys:          map[uint64]*nodeRecord{},
		seeds:         newTable[seed](maxNodes),
		servers:       newTable[serverRecord](maxServers),
		marks:         newTable[mark](maxMarks),
		replies:       newTable[reply](maxNodes),
		requestedKeys: map[uint64]timekeeper.Time{},
		wantSync:      true,
		syncs:         newTable[syncState](maxSyncs),
	}
	m.self = &nodeRecord{
		Node: Node{
			VM:            c.Self,
			Incarnation:   c.Incarnation,
			Zone:          c.Zone,
			Region:        c.Region,
			PeerAddress:   c.PeerAddress,
			CallerAddress: c.CallerAddress,
			Capacity:      c.Capacity,
			State:         Alive,
			LeaveBy:       timekeeper.Never,
		},
		key: keyOf(c.Self, c.Incarnation),
	}
	m.nodes.put(c.Self, m.self)
	m.keys[m.self.key] = m.self
	return m
}

// Dropped counts the entries that were dropped because a table was full.
type Dropped struct {
	Nodes   uint64
	Seeds   uint64
	Servers uint64
	Marks   uint64
	// Unknown counts heartbeats and statuses of nodes whose record this node
	// does not have.
	Unknown uint64
}

// Dropped returns the counts since the start.
func (m *Members) Dropped() Dropped {
	return Dropped{
		Nodes:   m.nodes.dropped,
		Seeds:   m.seeds.dropped,
		Servers: m.servers.dropped,
		Marks:   m.marks.dropped,
		Unknown: m.unknownKeys,
	}
}

// doublings returns the logarithm to base 2 of the cluster size, rounded up.
func (m *Members) doublings() int {
	return bits.Len(uint(max(m.nodes.len()-1, 1)))
}

// repeats is the number of rounds for which a change is forwarded. This many
// rounds reach all nodes with very high probability, even if a third of the
// messages is lost.
func (m *Members) repeats() int { return m.doublings() + 2 }

// urgentRepeats is the number of rounds in which a leaving mark is sent
// immediately. After them nearly all nodes have received the mark without
// waiting for a period.
func (m *Members) urgentRepeats() int { return m.doublings()/2 + 1 }

// relayAllowance is the time that a heartbeat may take through other nodes: a
// multiple of the mean interval between two heartbeats of one peer. The
// interval grows with the cluster once a message cannot hold all heartbeats.
func (m *Members) relayAllowance() timekeeper.Duration {
	perMessage := max(1, (m.config.ByteBudget-senderSize)*heartbeatPercent/100/(keySize+heartbeatSize))
	peers := max(perMessage, m.nodes.len()-1)
	return relayIntervals * m.config.Period * timekeeper.Duration(peers) / timekeeper.Duration(perMessage*m.config.Fanout)
}

func (m *Members) suspectAfter() timekeeper.Duration {
	return m.config.SuspectAfter + m.relayAllowance()
}

func (m *Members) deadAfter() timekeeper.Duration {
	return m.config.DeadAfter + m.relayAllowance()
}
