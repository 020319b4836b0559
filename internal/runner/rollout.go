package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
)

// rolloutLane is the lane of all calls that keep states of roll-outs: of two writes the
// later one has to arrive last.
const rolloutLane = "rollouts"

// claimRollouts keeps earlier holders from writing, if the lease still covers it.
func (r *Runner) claimRollouts(e messenger.ClaimRollouts) {
	r.inLane(rolloutLane, func(ctx context.Context) func() {
		claimed := messenger.RolloutsClaimed{Fence: e.Fence}
		claimed.Result = r.duty(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
			var result messenger.LeaderTaskResult
			claimed.Rollouts, result = r.config.Rollouts.ClaimRollouts(ctx, e.Fence)
			return result
		})
		return r.report(claimed)
	}, nil)
}

// keepRollout writes the state of a roll-out, if the lease still covers it.
func (r *Runner) keepRollout(e messenger.StoreRollout) {
	r.inLane(rolloutLane, func(ctx context.Context) func() {
		result := r.duty(ctx, e.NotAfter, func(ctx context.Context) messenger.LeaderTaskResult {
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

// Rollouts returns the roll-outs that this node knows, for operators.
func (r *Runner) Rollouts(ctx context.Context) []promoter.Status {
	var out []promoter.Status
	r.ask(ctx, func() { out = r.config.Reducer.Rollouts(r.clock.Now()) })
	return out
}
