package throttler

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Backoffs holds the times until which servers that rejected a request of this node
// accept none of it. They bind this node only: a server asks each node by itself.
//
// A server that rejects everything has nothing running, so that at the end of its backoff each
// node would prefer it to all others. It counts as recovering until it serves a request, but
// at most for as long again as it asked for.
type Backoffs struct {
	servers map[identifier.VMID]backoff
}

// backoff is the backoff of one server, and the time until which it counts as recovering.
type backoff struct {
	until, recoversBy timekeeper.Time
}

// NewBackoffs returns Backoffs without a server.
func NewBackoffs() *Backoffs {
	return &Backoffs{servers: map[identifier.VMID]backoff{}}
}

// Record records that a server asked to be sent nothing for a time. A shorter time that
// it stated later does not shorten an earlier one: answers may arrive out of order.
func (b *Backoffs) Record(now timekeeper.Time, server identifier.VMID, asked timekeeper.Duration) {
	known, ok := b.servers[server]
	if asked <= 0 || !ok && len(b.servers) >= maxServers {
		return
	}
	b.servers[server] = backoff{
		until:      max(known.until, now.Add(asked)),
		recoversBy: max(known.recoversBy, now.Add(2*asked)),
	}
}

// Until returns the end of a server's backoff, or zero if it has none.
func (b *Backoffs) Until(now timekeeper.Time, server identifier.VMID) timekeeper.Time {
	until := b.servers[server].until
	if !now.Before(until) {
		return 0
	}
	return until
}

// Recovering reports whether a server rejected a request lately and has served none since.
func (b *Backoffs) Recovering(now timekeeper.Time, server identifier.VMID) bool {
	return now.Before(b.servers[server].recoversBy)
}

// Served records that a server serves a request that was sent at the given time.
func (b *Backoffs) Served(server identifier.VMID, sent timekeeper.Time) {
	if known, ok := b.servers[server]; ok && !sent.Before(known.until) {
		delete(b.servers, server)
	}
}

// Forget drops a server that has ended. One whose entry lapsed may live on.
func (b *Backoffs) Forget(server identifier.VMID) { delete(b.servers, server) }

// Tick drops the servers that no longer count as recovering.
func (b *Backoffs) Tick(now timekeeper.Time) {
	for server, known := range b.servers {
		if !now.Before(known.recoversBy) {
			delete(b.servers, server)
		}
	}
}
