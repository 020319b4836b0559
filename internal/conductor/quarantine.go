package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// fingerprint names what a request asks: its caller may submit it again under another
// id and key, to any node.
func fingerprint(spec messenger.RequestSpec) identifier.Fingerprint {
	return quarantiner.FingerprintOf(string(spec.Account), spec.Content)
}

// noteEnd notes where a server ended under r. One that was leaving, or is taken away
// already, did not end for what it had, and one that r never reached not for r. An
// attempt that joins a stream finds that its server has ended since.
func (c *Conductor) recordServerEnd(env *Env, r *request, e messenger.AttemptEnded, mayHaveRun bool) {
	server, known := env.Members.Server(r.server)
	if !e.ServerEnded || !known || server.Leaving {
		return
	}
	if mayHaveRun || r.joinsStream {
		env.Quarantine.ServerEnded(env.Now, fingerprint(r.spec), r.server)
	}
}

// endQuarantined ends a request under which too many servers ended, so that it takes
// no further ones.
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
