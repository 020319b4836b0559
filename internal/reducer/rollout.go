package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// rolloutUpdateInterval replaces updateInterval while a rollout is urgent.
const rolloutUpdateInterval = 200 * timekeeper.Millisecond

// tickRollouts leads the rollouts while this node holds the lease.
func (r *Reducer) tickRollouts(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if g.versions.Urgent() {
		g.nextUpdate = min(g.nextUpdate, env.Now.Add(rolloutUpdateInterval))
	}
	g.versions.SetNodes(r.limitNodes(env))
	fence, notAfter, held := g.leases.Held(leaderLease, env.Now)
	if !held {
		return nil
	}
	out := g.versions.Lead(promoter.Input{
		Now:      env.Now,
		Fence:    fence,
		NotAfter: notAfter,
		Nodes:    r.peerIDs(),
		Servers:  g.servers.ServersOf,
	})
	return append(out, r.recordRollouts(env)...)
}

// Rollouts returns the rollouts that this node knows, for operators.
func (r *Reducer) Rollouts(now timekeeper.Time) []promoter.Status {
	if r.gateway == nil {
		return nil
	}
	return r.gateway.versions.Statuses(now)
}

func (r *Reducer) peerIDs() []identifier.VMID {
	peers := r.ranking.Peers()
	out := make([]identifier.VMID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.VM)
	}
	return out
}

// recordRollouts records changes of rollouts in the time line, and notifies peers at
// once.
func (r *Reducer) recordRollouts(env *conductor.Env) []messenger.Effect {
	changes := r.gateway.versions.Changes()
	if len(changes) == 0 {
		return nil
	}
	var out []messenger.Effect
	for _, c := range changes {
		out = append(out, r.rolloutEntry(c))
	}
	r.gateway.relayAtOnce(env.Now)
	return append(out, r.sendUpdates(env)...)
}

func (r *Reducer) rolloutEntry(c promoter.Change) messenger.TimelineEntry {
	phase := c.Rollout.Phase
	if phase == messenger.RolloutOrdered {
		phase = "ordered"
	}
	return messenger.TimelineEntry{
		Kind: messenger.TimelineKind("rollout_" + phase),
		VM:   r.config.Self,
		Detail: fmt.Sprintf("service=%s to=%s order=%d age=%s limit=%s led_age=%s barred=%v why=%q",
			c.Rollout.Order.Service, c.Rollout.Order.To, c.Rollout.Order.Offset, c.Rollout.Age,
			c.Rollout.Order.TimeLimit, c.Rollout.LeaderAge, c.Rollout.RolledBackVersions, c.Why),
	}
}

func (r *Reducer) rolloutsClaimed(env *conductor.Env, e messenger.RolloutsClaimed) []messenger.Effect {
	r.releaseIfFenced(e.Result)
	r.gateway.versions.Claimed(env.Now, e)
	return r.recordRollouts(env)
}

func (r *Reducer) rolloutStored(env *conductor.Env, e messenger.RolloutStored) []messenger.Effect {
	r.releaseIfFenced(e.Result)
	r.gateway.versions.Stored(env.Now, e)
	return r.recordRollouts(env)
}

// releaseIfFenced releases the lease if an action was rejected by a later fence:
// another node holds the lease, and this one did not know it.
func (r *Reducer) releaseIfFenced(result messenger.LeaderTaskResult) {
	if result == messenger.LeaderTaskFenced {
		r.gateway.leases.Release(leaderLease)
	}
}

// versionText returns a suffix that names a server's version, or an empty string if it
// has none.
func versionText(v identifier.Version) string {
	if v == "" {
		return ""
	}
	return " version=" + string(v)
}
