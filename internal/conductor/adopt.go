package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// NodeDead adopts the requests of a dead owner whose copies this node holds,
// and finds new holders for the requests whose copies died with the node.
func (c *Conductor) NodeDead(w *World, vm identifier.VMID) []messenger.Effect {
	var out []messenger.Effect
	if c.config.Safeguards.AdoptCopies {
		for _, held := range c.copiesOf(vm) {
			out = append(out, c.adopt(w, held)...)
		}
	}
	return append(out, c.holderLost(w, vm)...)
}

// NodeLeaving finds new holders before the holder goes.
func (c *Conductor) NodeLeaving(w *World, vm identifier.VMID) []messenger.Effect {
	return c.holderLost(w, vm)
}

// adopt makes this node the owner of a request whose owner died. It resumes
// the engine's stream, whose name the copy carries, so that nothing is
// computed twice where the engine lives.
func (c *Conductor) adopt(w *World, held *heldCopy) []messenger.Effect {
	c.counters.Adopted++
	epoch := held.epoch + takeoverStep
	out := []messenger.Effect{
		messenger.Adopt{
			Request: held.spec.Request,
			Epoch:   epoch,
		},
	}
	return append(out, c.takeOver(w, takenRequest{
		spec:      held.spec,
		epoch:     epoch,
		attempt:   held.attempt,
		server:    held.server,
		stream:    held.stream,
		delivered: held.delivered,
		from:      held.owner,
		how:       "adopted",
	})...)
}

// takenRequest is a request that comes to this node in the middle of its life.
type takenRequest struct {
	spec      messenger.RequestSpec
	epoch     identifier.Epoch
	confirm   bool
	attempt   identifier.AttemptNumber
	server    identifier.VMID
	stream    identifier.StreamName
	delivered identifier.Tokens
	from      identifier.VMID
	how       messenger.NoteKind
}

func (c *Conductor) takeOver(w *World, t takenRequest) []messenger.Effect {
	delete(c.copies, t.spec.Request)
	s, _ := service(w, t.spec.Service)
	r := newRequest(t.spec, s)
	r.accepted = true
	r.mayHaveRun = true
	r.phase = waiting
	r.takenWith(t.epoch, t.attempt)
	r.hold.confirm = t.confirm
	r.delivered = t.delivered
	r.retryAt = w.Now
	c.requests[t.spec.Request] = r
	out := []messenger.Effect{c.note(t.how, r, fmt.Sprintf("from=%s delivered=%d", t.from, t.delivered))}
	if r.spec.Long {
		held, ok := c.sendHold(w, r)
		if !ok {
			r.hold.againAt = w.Now.Add(holdAgain)
			held = c.goUnprotected(r)
		}
		out = append(out, held...)
	} else {
		out = append(out, c.confirm(r)...)
	}
	if w.Catalog == nil {
		return out // tickWaiting starts it once the configuration is known.
	}
	server, known := w.Members.Server(t.server)
	if !known || !r.model() {
		return append(out, c.startAttempt(w, r)...)
	}
	r.rejoined = true
	r.rejoinedAt = r.delivered
	return append(out, c.sendAttempt(w, r, server, messenger.StartResume, t.stream, rejoinWait)...)
}
