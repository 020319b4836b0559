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

// abandonTimeout is how long a short request continues without a caller. A
// caller that lost its connection reconnects sooner.
const abandonTimeout = 10 * timekeeper.Second

// abandoned reports whether a running answer has had no caller for
// abandonTimeout. Long answers are always completed, and plain calls are not
// cancelled, because they may have had an effect.
func (r *request) abandoned(now timekeeper.Time) bool {
	if r.spec.Long || !r.isModel() || r.callerDisconnectedAt == timekeeper.Never {
		return false
	}
	return now.Sub(r.callerDisconnectedAt) > abandonTimeout
}
