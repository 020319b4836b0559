package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxEntryLifetime is the longest time for which the entry of an unresponsive
	// server remains: three missed renewals of 1.2 s and their transfer.
	maxEntryLifetime = 6 * timekeeper.Second
	// maxUnresponsive bounds the servers, and the requests per server, that are tracked
	// for that time.
	maxUnresponsive = 64
)

// recordServerEnd records that a server ended, or may have ended, during an exchange's
// current attempt. The end of a leaving server was announced and is not attributed to
// the request.
func (d *Dispatcher) recordServerEnd(env Env, x *exchange, result messenger.AttemptResult, serverEnded bool) {
	server := x.current.server
	known, ok := env.Servers.Server(server)
	if !ok || known.State != messenger.ServerReady {
		return
	}
	switch {
	case result == messenger.AttemptNotSent:
		if serverEnded {
			d.unresponsive.serverRemoved(env, server)
		}
	case result != messenger.AttemptBroken && result != messenger.AttemptTimedOut:
	case serverEnded:
		env.Quarantine.ServerEnded(env.Now, x.fingerprint, server, x.parts...)
	default:
		d.unresponsive.add(env.Now, server, x)
	}
}

// unresponsiveServers holds, by server, the requests that the server stopped answering,
// or whose connection broke while its VM did not state whether the server still
// listens. If the server is removed shortly after, it counts as ended during these
// requests: a VM that fails as a whole refuses no connection that would show it.
type unresponsiveServers map[identifier.VMID][]unansweredRequest

// unansweredRequest is a request and the time at which its answer stopped.
type unansweredRequest struct {
	fingerprint identifier.Fingerprint
	parts       []identifier.Fingerprint
	at          timekeeper.Time
}

func (u unresponsiveServers) add(now timekeeper.Time, server identifier.VMID, x *exchange) {
	if len(u) >= maxUnresponsive {
		u.removeExpired(now)
	}
	if len(u) >= maxUnresponsive || len(u[server]) >= maxUnresponsive {
		return
	}
	u[server] = append(u[server], unansweredRequest{
		fingerprint: x.fingerprint,
		parts:       x.parts,
		at:          now,
	})
}

func (u unresponsiveServers) removeExpired(now timekeeper.Time) {
	for server, all := range u {
		if now.Sub(all[len(all)-1].at) > maxEntryLifetime {
			delete(u, server)
		}
	}
}

// serverRemoved counts the server as ended during its recent unanswered requests.
func (u unresponsiveServers) serverRemoved(env Env, server identifier.VMID) {
	for _, s := range u[server] {
		if env.Now.Sub(s.at) <= maxEntryLifetime {
			env.Quarantine.ServerEnded(env.Now, s.fingerprint, server, s.parts...)
		}
	}
	delete(u, server)
}

// ServerLeaving handles the notice of a leaving server, whose end is then not
// attributed to its requests.
func (d *Dispatcher) ServerLeaving(server identifier.VMID) { delete(d.unresponsive, server) }
