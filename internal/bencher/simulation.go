package bencher

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream numbers of the random number generators of a run.
const (
	simulationStream = 2 + iota
	faultStream
	nodeStream = 100
)

// simulation is the state of one run.
type simulation struct {
	schedule
	deployment Deployment
	variant    Variant
	catalog    *catalog.Catalog
	rng        *rand.Rand
	nodes      []*node
	pools      map[identifier.PoolName][]*server
	cloud      *cloud
	tally      *tally
	// peerDemand holds the demand that each node sent in the last gossip round.
	peerDemand map[identifier.VMID]map[identifier.AccountID]limiter.Demand
	shards     map[identifier.AccountID][]*node
}

// Run simulates one deployment and variant with a seed.
func Run(d Deployment, v Variant, seed uint64) Result {
	sim := newSimulation(d, v, seed)
	for _, r := range newArrivals(d, sim.catalog, seed).drawAll() {
		sim.at(r.arrival, func() { sim.arrive(r) })
	}
	sim.startTimers()
	sim.scheduleFaults(rand.New(rand.NewPCG(seed, faultStream)))
	sim.runUntil(timekeeper.Time(runTime + drainTime))
	return sim.result()
}

func newSimulation(d Deployment, v Variant, seed uint64) *simulation {
	sim := &simulation{
		deployment: d,
		variant:    v,
		catalog:    catalogOf(d),
		rng:        rand.New(rand.NewPCG(seed, simulationStream)),
		pools:      make(map[identifier.PoolName][]*server),
		peerDemand: make(map[identifier.VMID]map[identifier.AccountID]limiter.Demand),
		shards:     make(map[identifier.AccountID][]*node),
	}
	if v.AllOnDemand {
		for name, p := range sim.catalog.Pools {
			p.OnDemandPercent = 100
			sim.catalog.Pools[name] = p
		}
	}
	sim.tally = newTally(d)
	for i := range d.Nodes {
		sim.nodes = append(sim.nodes, newNode(sim, i, rand.New(rand.NewPCG(seed, nodeStream+uint64(i)))))
	}
	sim.assignShards()
	sim.cloud = newCloud(sim)
	sim.cloud.buyInitialFleet()
	return sim
}

// startTimers schedules the periodic tasks and the change of leader.
func (sim *simulation) startTimers() {
	end := timekeeper.Time(runTime + drainTime)
	sim.every(publishInterval, end, sim.publish)
	for i, n := range sim.nodes {
		offset := timekeeper.Duration(i) * pollInterval / timekeeper.Duration(len(sim.nodes))
		sim.after(offset, func() { sim.every(pollInterval, end, n.pollServers) })
	}
	sim.every(gossipInterval, end, sim.gossip)
	sim.after(planInterval, func() { sim.every(planInterval, end, sim.cloud.runScalers) })
	sim.at(timekeeper.Time(leaderChange), sim.cloud.changeLeader)
}

// arrive submits a request to the node whose address its caller uses.
func (sim *simulation) arrive(r *request) {
	sim.nodeFor(r).submit(r)
}

// nodeFor returns the node that a request's caller uses. The clients of an
// account start at different nodes of its shard and move to the next after
// every addressMaxAge and after every refusal.
func (sim *simulation) nodeFor(r *request) *node {
	offset := timekeeper.Duration(r.clientIndex) * addressMaxAge / clientsPerAccount
	addressChanges := int(sim.now.Add(offset).Sub(0) / addressMaxAge)
	shard := sim.shards[r.account]
	return shard[(r.clientIndex+addressChanges+r.refusalRetries)%len(shard)]
}

// assignShards determines the order of the nodes for each account.
func (sim *simulation) assignShards() {
	var members []gossiper.Node
	byID := make(map[identifier.VMID]*node)
	for _, n := range sim.nodes {
		byID[n.id] = n
		members = append(members, gossiper.Node{
			VM:    n.id,
			Zone:  n.zone,
			State: gossiper.Alive,
		})
	}
	for _, a := range sim.deployment.Accounts {
		for _, m := range placer.Shard(a.ID, members, len(members)) {
			sim.shards[a.ID] = append(sim.shards[a.ID], byID[m.VM])
		}
	}
}

func (sim *simulation) publish() {
	for _, p := range sim.deployment.Pools {
		for _, s := range sim.pools[p.Name] {
			if s.ready(sim.now) {
				s.publish()
			}
		}
	}
}

// gossip delivers to each node the demand that its peers sent in the previous
// round.
func (sim *simulation) gossip() {
	for _, n := range sim.nodes {
		peers := make(map[identifier.VMID]map[identifier.AccountID]limiter.Demand)
		for id, demand := range sim.peerDemand {
			if id != n.id {
				peers[id] = demand
			}
		}
		n.limits.SetPeers(sim.now, peers)
	}
	for _, n := range sim.nodes {
		sim.peerDemand[n.id] = n.limits.Demand(sim.now)
	}
}

func (sim *simulation) firstToken(a *attempt) { a.request.node.firstToken(a) }

func (sim *simulation) completed(a *attempt) { a.request.node.attemptCompleted(a) }
