package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// moveState is the planned move of one stream.
type moveState struct {
	action  planner.Action
	target  identifier.VMID
	startAt timekeeper.Time
	// exportStarted is set while the KV export is in progress.
	exportStarted bool
}

// startDueMove carries out the planned move of a stream once it is due.
func (c *Conductor) startDueMove(env *Env, r *request) []messenger.Effect {
	if r.move.action == "" || r.move.exportStarted || env.Now.Before(r.move.startAt) {
		return nil
	}
	switch r.move.action {
	case planner.Export:
		return c.startExport(env, r)
	case planner.Prefill:
		return c.moveByPrefill(env, r)
	}
	r.move = moveState{}
	return nil
}

func (c *Conductor) startExport(env *Env, r *request) []messenger.Effect {
	to, known := env.Members.Server(r.move.target)
	if !known || to.Leaving {
		return c.moveByPrefill(env, r)
	}
	r.move.exportStarted = true
	return []messenger.Effect{
		messenger.MoveKV{
			Request:     r.spec.Request,
			Attempt:     r.attempt,
			Stream:      r.stream,
			FromAddress: r.address,
			To:          to.VM,
			ToAddress:   to.Address,
		},
		c.timelineEntry("kv_export", r, fmt.Sprintf("to=%s", to.VM)),
	}
}

// moveByPrefill ends the attempt on the leaving server and resumes on another
// from the prompt and the tokens delivered so far.
func (c *Conductor) moveByPrefill(env *Env, r *request) []messenger.Effect {
	r.move = moveState{}
	r.rejoined = false
	out := c.cancelAttempt(r)
	return append(out, c.startAttempt(env, r)...)
}

// KVMoved continues a stream on the server that received its KV cache, or by
// prefill if the export failed.
func (c *Conductor) KVMoved(env *Env, e messenger.KVMoved) []messenger.Effect {
	r, ok := c.lookupCurrent(e.Request, e.Attempt)
	if !ok || r.phase != running || !r.move.exportStarted {
		return nil
	}
	to, known := env.Members.Server(e.To)
	if !e.OK || !known || to.Leaving {
		return c.moveByPrefill(env, r)
	}
	r.rejoined = false
	out := c.cancelAttempt(r)
	return append(out, c.sendAttempt(env, r, plannedAttempt{
		server:              to,
		mode:                messenger.StartImported,
		stream:              r.stream,
		predictedFirstToken: predictedRejoinLatency,
	})...)
}

// ServerRemoved restarts the idempotent requests that were running on a server
// that the platform removed.
func (c *Conductor) ServerRemoved(env *Env, vm identifier.VMID) []messenger.Effect {
	env.Suspicions.Forget(vm)
	env.Hints.Forget(vm)
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		if r.phase != running || r.server != vm || !r.spec.Idempotent {
			continue
		}
		r.failedServers[vm] = true
		out = append(out, c.cancelAttempt(r)...)
		r.mayHaveRun = true
		out = append(out, c.startAttempt(env, r)...)
	}
	return out
}
