package messenger

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// RolloutOrder is an operator's order to move a service to servers of another
// version, which are started in addition to the existing ones.
type RolloutOrder struct {
	Service identifier.ServiceName
	// Offset is the order's offset in the store. Of two orders for a service,
	// the one with the larger offset is newer.
	Offset identifier.Offset
	// To is empty if the order was withdrawn.
	To identifier.Version
	// TimeLimit is the time within which the rollout has to be completed.
	TimeLimit timekeeper.Duration
}

// RolloutPhase is the phase of a rollout.
type RolloutPhase string

// The phases of a rollout. RolloutRolledBack and RolloutCompleted are final.
const (
	// RolloutOrdered: only the order is known.
	RolloutOrdered RolloutPhase = ""
	// RolloutRunning: the new version receives a bounded part of the
	// requests.
	RolloutRunning RolloutPhase = "running"
	// RolloutPromoting: the new version has passed its checks and receives
	// all new requests while the old version's requests end.
	RolloutPromoting RolloutPhase = "promoting"
	// RolloutRolledBack: the new version receives no more requests.
	RolloutRolledBack RolloutPhase = "rolled_back"
	// RolloutCompleted: no servers of the old version are left.
	RolloutCompleted RolloutPhase = "completed"
)

// Final reports whether no other phase follows.
func (p RolloutPhase) Final() bool { return p == RolloutRolledBack || p == RolloutCompleted }

// Rollout is the state of a rollout as known to a node.
type Rollout struct {
	Order RolloutOrder
	Phase RolloutPhase
	// Age is the time since the order was given, as far as is known.
	Age timekeeper.Duration
	// LeaderAge is the time since the node that leads the rollout last
	// announced that it does; it is negative if no leader is known.
	LeaderAge timekeeper.Duration
	// TrafficShare is the fraction of the service's requests that the new
	// version should receive now.
	TrafficShare float64
	// ActiveServers is the number of the new version's servers that receive
	// these requests at a time; zero stands for all.
	ActiveServers int
	// RolledBackVersions are the versions of the service that were rolled
	// back.
	RolledBackVersions []identifier.Version
}

// VersionCount counts the requests of a route that one node sent to the
// servers of one version since its rollout was ordered. Counts only grow,
// except Running and Waiting.
type VersionCount struct {
	Service identifier.ServiceName
	// Order is the offset of the rollout's order.
	Order identifier.Offset
	Route identifier.RouteName
	// Server is the server of the new version; it is empty for the sum over
	// all servers of other versions.
	Server identifier.VMID
	// Sent is the number of requests sent to these servers.
	Sent int
	// Answers is the number of answered requests, and Failed the number of
	// failures among them.
	Answers int
	Failed  int
	// FirstEventTimes is a histogram of the times to the first byte or event,
	// relative to the prediction for servers of the old version.
	// EventIntervals is a histogram of the times between the events of
	// streams. Package assessor defines the buckets.
	FirstEventTimes []int
	EventIntervals  []int
	// Running is the number of requests in flight, and Waiting the number of
	// those whose answer has not begun.
	Running int
	Waiting int
}

// Events of rollouts.
type (
	// RolloutsClaimed reports that earlier lease holders can no longer write
	// the states of rollouts, and carries the last written states.
	RolloutsClaimed struct {
		Fence    identifier.Fence
		Rollouts []Rollout
		Result   LeaderTaskResult
	}
	// RolloutStored reports the end of a write of a rollout's state.
	RolloutStored struct {
		Service identifier.ServiceName
		Order   identifier.Offset
		Phase   RolloutPhase
		Fence   identifier.Fence
		Result  LeaderTaskResult
	}
)

// Effects of rollouts.
type (
	// ClaimRollouts prevents earlier lease holders from writing the states of
	// rollouts, and then reads the last written states.
	ClaimRollouts struct {
		Fence    identifier.Fence
		NotAfter timekeeper.Time
	}
	// StoreRollout writes the state of a rollout, for operators and for later
	// lease holders.
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
