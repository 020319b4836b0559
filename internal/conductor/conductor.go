// Package conductor manages the life cycle of each request on this node:
//
//	received -> refused
//	received -> claiming -> holding -> running <-> waiting -> finished
//
// Each step has its file:
//
//   - receive.go admits or refuses a request, and refuse.go determines the
//     outcome that a refusal may report.
//   - claim.go claims a non-idempotent request with a key through the log, so
//     that it runs at most once over all nodes.
//   - hold.go sends a copy of a long request to a peer, the holder, before the
//     request is accepted; copy.go is the holder's side. stall.go handles the
//     answer while there is no holder.
//   - attempt.go sends the current attempt to a backend server, and progress.go
//     handles its events. A running request has one current attempt; between two
//     attempts it waits.
//   - wave.go plans for the streams on servers that are leaving, and move.go
//     carries out the plan.
//   - finish.go ends a request, and caller.go tracks whether a caller is
//     connected.
//
// A request leaves the node early if it is handed over to a successor (drain.go,
// handover.go). It joins the node already running if a peer hands it over or if
// the node adopts the copy of a dead owner (adopt.go). Two nodes may then both
// consider themselves the owner; epoch.go decides which of them yields.
//
// The package has no side effects: its methods change the Conductor's tables and
// return effects. They read the rest of the node's state through an Env, which the
// reducer fills for each event.
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

// Config identifies the node and sets its limits and rules.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	Zone        identifier.Zone
	// MaxRequests is the maximum number of requests in flight on this node.
	MaxRequests int
	// MaxCopies is the maximum number of copies held for peers.
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
	// attemptsOnServer counts this node's attempts in flight on each server.
	// Load reports may not include them yet.
	attemptsOnServer map[identifier.VMID]int
	// prefillTokens is the number of prompt tokens of this node's attempts that
	// have not produced a first token.
	prefillTokens map[identifier.VMID]identifier.Tokens
	// arrivals counts the requests received for each pool.
	arrivals map[identifier.PoolName]int
	// draining is set once this node is leaving; drainDeadline is when it ends.
	draining      bool
	drainDeadline timekeeper.Time
	// plannedStop is set if the process exits at the end of the drain, and
	// exitSent once the Exit effect has been returned.
	plannedStop bool
	exitSent    bool
	// lastNonce numbers the claims of this process.
	lastNonce uint64
	counters  Counters
}

// Counters holds cumulative totals for metrics.
type Counters struct {
	Accepted int64
	Refused  int64
	Done     int64
	Attempts int64
	// Resumed counts the attempts that joined an existing stream.
	Resumed    int64
	Adopted    int64
	HandedOver int64
	// RecomputedTokens counts the tokens that attempts after the first made
	// servers process or generate again.
	RecomputedTokens identifier.Tokens
	// CopiesRefused counts the copies refused because MaxCopies was reached.
	CopiesRefused int64
}

// New returns a Conductor without requests.
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

// Counters returns the totals since the process started.
func (c *Conductor) Counters() Counters { return c.counters }

// Draining reports whether this node is leaving.
func (c *Conductor) Draining() bool { return c.draining }

// InFlight returns the number of requests on this node.
func (c *Conductor) InFlight() int { return len(c.requests) }

// Copies returns the number of copies held for peers.
func (c *Conductor) Copies() int { return len(c.copies) }

// sortedRequests returns the requests ordered by id, which makes the effects
// deterministic.
func (c *Conductor) sortedRequests() []*request {
	all := make([]*request, 0, len(c.requests))
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		all = append(all, c.requests[id])
	}
	return all
}

// Tick performs the work that is due for every request, copy and handover.
func (c *Conductor) Tick(env *Env) []messenger.Effect {
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		out = append(out, c.advance(env, r)...)
	}
	out = append(out, c.dropExpiredCopies(env)...)
	out = append(out, c.adoptOrphans(env)...)
	return append(out, c.advanceDrain(env)...)
}

// advance performs the work that is due for r. Its deadline takes precedence.
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
