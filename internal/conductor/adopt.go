package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// NodeDead adopts the requests of a dead owner whose copies this node holds,
// and looks for new holders for the requests whose copies were lost with it.
func (c *Conductor) NodeDead(env *Env, vm identifier.VMID) []messenger.Effect {
	var out []messenger.Effect
	if c.config.Safeguards.AdoptCopies {
		for _, held := range c.copiesOf(vm) {
			out = append(out, c.adopt(env, held)...)
		}
	}
	return append(out, c.replaceHolder(env, vm)...)
}

// NodeLeaving looks for new holders for the requests whose copies are on a node
// that is leaving.
func (c *Conductor) NodeLeaving(env *Env, vm identifier.VMID) []messenger.Effect {
	return c.replaceHolder(env, vm)
}

// adopt makes this node the owner of a request whose owner died. It resumes the
// engine's stream, which the copy names, so that nothing is computed twice if
// the engine is still running.
func (c *Conductor) adopt(env *Env, held *heldCopy) []messenger.Effect {
	c.counters.Adopted++
	epoch := held.epoch + takeoverEpochIncrement
	out := []messenger.Effect{
		messenger.Adopt{
			Request: held.spec.Request,
			Epoch:   epoch,
		},
	}
	return append(out, c.takeOver(env, takeover{
		spec:      held.spec,
		epoch:     epoch,
		attempt:   held.attempt,
		server:    held.server,
		stream:    held.stream,
		delivered: held.delivered,
		from:      held.owner,
		kind:      "adopted",
	})...)
}

// takeover describes a request that this node takes over from its former owner.
type takeover struct {
	spec           messenger.RequestSpec
	epoch          identifier.Epoch
	confirmPending bool
	attempt        identifier.AttemptNumber
	server         identifier.VMID
	stream         identifier.StreamName
	delivered      identifier.Tokens
	from           identifier.VMID
	kind           messenger.TimelineKind
}

// takeOver makes this node the owner of t and continues the request.
func (c *Conductor) takeOver(env *Env, t takeover) []messenger.Effect {
	delete(c.copies, t.spec.Request)
	r := c.addTakenOver(env, t)
	out := []messenger.Effect{c.timelineEntry(t.kind, r, fmt.Sprintf("from=%s delivered=%d", t.from, t.delivered))}
	out = append(out, c.protect(env, r)...)
	if env.Catalog == nil {
		return out // advanceWaiting sends it once the configuration is known
	}
	server, known := env.Members.Server(t.server)
	if !known || !r.isModel() {
		return append(out, c.startAttempt(env, r)...)
	}
	r.markRejoined()
	return append(out, c.sendAttempt(env, r, plannedAttempt{
		server:              server,
		mode:                messenger.StartResume,
		stream:              t.stream,
		predictedFirstToken: predictedRejoinLatency,
	})...)
}

// addTakenOver adds t to this node's requests. Another node may have sent it to
// a server, so it counts as possibly run.
func (c *Conductor) addTakenOver(env *Env, t takeover) *request {
	s, _ := serviceConfig(env, t.spec.Service)
	r := newRequest(t.spec, s)
	r.accepted = true
	r.mayHaveRun = true
	r.phase = waiting
	r.becomeOwner(t.epoch, t.attempt)
	r.hold.confirmPending = t.confirmPending
	r.delivered = t.delivered
	r.retryAt = env.Now
	c.requests[t.spec.Request] = r
	return r
}

// protect looks for a holder for a request that was taken over. A peer that
// handed over a long request receives its confirmation only when the copy is
// confirmed: otherwise the death of this node could lose the request.
func (c *Conductor) protect(env *Env, r *request) []messenger.Effect {
	if !r.spec.Long {
		return c.confirmHandover(r)
	}
	out, ok := c.sendHold(env, r)
	if !ok {
		r.hold.retryAt = env.Now.Add(holdRetryInterval)
		return c.continueUnprotected(r)
	}
	return out
}
