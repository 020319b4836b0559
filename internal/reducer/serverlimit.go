package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
)

// serverLimitHeard takes in what a server's answer to this node states of its limit.
func (r *Reducer) serverLimitHeard(w *conductor.World, e messenger.ServerLimitHeard) []messenger.Effect {
	change, changed := r.gateway.limits.Heard(w.Now, e)
	if !changed {
		return nil
	}
	return []messenger.Effect{limitNote(change, true)}
}

// limitNote tells the time line of a server's limit; direct tells that this node had
// the answer that states it.
func limitNote(c throttler.Change, direct bool) messenger.Effect {
	if !c.Limited {
		return messenger.Note{
			Kind:   "server_limit_lifted",
			VM:     c.Server,
			Detail: fmt.Sprintf("direct=%t", direct),
		}
	}
	return messenger.Note{
		Kind:   "server_limited",
		VM:     c.Server,
		Detail: fmt.Sprintf("requests_per_second=%g direct=%t", c.Rate, direct),
	}
}
