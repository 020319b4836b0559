package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// storeRestored notifies the parts that depend on the log that its newest records may
// be lost. They keep their state and write again what other nodes need to find in the
// log: reverting to an older state could contradict actions already taken.
func (r *Reducer) storeRestored(env *conductor.Env, e messenger.StoreRestored) []messenger.Effect {
	g := r.gateway
	if g == nil {
		return nil
	}
	g.listOutdated = true
	g.leases.Restored(env.Now)
	g.usage.Restored(env.Now)
	g.servers.Restored(env.Now)
	g.versions.Restored()
	r.quarantine.Restored()
	return append(r.recordLeadership(env), messenger.TimelineEntry{
		Kind:   "store_restored",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("era=%d", e.Generation),
	})
}
