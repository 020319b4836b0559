package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
)

// rolloutLane is the lane of all calls that store rollout states, since writes
// must arrive in order.
const rolloutLane = "rollouts"

// claimRollouts fences off earlier leaders, if the lease still covers the call.
func (r *Runner) claimRollouts(e messenger.ClaimRollouts) {
	r.inLane(rolloutLane, func(ctx context.Context) func() {
		claimed := messenger.RolloutsClaimed{Fence: e.Fence}
		claimed.Result = r.underLease(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			var result messenger.LeaderTaskResult
			claimed.Rollouts, result = r.config.Rollouts.ClaimRollouts(ctx, e.Fence)
			return result
		})
		return r.report(claimed)
	}, nil)
}

// storeRollout writes the state of a rollout, if the lease still covers the
// call.
func (r *Runner) storeRollout(e messenger.StoreRollout) {
	r.inLane(rolloutLane, func(ctx context.Context) func() {
		result := r.underLease(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			return r.config.Rollouts.StoreRollout(ctx, e)
		})
		return r.report(messenger.RolloutStored{
			Service: e.Rollout.Order.Service,
			Order:   e.Rollout.Order.Offset,
			Phase:   e.Rollout.Phase,
			Fence:   e.Fence,
			Result:  result,
		})
	}, nil)
}

// Rollouts returns the rollouts known to this node.
func (r *Runner) Rollouts(ctx context.Context) []promoter.Status {
	var out []promoter.Status
	r.runInLoop(ctx, func() { out = r.config.Reducer.Rollouts(r.clock.Now()) })
	return out
}
