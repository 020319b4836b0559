package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// fingerprint identifies the content of a request: its caller may submit it
// again with another id and key, to any node.
func fingerprint(spec messenger.RequestSpec) identifier.Fingerprint {
	return quarantiner.FingerprintOf(string(spec.Account), spec.Content)
}

// recordServerEnd records in the quarantine that a server ended while running
// r. A server that was leaving or is already removed did not end because of its
// requests, and r is not the cause if it never reached the server. An attempt
// that joins a stream counts too, as the server ended after the stream started.
func (c *Conductor) recordServerEnd(env *Env, r *request, e messenger.AttemptEnded, mayHaveRun bool) {
	server, known := env.Members.Server(r.server)
	if !e.ServerEnded || !known || server.Leaving {
		return
	}
	if mayHaveRun || r.joinsStream {
		env.Quarantine.ServerEnded(env.Now, fingerprint(r.spec), r.server)
	}
}

// finishQuarantined ends a request that is quarantined, so that no further
// servers fail on it.
func (c *Conductor) finishQuarantined(env *Env, r *request, after timekeeper.Duration) []messenger.Effect {
	outcome := messenger.Unknown
	if r.neverRan() {
		outcome = messenger.NotRun
	}
	return c.finish(env, r, requestResult{
		outcome:    outcome,
		reason:     messenger.ReasonServersEnded,
		retryAfter: after,
	})
}
