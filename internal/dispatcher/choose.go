package dispatcher

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// crossZoneCost is the round trip to another availability zone.
	crossZoneCost = 1 * timekeeper.Millisecond
	// tieTolerance is the difference of cost, in milliseconds, up to which servers
	// count as equally good. One of them is drawn at random, so that nodes with the
	// same view don't all choose the same server.
	tieTolerance = 1.5
	// minUnseenWork, in milliseconds, replaces an unseen work of zero as a divisor. It
	// is small enough that a server outside tieTolerance is never drawn then.
	minUnseenWork = 1e-3
	// copySetup is the time before an engine begins to copy cached prefixes. copyWeight
	// is the factor by which copying weighs more than its time, because a copy is
	// charged for.
	copySetup  = 3 * timekeeper.Millisecond
	copyWeight = 2
	// copyWindow is the time after its notice during which a leaving server is used as
	// a source of copies. A server may be removed seconds before its entry is, and a
	// copy from it would then stall.
	copyWindow = 2 * timekeeper.Second
	// minCopyTokens is the size below which a copy is not worth its setup.
	minCopyTokens identifier.Tokens = 512
	// cachePercent is the percentage of an engine's memory that is assumed to hold
	// cached prefixes. Running requests need the rest.
	cachePercent = 70
)

// choice is a server for an attempt with its predictions.
type choice struct {
	server    *registrar.Server
	predicted timekeeper.Duration
	// cost is the prediction with penalties and discounts. Lower is better.
	cost timekeeper.Duration
	// factor is the server's factor on the predicted time.
	factor float64
	// prefill is the predicted time to read the prompt.
	prefill timekeeper.Duration
	// occupied is the time for which the request occupies the server.
	occupied timekeeper.Duration
	// work is the input of the prediction. queuedPrefill is the time to read the
	// prompts that are queued at the server ahead of this one.
	work          estimator.Work
	queuedPrefill timekeeper.Duration
	// slots is the number of requests that the server processes at once, or zero if it is
	// not known.
	slots int
	// copyFrom is a server that probably caches more of the prompt than this one, or
	// nil. copyTime is the time to copy that part.
	copyFrom *registrar.Server
	copyTime timekeeper.Duration
	// candidateCount is the number of servers that could be chosen; servers are those
	// that were considered.
	candidateCount int
	servers        []*registrar.Server
}

// startsAtOnce reports whether the server has a free slot for the request.
func (c choice) startsAtOnce() bool { return c.work.Waiting == 0 }

// choose returns the server for an exchange's next attempt. It skips servers that are
// leaving or already tried, and uses suspected ones only if there are no others.
func (d *Dispatcher) choose(env Env, x *exchange) (choice, bool) {
	d.refreshFactors(env, x.service)
	byVersion := env.Versions.Candidates(d.versionRequest(env, x))
	if c, ok := d.chooseFrom(env, x, byVersion.Preferred); ok || len(byVersion.Fallback) == 0 {
		return c, ok
	}
	return d.chooseFrom(env, x, byVersion.Fallback)
}

// chooseFrom chooses one of servers, if possible from this node's subset of them.
func (d *Dispatcher) chooseFrom(env Env, x *exchange, servers []*registrar.Server) (choice, bool) {
	holders := d.cacheHoldersOf(env, x.spec.Prefix, servers)
	inSubset := func(s *registrar.Server) bool { return d.subset.contains(s.Server, candidateServers, len(servers)) }
	candidates := d.candidates(env, x, holders, inSubset)
	if len(candidates) == 0 {
		// No server of this node's subset can receive the request.
		candidates = d.candidates(env, x, holders, func(*registrar.Server) bool { return true })
	}
	if len(candidates) == 0 {
		return choice{}, false
	}
	c := draw(env, candidates, d.unseenWork(env, x.service, registrar.CountReady(servers)))
	c.servers = servers
	return c, true
}

// candidates returns the predictions for the eligible servers. Servers that are recovering
// from a backoff are returned only if the others would all make the request wait, and
// suspected ones only if there are no others.
func (d *Dispatcher) candidates(env Env, x *exchange, holders cacheHolders, eligible func(*registrar.Server) bool) []choice {
	var trusted, recovering, suspected []choice
	for i, s := range holders.servers {
		if !env.canReceive(x, s) || !eligible(s) {
			continue
		}
		c := d.predict(env, x, s, holders.stateOf(i))
		if env.Brittle.Service(x.service) && (env.Brittle.Paused(env.Now, s.Server) || slices.Contains(x.slotRequest.full, s.Server)) {
			continue
		}
		switch {
		case env.Suspicions.Suspect(env.Now, s.Server):
			suspected = append(suspected, c)
		case env.Backoffs.Recovering(env.Now, s.Server):
			recovering = append(recovering, c)
		default:
			trusted = append(trusted, c)
		}
	}
	if !slices.ContainsFunc(trusted, choice.startsAtOnce) {
		trusted = append(trusted, recovering...)
	}
	if len(trusted) == 0 {
		return suspected
	}
	return trusted
}

// canReceive reports whether an exchange may be sent to a server, as far as this node
// knows.
func (env Env) canReceive(x *exchange, s *registrar.Server) bool {
	return env.isAvailable(s) && !slices.Contains(x.tried, s.Server)
}

// isAvailable reports whether this node may send requests to a server.
func (env Env) isAvailable(s *registrar.Server) bool {
	return s.State == messenger.ServerReady && !s.Displaced && env.availableAt(s.Server) == 0
}

// availableAt returns the time before which this node may send nothing to a server, for
// lack of a permit or because the server asked for a pause, or zero if it may.
func (env Env) availableAt(server identifier.VMID) timekeeper.Time {
	return max(env.Limits.PausedUntil(env.Now, server), env.Backoffs.Until(env.Now, server))
}

// unseenWork returns the work, in milliseconds per server, that other nodes have
// probably sent to a service's servers since the load that this node knows was
// measured.
//
// Loads that relays report are some tenths of a second old. Without this estimate all
// nodes would send their prompts to the few servers that seemed idle, while the others
// are idle.
func (d *Dispatcher) unseenWork(env Env, service identifier.ServiceName, servers int) float64 {
	age, relayed := d.loads.relayedAge(env.Now)
	if !relayed || !env.Catalog.Routing.Backends[service].Model {
		return 0
	}
	return d.Demand(env.Now, service).OfferedLoad * float64(age) / float64(max(servers, 1))
}

// draw returns a weighted random choice. Choices within tieTolerance of the lowest cost
// have equal weight. Beyond it the weight falls by a factor of e each time the cost
// rises by unseen, and is practically zero if unseen is zero.
func draw(env Env, choices []choice, unseen float64) choice {
	best := choices[0].cost
	for _, c := range choices {
		best = min(best, c.cost)
	}
	weights := make([]float64, len(choices))
	sum := 0.0
	for i, c := range choices {
		weights[i] = math.Exp(-max(float64(c.cost-best)-tieTolerance, 0) / max(unseen, minUnseenWork))
		sum += weights[i]
	}
	remaining := env.Rand.Float64() * sum
	drawn := choices[len(choices)-1]
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			drawn = choices[i]
			break
		}
	}
	drawn.candidateCount = len(choices)
	return drawn
}

// predict returns the predicted times of an exchange at a server, and its cost.
func (d *Dispatcher) predict(env Env, x *exchange, s *registrar.Server, cache cacheState) choice {
	running, prefill := d.loads.serverLoad(env.Now, s.Server)
	backend := env.Catalog.Routing.Backends[x.service]
	slots := d.slotCount(env, s)
	waiting := 0
	if slots > 0 {
		waiting = max(running-slots+1, 0)
	}
	cost := timekeeper.Duration(0)
	if s.Zone != d.config.Zone {
		cost = crossZoneCost
	}
	rates := d.estimator(env, x.service)
	cached := cache.cached
	c := choice{
		server: s,
		factor: rates.Factor(s.Server),
		slots:  slots,
	}
	if cache.copyFrom != nil && backend.CopyTokensPerMS > 0 {
		c.copyFrom = cache.copyFrom
		c.copyTime = copySetup + timekeeper.Duration(float64(cache.copyTokens-cache.cached)/backend.CopyTokensPerMS)
		cached = cache.copyTokens
	}
	c.work = x.work(cached)
	c.work.Running = running
	c.work.Waiting = waiting
	c.prefill = rates.PrefillTime(s.Server, c.work) + c.copyTime
	c.occupied = c.prefill
	if !backend.Model && slots > 0 {
		c.occupied = rates.FirstEventTime(s.Server, estimator.Work{}) / timekeeper.Duration(slots)
	}
	c.queuedPrefill = prefill
	c.predicted = cost + rates.FirstEventTime(s.Server, c.work) + prefill + c.copyTime
	c.cost = c.predicted + copyWeight*c.copyTime
	if cache.affinity {
		// No server is known to cache the shared parts, and all nodes send them to this
		// one. It is ranked as if it had cached them.
		c.cost -= c.prefill - rates.PrefillTime(s.Server, x.work(indexer.SharedTokens(x.spec.Prefix)))
	}
	return c
}

// estimator returns the estimator of a service.
func (d *Dispatcher) estimator(env Env, service identifier.ServiceName) *estimator.Estimator {
	e := d.estimators[service]
	if e == nil {
		e = d.newEstimator(env, service)
		d.estimators[service] = e
	}
	return e
}

// cacheState is what one server has cached of a prompt's shared parts.
type cacheState struct {
	cached identifier.Tokens
	// copyFrom is the server with the largest cached prefix, and copyTokens the size of
	// that prefix. It is nil if a copy is not worthwhile.
	copyFrom   *registrar.Server
	copyTokens identifier.Tokens
	// affinity is set if no server is known to have cached anything and this is the
	// affinity server.
	affinity bool
}

// cacheHolders holds how much of a prompt's shared parts each server has cached; cached
// is indexed like servers.
type cacheHolders struct {
	servers []*registrar.Server
	cached  []identifier.Tokens
	// largest holds the index of the server with the largest cached prefix among those of a
	// version that can be copied from. What two versions write does not fit together.
	largest map[identifier.Version]int
	// affinity is the index of the affinity server if no server is known to have cached
	// anything, or -1.
	affinity int
}

// cacheHoldersOf looks up which servers have cached the shared parts of a prompt.
func (d *Dispatcher) cacheHoldersOf(env Env, prefix []messenger.PromptPart, servers []*registrar.Server) cacheHolders {
	holders := cacheHolders{
		servers:  servers,
		cached:   make([]identifier.Tokens, len(servers)),
		largest:  map[identifier.Version]int{},
		affinity: -1,
	}
	for i, s := range servers {
		if s.State == messenger.ServerLeaving && env.Now.Sub(s.ChangedAt) > copyWindow {
			continue
		}
		holders.cached[i] = d.index.CachedTokens(s.Server, prefix)
		if _, limited := env.Limits.Rate(s.Server); limited {
			continue // Its limit would count a copy as a request.
		}
		if env.Backoffs.Until(env.Now, s.Server) != 0 {
			continue // A copy would burden a server that asked for a pause.
		}
		largest, known := holders.largest[s.Version]
		if holders.cached[i] > 0 && (!known || holders.cached[i] > holders.cached[largest]) {
			holders.largest[s.Version] = i
		}
	}
	if len(holders.largest) == 0 {
		holders.affinity = affinityServer(prefix, servers)
	}
	return holders
}

// stateOf returns the cache state of the server with index i.
func (holders cacheHolders) stateOf(i int) cacheState {
	out := cacheState{
		cached:   holders.cached[i],
		affinity: i == holders.affinity,
	}
	if largest, known := holders.largest[holders.servers[i].Version]; known && holders.cached[largest]-holders.cached[i] >= minCopyTokens {
		out.copyFrom = holders.servers[largest]
		out.copyTokens = holders.cached[largest]
	}
	return out
}

// affinityServer returns the index of the server to which requests with the same prompt
// prefix are sent while no server is known to have it cached, or -1. This is the ready
// server with the largest rendezvous hash of server and deepest shared part. All nodes
// choose the same server without communication, so that the prefix is read once rather
// than once per node.
func affinityServer(prefix []messenger.PromptPart, servers []*registrar.Server) int {
	affinity := -1
	if len(prefix) < 2 {
		return affinity
	}
	shared := uint64(prefix[len(prefix)-2].Hash)
	var maxWeight uint64
	for i, s := range servers {
		if s.State != messenger.ServerReady {
			continue
		}
		if weight := placer.Weight(shared, xxhash.Sum64String(string(s.Server))); weight >= maxWeight {
			maxWeight = weight
			affinity = i
		}
	}
	return affinity
}
