package throttler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// updateWindow is the time for which a change is reported. Peers receive updates
	// twice a second.
	updateWindow = 2 * timekeeper.Second
	// maxUpdates bounds the recent changes in one message. maxRepeats bounds the older
	// entries that are repeated in addition, for nodes that were partitioned, paused or
	// not yet started when these changed.
	maxUpdates = 32
	maxRepeats = 8
)

// updates is what Updates returned last.
type updates struct {
	at              timekeeper.Time
	includeReceived bool
	limits          []messenger.ServerLimit
}

// Updates returns the limits to report to peers: those that changed recently, and some of
// the others in rotation. Recent changes that this node learned from peers are included
// only if includeReceived is set, as relays do.
func (t *Table) Updates(now timekeeper.Time, includeReceived bool) []messenger.ServerLimit {
	if len(t.servers) == 0 {
		return nil
	}
	if t.last.at == now && t.last.includeReceived == includeReceived {
		return t.last.limits // Relays send to many peers at the same instant.
	}
	var recent, unchanged []*record
	for _, server := range slices.Sorted(maps.Keys(t.servers)) {
		r := t.servers[server]
		if now.Sub(r.changedAt) <= updateWindow && (r.direct || includeReceived) {
			recent = append(recent, r)
			continue
		}
		unchanged = append(unchanged, r)
	}
	slices.SortStableFunc(recent, func(a, b *record) int { return cmp.Compare(b.changedAt, a.changedAt) })
	recent = recent[:min(len(recent), maxUpdates)]
	t.last = updates{
		at:              now,
		includeReceived: includeReceived,
		limits:          export(now, append(recent, t.nextRepeats(unchanged)...)),
	}
	return t.last.limits
}

// nextRepeats returns the next records to repeat. The records are sorted by server.
func (t *Table) nextRepeats(unchanged []*record) []*record {
	first, _ := slices.BinarySearchFunc(unchanged, t.lastRepeated, func(r *record, server identifier.VMID) int {
		return cmp.Or(cmp.Compare(r.server, server), -1)
	})
	var out []*record
	for i := range min(len(unchanged), maxRepeats) {
		r := unchanged[(first+i)%len(unchanged)]
		t.lastRepeated = r.server
		out = append(out, r)
	}
	return out
}

func export(now timekeeper.Time, records []*record) []messenger.ServerLimit {
	var out []messenger.ServerLimit
	for _, r := range records {
		out = append(out, r.export(now))
	}
	return out
}

func (r *record) export(now timekeeper.Time) messenger.ServerLimit {
	return messenger.ServerLimit{
		Server:  r.server,
		Limited: r.limited,
		Rate:    r.rate,
		Age:     now.Sub(r.statedAt),
	}
}

// Export returns the entries of those of the servers that the table knows, for a peer.
func (t *Table) Export(now timekeeper.Time, servers []identifier.VMID) []messenger.ServerLimit {
	var out []messenger.ServerLimit
	for _, server := range servers {
		if r := t.servers[server]; r != nil {
			out = append(out, r.export(now))
		}
	}
	return out
}

// Merge applies a server's limit that a peer reported, and reports whether it is a
// change. A report that repeats a known limit is ignored: the transit time of the
// message would make the limit look newer with each exchange between two nodes.
func (t *Table) Merge(now timekeeper.Time, l messenger.ServerLimit) (Change, bool) {
	next := record{
		server:   l.Server,
		limited:  l.Limited,
		rate:     l.Rate,
		statedAt: now.Add(-l.Age),
	}
	known := t.servers[l.Server]
	if known != nil && (!known.differs(next) || !next.statedAt.After(known.statedAt)) {
		return Change{}, false
	}
	return t.put(now, next)
}
