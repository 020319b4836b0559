package throttler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	maxServers = 8192
	// minRateChange is the relative difference from which a rate counts as changed.
	minRateChange = 0.1
	// liftedRetention is the time for which a lifted limit is remembered, so that an
	// older update of a peer does not restore it.
	liftedRetention = 30 * timekeeper.Second
)

// Table holds the limits of backend servers that one node knows.
type Table struct {
	servers map[identifier.VMID]*record
	// lastRepeated is the last server whose unchanged entry was sent to peers.
	lastRepeated identifier.VMID
	last         updates
}

// record is the known limit of one server.
type record struct {
	server  identifier.VMID
	limited bool
	rate    identifier.RequestRate
	// statedAt is the arrival time of the last answer that stated the limit. Once the
	// limit is lifted, it is the time at which the request was sent whose answer stated
	// no limit: the server decided on it no earlier than that.
	statedAt timekeeper.Time
	// changedAt is the time at which this node learned of the last change.
	changedAt timekeeper.Time
	// direct reports whether an answer to this node stated the limit.
	direct bool
	// pausedUntil is the time before which this node gets no permit.
	pausedUntil timekeeper.Time
}

// Change is a limit that is new, changed or lifted.
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

// Observe applies the limit, or its absence, in a server's answer to this node, and
// reports whether it is a change.
//
// An answer without a limit lifts one only if its request was sent after the limit was
// last stated: answers of a server may arrive out of order.
func (t *Table) Observe(now timekeeper.Time, e messenger.ServerLimitReceived) (Change, bool) {
	if e.Limit.Stated {
		return t.put(now, record{
			server:   e.Server,
			limited:  true,
			rate:     e.Limit.Rate,
			statedAt: now,
			direct:   true,
		})
	}
	known := t.servers[e.Server]
	if known == nil || !known.limited || !e.Sent.After(known.statedAt) {
		return Change{}, false
	}
	return t.put(now, record{
		server:   e.Server,
		statedAt: e.Sent,
		direct:   true,
	})
}

// put replaces the record of a server, and reports whether it is a change.
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
		known.statedAt = next.statedAt
		return Change{}, false
	}
	next.changedAt = now
	next.pausedUntil = known.pausedUntil
	*known = next
	return Change{
		Server:  next.server,
		Limited: next.limited,
		Rate:    next.rate,
		Direct:  next.direct,
	}, true
}

// differs reports whether other is a limit that differs from r's.
func (r *record) differs(other record) bool {
	return r.limited != other.limited || max(r.rate, other.rate) > min(r.rate, other.rate)*(1+minRateChange)
}

// Rate returns the rate that a server accepts from all nodes, and whether it states one.
func (t *Table) Rate(server identifier.VMID) (identifier.RequestRate, bool) {
	r := t.servers[server]
	if r == nil || !r.limited {
		return 0, false
	}
	return r.rate, true
}

// Pause records that this node gets no permit for the server before the given time.
func (t *Table) Pause(server identifier.VMID, until timekeeper.Time) {
	if r := t.servers[server]; r != nil {
		r.pausedUntil = until
	}
}

// PausedUntil returns the time before which this node gets no permit for a limited
// server, or zero if it may ask for one.
func (t *Table) PausedUntil(now timekeeper.Time, server identifier.VMID) timekeeper.Time {
	r := t.servers[server]
	if r == nil || !r.limited || !now.Before(r.pausedUntil) {
		return 0
	}
	return r.pausedUntil
}

// Inherit moves the limit of an earlier start of a server to a later one if it was stated
// after that one began: the later start stated it, before this node knew of that start.
func (t *Table) Inherit(now timekeeper.Time, earlier, later identifier.VMID, began timekeeper.Time) (Change, bool) {
	known := t.servers[earlier]
	if known == nil || !known.limited || known.statedAt.Before(began) {
		return Change{}, false
	}
	delete(t.servers, earlier)
	next := *known
	next.server = later
	return t.put(now, next)
}

// Forget drops a server that has ended. One whose entry lapsed may live on.
func (t *Table) Forget(server identifier.VMID) { delete(t.servers, server) }

// Tick drops limits that were lifted longer ago than liftedRetention.
func (t *Table) Tick(now timekeeper.Time) {
	for server, r := range t.servers {
		if !r.limited && now.Sub(r.changedAt) > liftedRetention {
			delete(t.servers, server)
		}
	}
}
