package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// moveState is what the plan of a wave says of one stream.
type moveState struct {
	action  planner.Action
	to      identifier.VMID
	startAt timekeeper.Time
	// sent tells that the KV export is under way.
	sent bool
}

// startDueMove carries out the planned move of a stream when its time has come.
func (c *Conductor) startDueMove(w *World, r *request) []messenger.Effect {
	if r.move.action == "" || r.move.sent || w.Now.Before(r.move.startAt) {
		return nil
	}
	switch r.move.action {
	case planner.Export:
		return c.startExport(w, r)
	case planner.Prefill:
		return c.moveByPrefill(w, r)
	}
	r.move = moveState{}
	return nil
}

func (c *Conductor) startExport(w *World, r *request) []messenger.Effect {
	to, known := w.Members.Server(r.move.to)
	if !known || to.Leaving {
		return c.moveByPrefill(w, r)
	}
	r.move.sent = true
	return []messenger.Effect{
		messenger.MoveKV{
			Request:     r.spec.Request,
			Attempt:     r.attempt,
			Stream:      r.stream,
			FromAddress: r.address,
			To:          to.VM,
			ToAddress:   to.Address,
		},
		c.note("kv_export", r, fmt.Sprintf("to=%s", to.VM)),
	}
}

// moveByPrefill ends the attempt on the leaving server and resumes elsewhere
// from the prompt and the tokens delivered so far.
func (c *Conductor) moveByPrefill(w *World, r *request) []messenger.Effect {
	r.move = moveState{}
	r.rejoined = false
	out := c.stop(r)
	return append(out, c.startAttempt(w, r)...)
}

// KVMoved continues a stream where its KV cache went, or by prefill.
func (c *Conductor) KVMoved(w *World, e messenger.KVMoved) []messenger.Effect {
	r, ok := c.current(e.Request, e.Attempt)
	if !ok || r.phase != running || !r.move.sent {
		return nil
	}
	to, known := w.Members.Server(e.To)
	if !e.OK || !known || to.Leaving {
		return c.moveByPrefill(w, r)
	}
	r.rejoined = false
	out := c.stop(r)
	return append(out, c.sendAttempt(w, r, plannedAttempt{
		server:     to,
		mode:       messenger.StartImported,
		stream:     r.stream,
		firstToken: rejoinWait,
	})...)
}

// ServerGone ends the attempts on a server that the platform took away.
func (c *Conductor) ServerGone(w *World, vm identifier.VMID) []messenger.Effect {
	w.Suspicions.Forget(vm)
	w.Hints.Forget(vm)
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		if r.phase != running || r.server != vm || !r.spec.Idempotent {
			continue
		}
		r.failedServers[vm] = true
		out = append(out, c.stop(r)...)
		r.mayHaveRun = true
		out = append(out, c.startAttempt(w, r)...)
	}
	return out
}
