package throttler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxServers bounds the table.
	maxServers = 8192
	// rateStep is the relative difference from which on a rate is a new one.
	rateStep = 0.1
)

// Table is the limits of backend servers as one node knows them.
type Table struct{ servers map[identifier.VMID]*record }

// record is what is known of one server.
type record struct {
	server  identifier.VMID
	limited bool
	rate    identifier.RequestRate
	// at is when an answer that states the limit arrived. Once the limit is lifted it
	// is when the request was sent whose answer states none: the server was asked no
	// earlier than that.
	at timekeeper.Time
}

// Change is a limit that is new, differs from what was known, or is lifted.
type Change struct {
	Server  identifier.VMID
	Limited bool
	Rate    identifier.RequestRate
}

// New returns an empty table.
func New() *Table {
	return &Table{servers: map[identifier.VMID]*record{}}
}

// Heard takes in what an answer states, and reports a change.
//
// An answer without a limit lifts one only if its request was sent after the limit was
// last stated: the answers of a server overtake one another.
func (t *Table) Heard(now timekeeper.Time, e messenger.ServerLimitHeard) (Change, bool) {
	if e.Limit.Named {
		return t.put(record{
			server:  e.Server,
			limited: true,
			rate:    e.Limit.Rate,
			at:      now,
		})
	}
	known := t.servers[e.Server]
	if known == nil || !e.Sent.After(known.at) {
		return Change{}, false
	}
	return t.put(record{
		server: e.Server,
		at:     e.Sent,
	})
}

// put replaces what is known of a server, and reports whether that is a change.
func (t *Table) put(next record) (Change, bool) {
	known := t.servers[next.server]
	if known == nil {
		if !next.limited || len(t.servers) >= maxServers {
			return Change{}, false
		}
		known = &record{server: next.server}
		t.servers[next.server] = known
	}
	changed := known.limited != next.limited || known.differs(next.rate)
	*known = next
	return Change{
		Server:  next.server,
		Limited: next.limited,
		Rate:    next.rate,
	}, changed
}

// differs reports whether a rate is a new one.
func (r *record) differs(rate identifier.RequestRate) bool {
	return max(rate, r.rate) > min(rate, r.rate)*(1+rateStep)
}

// Of returns the rate that a server accepts from all nodes, and whether it states one.
func (t *Table) Of(server identifier.VMID) (identifier.RequestRate, bool) {
	r := t.servers[server]
	if r == nil || !r.limited {
		return 0, false
	}
	return r.rate, true
}

// Forget drops a server that is no more.
func (t *Table) Forget(server identifier.VMID) { delete(t.servers, server) }
