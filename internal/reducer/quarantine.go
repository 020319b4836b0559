package reducer

import (
	"fmt"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// updateBatchDelay is the time for which a node collects urgent changes before it
// notifies peers. The connections to a server that ends break within some milliseconds
// of each other, and each would cause a message to every peer.
const updateBatchDelay = 50 * timekeeper.Millisecond

// scheduleSuspectUpdate advances the next update to peers if a server ended under a
// request, because the caller may already have sent the request to one of them.
func (r *Reducer) scheduleSuspectUpdate(env *conductor.Env) {
	if !r.quarantine.PendingUpdates() {
		return
	}
	next := &r.timers.nextSuspectUpdate
	if r.gateway != nil {
		next = &r.gateway.nextUpdate
	}
	*next = min(*next, env.Now.Add(updateBatchDelay))
}

// sendSuspects sends the requests under which servers ended to peers, if there are any.
// Nodes that serve opaque exchanges send them with their state updates.
func (r *Reducer) sendSuspects(env *conductor.Env) []messenger.Effect {
	if env.Now.Before(r.timers.nextSuspectUpdate) {
		return nil
	}
	r.timers.nextSuspectUpdate = env.Now.Add(updateInterval)
	peers := slices.Clone(r.ranking.Peers())
	// In large clusters, nodes forward what they receive.
	includeReceived := len(peers) > maxDirectPeers
	suspects := r.quarantine.Updates(env.Now, includeReceived)
	if len(suspects) == 0 {
		return nil
	}
	if includeReceived {
		r.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:maxDirectPeers]
	}
	out := make([]messenger.Effect, 0, len(peers))
	for _, p := range peers {
		out = append(out, messenger.SendStateUpdate{
			Peer:    p.VM,
			Address: p.PeerAddress,
			Update:  messenger.StateUpdate{Suspects: suspects},
		})
	}
	return out
}

// storesQuarantine reports whether this node stores the refused requests in the log:
// the holder of the lease or, without a gateway, the first ranked node. If two nodes do
// so for a while, they write the same.
func (r *Reducer) storesQuarantine(now timekeeper.Time) bool {
	if r.gateway == nil {
		return r.ranking.Chosen(string(quarantiner.Stream), 1)
	}
	_, _, held := r.gateway.leases.Held(leaderLease, now)
	return held
}

// tickQuarantine expires old requests, records changed verdicts in the time line, and
// stores the refused requests in the log if this node is the one that does so.
func (r *Reducer) tickQuarantine(env *conductor.Env) []messenger.Effect {
	r.quarantine.SetTrials(r.ranking.Chosen(string(quarantiner.Stream), 1))
	r.quarantine.Tick(env.Now)
	out := r.recordVerdicts()
	if !r.storesQuarantine(env.Now) {
		return out
	}
	data, due, err := r.quarantine.SnapshotDue(env.Now)
	if err != nil {
		return append(out, r.quarantineUnreadable(err))
	}
	if due {
		out = append(out, messenger.AppendRecord{
			Stream: quarantiner.Stream,
			Data:   data,
		})
	}
	return out
}

// recordVerdicts records in the time line which requests are refused from now on, or no
// longer. An entry names the last server that ended, because bursts of entries about
// other VMs are summarized in the log.
func (r *Reducer) recordVerdicts() []messenger.Effect {
	var out []messenger.Effect
	for _, c := range r.quarantine.Changes() {
		var last identifier.VMID
		if n := len(c.Servers); n > 0 {
			last = c.Servers[n-1]
		}
		detail := fmt.Sprintf("fingerprint=%s servers=%v", c.Request, c.Servers)
		out = append(out, verdictEntry(c, last, detail))
	}
	return out
}

func verdictEntry(c quarantiner.Change, last identifier.VMID, detail string) messenger.TimelineEntry {
	switch {
	case c.Part && c.Refused:
		return messenger.TimelineEntry{
			Kind:   "part_quarantined",
			VM:     last,
			Detail: detail,
		}
	case c.Part:
		return messenger.TimelineEntry{
			Kind:   "part_released",
			VM:     last,
			Detail: detail,
		}
	case c.Refused:
		return messenger.TimelineEntry{
			Kind:   "request_quarantined",
			VM:     last,
			Detail: detail,
		}
	}
	return messenger.TimelineEntry{
		Kind:   "request_released",
		VM:     last,
		Detail: detail,
	}
}

func (r *Reducer) quarantineUnreadable(err error) messenger.Effect {
	return messenger.TimelineEntry{
		Kind:   "quarantine_unreadable",
		VM:     r.config.Self,
		Detail: err.Error(),
	}
}

// quarantineRead applies the requests that were refused before this node started.
func (r *Reducer) quarantineRead(env *conductor.Env, e messenger.LogRead) []messenger.Effect {
	if err := r.quarantine.ApplyRecords(env.Now, e.Records); err != nil {
		return []messenger.Effect{r.quarantineUnreadable(err)}
	}
	return nil
}

func (r *Reducer) quarantineAppended(e messenger.AppendEnded) {
	if e.Stream == quarantiner.Stream && e.OK {
		r.quarantine.SnapshotStored()
	}
}
