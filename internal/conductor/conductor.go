// Package conductor leads each request through its life on this node:
//
//	received -> refused
//	received -> claiming -> holding -> running <-> waiting -> finished
//
// Each step has its file:
//
//   - receive.go admits a request or refuses it, and refuse.go says what a
//     refusal may truthfully call it.
//   - claim.go claims a non-idempotent request with a key through the log, so
//     that it runs at most once over all nodes.
//   - hold.go gives a long request's copy to a peer, the holder, before the
//     request is accepted; copy.go is the holder's side. stall.go says what
//     becomes of the answer while there is no holder.
//   - attempt.go sends the current attempt to a backend server, and progress.go
//     decides what follows from its events. A running request has one current
//     attempt; between two attempts it waits.
//   - wave.go plans for the streams on servers that are leaving, and move.go
//     carries the plan out.
//   - finish.go ends a request, and caller.go notes who reads its answer.
//
// A request leaves the node early when it is handed over to a successor
// (drain.go, handover.go), and enters it in the middle of its life when a peer
// hands it over or the node adopts the copy of a dead owner (adopt.go). Two
// nodes may then take themselves for the owner; epoch.go says who yields.
//
// The package decides and does nothing: its methods change the Conductor's
// tables and return effects. It reads the other slices of the state through a
// Env, which the reducer fills for each event.
package conductor

import (
	"maps"
	"slices"

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
	attemptsOnServer map[identifier.VMID]int
	// prefilling sums the prompt tokens of own attempts without a first token.
	prefillTokens map[identifier.VMID]identifier.Tokens
	// arrivals counts the requests received for each pool.
	arrivals map[identifier.PoolName]int
	// draining tells that this node leaves, by drainBy.
	draining      bool
	drainDeadline timekeeper.Time
	// planned tells that the drain ends the process itself, and exited that
	// it was told so.
	plannedStop bool
	exitSent    bool
	// nonces counts the nonces of this process's claims.
	lastNonce uint64
	counters  Counters
}

// Counters counts what the conductor did, for metrics and measurements.
type Counters struct {
	Accepted int64
	Refused  int64
	Done     int64
	Attempts int64
	// Resumed counts the attempts that joined a stream under way.
	Resumed    int64
	Adopted    int64
	HandedOver int64
	// RecomputedTokens counts what attempts after the first made servers read
	// or make again.
	RecomputedTokens identifier.Tokens
	// CopiesRefused counts the copies for which there was no room.
	CopiesRefused int64
}

// New returns a conductor without requests.
func New(c Config) *Conductor {
	return &Conductor{
		config:           c,
		requests:         map[identifier.RequestID]*request{},
		copies:           map[identifier.RequestID]*heldCopy{},
		attemptsOnServer: map[identifier.VMID]int{},
		prefillTokens:    map[identifier.VMID]identifier.Tokens{},
		arrivals:         map[identifier.PoolName]int{},
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
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}

// Tick moves every request whose time has come.
func (c *Conductor) Tick(env *Env) []messenger.Effect {
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		out = append(out, c.advance(env, r)...)
	}
	out = append(out, c.dropExpiredCopies(env)...)
	out = append(out, c.adoptOrphans(env)...)
	return append(out, c.advanceDrain(env)...)
}

// advance does what is due for r: its deadline first, then the work of its
// phase.
func (c *Conductor) advance(env *Env, r *request) []messenger.Effect {
	if !env.Now.Before(r.spec.Deadline) {
		return c.expire(env, r)
	}
	switch r.phase {
	case claiming:
		return c.retryClaim(env, r)
	case holding:
		return c.checkHoldTimeout(env, r)
	case waiting:
		return c.advanceWaiting(env, r)
	case running:
		return c.advanceRunning(env, r)
	}
	return nil
}

func (c *Conductor) advanceWaiting(env *Env, r *request) []messenger.Effect {
	out := c.ensureHolder(env, r)
	if yielded := c.yieldAfterStall(env, r); yielded != nil {
		return append(out, yielded...)
	}
	if env.Now.Before(r.retryAt) {
		return out
	}
	return append(out, c.startAttempt(env, r)...)
}

func (c *Conductor) advanceRunning(env *Env, r *request) []messenger.Effect {
	if r.abandoned(env.Now) {
		return c.cancel(env, r)
	}
	out := c.ensureHolder(env, r)
	if yielded := c.yieldAfterStall(env, r); yielded != nil {
		return append(out, yielded...)
	}
	return append(out, c.startDueMove(env, r)...)
}
