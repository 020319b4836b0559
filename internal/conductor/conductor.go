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
	"math/rand/v2"
	"sort"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// World is what the conductor reads and updates of the rest of the state
// while it handles one event.
type World struct {
	Now        timekeeper.Time
	Catalog    *catalog.Catalog // nil until the first configuration is known
	Members    *gossiper.Members
	Limits     *limiter.Limits
	Budgets    *retrier.Budgets
	Suspicions *detector.Suspicions
	Hints      *router.Hints
	Claims     *claimer.Table
	Loads      map[identifier.VMID]messenger.ServerLoad
	Rand       *rand.Rand
}

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

// Safeguards holds one switch for each safeguard. All are on in every
// process; a test turns one off to show that its checker objects.
type Safeguards struct {
	// DropStale drops events of attempts that are not the current one.
	DropStale bool
	// ClaimFirst claims a non-idempotent key before the first byte leaves.
	ClaimFirst bool
	// HoldFirst accepts a long request only once a peer holds its copy.
	HoldFirst bool
	// RepeatOnlySafe never repeats what may have run and is not idempotent.
	RepeatOnlySafe bool
	// AvoidLeaving gives no new work to a server that is leaving.
	AvoidLeaving bool
	// AdoptCopies takes over the requests of a dead owner.
	AdoptCopies bool
	// HandOver gives requests in flight away when this node leaves.
	HandOver bool
	// YieldToHolder stops serving a request that its holder has adopted.
	YieldToHolder bool
	// StallAlone keeps an answer back that a node with a copy may adopt.
	StallAlone bool
	// LaterOwner lets the owner with the larger epoch go on, of two.
	LaterOwner bool
	// TruthfulNotRun says not_run only where nothing can have run.
	TruthfulNotRun bool
}

// AllSafeguards returns the switches as every process has them.
func AllSafeguards() Safeguards {
	return Safeguards{
		DropStale:      true,
		ClaimFirst:     true,
		HoldFirst:      true,
		RepeatOnlySafe: true,
		AvoidLeaving:   true,
		AdoptCopies:    true,
		HandOver:       true,
		YieldToHolder:  true,
		StallAlone:     true,
		LaterOwner:     true,
		TruthfulNotRun: true,
	}
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
