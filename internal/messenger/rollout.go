package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// RolloutOrder is an operator's order to move a service to servers of another
// version, which are started beside those that it has.
type RolloutOrder struct {
	Service identifier.ServiceName
	// Offset is where the order stands in the store: of two orders for a service
	// the one with the larger offset is the newer.
	Offset identifier.Offset
	// To is empty where the order was withdrawn.
	To identifier.Version
	// Limit is the time within which the roll-out has to be over.
	TimeLimit timekeeper.Duration
}

// RolloutPhase tells how far a roll-out is.
type RolloutPhase string

// The phases of a roll-out. The last two are final.
const (
	// RolloutOrdered: nothing is known but the order.
	RolloutOrdered RolloutPhase = ""
	// RolloutRunning: the new version gets a bounded part of the requests.
	RolloutRunning RolloutPhase = "running"
	// RolloutPromoting: the new version proved good, and gets all new requests
	// while the old one's end.
	RolloutPromoting RolloutPhase = "promoting"
	// RolloutRolledBack: the new version gets nothing any more.
	RolloutRolledBack RolloutPhase = "rolled_back"
	// RolloutCompleted: the old version is gone.
	RolloutCompleted RolloutPhase = "completed"
)

// Final reports whether no other phase follows.
func (p RolloutPhase) Final() bool { return p == RolloutRolledBack || p == RolloutCompleted }

// Rollout is what a node knows of one.
type Rollout struct {
	Order RolloutOrder
	Phase RolloutPhase
	// Age is how long ago the order was given, as far as is known.
	Age timekeeper.Duration
	// LedAge is how long ago the node that leads the roll-out said that it does;
	// negative where none is known to.
	LeaderAge timekeeper.Duration
	// Pace is the part of the service's requests that the leader wants the new
	// version to get now.
	TrafficShare float64
	// Focus is at how many of its servers it gets them at a time; zero for all.
	ActiveServers int
	// Barred are versions of the service that were rolled back.
	RolledBackVersions []identifier.Version
}

// VersionCount is what became of the requests of a route at the servers of one
// version since its roll-out was ordered, as one node counts them. Counts only
// grow.
type VersionCount struct {
	Service identifier.ServiceName
	// Order is the offset of the roll-out's order.
	Order identifier.Offset
	Route identifier.RouteName
	// Server is the server of the new version; empty for all those of others.
	Server identifier.VMID
	// Sent is the requests that were sent there.
	Sent int
	// Answers is those that were answered, Failed those of them that failed.
	Answers int
	Failed  int
	// First is the times to the first byte or event against what was predicted for
	// the work at servers of the old version, and Pace the times between the events
	// of streams, in steps as package assessor has them.
	FirstEventTimes []int
	EventIntervals  []int
	// Running is the requests in flight, and Waiting those of them whose answer has
	// not begun; both may fall.
	Running int
	Waiting int
}

// Events of roll-outs.
type (
	// RolloutsClaimed: no earlier holder of the lease can write the states of
	// roll-outs any more, and these are the last ones that were written.
	RolloutsClaimed struct {
		Fence    identifier.Fence
		Rollouts []Rollout
		Result   LeaderTaskResult
	}
	// RolloutKept: a write of a roll-out's state ended.
	RolloutStored struct {
		Service identifier.ServiceName
		Order   identifier.Offset
		Phase   RolloutPhase
		Fence   identifier.Fence
		Result  LeaderTaskResult
	}
)

// Effects of roll-outs.
type (
	// ClaimRollouts keeps earlier holders of the lease from writing the states of
	// roll-outs, and then reads the last ones.
	ClaimRollouts struct {
		Fence    identifier.Fence
		NotAfter timekeeper.Time
	}
	// KeepRollout writes the state of a roll-out, for the operators and for later
	// holders of the lease.
	StoreRollout struct {
		Rollout  Rollout
		Fence    identifier.Fence
		NotAfter timekeeper.Time
	}
)

func (RolloutsClaimed) eventBody() {}
func (RolloutStored) eventBody()   {}

func (ClaimRollouts) effect() {}
func (StoreRollout) effect()  {}
