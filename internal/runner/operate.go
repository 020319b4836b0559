package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Propose changes one configuration file and waits for the verdict. If ctx ends
// first, the verdict is unknown.
func (r *Runner) Propose(ctx context.Context, change messenger.ChangeProposed) (messenger.ChangeVerdict, error) {
	verdict := make(chan messenger.ChangeVerdict, 1)
	ok := r.runInLoop(ctx, func() {
		r.lastProposal++
		change.Ticket = r.lastProposal
		r.proposals[change.Ticket] = verdict
		r.enqueue(change)
	})
	if !ok {
		return messenger.ChangeVerdict{}, &answerer.NodeStoppingError{}
	}
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
	case <-r.stopped:
	}
	r.runInLoop(context.Background(), func() { delete(r.proposals, change.Ticket) })
	return messenger.ChangeVerdict{Unknown: true}, nil
}

// Files returns the configuration files in force.
func (r *Runner) Files() map[identifier.FileName]server.FileState {
	files := make(map[identifier.FileName]server.FileState)
	r.runInLoop(context.Background(), func() {
		for name, f := range r.config.Reducer.Files() {
			files[name] = server.FileState{
				Content:  f.Content,
				Revision: f.Revision,
				Deleted:  f.Deleted,
			}
		}
	})
	return files
}

// History returns the configuration changes known to this node, oldest first.
func (r *Runner) History() []configurer.Change {
	var changes []configurer.Change
	r.runInLoop(context.Background(), func() { changes = r.config.Reducer.History() })
	return changes
}

// Timeline returns the timeline entries of this node that match f.
func (r *Runner) Timeline(f historian.Filter) []historian.Entry { return r.config.Historian.Entries(f) }

// Explain returns the timeline entries of a request.
func (r *Runner) Explain(request identifier.RequestID) []historian.Entry {
	return r.config.Historian.Entries(historian.Filter{Request: request})
}
