package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// endsSoon is how long a node gathers the requests of a server that ended before it
// tells peers of them: their connections break within some milliseconds, and each
// would be a message to every peer.
const endsSoon = 50 * timekeeper.Millisecond

// tellEndsSoon lets peers hear soon of a server that ended under a request: by then
// its caller may have sent it to one of them.
func (r *Reducer) tellEndsSoon(w *conductor.World) {
	if r.quarantine.ToTell() {
		r.gateway.nextShare = min(r.gateway.nextShare, w.Now.Add(endsSoon))
	}
}

// tickQuarantine forgets what is old, tells the time line which requests are refused,
// and keeps these in the log while this node holds the duties.
func (r *Reducer) tickQuarantine(w *conductor.World) []messenger.Effect {
	r.quarantine.Tick(w.Now)
	out := r.quarantineNotes()
	if _, _, held := r.gateway.leases.Held(dutyLease, w.Now); !held {
		return out
	}
	data, due, err := r.quarantine.StoreDue(w.Now)
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

func (r *Reducer) quarantineNotes() []messenger.Effect {
	var out []messenger.Effect
	for _, c := range r.quarantine.Changes() {
		kind := messenger.NoteKind("request_quarantined")
		if !c.Refused {
			kind = "request_released"
		}
		out = append(out, messenger.Note{
			Kind:   kind,
			VM:     r.config.Self,
			Detail: fmt.Sprintf("fingerprint=%s servers=%v", c.Request, c.Servers),
		})
	}
	return out
}

func (r *Reducer) quarantineUnreadable(err error) messenger.Effect {
	return messenger.Note{
		Kind:   "quarantine_unreadable",
		VM:     r.config.Self,
		Detail: err.Error(),
	}
}

// quarantineRead takes in the requests that were refused before this node started.
func (r *Reducer) quarantineRead(w *conductor.World, e messenger.LogRead) []messenger.Effect {
	r.gateway.quarantineRead = true
	if err := r.quarantine.Absorb(w.Now, e.Records); err != nil {
		return []messenger.Effect{r.quarantineUnreadable(err)}
	}
	return nil
}

func (r *Reducer) quarantineAppended(e messenger.AppendEnded) {
	if e.Stream == quarantiner.Stream && e.OK {
		r.quarantine.Stored()
	}
}
