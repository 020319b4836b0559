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
	// sendTime is the way from a node to a server.
	sendTime = 1 * timekeeper.Millisecond
	// noServerRetry is what a caller is told, noServerPause how long an
	// accepted request waits, when there is no server.
	noServerRetry = 2 * timekeeper.Second
	noServerPause = 200 * timekeeper.Millisecond
	// plainSilence is how long the baselines wait for a silent server.
	plainSilence = 30 * timekeeper.Second
	// rejoinWait is the predicted wait when a stream is rejoined, as in the
	// conductor.
	rejoinWait = 2500 * timekeeper.Millisecond
	// reportAge is the age past which a report says nothing.
	reportAge = 10 * timekeeper.Second
	// cacheLag is how late cache events come.
	cacheLag = 1 * timekeeper.Second
)

// view is what one node knows of one server.
type view struct {
	load       messenger.ServerLoad
	hasLoad    bool
	leaving    bool
	leaveBy    timekeeper.Time
	own        int
	ownPrefill identifier.Tokens
	cacheSeen  int
}

// node is an entry VM: its own instance of the decision packages.
type node struct {
	world      *world
	id         identifier.VMID
	zone       identifier.Zone
	rng        *rand.Rand
	limits     *limiter.Limits
	budgets    *retrier.Budgets
	suspicions *detector.Suspicions
	hints      *router.Hints
	views      map[identifier.VMID]*view
	live       map[identifier.RequestID]*request
	arrived    map[identifier.PoolName]int
	atStake    map[identifier.PoolName]identifier.Money
	turn       int
	// plan counts the plans, so that a new one voids what an old one has not
	// started yet.
	plan       int
	candidates []router.Candidate
}

func newNode(w *world, i int, rng *rand.Rand) *node {
	n := &node{
		world:      w,
		id:         identifier.VMID(fmt.Sprintf("entry-%d", i)),
		zone:       w.deployment.Zones[i%len(w.deployment.Zones)],
		rng:        rng,
		limits:     limiter.New(limiter.Config{Rules: w.variant.Limiter}),
		budgets:    retrier.New(retrier.Config{Rules: w.variant.Retrier}),
		suspicions: detector.New(detector.Config{Rules: w.variant.Detector}),
		hints:      router.NewHints(router.HintsConfig{}),
		views:      make(map[identifier.VMID]*view),
		live:       make(map[identifier.RequestID]*request),
		arrived:    make(map[identifier.PoolName]int),
		atStake:    make(map[identifier.PoolName]identifier.Money),
	}
	n.limits.SetCatalog(0, w.catalog)
	return n
}

func (n *node) view(vm identifier.VMID) *view {
	v, ok := n.views[vm]
	if !ok {
		v = &view{}
		n.views[vm] = v
	}
	return v
}

// forget drops what is known of a server that has gone, as the conductor does.
func (n *node) forget(s *server) {
	n.hints.Forget(s.state.VM)
	n.suspicions.Forget(s.state.VM)
}

// knows tells whether the node has heard of a server that serves.
func (n *node) knows(s *server) bool {
	return s.ready(n.world.now) && (s.readyAt == 0 || n.world.now.Sub(s.readyAt) >= gossipEvery)
}

// poll asks every server for its load and its cache events.
func (n *node) poll() {
	now := n.world.now
	for _, p := range n.world.deployment.Pools {
		for _, s := range n.world.pools[p.Name] {
			if !n.knows(s) {
				continue
			}
			if n.rng.IntN(100) < missedPercent {
				n.suspicions.Observe(now, s.state.VM, detector.Observation{Kind: detector.LoadMissed})
				continue
			}
			n.heard(s)
		}
	}
}

func (n *node) heard(s *server) {
	now := n.world.now
	v := n.view(s.state.VM)
	n.suspicions.Observe(now, s.state.VM, detector.Observation{Kind: detector.LoadOK})
	if load, ok := s.load(now); ok {
		v.load = load
		v.hasLoad = true
	}
	lost := n.rng.IntN(100) < gapPercent
	for v.cacheSeen < len(s.cache.events) {
		e := s.cache.events[v.cacheSeen]
		if now.Sub(e.at) < cacheLag {
			return
		}
		v.cacheSeen++
		if lost {
			n.hints.Observe(now, s.state.VM, nil, nil, true)
			continue
		}
		n.hints.Observe(now, s.state.VM, e.held, e.gone, false)
	}
}

// submit is a caller's request, new or come back.
func (n *node) submit(r *request) {
	now := n.world.now
	r.node = n
	n.arrived[r.kind.Service.Pool]++
	n.atStake[r.kind.Service.Pool] += r.kind.Target.Penalty
	choice, ok := n.choose(r)
	if !ok {
		n.refuse(r, messenger.ReasonNoServer, noServerRetry)
		return
	}
	free, slots, waiting := n.poolLoad(r.kind.Service.Pool)
	verdict := n.limits.Admit(now, limiter.Request{
		Account:   r.account,
		Service:   r.kind.Service.Name,
		Priority:  r.kind.Service.Priority,
		Tokens:    r.prompt + r.max,
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
	n.live[r.id] = r
	n.world.at(r.deadline, func() { n.expire(r) })
	n.send(r, choice, messenger.StartFresh)
}

// refuse tells the caller, who comes back when told, as long as the answer
// could still be in time.
func (n *node) refuse(r *request, reason messenger.Reason, after timekeeper.Duration) {
	back := n.world.now.Add(after)
	n.world.tally.refusal(r, reason)
	if after <= 0 || r.returns >= maxReturns || back.After(r.arrival.Add(r.kind.Target.Completion)) {
		r.ended = true
		n.world.tally.lost(r, outcomeRefused)
		return
	}
	r.returns++
	n.world.at(back, func() { n.world.arrive(r) })
}

// choose picks a server for the next attempt.
func (n *node) choose(r *request) (router.Choice, bool) {
	if n.world.variant.Routing != PolicyRouting {
		return n.choosePlainly(r)
	}
	job := router.Job{
		PromptTokens: r.context(),
		MaxTokens:    max(r.max-identifier.Tokens(r.delivered), 0),
		Priority:     r.kind.Service.Priority,
		Deadline:     r.deadline,
		Target:       r.kind.Target,
		AvoidZones:   r.avoidZones,
		AvoidServers: r.avoidServers,
	}
	return router.Choose(n.world.now, job, n.candidatesFor(r), n.world.variant.Router, n.rng)
}

func (n *node) candidatesFor(r *request) []router.Candidate {
	now := n.world.now
	n.candidates = n.candidates[:0]
	for _, s := range n.world.pools[r.kind.Service.Pool] {
		if !n.knows(s) {
			continue
		}
		v := n.view(s.state.VM)
		n.candidates = append(n.candidates, router.Candidate{
			Server:           s.state.VM,
			Zone:             s.state.Zone,
			Market:           s.state.Market,
			Leaving:          v.leaving,
			Suspect:          n.suspicions.Suspect(now, s.state.VM),
			OwnInFlight:      v.own,
			OwnPrefill:       v.ownPrefill,
			Load:             v.load,
			PrefixHit:        n.hints.CachedTokens(now, s.state.VM, r.prefix),
			Slots:            s.pool.Slots,
			TokensPerSecond:  s.pool.TokensPerSecond,
			PrefillPerSecond: s.pool.PrefillPerSecond,
			SameZone:         s.state.Zone == n.zone,
		})
	}
	return n.candidates
}

// choosePlainly is the baselines' choice.
func (n *node) choosePlainly(r *request) (router.Choice, bool) {
	var open []*server
	for _, s := range n.world.pools[r.kind.Service.Pool] {
		if n.knows(s) && !n.view(s.state.VM).leaving && !r.avoidServers[s.state.VM] {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return router.Choice{}, false
	}
	n.turn++
	best := open[n.turn%len(open)]
	if n.world.variant.Routing == LeastInFlight {
		for _, s := range open {
			if n.view(s.state.VM).own < n.view(best.state.VM).own {
				best = s
			}
		}
	}
	return router.Choice{
		Server:    best.state.VM,
		Predicted: n.predict(r, best),
	}, true
}

// poolLoad sums up a pool as the node sees it.
func (n *node) poolLoad(pool identifier.PoolName) (free, slots, waiting int) {
	for _, s := range n.world.pools[pool] {
		v := n.view(s.state.VM)
		if !n.knows(s) || v.leaving {
			continue
		}
		busy := v.own
		if v.hasLoad && n.world.now.Sub(v.load.AsOf) < reportAge {
			busy = max(busy, v.load.Running)
			waiting += v.load.Waiting
		}
		slots += s.pool.Slots
		free += max(0, s.pool.Slots-busy)
	}
	return free, slots, waiting
}

// send starts an attempt.
func (n *node) send(r *request, c router.Choice, mode messenger.StartMode) {
	s := n.world.cloud.servers[c.Server]
	now := n.world.now
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
	v.own++
	v.ownPrefill += r.prompt
	n.hints.Routed(now, c.Server, r.prefix)
	n.suspicions.Observe(now, c.Server, detector.Observation{Kind: detector.Sent})
	n.world.after(sendTime, func() { n.deliver(a) })
	n.world.after(n.firstSilence(a), func() {
		if !a.gotFirst {
			n.silent(a)
		}
	})
}

func (n *node) deliver(a *attempt) {
	if a.phase == phaseOver {
		return
	}
	if !a.server.ready(n.world.now) {
		n.failed(a, messenger.AttemptNotSent)
		return
	}
	a.server.accept(a)
}

func (n *node) firstSilence(a *attempt) timekeeper.Duration {
	if !n.world.variant.PredictedTimeouts || a.server.plain() {
		return plainSilence
	}
	return detector.FirstEventTimeout(a.predicted.FirstToken)
}

func (n *node) nextSilence(a *attempt) timekeeper.Duration {
	if !n.world.variant.PredictedTimeouts {
		return plainSilence
	}
	return detector.NextEventTimeout(a.predicted.PerToken)
}

// silent rejoins the stream of an attempt of which nothing is heard, as the
// conductor does, and ends the attempt when that brings nothing either.
func (n *node) silent(a *attempt) {
	if a.request.current != a || a.phase == phaseOver {
		return
	}
	delivered := a.request.delivered
	n.world.after(detector.FirstEventTimeout(rejoinWait), func() {
		a.server.advance()
		if a.request.current == a && a.phase != phaseOver && a.request.delivered == delivered {
			a.server.remove(a)
			n.failed(a, messenger.AttemptTimedOut)
		}
	})
}

func (n *node) first(a *attempt) {
	r := a.request
	a.gotFirst = true
	v := n.view(a.server.state.VM)
	v.ownPrefill -= r.prompt
	if r.firstAt == 0 {
		r.firstAt = n.world.now
	}
	n.suspicions.Observe(n.world.now, a.server.state.VM, detector.Observation{
		Kind:             detector.FirstToken,
		Latency:          n.world.now.Sub(a.sentAt),
		PredictedLatency: a.predicted.FirstToken,
	})
}

func (n *node) completed(a *attempt) {
	r := a.request
	n.leave(a)
	latency := timekeeper.Duration(0)
	if r.plain() {
		r.firstAt = n.world.now
		latency = n.world.now.Sub(a.sentAt)
	}
	n.suspicions.Observe(n.world.now, a.server.state.VM, detector.Observation{
		Kind:             detector.Completed,
		Latency:          latency,
		PredictedLatency: a.predicted.Completion,
	})
	n.end(r)
	n.world.tally.answered(r, n.world.now)
}

// leave takes an attempt out of the node's counts.
func (n *node) leave(a *attempt) {
	a.phase = phaseOver
	v := n.view(a.server.state.VM)
	v.own--
	if !a.gotFirst {
		v.ownPrefill -= a.request.prompt
	}
	if a.request.current == a {
		a.request.current = nil
	}
}

// end takes a request out of the node's care.
func (n *node) end(r *request) {
	r.ended = true
	delete(n.live, r.id)
	n.limits.Settle(n.world.now, r.account, r.prompt+r.max, r.prompt+identifier.Tokens(r.delivered))
}

func (n *node) expire(r *request) {
	if r.ended {
		return
	}
	if a := r.current; a != nil {
		a.server.remove(a)
		n.leave(a)
	}
	n.end(r)
	n.world.tally.lost(r, outcomeExpired)
}

// failed is the end of an attempt without its whole answer.
func (n *node) failed(a *attempt, result messenger.AttemptResult) {
	r := a.request
	n.leave(a)
	if r.ended {
		return
	}
	n.blame(a, result)
	if n.world.variant.Reclaim == RestartAfterRemoval {
		n.world.tally.discarded(r)
		r.delivered = 0
	}
	verdict := n.budgets.Next(n.world.now, retrier.EndedAttempt{
		Service:    r.kind.Service.Name,
		Idempotent: r.kind.Service.Idempotent,
		Result:     result,
		Attempts:   r.attempts,
		Deadline:   r.deadline,
		Delivered:  identifier.Tokens(r.delivered),
		Model:      r.kind.Service.Kind == catalog.ModelService,
		Planned:    n.owed(a),
	}, n.rng)
	if !verdict.Retry {
		n.end(r)
		n.world.tally.lost(r, outcomeFailed)
		return
	}
	n.world.tally.retries++
	r.avoidServers = map[identifier.VMID]bool{a.server.state.VM: true}
	r.avoidZones = map[identifier.Zone]bool{a.server.state.Zone: true}
	n.world.after(verdict.Delay, func() { n.resume(r) })
}

// owed tells that an attempt costs no retry budget, as for the conductor.
func (n *node) owed(a *attempt) bool {
	if n.world.variant.Group == Baseline {
		return false
	}
	return a.request.kind.Service.Long || n.view(a.server.state.VM).leaving
}

func (n *node) blame(a *attempt, result messenger.AttemptResult) {
	kinds := map[messenger.AttemptResult]detector.Kind{
		messenger.AttemptNotSent:  detector.NotSent,
		messenger.AttemptBroken:   detector.Broken,
		messenger.AttemptTimedOut: detector.TimedOut,
	}
	n.suspicions.Observe(n.world.now, a.server.state.VM, detector.Observation{Kind: kinds[result]})
}

// resume starts the next attempt of an accepted request.
func (n *node) resume(r *request) {
	if r.ended || r.current != nil {
		return
	}
	choice, ok := n.choose(r)
	if !ok {
		r.avoidServers, r.avoidZones = nil, nil
		pause := noServerPause + timekeeper.Duration(n.rng.Int64N(int64(noServerPause)))
		n.world.after(pause, func() { n.resume(r) })
		return
	}
	n.send(r, choice, messenger.StartPrefill)
}
