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
	// newsTime is for how long a change is reported: peers get reports twice a second.
	newsTime = 2 * timekeeper.Second
	// maxNews bounds the changes in one message, and maxRepeats what is repeated
	// beside them, so that nodes that were cut off, frozen or not there yet hear of it.
	maxNews    = 32
	maxRepeats = 8
)

// news is the last report to peers.
type news struct {
	at     timekeeper.Time
	passOn bool
	limits []messenger.ServerLimit
}

// Updates returns the report to peers: what changed lately, of what answers to this node
// state, or of all where it passes on news for others; and some of the rest in turn.
func (t *Table) Updates(now timekeeper.Time, passOn bool) []messenger.ServerLimit {
	if len(t.servers) == 0 {
		return nil
	}
	if t.news.at == now && t.news.passOn == passOn {
		return t.news.limits // Relays tell many peers at an instant.
	}
	var fresh, rest []*record
	for _, server := range slices.Sorted(maps.Keys(t.servers)) {
		r := t.servers[server]
		if now.Sub(r.changed) <= newsTime && (r.found || passOn) {
			fresh = append(fresh, r)
			continue
		}
		rest = append(rest, r)
	}
	slices.SortStableFunc(fresh, func(a, b *record) int { return cmp.Compare(b.changed, a.changed) })
	fresh = fresh[:min(len(fresh), maxNews)]
	t.news = news{
		at:     now,
		passOn: passOn,
		limits: export(now, append(fresh, t.turnOf(rest)...)),
	}
	return t.news.limits
}

// turnOf returns the next few of the records that are sorted by server.
func (t *Table) turnOf(rest []*record) []*record {
	first, _ := slices.BinarySearchFunc(rest, t.turn, func(r *record, server identifier.VMID) int {
		return cmp.Or(cmp.Compare(r.server, server), -1)
	})
	var out []*record
	for i := range min(len(rest), maxRepeats) {
		r := rest[(first+i)%len(rest)]
		t.turn = r.server
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
		Age:     now.Sub(r.at),
	}
}

// Export returns what is known of some servers that state a limit, for a peer.
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
		server:  l.Server,
		limited: l.Limited,
		rate:    l.Rate,
		at:      now.Add(-l.Age),
	}
	known := t.servers[l.Server]
	if known != nil && (!known.differs(next) || !next.at.After(known.at)) {
		return Change{}, false
	}
	return t.put(now, next)
}
