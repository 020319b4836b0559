package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// CallerDisconnected records that the request's last caller has disconnected.
func (c *Conductor) CallerDisconnected(env *Env, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.callerDisconnectedAt = env.Now
	}
	return nil
}

// CallerAttached records that a caller is connected to the request again.
func (c *Conductor) CallerAttached(_ *Env, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.callerDisconnectedAt = timekeeper.Never
	}
	return nil
}

// abandonedAfter is how long a short request runs on without a caller. A caller
// that lost its connection comes back sooner.
const abandonTimeout = 10 * timekeeper.Second

// abandoned reports whether a running answer has no reader and need not be
// kept for one. A long answer is always made to its end, and a plain call is
// not cut, because it may have had its effect.
func (r *request) abandoned(now timekeeper.Time) bool {
	if r.spec.Long || !r.isModel() || r.callerDisconnectedAt == timekeeper.Never {
		return false
	}
	return now.Sub(r.callerDisconnectedAt) > abandonTimeout
}
