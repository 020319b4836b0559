package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// drainMargin is kept free before this node's end: what would end within
// it is handed over, because predictions err.
const drainMargin = 1 * timekeeper.Second

// Drain begins this node's end: by a reclaim notice, or as a planned stop.
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

// drainUnaccepted refuses what was not yet promised. A claim that is still
// being read back is given up and released.
func (c *Conductor) refuseUnaccepted(env *Env, r *request) []messenger.Effect {
	if r.accepted {
		return nil
	}
	return c.refuseAndReleaseCopy(env, r)
}

// advanceDrain hands over what cannot end here in time, and ends a planned stop
// when nothing is left.
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
