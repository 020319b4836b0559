package reducer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The streams of the platform's log.
const (
	configStream identifier.LogStream = "config"
	leaseStream  identifier.LogStream = "leases"
)

func newFiles() *configurer.State {
	return configurer.New(configurer.Config{})
}

func newClaims(c Config) *claimer.Table {
	return claimer.New(claimer.Config{
		Self:       c.Self,
		Partitions: c.Partitions,
		MaxEntries: defaultMaxClaims,
		Retention:  c.LogRetention,
	})
}

func newProvisioner(c Config) *provisioner.Provisioner {
	return provisioner.New(provisioner.Config{
		Self:        c.Self,
		Incarnation: c.Incarnation,
		Retention:   c.LogRetention,
		LoadTime:    c.LoadTime,
	})
}

// Streams returns the log streams that the node has to be fed, in order.
func (r *Reducer) Streams() []identifier.LogStream {
	if r.gateway != nil {
		return r.gateway.streams()
	}
	return append([]identifier.LogStream{configStream, leaseStream, quarantiner.Stream}, r.claims.Streams()...)
}

func (r *Reducer) logRead(w *conductor.Env, e messenger.LogRead) []messenger.Effect {
	if r.gateway != nil {
		return r.gatewayLogRead(w, e)
	}
	switch e.Stream {
	case configStream:
		return r.configRead(w, e)
	case leaseStream:
		r.provisioner.LogRead(w.Now, e)
		return nil
	case quarantiner.Stream:
		return r.quarantineRead(w, e)
	}
	return r.requests.ClaimsDecided(w, r.claims.Absorb(w.Now, e))
}

func (r *Reducer) configRead(w *conductor.Env, e messenger.LogRead) []messenger.Effect {
	before := r.revision()
	r.timers.configOut = timekeeper.Never
	out := r.changesJudged(r.files.Absorb(w.Now, e))
	return append(out, r.configApplied(w, before)...)
}

// changesJudged tells the operators of this node what became of their changes.
func (r *Reducer) changesJudged(applied []configurer.Applied) []messenger.Effect {
	var out []messenger.Effect
	for _, a := range applied {
		out = append(out, messenger.TimelineEntry{
			Kind:   "config_decided",
			VM:     r.config.Self,
			Detail: fmt.Sprintf("revision=%d accepted=%t", a.Revision, a.Verdict.Accepted),
		})
		if a.Ticket != 0 {
			out = append(out, messenger.ReplyOperator{
				Ticket:  a.Ticket,
				Verdict: a.Verdict,
			})
		}
	}
	return out
}

// configApplied lets the other slices see a configuration that just came into
// force.
func (r *Reducer) configApplied(w *conductor.Env, before identifier.Revision) []messenger.Effect {
	now := r.revision()
	if now == before {
		return nil
	}
	r.limits.SetCatalog(w.Now, r.files.Catalog())
	r.claims.SetRetention(r.files.Catalog().LogRetention)
	r.provisioner.SetRetention(r.files.Catalog().LogRetention)
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "config_in_force",
			VM:     r.config.Self,
			Detail: fmt.Sprintf("revision=%d", now),
		},
	}
}

// revision returns the configuration in force, zero before the first.
func (r *Reducer) revision() identifier.Revision {
	if r.gateway != nil {
		return r.gateway.revision()
	}
	return r.files.Catalog().Revision
}

func (r *Reducer) logUnavailable(w *conductor.Env, e messenger.LogUnavailable) []messenger.Effect {
	if r.gateway != nil {
		return nil // Leases lapse by themselves.
	}
	if e.Stream == configStream && r.timers.configOut == timekeeper.Never {
		r.timers.configOut = w.Now
	}
	r.claims.Unavailable(w.Now, e.Stream)
	return nil
}

func (r *Reducer) changeProposed(w *conductor.Env, e messenger.ChangeProposed) []messenger.Effect {
	r.timers.proposals++
	nonce := identifier.Nonce(fmt.Sprintf("%s.%d.%d", r.config.Self, r.config.Incarnation, r.timers.proposals))
	record, err := r.proposal(w.Now, e, nonce)
	if err != nil {
		return []messenger.Effect{
			messenger.ReplyOperator{
				Ticket: e.Ticket,
				Verdict: messenger.ChangeVerdict{
					Faults: []string{err.Error()},
				},
			},
		}
	}
	r.timers.changes[e.Ticket] = nonce
	return []messenger.Effect{r.appendChange(e.Ticket, record)}
}

func (r *Reducer) appendChange(t identifier.Ticket, record []byte) messenger.AppendRecord {
	return messenger.AppendRecord{
		Ticket: t,
		Stream: configStream,
		Data:   record,
	}
}

// changeAgain is the spacing of appends of a change that has no verdict yet.
const changeAgain = 1 * timekeeper.Second

// tickChanges appends the changes without a verdict again: the log may have
// failed the append or never had it. The nonce makes the copies count once.
func (r *Reducer) tickChanges(w *conductor.Env) []messenger.Effect {
	if w.Now.Before(r.timers.nextChange) {
		return nil
	}
	r.timers.nextChange = w.Now.Add(changeAgain)
	var out []messenger.Effect
	for _, t := range slices.Sorted(maps.Keys(r.timers.changes)) {
		record, waits := r.files.Again(r.timers.changes[t])
		if !waits {
			delete(r.timers.changes, t)
			continue
		}
		out = append(out, r.appendChange(t, record))
	}
	return out
}

// proposal returns the record of an operator's change.
func (r *Reducer) proposal(now timekeeper.Time, e messenger.ChangeProposed, nonce identifier.Nonce) ([]byte, error) {
	if e.Restore != nil {
		return r.files.ProposeRestore(now, e.Restore, e.Ticket, nonce)
	}
	return r.files.Propose(now, e, nonce)
}

// tickConfig answers operators whose change the log does not settle, appends
// a due snapshot, and asks a peer for the configuration while the log is out.
func (r *Reducer) tickConfig(w *conductor.Env) []messenger.Effect {
	var out []messenger.Effect
	for _, a := range r.files.Timeouts(w.Now) {
		out = append(out, messenger.ReplyOperator{
			Ticket:  a.Ticket,
			Verdict: a.Verdict,
		})
	}
	out = append(out, r.tickChanges(w)...)
	if record, due := r.files.SnapshotDue(w.Now, r.rand); due {
		out = append(out, messenger.AppendRecord{
			Stream: configStream,
			Data:   record,
		})
	}
	return append(out, r.tickFetch(w)...)
}

const (
	// fetchAfter is how long the log is out before a peer is asked.
	fetchAfter = 1 * timekeeper.Second
	// fetchEvery is the spacing of such questions.
	fetchEvery = 1 * timekeeper.Second
)

// tickFetch asks a peer that has a newer configuration. A node that starts
// while the log is out would otherwise refuse everything, and one that was cut
// off from the log alone would serve by old settings.
func (r *Reducer) tickFetch(w *conductor.Env) []messenger.Effect {
	out := r.timers.configOut != timekeeper.Never && w.Now.Sub(r.timers.configOut) >= fetchAfter
	if !out || w.Now.Before(r.timers.nextFetch) {
		return nil
	}
	peer, ok := r.newerPeer()
	if !ok {
		return nil
	}
	r.timers.nextFetch = w.Now.Add(fetchEvery)
	return []messenger.Effect{
		messenger.FetchConfiguration{
			Peer:    peer.VM,
			Address: peer.PeerAddress,
		},
	}
}

// newerPeer returns the node with the newest configuration, if it is newer
// than this node's own.
func (r *Reducer) newerPeer() (gossiper.Node, bool) {
	best := r.revision()
	var found gossiper.Node
	news := r.members.Statuses()
	for _, n := range r.members.Nodes() {
		if rev := news[n.VM].Revision; n.VM != r.config.Self && rev > best {
			best = rev
			found = n
		}
	}
	return found, found.VM != ""
}

func (r *Reducer) configurationReceived(w *conductor.Env, e messenger.ConfigurationReceived) []messenger.Effect {
	before := r.revision()
	applied, err := r.files.Import(w.Now, e.Data)
	if err != nil {
		return []messenger.Effect{
			messenger.TimelineEntry{
				Kind:   "config_unreadable",
				VM:     e.From,
				Detail: err.Error(),
			},
		}
	}
	return append(r.changesJudged(applied), r.configApplied(w, before)...)
}

// ExportConfiguration returns the state of the configuration for a peer, and
// whether there is one.
func (r *Reducer) ExportConfiguration() ([]byte, bool) {
	if r.gateway != nil {
		return r.gateway.data, r.gateway.catalog != nil
	}
	if r.Catalog() == nil {
		return nil, false
	}
	return r.files.Export(), true
}
