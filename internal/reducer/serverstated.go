package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// serverStated applies what a server states of itself in an answer to this node.
func (r *Reducer) serverStated(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.ServerLimitReceived:
		return r.serverLimitReceived(env, b)
	case messenger.ServerLeavingReceived:
		return r.serverLeavingReceived(env, b)
	case messenger.ServerBrittleReceived:
		return r.serverBrittleReceived(env, b)
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

// serverBrittleReceived applies what an answer to this node states of its service's servers.
// Every answer states it, so that peers need no message.
func (r *Reducer) serverBrittleReceived(env *conductor.Env, e messenger.ServerBrittleReceived) []messenger.Effect {
	server, known := r.gateway.servers.Server(e.Server)
	if !known || !r.gateway.brittle.Observe(env.Now, server.Service, e) {
		return nil
	}
	if !e.Brittle.Stated {
		return []messenger.Effect{brittleEnded(server.Service)}
	}
	r.gateway.exchanges.ReportUnslotted(r.exchangeEnv(env), server.Service)
	return append(r.slotReports(env), messenger.TimelineEntry{
		Kind:   "service_brittle",
		VM:     e.Server,
		Detail: fmt.Sprintf("service=%s rejections=%d", server.Service, e.Brittle.Rejections),
	})
}

// tickBrittle ends what no answer has stated for some time.
func (r *Reducer) tickBrittle(env *conductor.Env) []messenger.Effect {
	r.gateway.brittle.SetNodes(len(r.ranking.Peers()) + 1)
	r.gateway.slots.Tick(env.Now)
	var out []messenger.Effect
	for _, service := range r.gateway.brittle.Tick(env.Now) {
		out = append(out, brittleEnded(service))
	}
	return out
}

func brittleEnded(service identifier.ServiceName) messenger.Effect {
	return messenger.TimelineEntry{
		Kind:   "service_sound",
		Detail: fmt.Sprintf("service=%s", service),
	}
}
