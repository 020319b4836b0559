package throttler

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Backoffs holds the times until which servers that rejected a request of this node
// accept none of it. They bind this node only: a server asks each node by itself.
type Backoffs struct {
	until map[identifier.VMID]timekeeper.Time
}

// NewBackoffs returns Backoffs without a server.
func NewBackoffs() *Backoffs {
	return &Backoffs{until: map[identifier.VMID]timekeeper.Time{}}
}

// Record records that a server asked to be sent nothing for a time. A shorter time that
// it stated later does not shorten an earlier one: answers may arrive out of order.
func (b *Backoffs) Record(now timekeeper.Time, server identifier.VMID, backoff timekeeper.Duration) {
	until, known := b.until[server]
	if backoff <= 0 || !known && len(b.until) >= maxServers {
		return
	}
	b.until[server] = max(until, now.Add(backoff))
}

// Until returns the end of a server's backoff, or zero if it has none.
func (b *Backoffs) Until(now timekeeper.Time, server identifier.VMID) timekeeper.Time {
	until := b.until[server]
	if !now.Before(until) {
		return 0
	}
	return until
}

// Forget drops a server that has ended. One whose entry lapsed may live on.
func (b *Backoffs) Forget(server identifier.VMID) { delete(b.until, server) }

// Tick drops the backoffs that have ended.
func (b *Backoffs) Tick(now timekeeper.Time) {
	for server, until := range b.until {
		if !now.Before(until) {
			delete(b.until, server)
		}
	}
}
