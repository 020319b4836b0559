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

// Propose changes one file of the configuration and waits for the verdict.
func (r *Runner) Propose(ctx context.Context, change messenger.ChangeProposed) (messenger.ChangeVerdict, error) {
	verdict := make(chan messenger.ChangeVerdict, 1)
	ok := r.ask(ctx, func() {
		r.proposed++
		change.Ticket = r.proposed
		r.proposals[change.Ticket] = verdict
		r.later(change)
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
	r.ask(context.Background(), func() { delete(r.proposals, change.Ticket) })
	return messenger.ChangeVerdict{Unknown: true}, nil
}

// Files returns the configuration in force.
func (r *Runner) Files() map[identifier.FileName]server.FileState {
	files := make(map[identifier.FileName]server.FileState)
	r.ask(context.Background(), func() {
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

// History returns the changes that this node knows, oldest first.
func (r *Runner) History() []configurer.Change {
	var changes []configurer.Change
	r.ask(context.Background(), func() { changes = r.config.Reducer.History() })
	return changes
}

// Timeline returns the events of this node that match f.
func (r *Runner) Timeline(f historian.Filter) []historian.Entry { return r.config.Historian.Entries(f) }

// Explain returns the events that led to the end of a request.
func (r *Runner) Explain(request identifier.RequestID) []historian.Entry {
	return r.config.Historian.Entries(historian.Filter{Request: request})
}
