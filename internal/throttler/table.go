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
	// liftedKeep is how long a limit that was lifted is remembered, so that older news
	// of peers does not bring it back.
	liftedKeep = 30 * timekeeper.Second
)

// Table is the limits of backend servers as one node knows them.
type Table struct {
	servers map[identifier.VMID]*record
	// turn is the last server without news that was reported to peers.
	turn identifier.VMID
	news news
}

// record is what is known of one server.
type record struct {
	server  identifier.VMID
	limited bool
	rate    identifier.RequestRate
	// at is when an answer that states the limit arrived. Once the limit is lifted it
	// is when the request was sent whose answer states none: the server was asked no
	// earlier than that.
	at timekeeper.Time
	// changed is when this node learned of the limit.
	changed timekeeper.Time
	found   bool
	// paused is until when there is no permit for this node.
	paused timekeeper.Time
}

// Change is a limit that is new, differs from what was known, or is lifted.
type Change struct {
	Server  identifier.VMID
	Limited bool
	Rate    identifier.RequestRate
	// Direct reports whether an answer to this node stated the limit.
	Direct bool
}

// New returns an empty table.
func New() *Table {
	return &Table{servers: map[identifier.VMID]*record{}}
}

// Observe applies what a server's answer states of its limit, and reports whether it
// is a change.
//
// An answer without a limit lifts one only if its request was sent after the limit was
// last stated: the answers of a server overtake one another.
func (t *Table) Observe(now timekeeper.Time, e messenger.ServerLimitHeard) (Change, bool) {
	if e.Limit.Named {
		return t.put(now, record{
			server:  e.Server,
			limited: true,
			rate:    e.Limit.Rate,
			at:      now,
			found:   true,
		})
	}
	known := t.servers[e.Server]
	if known == nil || !known.limited || !e.Sent.After(known.at) {
		return Change{}, false
	}
	return t.put(now, record{
		server: e.Server,
		at:     e.Sent,
		found:  true,
	})
}

// put replaces what is known of a server, and reports whether that is a change.
func (t *Table) put(now timekeeper.Time, next record) (Change, bool) {
	known := t.servers[next.server]
	if known == nil {
		if !next.limited || len(t.servers) >= maxServers {
			return Change{}, false
		}
		known = &record{server: next.server}
		t.servers[next.server] = known
	}
	if !known.differs(next) {
		known.at = next.at
		return Change{}, false
	}
	next.changed = now
	next.paused = known.paused
	*known = next
	return Change{
		Server:  next.server,
		Limited: next.limited,
		Rate:    next.rate,
		Direct:  next.found,
	}, true
}

// differs reports whether other says something else of the server.
func (r *record) differs(other record) bool {
	return r.limited != other.limited || max(r.rate, other.rate) > min(r.rate, other.rate)*(1+rateStep)
}

// Rate returns the rate that a server accepts from all nodes, and whether it states one.
func (t *Table) Rate(server identifier.VMID) (identifier.RequestRate, bool) {
	r := t.servers[server]
	if r == nil || !r.limited {
		return 0, false
	}
	return r.rate, true
}

// Pause notes that there is no permit to send to a server before an instant.
func (t *Table) Pause(server identifier.VMID, until timekeeper.Time) {
	if r := t.servers[server]; r != nil {
		r.paused = until
	}
}

// PausedUntil returns until when there is no permit to send to a server that states a
// limit, or zero where one may be had.
func (t *Table) PausedUntil(now timekeeper.Time, server identifier.VMID) timekeeper.Time {
	r := t.servers[server]
	if r == nil || !r.limited || !now.Before(r.paused) {
		return 0
	}
	return r.paused
}

// Forget drops a server that is no more.
func (t *Table) Forget(server identifier.VMID) { delete(t.servers, server) }

// Tick forgets limits that were lifted long ago.
func (t *Table) Tick(now timekeeper.Time) {
	for server, r := range t.servers {
		if !r.limited && now.Sub(r.changed) > liftedKeep {
			delete(t.servers, server)
		}
	}
}
