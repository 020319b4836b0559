package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// timelineEntry returns a timeline entry for r.
func (c *Conductor) timelineEntry(kind messenger.TimelineKind, r *request, detail string) messenger.TimelineEntry {
	vm := r.server
	if vm == "" {
		vm = c.config.Self
	}
	return messenger.TimelineEntry{
		Kind:    kind,
		Request: r.spec.Request,
		Attempt: r.attempt,
		VM:      vm,
		Detail:  detail,
	}
}
