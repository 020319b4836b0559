package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// storeRestored lets the parts that rest on the log know that its newest records are
// gone. They go on by what they know, and write again what others have to find there:
// one that acted on a record that is gone could contradict what it did.
func (r *Reducer) storeRestored(w *conductor.Env, e messenger.StoreRestored) []messenger.Effect {
	g := r.gateway
	if g == nil {
		return nil
	}
	g.leases.Restored(w.Now)
	g.usage.Restored(w.Now)
	g.servers.Restored(w.Now)
	g.versions.Restored()
	r.quarantine.Restored()
	return append(r.noteTenure(w), messenger.TimelineEntry{
		Kind:   "store_restored",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("era=%d", e.Generation),
	})
}
