package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// serverStated applies what a server states of itself in an answer to this node.
func (r *Reducer) serverStated(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.ServerLimitReceived:
		return r.serverLimitReceived(env, b)
	case messenger.ServerLeavingReceived:
		return r.serverLeavingReceived(env, b)
	}
	return nil
}

// serverLeavingReceived takes a server out of use that stated in an answer to this node
// that it is leaving, and notifies the peers. Its entry may not say so yet.
func (r *Reducer) serverLeavingReceived(env *conductor.Env, e messenger.ServerLeavingReceived) []messenger.Effect {
	servers := r.gateway.servers
	changed := servers.MarkLeaving(env.Now, e.Server, e.Sent)
	if len(changed) == 0 {
		return nil
	}
	stated := messenger.TimelineEntry{
		Kind:   "server_stated_leaving",
		VM:     changed[0].Server,
		Detail: fmt.Sprintf("service=%s offset=%d servers_age=%s", changed[0].Service, changed[0].Offset, age(env.Now, servers.AsOf())),
	}
	r.gateway.nextUpdate = min(r.gateway.nextUpdate, env.Now.Add(updateBatchDelay))
	return append([]messenger.Effect{stated}, r.applyChangedServers(env, changed, true)...)
}
