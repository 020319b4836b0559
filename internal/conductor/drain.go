package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// drainMargin is the safety margin before this node ends: requests predicted to
// end within it are handed over, because predictions are inexact.
const drainMargin = 1 * timekeeper.Second

// Drain starts draining this node after a reclaim notice or for a planned stop.
func (c *Conductor) Drain(env *Env, deadline timekeeper.Time, planned bool) []messenger.Effect {
	if c.draining {
		c.drainDeadline = min(c.drainDeadline, deadline)
		c.plannedStop = c.plannedStop || planned
		return nil
	}
	c.draining = true
	c.drainDeadline = deadline
	c.plannedStop = planned
	out := []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "drain_started",
			VM:     c.config.Self,
			Detail: fmt.Sprintf("deadline=%s planned=%t requests=%d", deadline, planned, len(c.requests)),
		},
	}
	for _, r := range c.sortedRequests() {
		out = append(out, c.refuseUnaccepted(env, r)...)
	}
	return append(out, c.advanceDrain(env)...)
}

// refuseUnaccepted refuses a request that is not yet accepted. A claim that has
// not been read back is released.
func (c *Conductor) refuseUnaccepted(env *Env, r *request) []messenger.Effect {
	if r.accepted {
		return nil
	}
	return c.refuseAndReleaseCopy(env, r)
}

// advanceDrain hands over the requests that cannot end here in time, and exits
// the process once a planned stop has no requests left.
func (c *Conductor) advanceDrain(env *Env) []messenger.Effect {
	if !c.draining {
		return nil
	}
	var out []messenger.Effect
	if c.config.Safeguards.HandOver {
		for _, r := range c.sortedRequests() {
			out = append(out, c.handOverIfDue(env, r)...)
		}
	}
	if c.plannedStop && !c.exitSent && len(c.requests) == 0 {
		c.exitSent = true
		out = append(out, messenger.Exit{})
	}
	return out
}
