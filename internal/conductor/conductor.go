// Package conductor leads each request through its life on this node:
//
//	received -> refused
//	received -> claiming -> holding -> running -> ended
//
// Only a non-idempotent request with a key is claimed, and only a long one is
// held by a peer before it is accepted. A running request has at most one
// current attempt; between two attempts it waits. A request leaves the node
// early when it is handed over to a successor, and enters it late when the
// node adopts the copy of a dead owner.
//
// The package decides and does nothing: its methods change the Conductor's
// tables and return effects. It reads the other slices of the state through a
// World, which the reducer fills for each event.
package conductor

import (
	"sort"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config says which node the conductor works for and what it may use.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	// MaxRequests bounds the requests in flight on this node.
	MaxRequests int
	// MaxCopies bounds the copies held for peers.
	MaxCopies    int
	Safeguards   Safeguards
	RoutingRules router.Rules
	PlanRules    planner.Rules
}

// Conductor is the table of requests of one node.
type Conductor struct {
	config   Config
	requests map[identifier.RequestID]*request
	copies   map[identifier.RequestID]*heldCopy
	// onServer counts this node's own attempts in flight, which no load
	// report shows yet.
	onServer map[identifier.VMID]int
	// prefilling sums the prompt tokens of own attempts without a first token.
	prefilling map[identifier.VMID]identifier.Tokens
	// arrivals counts the requests received for each pool.
	arrivals map[identifier.PoolName]int
	draining bool
	drainBy  timekeeper.Time
	// planned tells that the drain ends the process itself.
	planned  bool
	exited   bool
	nextNote uint64
	counters Counters
}

// Counters counts what the conductor did, for metrics and measurements.
type Counters struct {
	Accepted         int64
	Refused          int64
	Done             int64
	Attempts         int64
	Resumed          int64
	Adopted          int64
	HandedOver       int64
	RecomputedTokens identifier.Tokens
	CopiesRefused    int64
}

// New returns a conductor without requests.
func New(c Config) *Conductor {
	return &Conductor{
		config:     c,
		requests:   map[identifier.RequestID]*request{},
		copies:     map[identifier.RequestID]*heldCopy{},
		onServer:   map[identifier.VMID]int{},
		prefilling: map[identifier.VMID]identifier.Tokens{},
		arrivals:   map[identifier.PoolName]int{},
	}
}

// Counters returns what the conductor did so far.
func (c *Conductor) Counters() Counters { return c.counters }

// Draining reports whether this node is leaving.
func (c *Conductor) Draining() bool { return c.draining }

// InFlight returns the number of requests on this node.
func (c *Conductor) InFlight() int { return len(c.requests) }

// Copies returns the number of copies held for peers.
func (c *Conductor) Copies() int { return len(c.copies) }

// sortedRequests returns the requests in the order of their ids, so that the
// same events always give the same effects.
func (c *Conductor) sortedRequests() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, r := range c.requests {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].spec.Request < all[j].spec.Request })
	return all
}

// Tick moves every request whose time has come.
func (c *Conductor) Tick(w *World) []messenger.Effect {
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		out = append(out, c.tickRequest(w, r)...)
	}
	out = append(out, c.dropOverdueCopies(w)...)
	out = append(out, c.tickCopies(w)...)
	return append(out, c.tickDrain(w)...)
}

func (c *Conductor) tickRequest(w *World, r *request) []messenger.Effect {
	if !w.Now.Before(r.spec.Deadline) {
		return c.expire(w, r)
	}
	switch r.phase {
	case claiming:
		return c.tickClaim(w, r)
	case holding:
		return c.tickHold(w, r)
	case waiting:
		return c.tickWaiting(w, r)
	case running:
		return c.tickRunning(w, r)
	}
	return nil
}

func (c *Conductor) tickWaiting(w *World, r *request) []messenger.Effect {
	out := c.tickProtection(w, r)
	if gone := c.tickStall(w, r); gone != nil {
		return append(out, gone...)
	}
	if w.Now.Before(r.retryAt) {
		return out
	}
	return append(out, c.startAttempt(w, r)...)
}

func (c *Conductor) tickRunning(w *World, r *request) []messenger.Effect {
	if !r.spec.Long && r.model() && r.goneAt != timekeeper.Never && w.Now.Sub(r.goneAt) > abandonedAfter {
		return c.cancel(w, r)
	}
	out := c.tickProtection(w, r)
	if gone := c.tickStall(w, r); gone != nil {
		return append(out, gone...)
	}
	return append(out, c.tickMove(w, r)...)
}
