package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
)

// ServerFactors returns the shared factors of the servers known to this node.
func (r *Runner) ServerFactors(ctx context.Context) calibrator.Statuses {
	var out calibrator.Statuses
	r.runInLoop(ctx, func() { out = r.config.Reducer.ServerFactors() })
	return out
}
