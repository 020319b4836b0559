package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// hurriedShare is the spacing of the shares to each peer while a service moves to another
// version, in place of shareEachTime.
const hurriedShare = 200 * timekeeper.Millisecond

// tickRollouts leads the roll-outs while this node holds the lease.
func (r *Reducer) tickRollouts(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	if g.versions.Urgent() {
		g.nextShare = min(g.nextShare, w.Now.Add(hurriedShare))
	}
	g.versions.SetNodes(r.nodesToShare(w))
	fence, notAfter, held := g.leases.Held(dutyLease, w.Now)
	if !held {
		return nil
	}
	out := g.versions.Lead(promoter.Input{
		Now:      w.Now,
		Fence:    fence,
		NotAfter: notAfter,
		Nodes:    r.peerIDs(),
		Servers:  g.servers.ServersOf,
	})
	return append(out, r.noteRollouts(w)...)
}

// Rollouts returns the roll-outs that this node knows, for operators.
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

// noteRollouts tells the time line how roll-outs go, and peers at once.
func (r *Reducer) noteRollouts(w *conductor.Env) []messenger.Effect {
	changes := r.gateway.versions.Changes()
	if len(changes) == 0 {
		return nil
	}
	var out []messenger.Effect
	for _, c := range changes {
		out = append(out, r.rolloutNote(c))
	}
	r.gateway.nextRelay = w.Now
	r.gateway.relayNews = true
	return append(out, r.shareNow(w)...)
}

func (r *Reducer) rolloutNote(c promoter.Change) messenger.TimelineEntry {
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

func (r *Reducer) rolloutsClaimed(w *conductor.Env, e messenger.RolloutsClaimed) []messenger.Effect {
	r.fencedOff(e.Result)
	r.gateway.versions.Claimed(w.Now, e)
	return r.noteRollouts(w)
}

func (r *Reducer) rolloutKept(w *conductor.Env, e messenger.RolloutStored) []messenger.Effect {
	r.fencedOff(e.Result)
	r.gateway.versions.Stored(w.Now, e)
	return r.noteRollouts(w)
}

// fencedOff gives the lease up where a later holder was there first: this node has
// lost it and did not know it yet.
func (r *Reducer) fencedOff(result messenger.LeaderTaskResult) {
	if result == messenger.LeaderTaskFenced {
		r.gateway.leases.Release(dutyLease)
	}
}

// versionText names a server's version where it has one.
func versionText(v identifier.Version) string {
	if v == "" {
		return ""
	}
	return " version=" + string(v)
}
