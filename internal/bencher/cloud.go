package bencher

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/scaler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// expectedPace is the pace of a stream by which the first fleet is sized.
const expectedPace = 41

// releaseGrace bounds how long a released server may take to end its work.
const releaseGrace = 5 * timekeeper.Minute

// cloud is the fake cloud API, and the pools' scalers that use it.
type cloud struct {
	world   *world
	servers map[identifier.VMID]*server
	bought  map[string]identifier.VMID
	scalers map[identifier.PoolName]*scaler.Scaler
	// watchers are the scalers of the node that holds the lease next.
	watchers map[identifier.PoolName]*scaler.Scaler
	fence    identifier.Fence
	// safeAfter is the instant by which an earlier holder's purchases show.
	safeAfter timekeeper.Time
	exhausted map[identifier.Zone]timekeeper.Time
	// storeFree is the instant from which the weight store is idle.
	storeFree timekeeper.Time
}

func newCloud(w *world) *cloud {
	c := &cloud{
		world:     w,
		servers:   make(map[identifier.VMID]*server),
		bought:    make(map[string]identifier.VMID),
		fence:     1,
		exhausted: make(map[identifier.Zone]timekeeper.Time),
	}
	c.scalers, c.watchers = c.newScalers(), c.newScalers()
	return c
}

func (c *cloud) newScalers() map[identifier.PoolName]*scaler.Scaler {
	made := make(map[identifier.PoolName]*scaler.Scaler)
	for _, p := range c.world.deployment.Pools {
		load := plainBoot
		if p.Kind == catalog.ModelService {
			load = engineBoot + weightTime
		}
		made[p.Name] = scaler.New(scaler.Config{
			Pool:     p.Name,
			Rules:    c.world.variant.Scaler,
			LoadTime: load,
		})
	}
	return made
}

// firstFleet buys what the mean load needs, ready at once.
func (c *cloud) firstFleet() {
	for _, p := range c.world.deployment.Pools {
		in := scaler.Input{
			Catalog: c.world.catalog,
			Fence:   c.fence,
			Demand:  c.expected(p),
		}
		for _, a := range c.scalers[p.Name].Plan(0, in, c.world.rng) {
			s := c.create(p.Name, a)
			s.readyAt = 0
			c.scalers[p.Name].PurchaseEnded(0, a.ClientToken, scaler.PurchaseResult{VM: s.state.VM})
		}
	}
}

// expected is the mean demand on a pool, worked out from the workload.
func (c *cloud) expected(p catalog.Pool) scaler.Demand {
	var d scaler.Demand
	for _, k := range c.world.deployment.Kinds {
		if k.Service.Pool != p.Name {
			continue
		}
		answer := float64(k.Answer[0]+k.Answer[1]) / 2
		busy := k.Rate * answer / float64(timekeeper.Second)
		if p.Kind == catalog.ModelService {
			prompt := float64(k.Prompt[0]+k.Prompt[1]) / 2
			busy = k.Rate * (answer/expectedPace + prompt/p.PrefillPerSecond)
		}
		d.InFlight += busy
		if k.Service.Priority == catalog.Interactive {
			d.Interactive += busy
		}
	}
	return d
}

// changeHolder passes the lease to a node that has only watched.
func (c *cloud) changeHolder() {
	c.fence++
	c.safeAfter = c.world.now.Add(leaseTime)
	c.scalers, c.watchers = c.watchers, c.newScalers()
}

// scale lets the holder of each pool's lease plan.
func (c *cloud) scale() {
	if c.world.now.Sub(0) > runTime {
		return
	}
	for _, p := range c.world.deployment.Pools {
		s := c.scalers[p.Name]
		in := scaler.Input{
			Catalog:   c.world.catalog,
			Fence:     c.fence,
			SafeAfter: c.safeAfter,
			ListAsOf:  c.world.now.Add(-listLag),
			Servers:   c.list(p.Name),
			Demand:    c.demand(p.Name),
		}
		c.watchers[p.Name].Observe(c.world.now, in)
		for _, a := range s.Plan(c.world.now, in, c.world.rng) {
			c.carryOut(p.Name, a)
		}
	}
}

// list is the platform's list of a pool's VMs, as it was a while ago, with
// the leaving marks of now.
func (c *cloud) list(pool identifier.PoolName) []scaler.Server {
	asOf := c.world.now.Add(-listLag)
	var listed []scaler.Server
	for _, s := range c.world.pools[pool] {
		if s.boughtAt.After(asOf) || !s.goneAt.After(asOf) {
			continue
		}
		state := s.state
		state.Leaving = s.leaveBy > 0
		listed = append(listed, state)
	}
	return listed
}

// demand is what the holder hears of a pool: the servers' published load, and
// the nodes' counts of interactive requests and arrivals.
func (c *cloud) demand(pool identifier.PoolName) scaler.Demand {
	var d scaler.Demand
	for _, s := range c.world.pools[pool] {
		if load, ok := s.load(c.world.now); ok && s.ready(c.world.now) {
			d.InFlight += float64(load.Running + load.Waiting)
		}
	}
	for _, n := range c.world.nodes {
		d.Arrivals += n.arrived[pool]
		d.TotalPenalty += n.atStake[pool]
		n.arrived[pool], n.atStake[pool] = 0, 0
		for _, r := range n.live {
			if r.kind.Service.Pool == pool && r.kind.Service.Priority == catalog.Interactive {
				d.Interactive++
			}
		}
	}
	return d
}

func (c *cloud) carryOut(pool identifier.PoolName, a scaler.Action) {
	if a.Kind == scaler.Release {
		c.release(c.servers[a.VM])
		return
	}
	asker := c.scalers[pool]
	refused := c.refuses(a)
	lost := c.world.rng.IntN(100) < lostPercent
	c.world.after(buyTime, func() {
		if refused {
			asker.PurchaseEnded(c.world.now, a.ClientToken, scaler.PurchaseResult{Refused: true})
			c.world.tally.refusedVMs++
			return
		}
		s := c.create(pool, a)
		if lost {
			asker.PurchaseEnded(c.world.now, a.ClientToken, scaler.PurchaseResult{Ambiguous: true})
			return
		}
		asker.PurchaseEnded(c.world.now, a.ClientToken, scaler.PurchaseResult{VM: s.state.VM})
	})
}

func (c *cloud) refuses(a scaler.Action) bool {
	if _, again := c.bought[a.ClientToken]; again || a.Market == catalog.OnDemand {
		return false
	}
	return c.world.now.Before(c.exhausted[a.Zone]) || c.world.rng.IntN(100) < refusedPercent
}

// create makes a VM, or returns the one that the client token already bought.
func (c *cloud) create(pool identifier.PoolName, a scaler.Action) *server {
	if vm, ok := c.bought[a.ClientToken]; ok {
		return c.servers[vm]
	}
	p := c.world.catalog.Pools[pool]
	price, _ := c.world.catalog.Price(a.Class, a.Zone, a.Market)
	s := &server{
		world: c.world,
		state: messenger.VMState{
			VM:     identifier.VMID(fmt.Sprintf("%s-%03d", pool, len(c.world.pools[pool]))),
			Zone:   a.Zone,
			Class:  a.Class,
			Market: a.Market,
			Pool:   pool,
		},
		price:    price,
		pool:     p,
		boughtAt: c.world.now,
		readyAt:  c.world.now.Add(plainBoot),
		goneAt:   timekeeper.Never,
		slow:     1,
		cache:    newPrefixCache(),
	}
	if p.Kind == catalog.ModelService && c.world.now > 0 {
		c.storeFree = max(c.storeFree, c.world.now.Add(engineBoot)).Add(weightTime)
		s.readyAt = c.storeFree
	}
	c.bought[a.ClientToken] = s.state.VM
	c.servers[s.state.VM] = s
	c.world.pools[pool] = append(c.world.pools[pool], s)
	return s
}

// release lets a server end its work and then go.
func (c *cloud) release(s *server) {
	if s.leaveBy > 0 {
		return
	}
	deadline := c.world.now.Add(releaseGrace)
	c.announce([]*server{s}, deadline)
	c.awaitEmpty(s)
}

func (c *cloud) awaitEmpty(s *server) {
	if !c.world.now.Before(s.goneAt) {
		return
	}
	if len(s.running)+len(s.waiting) == 0 && c.world.now.Sub(s.leaveBy) > -releaseGrace+timekeeper.Second {
		c.takeAway(s)
		return
	}
	c.world.after(timekeeper.Second, func() { c.awaitEmpty(s) })
}

// announce gives notice of servers; each node hears of it a little later.
func (c *cloud) announce(servers []*server, deadline timekeeper.Time) {
	for _, s := range servers {
		s.leaveBy = deadline
	}
	for _, n := range c.world.nodes {
		lag := minNoticeLag + timekeeper.Duration(c.world.rng.Int64N(int64(maxNoticeLag-minNoticeLag)))
		c.world.after(lag, func() { n.noticed(servers) })
	}
	for _, s := range servers {
		c.world.at(deadline, func() { c.takeAway(s) })
	}
}

// takeAway ends a server and breaks what still runs on it.
func (c *cloud) takeAway(s *server) {
	if !c.world.now.Before(s.goneAt) {
		return
	}
	s.advance()
	s.goneAt = c.world.now
	s.version++
	broken := s.attempts()
	s.running, s.waiting = nil, nil
	for _, a := range broken {
		a.request.node.failed(a, messenger.AttemptBroken)
	}
	for _, n := range c.world.nodes {
		n.forget(s)
	}
}

// scheduleFaults draws the faults of a run.
func (w *world) scheduleFaults(rng *rand.Rand) {
	zones := slices.Clone(w.deployment.Zones)
	rng.Shuffle(len(zones), func(i, k int) { zones[i], zones[k] = zones[k], zones[i] })
	at := func(d timekeeper.Duration) timekeeper.Time {
		return timekeeper.Time(d + timekeeper.Duration(rng.Int64N(int64(waveJitter))))
	}
	w.at(at(waveOne), func() { w.cloud.wave(zones) })
	two := at(waveTwo)
	w.at(two, func() {
		w.cloud.dryEverywhere()
		w.cloud.wave(rotate(zones, 1))
	})
	w.at(two.Add(waveTwoSpread), func() { w.cloud.wave(rotate(zones, 2)) })
	w.at(at(waveThree), func() { w.cloud.wave(rotate(zones, 3)) })
	pick := rng.Uint64()
	w.at(at(slowStart), func() { w.cloud.makeSlow(pick) })
	w.at(at(silentStart), func() { w.cloud.makeSilent(pick >> 8) })
	w.singleReclaims(rng)
}

func rotate(zones []identifier.Zone, n int) []identifier.Zone {
	return append(slices.Clone(zones[n:]), zones[:n]...)
}

// singleReclaims takes single VMs at random times.
func (w *world) singleReclaims(rng *rand.Rand) {
	const checkEvery = 10 * timekeeper.Second
	for t := timekeeper.Time(warmUp); t.Sub(0) < runTime; t = t.Add(checkEvery) {
		dice := rng.Uint64()
		w.at(t, func() {
			local := rand.New(rand.NewPCG(dice, 0))
			for _, s := range w.cloud.reclaimable("") {
				if local.Float64() < singleReclaims*float64(checkEvery)/float64(timekeeper.Hour) {
					w.cloud.announce([]*server{s}, w.now.Add(w.deployment.NoticeTime))
				}
			}
		})
	}
}

// reclaimable returns the VMs of a zone that the cloud may take, or of all.
func (c *cloud) reclaimable(z identifier.Zone) []*server {
	var found []*server
	for _, p := range c.world.deployment.Pools {
		for _, s := range c.world.pools[p.Name] {
			if s.state.Market == catalog.Reclaimable && s.leaveBy == 0 && (z == "" || s.state.Zone == z) {
				found = append(found, s)
			}
		}
	}
	return found
}

// wave takes the first of the zones that has reclaimable VMs.
func (c *cloud) wave(zones []identifier.Zone) {
	for _, z := range zones {
		servers := c.reclaimable(z)
		if len(servers) == 0 {
			continue
		}
		c.exhausted[z] = max(c.exhausted[z], c.world.now.Add(zoneExhausted))
		c.announce(servers, c.world.now.Add(c.world.deployment.NoticeTime))
		return
	}
}

func (c *cloud) dryEverywhere() {
	for _, z := range c.world.deployment.Zones {
		c.exhausted[z] = c.world.now.Add(allExhausted)
	}
}

// engine returns one engine that serves.
func (c *cloud) engine(pick uint64) *server {
	var found []*server
	for _, p := range c.world.deployment.Pools {
		for _, s := range c.world.pools[p.Name] {
			if !s.plain() && s.ready(c.world.now) && s.leaveBy == 0 {
				found = append(found, s)
			}
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[pick%uint64(len(found))]
}

func (c *cloud) makeSlow(pick uint64) {
	s := c.engine(pick)
	if s == nil {
		return
	}
	set := func(slow float64, lies bool) {
		s.advance()
		s.slow, s.lies = slow, lies
		s.reschedule()
	}
	set(slowFactor, true)
	c.world.after(slowEnd-slowStart, func() { set(1, false) })
}

func (c *cloud) makeSilent(pick uint64) {
	s := c.engine(pick)
	if s == nil {
		return
	}
	s.advance()
	s.silent = true
	s.reschedule()
	for _, a := range s.running {
		n := a.request.node
		c.world.after(n.nextSilence(a), func() {
			if a.gotFirst && s.silent {
				n.silent(a)
			}
		})
	}
	c.world.after(silentEnd-silentStart, func() {
		s.advance()
		s.silent = false
		s.reschedule()
	})
}
