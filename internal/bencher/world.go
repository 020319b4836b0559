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

// The streams of random numbers of a run.
const (
	worldStream = 2 + iota
	faultStream
	nodeStream = 100
)

// world is one run.
type world struct {
	schedule
	deployment Deployment
	variant    Variant
	catalog    *catalog.Catalog
	rng        *rand.Rand
	nodes      []*node
	pools      map[identifier.PoolName][]*server
	cloud      *cloud
	tally      *tally
	// news is what the nodes told each other at the last gossip.
	news   map[identifier.VMID]map[identifier.AccountID]limiter.Demand
	shards map[identifier.AccountID][]*node
}

// Run makes one run and returns its result.
func Run(d Deployment, v Variant, seed uint64) Result {
	w := newWorld(d, v, seed)
	for _, r := range newArrivals(d, w.catalog, seed).all() {
		w.at(r.arrival, func() { w.arrive(r) })
	}
	w.startClocks()
	w.scheduleFaults(rand.New(rand.NewPCG(seed, faultStream)))
	w.runUntil(timekeeper.Time(runTime + drainTime))
	return w.result()
}

func newWorld(d Deployment, v Variant, seed uint64) *world {
	w := &world{
		deployment: d,
		variant:    v,
		catalog:    catalogOf(d),
		rng:        rand.New(rand.NewPCG(seed, worldStream)),
		pools:      make(map[identifier.PoolName][]*server),
		news:       make(map[identifier.VMID]map[identifier.AccountID]limiter.Demand),
		shards:     make(map[identifier.AccountID][]*node),
	}
	if v.AllOnDemand {
		for name, p := range w.catalog.Pools {
			p.OnDemandPercent = 100
			w.catalog.Pools[name] = p
		}
	}
	w.tally = newTally(d)
	for i := range d.Nodes {
		w.nodes = append(w.nodes, newNode(w, i, rand.New(rand.NewPCG(seed, nodeStream+uint64(i)))))
	}
	w.addresses()
	w.cloud = newCloud(w)
	w.cloud.firstFleet()
	return w
}

// startClocks starts what happens again and again.
func (w *world) startClocks() {
	end := timekeeper.Time(runTime + drainTime)
	w.every(publishEvery, end, w.publish)
	for i, n := range w.nodes {
		offset := timekeeper.Duration(i) * pollEvery / timekeeper.Duration(len(w.nodes))
		w.after(offset, func() { w.every(pollEvery, end, n.poll) })
	}
	w.every(gossipEvery, end, w.gossip)
	w.after(planEvery, func() { w.every(planEvery, end, w.cloud.scale) })
	w.at(timekeeper.Time(holderChange), w.cloud.changeHolder)
}

// arrive gives a request to the node whose address its caller keeps.
func (w *world) arrive(r *request) {
	w.nodeFor(r).submit(r)
}

// nodeFor returns the node at an address that the system gives the account:
// each of its clients begins with another one, goes on to the next when it
// asks again after clientKeep, and does so too when it was refused.
func (w *world) nodeFor(r *request) *node {
	offset := timekeeper.Duration(r.client) * clientKeep / clientsByAccount
	kept := int(w.now.Add(offset).Sub(0) / clientKeep)
	shard := w.shards[r.account]
	return shard[(r.client+kept+r.returns)%len(shard)]
}

// addresses asks the system for the order of the nodes for each account.
func (w *world) addresses() {
	var members []gossiper.Node
	byID := make(map[identifier.VMID]*node)
	for _, n := range w.nodes {
		byID[n.id] = n
		members = append(members, gossiper.Node{
			VM:    n.id,
			Zone:  n.zone,
			State: gossiper.Alive,
		})
	}
	for _, a := range w.deployment.Accounts {
		for _, m := range placer.Shard(a.ID, members, len(members)) {
			w.shards[a.ID] = append(w.shards[a.ID], byID[m.VM])
		}
	}
}

func (w *world) publish() {
	for _, p := range w.deployment.Pools {
		for _, s := range w.pools[p.Name] {
			if s.ready(w.now) {
				s.publish()
			}
		}
	}
}

// gossip carries the demand from node to node: each hears what the others
// said at the last round.
func (w *world) gossip() {
	for _, n := range w.nodes {
		peers := make(map[identifier.VMID]map[identifier.AccountID]limiter.Demand)
		for id, demand := range w.news {
			if id != n.id {
				peers[id] = demand
			}
		}
		n.limits.SetPeers(w.now, peers)
	}
	for _, n := range w.nodes {
		w.news[n.id] = n.limits.Demand(w.now)
	}
}

// first is the first token of an attempt.
func (w *world) first(a *attempt) { a.request.node.first(a) }

// completed is the end of an attempt with its whole answer.
func (w *world) completed(a *attempt) { a.request.node.completed(a) }
