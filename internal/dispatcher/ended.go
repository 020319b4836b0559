package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// lapseTime is how long after a server fell silent its entry lapses at the
	// latest: three missed renewals of 1.2 s, and their way.
	lapseTime = 6 * timekeeper.Second
	// maxUnexplained bounds the servers, and the requests of each, that are
	// remembered until then.
	maxUnexplained = 64
)

// noteEnd notes where a server ended under an exchange's current attempt. One that
// was leaving did not end for what it had.
func (d *Dispatcher) noteEnd(env Env, x *exchange, result messenger.AttemptResult, serverEnded bool) {
	server := x.current.server
	known, ok := env.Servers.Server(server)
	if !ok || known.State != messenger.ServerReady {
		return
	}
	switch {
	case result == messenger.AttemptNotSent:
		if serverEnded {
			d.unexplained.ended(env, server)
		}
	case result != messenger.AttemptBroken && result != messenger.AttemptTimedOut:
	case serverEnded:
		env.Quarantine.ServerEnded(env.Now, x.request, server)
	default:
		d.unexplained.note(env.Now, server, x.request)
	}
}

// unexplained are the requests of servers that fell silent under them, or whose VM
// did not say whether they still listen. If such a server turns out to be gone soon it
// ended under them: one whose VM goes dark refuses no connection.
type unexplained map[identifier.VMID][]silence

// silence is a request whose answer stopped coming at an instant.
type silence struct {
	request identifier.Fingerprint
	at      timekeeper.Time
}

func (u unexplained) note(now timekeeper.Time, server identifier.VMID, request identifier.Fingerprint) {
	if len(u) >= maxUnexplained {
		u.tidy(now)
	}
	if len(u) >= maxUnexplained || len(u[server]) >= maxUnexplained {
		return
	}
	u[server] = append(u[server], silence{
		request: request,
		at:      now,
	})
}

func (u unexplained) tidy(now timekeeper.Time) {
	for server, all := range u {
		if now.Sub(all[len(all)-1].at) > lapseTime {
			delete(u, server)
		}
	}
}

// ended takes in that a server is gone.
func (u unexplained) ended(env Env, server identifier.VMID) {
	for _, s := range u[server] {
		if env.Now.Sub(s.at) <= lapseTime {
			env.Quarantine.ServerEnded(env.Now, s.request, server)
		}
	}
	delete(u, server)
}

// ServerLeaving notes that a server announced its leaving, so that it does not end for what
// it has.
func (d *Dispatcher) ServerLeaving(server identifier.VMID) { delete(d.unexplained, server) }
