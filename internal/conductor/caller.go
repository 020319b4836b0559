package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// CallerGone notes that no caller follows the request any more.
func (c *Conductor) CallerGone(w *World, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.callerGoneAt = w.Now
	}
	return nil
}

// CallerAttached notes that a caller follows the request again.
func (c *Conductor) CallerAttached(_ *World, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.callerGoneAt = timekeeper.Never
	}
	return nil
}

// abandonedAfter is how long a short request runs on without a caller. A caller
// that lost its connection comes back sooner.
const abandonedAfter = 10 * timekeeper.Second

// abandoned reports whether a running answer has no reader and need not be
// kept for one. A long answer is always made to its end, and a plain call is
// not cut, because it may have had its effect.
func (r *request) abandoned(now timekeeper.Time) bool {
	if r.spec.Long || !r.model() || r.callerGoneAt == timekeeper.Never {
		return false
	}
	return now.Sub(r.callerGoneAt) > abandonedAfter
}
