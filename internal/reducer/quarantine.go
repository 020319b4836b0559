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

// endsSoon is how long a node gathers the requests of a server that ended before it
// tells peers of them: their connections break within some milliseconds, and each
// would be a message to every peer.
const endsSoon = 50 * timekeeper.Millisecond

// tellEndsSoon lets peers hear soon of a server that ended under a request: by then
// its caller may have sent it to one of them.
func (r *Reducer) tellEndsSoon(w *conductor.Env) {
	if !r.quarantine.PendingUpdates() {
		return
	}
	next := &r.timers.nextSuspects
	if r.gateway != nil {
		next = &r.gateway.nextShare
	}
	*next = min(*next, w.Now.Add(endsSoon))
}

// tellSuspects tells peers of the requests under which servers ended, if there are any.
// Nodes that serve opaque exchanges do so with what else they share.
func (r *Reducer) tellSuspects(w *conductor.Env) []messenger.Effect {
	if w.Now.Before(r.timers.nextSuspects) {
		return nil
	}
	r.timers.nextSuspects = w.Now.Add(shareEachTime)
	peers := slices.Clone(r.ranking.Peers())
	// Where nodes are many, what a node hears it passes on.
	passOn := len(peers) > sharePeers
	suspects := r.quarantine.Updates(w.Now, passOn)
	if len(suspects) == 0 {
		return nil
	}
	if passOn {
		r.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:sharePeers]
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

// keepsQuarantine reports whether this node keeps the requests that are refused in the
// log: the holder of the duties, or else the first of the nodes. Two that do so for a
// while write the same.
func (r *Reducer) keepsQuarantine(now timekeeper.Time) bool {
	if r.gateway == nil {
		return r.ranking.Chosen(string(quarantiner.Stream), 1)
	}
	_, _, held := r.gateway.leases.Held(dutyLease, now)
	return held
}

// tickQuarantine forgets what is old, tells the time line which requests are refused,
// and keeps these in the log where that is for this node to do.
func (r *Reducer) tickQuarantine(w *conductor.Env) []messenger.Effect {
	r.quarantine.Tick(w.Now)
	out := r.quarantineNotes()
	if !r.keepsQuarantine(w.Now) {
		return out
	}
	data, due, err := r.quarantine.SnapshotDue(w.Now)
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

// quarantineNotes tells the time line which requests are refused from now on, or no
// longer. The notes name the last server that ended, as notes of others' VMs are summed
// up in the log where they come in crowds.
func (r *Reducer) quarantineNotes() []messenger.Effect {
	var out []messenger.Effect
	for _, c := range r.quarantine.Changes() {
		var last identifier.VMID
		if n := len(c.Servers); n > 0 {
			last = c.Servers[n-1]
		}
		detail := fmt.Sprintf("fingerprint=%s servers=%v", c.Request, c.Servers)
		if !c.Refused {
			out = append(out, messenger.TimelineEntry{
				Kind:   "request_released",
				VM:     last,
				Detail: detail,
			})
			continue
		}
		out = append(out, messenger.TimelineEntry{
			Kind:   "request_quarantined",
			VM:     last,
			Detail: detail,
		})
	}
	return out
}

func (r *Reducer) quarantineUnreadable(err error) messenger.Effect {
	return messenger.TimelineEntry{
		Kind:   "quarantine_unreadable",
		VM:     r.config.Self,
		Detail: err.Error(),
	}
}

// quarantineRead takes in the requests that were refused before this node started.
func (r *Reducer) quarantineRead(w *conductor.Env, e messenger.LogRead) []messenger.Effect {
	if err := r.quarantine.ApplyRecords(w.Now, e.Records); err != nil {
		return []messenger.Effect{r.quarantineUnreadable(err)}
	}
	return nil
}

func (r *Reducer) quarantineAppended(e messenger.AppendEnded) {
	if e.Stream == quarantiner.Stream && e.OK {
		r.quarantine.SnapshotStored()
	}
}
