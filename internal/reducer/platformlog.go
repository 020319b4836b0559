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

// The log streams of the configuration and of leases.
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

// Streams returns the log streams that the node follows, in order.
func (r *Reducer) Streams() []identifier.LogStream {
	if r.gateway != nil {
		return r.gateway.streams()
	}
	return append([]identifier.LogStream{configStream, leaseStream, quarantiner.Stream}, r.claims.Streams()...)
}

func (r *Reducer) logRead(env *conductor.Env, e messenger.LogRead) []messenger.Effect {
	if r.gateway != nil {
		return r.gatewayLogRead(env, e)
	}
	switch e.Stream {
	case configStream:
		return r.configRead(env, e)
	case leaseStream:
		r.provisioner.LogRead(env.Now, e)
		return nil
	case quarantiner.Stream:
		return r.quarantineRead(env, e)
	}
	return r.requests.ClaimsDecided(env, r.claims.ApplyRecords(env.Now, e))
}

func (r *Reducer) configRead(env *conductor.Env, e messenger.LogRead) []messenger.Effect {
	before := r.revision()
	r.timers.configUnavailableSince = timekeeper.Never
	out := r.replyVerdicts(r.files.ApplyRecords(env.Now, e))
	return append(out, r.configApplied(env, before)...)
}

// replyVerdicts records the verdicts on changes of the configuration, and replies to
// the operators of this node that proposed them.
func (r *Reducer) replyVerdicts(applied []configurer.Applied) []messenger.Effect {
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

// configApplied passes a configuration that came into force to the other parts of the
// state. before is the previous revision.
func (r *Reducer) configApplied(env *conductor.Env, before identifier.Revision) []messenger.Effect {
	revision := r.revision()
	if revision == before {
		return nil
	}
	r.limits.SetCatalog(env.Now, r.files.Catalog())
	r.claims.SetRetention(r.files.Catalog().LogRetention)
	r.provisioner.SetRetention(r.files.Catalog().LogRetention)
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "config_in_force",
			VM:     r.config.Self,
			Detail: fmt.Sprintf("revision=%d", revision),
		},
	}
}

// revision returns the revision of the configuration in force, or zero before the
// first.
func (r *Reducer) revision() identifier.Revision {
	if r.gateway != nil {
		return r.gateway.revision()
	}
	return r.files.Catalog().Revision
}

func (r *Reducer) logUnavailable(env *conductor.Env, e messenger.LogUnavailable) []messenger.Effect {
	if r.gateway != nil {
		return nil // Leases expire by themselves.
	}
	if e.Stream == configStream && r.timers.configUnavailableSince == timekeeper.Never {
		r.timers.configUnavailableSince = env.Now
	}
	r.claims.ReadFailed(env.Now, e.Stream)
	return nil
}

func (r *Reducer) changeProposed(env *conductor.Env, e messenger.ChangeProposed) []messenger.Effect {
	r.timers.proposals++
	nonce := identifier.Nonce(fmt.Sprintf("%s.%d.%d", r.config.Self, r.config.Incarnation, r.timers.proposals))
	record, err := r.proposal(env.Now, e, nonce)
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
	r.timers.pendingChanges[e.Ticket] = nonce
	return []messenger.Effect{r.appendChange(e.Ticket, record)}
}

func (r *Reducer) appendChange(t identifier.Ticket, record []byte) messenger.AppendRecord {
	return messenger.AppendRecord{
		Ticket: t,
		Stream: configStream,
		Data:   record,
	}
}

// changeRetryInterval is the time between appends of a change without a verdict.
const changeRetryInterval = 1 * timekeeper.Second

// tickChanges appends changes without a verdict again, because an append may have
// failed or been lost. The nonce makes the records idempotent.
func (r *Reducer) tickChanges(env *conductor.Env) []messenger.Effect {
	if env.Now.Before(r.timers.nextChange) {
		return nil
	}
	r.timers.nextChange = env.Now.Add(changeRetryInterval)
	var out []messenger.Effect
	for _, t := range slices.Sorted(maps.Keys(r.timers.pendingChanges)) {
		record, pending := r.files.PendingRecord(r.timers.pendingChanges[t])
		if !pending {
			delete(r.timers.pendingChanges, t)
			continue
		}
		out = append(out, r.appendChange(t, record))
	}
	return out
}

// proposal returns the log record of an operator's change.
func (r *Reducer) proposal(now timekeeper.Time, e messenger.ChangeProposed, nonce identifier.Nonce) ([]byte, error) {
	if e.Restore != nil {
		return r.files.ProposeRestore(now, e.Restore, e.Ticket, nonce)
	}
	return r.files.Propose(now, e, nonce)
}

// tickConfig replies to operators whose changes timed out, appends a snapshot if due,
// and fetches the configuration from a peer while the log is unavailable.
func (r *Reducer) tickConfig(env *conductor.Env) []messenger.Effect {
	var out []messenger.Effect
	for _, a := range r.files.Timeouts(env.Now) {
		out = append(out, messenger.ReplyOperator{
			Ticket:  a.Ticket,
			Verdict: a.Verdict,
		})
	}
	out = append(out, r.tickChanges(env)...)
	if record, due := r.files.SnapshotDue(env.Now, r.rand); due {
		out = append(out, messenger.AppendRecord{
			Stream: configStream,
			Data:   record,
		})
	}
	return append(out, r.tickFetch(env)...)
}

const (
	// fetchDelay is the time for which the log is unavailable before the configuration
	// is fetched from a peer.
	fetchDelay    = 1 * timekeeper.Second
	fetchInterval = 1 * timekeeper.Second
)

// tickFetch fetches the configuration from a peer that has a newer one. Otherwise a
// node that starts while the log is unavailable would refuse all requests, and one that
// lost only the log would serve with outdated settings.
func (r *Reducer) tickFetch(env *conductor.Env) []messenger.Effect {
	unavailable := r.timers.configUnavailableSince != timekeeper.Never && env.Now.Sub(r.timers.configUnavailableSince) >= fetchDelay
	if !unavailable || env.Now.Before(r.timers.nextFetch) {
		return nil
	}
	peer, ok := r.newerPeer()
	if !ok {
		return nil
	}
	r.timers.nextFetch = env.Now.Add(fetchInterval)
	return []messenger.Effect{
		messenger.FetchConfiguration{
			Peer:    peer.VM,
			Address: peer.PeerAddress,
		},
	}
}

// newerPeer returns the node with the newest configuration, if it is newer than this
// node's.
func (r *Reducer) newerPeer() (gossiper.Node, bool) {
	best := r.revision()
	var newest gossiper.Node
	statuses := r.members.Statuses()
	for _, n := range r.members.Nodes() {
		if revision := statuses[n.VM].Revision; n.VM != r.config.Self && revision > best {
			best = revision
			newest = n
		}
	}
	return newest, newest.VM != ""
}

func (r *Reducer) configurationReceived(env *conductor.Env, e messenger.ConfigurationReceived) []messenger.Effect {
	before := r.revision()
	applied, err := r.files.Import(env.Now, e.Data)
	if err != nil {
		return []messenger.Effect{
			messenger.TimelineEntry{
				Kind:   "config_unreadable",
				VM:     e.From,
				Detail: err.Error(),
			},
		}
	}
	return append(r.replyVerdicts(applied), r.configApplied(env, before)...)
}

// ExportConfiguration returns the state of the configuration for a peer, or false if
// there is none.
func (r *Reducer) ExportConfiguration() ([]byte, bool) {
	if r.gateway != nil {
		return r.gateway.catalogData, r.gateway.catalog != nil
	}
	if r.Catalog() == nil {
		return nil, false
	}
	return r.files.Export(), true
}
