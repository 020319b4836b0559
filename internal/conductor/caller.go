package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// CallerGone notes that no caller follows the request any more.
func (c *Conductor) CallerGone(w *World, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.goneAt = w.Now
	}
	return nil
}

// CallerAttached notes that a caller follows the request again.
func (c *Conductor) CallerAttached(_ *World, id identifier.RequestID) []messenger.Effect {
	if r, known := c.requests[id]; known {
		r.goneAt = timekeeper.Never
	}
	return nil
}
