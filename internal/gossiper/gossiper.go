// Package gossiper keeps the membership of nodes and backend servers, and
// spreads it between nodes by gossip.
//
// A node knows its peers by heartbeats: counters that each node raises for
// itself and that travel directly and through others. A node whose counter
// stands still is first suspect, then dead; it is alive again as soon as the
// counter moves. Each node judges for itself, so a node that is cut off can't
// talk others into believing that their peers are dead.
//
// Leaving is different: a mark that a VM is leaving is never taken back. Marks
// go out at the next Tick, before all else, and each receiver passes them on
// at its own next Tick.
//
// A message has a byte budget. In order: leaving marks, nodes taken for late,
// heartbeats that changed, news that changed, then a slice of the whole state
// in turn, which repairs what got lost. Nodes are named by short keys; who does
// not know a key asks for the node's record. A node that has just started, or
// was frozen, asks one peer for the whole state.
//
// The state is pure: time and randomness are arguments, and messages are
// returned and not sent. It is not safe for concurrent use.
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

// stretchIntervals is how many of the mean intervals between two heartbeats of
// one peer are allowed for. Measured at 400 nodes, see TestAtSize.
const stretchIntervals = 6

// Bounds of the tables.
const (
	maxNodes   = 4096
	maxServers = 8192
	maxMarks   = 16384
	maxSyncs   = 16
)

// Config says who this node is and how it gossips. Zero values of the last
// five fields stand for the defaults.
type Config struct {
	Self          identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is what the VM can carry beside others; zero where it is not
	// known.
	Capacity uint32
	// Seeds are peer addresses to try while the node knows no peer.
	Seeds []string
	// Every is the gossip period.
	Period timekeeper.Duration
	// SuspectAfter and DeadAfter bound the age of a peer's last heartbeat,
	// beside the time that it may need on its way through others.
	SuspectAfter timekeeper.Duration
	DeadAfter    timekeeper.Duration
	// Fanout is the number of peers that get a message in each period.
	Fanout int
	// ByteBudget bounds the size of a message.
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

// safeguards can be switched off one by one in tests, to show that the tests
// would notice.
type safeguards struct {
	marksForGood  bool
	graceOnThaw   bool
	newerListOnly bool
	urgentMarks   bool
}

// Members is the membership as one node knows it.
type Members struct {
	config Config
	guard  safeguards

	self  *nodeRecord
	nodes table[nodeRecord]
	// version is raised with each change of who is a member, and as what.
	version uint64
	keys    map[uint64]*nodeRecord
	seeds   table[seed]
	servers table[serverRecord]
	marks   table[mark]
	// listAsOf is the instant of the newest list that was read.
	listAsOf timekeeper.Time

	// lastNow is when anything was last asked of this state.
	lastNow timekeeper.Time
	// startedAt is when that was first.
	startedAt timekeeper.Time
	nextDue   timekeeper.Time
	// urgent tells that the next Tick sends though no period has passed.
	urgent bool
	// replies are the peers that get a message with the next Tick, and askedKeys
	// when a record was last asked for.
	replies   table[reply]
	askedKeys map[uint64]timekeeper.Time
	// wantSync tells that the whole state is still to be asked for.
	wantSync bool
	askedAt  timekeeper.Time
	// partners are the peers that rounds are sent to, oldest first, where there
	// are many, and partnerRounds the rounds so far.
	partners      []identifier.VMID
	partnerRounds int
	// syncs holds the peers that are being given the whole state, and the
	// position of the next piece.
	syncs   table[syncState]
	unknown uint64
}

// New returns a membership that knows only the node itself.
func New(c Config) *Members {
	c = c.withDefaults()
	m := &Members{
		config: c,
		guard: safeguards{
			marksForGood:  true,
			graceOnThaw:   true,
			newerListOnly: true,
			urgentMarks:   true,
		},
		nodes:     newTable[nodeRecord](maxNodes),
		keys:      map[uint64]*nodeRecord{},
		seeds:     newTable[seed](maxNodes),
		servers:   newTable[serverRecord](maxServers),
		marks:     newTable[mark](maxMarks),
		replies:   newTable[reply](maxNodes),
		askedKeys: map[uint64]timekeeper.Time{},
		wantSync:  true,
		syncs:     newTable[syncState](maxSyncs),
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

// Dropped counts what the bounded tables left out.
type Dropped struct {
	Nodes   uint64
	Seeds   uint64
	Servers uint64
	Marks   uint64
	// Unknown heartbeats and news were of nodes that this node has no record
	// of yet.
	Unknown uint64
}

// Dropped returns what was left out so far.
func (m *Members) Dropped() Dropped {
	return Dropped{
		Nodes:   m.nodes.dropped,
		Seeds:   m.seeds.dropped,
		Servers: m.servers.dropped,
		Marks:   m.marks.dropped,
		Unknown: m.unknown,
	}
}

// doublings returns how often a cluster of one would have to double to reach
// the present size.
func (m *Members) doublings() int {
	return bits.Len(uint(max(m.nodes.len()-1, 1)))
}

// repeats is the number of rounds for which a change is passed on. With it
// each change reaches all nodes with overwhelming probability, also when a
// third of the messages is lost.
func (m *Members) repeats() int { return m.doublings() + 2 }

// urgentRepeats is the number of rounds in which a leaving mark goes out at
// once. With it hardly a node has to wait for the next period.
func (m *Members) urgentRepeats() int { return m.doublings()/2 + 1 }

// stretch is the time that a heartbeat may need on its way through others:
// some times the mean interval at which news of one peer arrives. That grows
// with the cluster once a message no longer holds all heartbeats.
func (m *Members) stretch() timekeeper.Duration {
	room := max(1, (m.config.ByteBudget-headSize)*heartbeatPercent/100/(keySize+heartbeatSize))
	peers := max(room, m.nodes.len()-1)
	return stretchIntervals * m.config.Period * timekeeper.Duration(peers) / timekeeper.Duration(room*m.config.Fanout)
}

func (m *Members) suspectAfter() timekeeper.Duration {
	return m.config.SuspectAfter + m.stretch()
}

func (m *Members) deadAfter() timekeeper.Duration {
	return m.config.DeadAfter + m.stretch()
}
