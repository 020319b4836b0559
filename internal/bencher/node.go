package bencher

import (
	"fmt"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// networkDelay is the one-way delay from a node to a server.
	networkDelay = 1 * timekeeper.Millisecond
	// If no server is available, a new request is rejected with a retry delay
	// of noServerRetryAfter, and an accepted one retries after a random delay
	// of one to two times noServerRetryDelay.
	noServerRetryAfter = 2 * timekeeper.Second
	noServerRetryDelay = 200 * timekeeper.Millisecond
	// baselineEventTimeout is the event timeout of the baselines and of calls
	// to plain servers.
	baselineEventTimeout = 30 * timekeeper.Second
	// rejoinEventTime is the predicted time to the first event of a rejoined
	// stream, as in the conductor.
	rejoinEventTime = 2500 * timekeeper.Millisecond
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = 10 * timekeeper.Second
	// cacheEventLag is the delay of cache events.
	cacheEventLag = 1 * timekeeper.Second
)

// serverView is what a node knows about a server.
type serverView struct {
	load             messenger.ServerLoad
	hasLoad          bool
	leaving          bool
	removalDeadline  timekeeper.Time
	ownInFlight      int
	ownPrefillTokens identifier.Tokens
	cacheEventsRead  int
}

// node is an entry VM with its own instances of the decision packages.
type node struct {
	sim        *simulation
	id         identifier.VMID
	zone       identifier.Zone
	rng        *rand.Rand
	limits     *limiter.Limits
	budgets    *retrier.Budgets
	suspicions *detector.Suspicions
	hints      *router.Hints
	views      map[identifier.VMID]*serverView
	active     map[identifier.RequestID]*request
	arrivals   map[identifier.PoolName]int
	penalties  map[identifier.PoolName]identifier.Money
	nextServer int
	// planVersion counts the plans. A new plan cancels the moves of older
	// plans that have not started.
	planVersion int
	candidates  []router.Candidate
}

func newNode(sim *simulation, i int, rng *rand.Rand) *node {
	n := &node{
		sim:        sim,
		id:         identifier.VMID(fmt.Sprintf("entry-%d", i)),
		zone:       sim.deployment.Zones[i%len(sim.deployment.Zones)],
		rng:        rng,
		limits:     limiter.New(limiter.Config{Rules: sim.variant.Limiter}),
		budgets:    retrier.New(retrier.Config{Rules: sim.variant.Retrier}),
		suspicions: detector.New(detector.Config{Rules: sim.variant.Detector}),
		hints:      router.NewHints(router.HintsConfig{}),
		views:      make(map[identifier.VMID]*serverView),
		active:     make(map[identifier.RequestID]*request),
		arrivals:   make(map[identifier.PoolName]int),
		penalties:  make(map[identifier.PoolName]identifier.Money),
	}
	n.limits.SetCatalog(0, sim.catalog)
	return n
}

func (n *node) view(vm identifier.VMID) *serverView {
	v, ok := n.views[vm]
	if !ok {
		v = &serverView{}
		n.views[vm] = v
	}
	return v
}

// forget drops the state of a removed server, as the conductor does.
func (n *node) forget(s *server) {
	n.hints.Forget(s.state.VM)
	n.suspicions.Forget(s.state.VM)
}

// isDiscovered reports whether the server is ready and gossip has had time to
// report it to the node.
func (n *node) isDiscovered(s *server) bool {
	return s.ready(n.sim.now) && (s.readyAt == 0 || n.sim.now.Sub(s.readyAt) >= gossipInterval)
}

// pollServers reads the load and the cache events of every discovered server.
func (n *node) pollServers() {
	now := n.sim.now
	for _, p := range n.sim.deployment.Pools {
		for _, s := range n.sim.pools[p.Name] {
			if !n.isDiscovered(s) {
				continue
			}
			if n.rng.IntN(100) < missedPollPercent {
				n.suspicions.Observe(now, s.state.VM, detector.Observation{Kind: detector.LoadMissed})
				continue
			}
			n.receiveReports(s)
		}
	}
}

func (n *node) receiveReports(s *server) {
	now := n.sim.now
	v := n.view(s.state.VM)
	n.suspicions.Observe(now, s.state.VM, detector.Observation{Kind: detector.LoadOK})
	if load, ok := s.load(now); ok {
		v.load = load
		v.hasLoad = true
	}
	eventsLost := n.rng.IntN(100) < cacheEventLossPercent
	for v.cacheEventsRead < len(s.cache.events) {
		e := s.cache.events[v.cacheEventsRead]
		if now.Sub(e.at) < cacheEventLag {
			return
		}
		v.cacheEventsRead++
		if eventsLost {
			n.hints.Observe(now, s.state.VM, nil, nil, true)
			continue
		}
		n.hints.Observe(now, s.state.VM, e.cached, e.evicted, false)
	}
}

// submit handles a caller's request, new or retried after a rejection.
func (n *node) submit(r *request) {
	now := n.sim.now
	r.node = n
	n.arrivals[r.kind.Service.Pool]++
	n.penalties[r.kind.Service.Pool] += r.kind.Target.Penalty
	choice, ok := n.choose(r)
	if !ok {
		n.refuse(r, messenger.ReasonNoServer, noServerRetryAfter)
		return
	}
	free, slots, waiting := n.poolLoad(r.kind.Service.Pool)
	verdict := n.limits.Admit(now, limiter.Request{
		Account:   r.account,
		Service:   r.kind.Service.Name,
		Priority:  r.kind.Service.Priority,
		Tokens:    r.promptTokens + r.maxTokens,
		Deadline:  r.deadline,
		Predicted: choice.Predicted.Completion,
		Target:    r.kind.Target,
		FreeSlots: free,
		Slots:     slots,
		Waiting:   waiting,
	})
	if !verdict.OK {
		n.refuse(r, verdict.Reason, verdict.RetryAfter)
		return
	}
	n.budgets.Requested(now, r.kind.Service.Name, r.kind.Service.RetryPercent)
	n.active[r.id] = r
	n.sim.at(r.deadline, func() { n.expire(r) })
	n.send(r, choice, messenger.StartFresh)
}

// refuse rejects a request. The caller retries after the stated time, at most
// maxRefusalRetries times and only while the completion target can be met.
func (n *node) refuse(r *request, reason messenger.Reason, retryAfter timekeeper.Duration) {
	retryAt := n.sim.now.Add(retryAfter)
	n.sim.tally.countRefusal(r, reason)
	if retryAfter <= 0 || r.refusalRetries >= maxRefusalRetries || retryAt.After(r.arrival.Add(r.kind.Target.Completion)) {
		r.ended = true
		n.sim.tally.countUnanswered(r, outcomeRefused)
		return
	}
	r.refusalRetries++
	n.sim.at(retryAt, func() { n.sim.arrive(r) })
}

// choose selects a server for the next attempt.
func (n *node) choose(r *request) (router.Choice, bool) {
	if n.sim.variant.Routing != PolicyRouting {
		return n.chooseBaseline(r)
	}
	job := router.Job{
		PromptTokens: r.context(),
		MaxTokens:    max(r.maxTokens-identifier.Tokens(r.delivered), 0),
		Priority:     r.kind.Service.Priority,
		Deadline:     r.deadline,
		Target:       r.kind.Target,
		AvoidZones:   r.avoidZones,
		AvoidServers: r.avoidServers,
	}
	return router.Choose(n.sim.now, job, n.candidatesFor(r), n.sim.variant.Router, n.rng)
}

func (n *node) candidatesFor(r *request) []router.Candidate {
	now := n.sim.now
	n.candidates = n.candidates[:0]
	for _, s := range n.sim.pools[r.kind.Service.Pool] {
		if !n.isDiscovered(s) {
			continue
		}
		v := n.view(s.state.VM)
		n.candidates = append(n.candidates, router.Candidate{
			Server:           s.state.VM,
			Zone:             s.state.Zone,
			Market:           s.state.Market,
			Leaving:          v.leaving,
			Suspect:          n.suspicions.Suspect(now, s.state.VM),
			OwnInFlight:      v.ownInFlight,
			OwnPrefill:       v.ownPrefillTokens,
			Load:             v.load,
			PrefixHit:        n.hints.CachedTokens(now, s.state.VM, r.prefixHashes),
			Slots:            s.pool.Slots,
			TokensPerSecond:  s.pool.TokensPerSecond,
			PrefillPerSecond: s.pool.PrefillPerSecond,
			SameZone:         s.state.Zone == n.zone,
		})
	}
	return n.candidates
}

// chooseBaseline selects a server by round robin or by the fewest requests in
// flight from this node.
func (n *node) chooseBaseline(r *request) (router.Choice, bool) {
	var available []*server
	for _, s := range n.sim.pools[r.kind.Service.Pool] {
		if n.isDiscovered(s) && !n.view(s.state.VM).leaving && !r.avoidServers[s.state.VM] {
			available = append(available, s)
		}
	}
	if len(available) == 0 {
		return router.Choice{}, false
	}
	n.nextServer++
	best := available[n.nextServer%len(available)]
	if n.sim.variant.Routing == LeastInFlight {
		for _, s := range available {
			if n.view(s.state.VM).ownInFlight < n.view(best.state.VM).ownInFlight {
				best = s
			}
		}
	}
	return router.Choice{
		Server:    best.state.VM,
		Predicted: n.predict(r, best),
	}, true
}

// poolLoad returns the free slots, all slots and waiting requests of a pool in
// this node's view.
func (n *node) poolLoad(pool identifier.PoolName) (free, slots, waiting int) {
	for _, s := range n.sim.pools[pool] {
		v := n.view(s.state.VM)
		if !n.isDiscovered(s) || v.leaving {
			continue
		}
		inFlight := v.ownInFlight
		if v.hasLoad && n.sim.now.Sub(v.load.AsOf) < maxReportAge {
			inFlight = max(inFlight, v.load.Running)
			waiting += v.load.Waiting
		}
		slots += s.pool.Slots
		free += max(0, s.pool.Slots-inFlight)
	}
	return free, slots, waiting
}

// send starts an attempt.
func (n *node) send(r *request, c router.Choice, mode messenger.StartMode) {
	s := n.sim.cloud.servers[c.Server]
	now := n.sim.now
	a := &attempt{
		request:   r,
		server:    s,
		mode:      mode,
		sentAt:    now,
		predicted: c.Predicted,
	}
	r.attempts++
	r.current = a
	v := n.view(c.Server)
	v.ownInFlight++
	v.ownPrefillTokens += r.promptTokens
	n.hints.Routed(now, c.Server, r.prefixHashes)
	n.suspicions.Observe(now, c.Server, detector.Observation{Kind: detector.Sent})
	n.sim.after(networkDelay, func() { n.deliver(a) })
	n.sim.after(n.firstEventTimeout(a), func() {
		if !a.gotFirst {
			n.eventTimedOut(a)
		}
	})
}

func (n *node) deliver(a *attempt) {
	if a.phase == phaseOver {
		return
	}
	if !a.server.ready(n.sim.now) {
		n.attemptFailed(a, messenger.AttemptNotSent)
		return
	}
	a.server.accept(a)
}

func (n *node) firstEventTimeout(a *attempt) timekeeper.Duration {
	if !n.sim.variant.PredictedTimeouts || a.server.plain() {
		return baselineEventTimeout
	}
	return detector.FirstEventTimeout(a.predicted.FirstToken)
}

func (n *node) nextEventTimeout(a *attempt) timekeeper.Duration {
	if !n.sim.variant.PredictedTimeouts {
		return baselineEventTimeout
	}
	return detector.NextEventTimeout(a.predicted.PerToken)
}

// eventTimedOut rejoins the stream of an attempt whose event timed out, as the
// conductor does, and fails the attempt if no token follows.
func (n *node) eventTimedOut(a *attempt) {
	if a.request.current != a || a.phase == phaseOver {
		return
	}
	delivered := a.request.delivered
	n.sim.after(detector.FirstEventTimeout(rejoinEventTime), func() {
		a.server.advance()
		if a.request.current == a && a.phase != phaseOver && a.request.delivered == delivered {
			a.server.remove(a)
			n.attemptFailed(a, messenger.AttemptTimedOut)
		}
	})
}

func (n *node) firstToken(a *attempt) {
	r := a.request
	a.gotFirst = true
	v := n.view(a.server.state.VM)
	v.ownPrefillTokens -= r.promptTokens
	if r.firstAt == 0 {
		r.firstAt = n.sim.now
	}
	n.suspicions.Observe(n.sim.now, a.server.state.VM, detector.Observation{
		Kind:             detector.FirstToken,
		Latency:          n.sim.now.Sub(a.sentAt),
		PredictedLatency: a.predicted.FirstToken,
	})
}

func (n *node) attemptCompleted(a *attempt) {
	r := a.request
	n.endAttempt(a)
	latency := timekeeper.Duration(0)
	if r.plain() {
		r.firstAt = n.sim.now
		latency = n.sim.now.Sub(a.sentAt)
	}
	n.suspicions.Observe(n.sim.now, a.server.state.VM, detector.Observation{
		Kind:             detector.Completed,
		Latency:          latency,
		PredictedLatency: a.predicted.Completion,
	})
	n.endRequest(r)
	n.sim.tally.countAnswered(r, n.sim.now)
}

// endAttempt removes an attempt from the node's counts.
func (n *node) endAttempt(a *attempt) {
	a.phase = phaseOver
	v := n.view(a.server.state.VM)
	v.ownInFlight--
	if !a.gotFirst {
		v.ownPrefillTokens -= a.request.promptTokens
	}
	if a.request.current == a {
		a.request.current = nil
	}
}

// endRequest removes a request from the node and settles its limits.
func (n *node) endRequest(r *request) {
	r.ended = true
	delete(n.active, r.id)
	n.limits.Settle(n.sim.now, r.account, r.promptTokens+r.maxTokens, r.promptTokens+identifier.Tokens(r.delivered))
}

func (n *node) expire(r *request) {
	if r.ended {
		return
	}
	if a := r.current; a != nil {
		a.server.remove(a)
		n.endAttempt(a)
	}
	n.endRequest(r)
	n.sim.tally.countUnanswered(r, outcomeExpired)
}

// attemptFailed handles an attempt that ended without a complete answer.
func (n *node) attemptFailed(a *attempt, result messenger.AttemptResult) {
	r := a.request
	n.endAttempt(a)
	if r.ended {
		return
	}
	n.recordFailure(a, result)
	if n.sim.variant.Reclaim == RestartAfterRemoval {
		n.sim.tally.countDiscarded(r)
		r.delivered = 0
	}
	verdict := n.budgets.Next(n.sim.now, retrier.EndedAttempt{
		Service:    r.kind.Service.Name,
		Idempotent: r.kind.Service.Idempotent,
		Result:     result,
		Attempts:   r.attempts,
		Deadline:   r.deadline,
		Delivered:  identifier.Tokens(r.delivered),
		Model:      r.kind.Service.Kind == catalog.ModelService,
		Planned:    n.exemptFromRetryBudget(a),
	}, n.rng)
	if !verdict.Retry {
		n.endRequest(r)
		n.sim.tally.countUnanswered(r, outcomeFailed)
		return
	}
	n.sim.tally.retries++
	r.avoidServers = map[identifier.VMID]bool{a.server.state.VM: true}
	r.avoidZones = map[identifier.Zone]bool{a.server.state.Zone: true}
	n.sim.after(verdict.Delay, func() { n.resume(r) })
}

// exemptFromRetryBudget reports whether replacing the attempt costs no retry
// budget, by the conductor's rule.
func (n *node) exemptFromRetryBudget(a *attempt) bool {
	if n.sim.variant.Group == Baseline {
		return false
	}
	return a.request.kind.Service.Long || n.view(a.server.state.VM).leaving
}

func (n *node) recordFailure(a *attempt, result messenger.AttemptResult) {
	failureKinds := map[messenger.AttemptResult]detector.Kind{
		messenger.AttemptNotSent:  detector.NotSent,
		messenger.AttemptBroken:   detector.Broken,
		messenger.AttemptTimedOut: detector.TimedOut,
	}
	n.suspicions.Observe(n.sim.now, a.server.state.VM, detector.Observation{Kind: failureKinds[result]})
}

// resume starts the next attempt of an accepted request.
func (n *node) resume(r *request) {
	if r.ended || r.current != nil {
		return
	}
	choice, ok := n.choose(r)
	if !ok {
		r.avoidServers, r.avoidZones = nil, nil
		pause := noServerRetryDelay + timekeeper.Duration(n.rng.Int64N(int64(noServerRetryDelay)))
		n.sim.after(pause, func() { n.resume(r) })
		return
	}
	n.send(r, choice, messenger.StartPrefill)
}
