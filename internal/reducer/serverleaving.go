package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// serverLeavingReceived records that a server, whose entry does not say so yet, stated in
// an answer to this node that it is leaving.
func (r *Reducer) serverLeavingReceived(env *conductor.Env, e messenger.ServerLeavingReceived) []messenger.Effect {
	servers := r.gateway.servers
	s, known := servers.Server(e.Server)
	if !known || s.State != messenger.ServerReady {
		return nil
	}
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "server_stated_leaving",
			VM:     e.Server,
			Detail: fmt.Sprintf("service=%s offset=%d servers_age=%s", s.Service, s.Offset, age(env.Now, servers.AsOf())),
		},
	}
}
