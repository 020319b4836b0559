package relayer

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func encodeRollout(r messenger.Rollout) *pb.Rollout {
	out := &pb.Rollout{
		Service:  string(r.Order.Service),
		Offset:   uint64(r.Order.Offset),
		To:       string(r.Order.To),
		LimitMs:  int64(r.Order.TimeLimit),
		Phase:    string(r.Phase),
		AgeMs:    int64(r.Age),
		LedAgeMs: int64(r.LeaderAge),
		Pace:     r.TrafficShare,
		Focus:    int64(r.ActiveServers),
	}
	for _, v := range r.RolledBackVersions {
		out.Barred = append(out.Barred, string(v))
	}
	return out
}

// decodeRollout omits an invalid traffic share.
func decodeRollout(r *pb.Rollout) messenger.Rollout {
	out := messenger.Rollout{
		Order: messenger.RolloutOrder{
			Service:   identifier.ServiceName(r.GetService()),
			Offset:    identifier.Offset(r.GetOffset()),
			To:        identifier.Version(r.GetTo()),
			TimeLimit: timekeeper.Duration(r.GetLimitMs()),
		},
		Phase:         messenger.RolloutPhase(r.GetPhase()),
		Age:           timekeeper.Duration(max(r.GetAgeMs(), 0)),
		LeaderAge:     timekeeper.Duration(r.GetLedAgeMs()),
		ActiveServers: int(max(r.GetFocus(), 0)),
	}
	if share := r.GetPace(); share > 0 && share <= 1 && !math.IsNaN(share) {
		out.TrafficShare = share
	}
	for _, v := range r.GetBarred() {
		out.RolledBackVersions = append(out.RolledBackVersions, identifier.Version(v))
	}
	return out
}

func encodeVersionCount(c messenger.VersionCount) *pb.VersionCount {
	return &pb.VersionCount{
		Service: string(c.Service),
		Order:   uint64(c.Order),
		Route:   string(c.Route),
		Server:  string(c.Server),
		Sent:    int64(c.Sent),
		Answers: int64(c.Answers),
		Failed:  int64(c.Failed),
		First:   toInt64s(c.FirstEventTimes),
		Pace:    toInt64s(c.EventIntervals),
		Running: int64(c.Running),
		Waiting: int64(c.Waiting),
	}
}

// decodeVersionCount replaces invalid counts by valid ones.
func decodeVersionCount(c *pb.VersionCount) messenger.VersionCount {
	answers := max(c.GetAnswers(), 0)
	return messenger.VersionCount{
		Service:         identifier.ServiceName(c.GetService()),
		Order:           identifier.Offset(c.GetOrder()),
		Route:           identifier.RouteName(c.GetRoute()),
		Server:          identifier.VMID(c.GetServer()),
		Sent:            int(max(c.GetSent(), 0)),
		Answers:         int(answers),
		Failed:          int(min(max(c.GetFailed(), 0), answers)),
		FirstEventTimes: toInts(c.GetFirst()),
		EventIntervals:  toInts(c.GetPace()),
		Running:         int(max(c.GetRunning(), 0)),
		Waiting:         int(max(c.GetWaiting(), 0)),
	}
}

func toInt64s(counts []int) []int64 {
	out := make([]int64, len(counts))
	for i, n := range counts {
		out[i] = int64(n)
	}
	return out
}

func toInts(counts []int64) []int {
	out := make([]int, len(counts))
	for i, n := range counts {
		out[i] = int(max(n, 0))
	}
	return out
}
