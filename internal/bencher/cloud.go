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

// expectedTokensPerSecond is the assumed speed of a stream when the initial
// fleet is sized.
const expectedTokensPerSecond = 41

// releaseTimeout is the time after which a released server is removed even if
// it still has work.
const releaseTimeout = 5 * timekeeper.Minute

// cloud models the cloud API and runs the pools' scalers against it.
type cloud struct {
	sim       *simulation
	servers   map[identifier.VMID]*server
	purchases map[string]identifier.VMID
	scalers   map[identifier.PoolName]*scaler.Scaler
	// standbyScalers belong to the node that takes over the lease next; they
	// observe but do not plan.
	standbyScalers map[identifier.PoolName]*scaler.Scaler
	fence          identifier.Fence
	// safeAfter is when all purchases of the previous leader are listed.
	safeAfter      timekeeper.Time
	exhaustedUntil map[identifier.Zone]timekeeper.Time
	// storeIdleAt is when the weight store has served all queued loads.
	storeIdleAt timekeeper.Time
}

func newCloud(sim *simulation) *cloud {
	c := &cloud{
		sim:            sim,
		servers:        make(map[identifier.VMID]*server),
		purchases:      make(map[string]identifier.VMID),
		fence:          1,
		exhaustedUntil: make(map[identifier.Zone]timekeeper.Time),
	}
	c.scalers, c.standbyScalers = c.newScalers(), c.newScalers()
	return c
}

func (c *cloud) newScalers() map[identifier.PoolName]*scaler.Scaler {
	scalers := make(map[identifier.PoolName]*scaler.Scaler)
	for _, p := range c.sim.deployment.Pools {
		bootTime := plainBootTime
		if p.Kind == catalog.ModelService {
			bootTime = engineBootTime + weightLoadTime
		}
		scalers[p.Name] = scaler.New(scaler.Config{
			Pool:     p.Name,
			Rules:    c.sim.variant.Scaler,
			LoadTime: bootTime,
		})
	}
	return scalers
}

// buyInitialFleet buys enough servers for the mean load; they are ready at
// once.
func (c *cloud) buyInitialFleet() {
	for _, p := range c.sim.deployment.Pools {
		in := scaler.Input{
			Catalog: c.sim.catalog,
			Fence:   c.fence,
			Demand:  c.expectedDemand(p),
		}
		for _, a := range c.scalers[p.Name].Plan(0, in, c.sim.rng) {
			s := c.create(p.Name, a)
			s.readyAt = 0
			c.scalers[p.Name].PurchaseEnded(0, a.ClientToken, scaler.PurchaseResult{VM: s.state.VM})
		}
	}
}

// expectedDemand returns the mean demand on a pool under the workload.
func (c *cloud) expectedDemand(p catalog.Pool) scaler.Demand {
	var d scaler.Demand
	for _, kind := range c.sim.deployment.Kinds {
		if kind.Service.Pool != p.Name {
			continue
		}
		meanAnswer := float64(kind.Answer[0]+kind.Answer[1]) / 2
		concurrency := kind.Rate * meanAnswer / float64(timekeeper.Second)
		if p.Kind == catalog.ModelService {
			meanPrompt := float64(kind.Prompt[0]+kind.Prompt[1]) / 2
			concurrency = kind.Rate * (meanAnswer/expectedTokensPerSecond + meanPrompt/p.PrefillPerSecond)
		}
		d.InFlight += concurrency
		if kind.Service.Priority == catalog.Interactive {
			d.Interactive += concurrency
		}
	}
	return d
}

// changeLeader passes the lease to the node with the standby scalers.
func (c *cloud) changeLeader() {
	c.fence++
	c.safeAfter = c.sim.now.Add(leaseTime)
	c.scalers, c.standbyScalers = c.standbyScalers, c.newScalers()
}

// runScalers plans each pool with the leader's scaler and executes the plan.
func (c *cloud) runScalers() {
	if c.sim.now.Sub(0) > runTime {
		return
	}
	for _, p := range c.sim.deployment.Pools {
		s := c.scalers[p.Name]
		in := scaler.Input{
			Catalog:   c.sim.catalog,
			Fence:     c.fence,
			SafeAfter: c.safeAfter,
			ListAsOf:  c.sim.now.Add(-listLag),
			Servers:   c.listVMs(p.Name),
			Demand:    c.demand(p.Name),
		}
		c.standbyScalers[p.Name].Observe(c.sim.now, in)
		for _, a := range s.Plan(c.sim.now, in, c.sim.rng) {
			c.execute(p.Name, a)
		}
	}
}

// listVMs returns a pool's VMs as of listLag ago, but with current leaving
// marks.
func (c *cloud) listVMs(pool identifier.PoolName) []scaler.Server {
	asOf := c.sim.now.Add(-listLag)
	var listed []scaler.Server
	for _, s := range c.sim.pools[pool] {
		if s.boughtAt.After(asOf) || !s.removedAt.After(asOf) {
			continue
		}
		state := s.state
		state.Leaving = s.removalDeadline > 0
		listed = append(listed, state)
	}
	return listed
}

// demand returns the demand reported to the leader: the servers' published load
// and the nodes' counts of interactive requests and arrivals.
func (c *cloud) demand(pool identifier.PoolName) scaler.Demand {
	var d scaler.Demand
	for _, s := range c.sim.pools[pool] {
		if load, ok := s.load(c.sim.now); ok && s.ready(c.sim.now) {
			d.InFlight += float64(load.Running + load.Waiting)
		}
	}
	for _, n := range c.sim.nodes {
		d.Arrivals += n.arrivals[pool]
		d.TotalPenalty += n.penalties[pool]
		n.arrivals[pool], n.penalties[pool] = 0, 0
		for _, r := range n.active {
			if r.kind.Service.Pool == pool && r.kind.Service.Priority == catalog.Interactive {
				d.Interactive++
			}
		}
	}
	return d
}

func (c *cloud) execute(pool identifier.PoolName, a scaler.Action) {
	if a.Kind == scaler.Release {
		c.release(c.servers[a.VM])
		return
	}
	buyer := c.scalers[pool]
	refused := c.refuses(a)
	responseLost := c.sim.rng.IntN(100) < lostResponsePercent
	c.sim.after(purchaseTime, func() {
		if refused {
			buyer.PurchaseEnded(c.sim.now, a.ClientToken, scaler.PurchaseResult{Refused: true})
			c.sim.tally.refusedPurchases++
			return
		}
		s := c.create(pool, a)
		if responseLost {
			buyer.PurchaseEnded(c.sim.now, a.ClientToken, scaler.PurchaseResult{Ambiguous: true})
			return
		}
		buyer.PurchaseEnded(c.sim.now, a.ClientToken, scaler.PurchaseResult{VM: s.state.VM})
	})
}

func (c *cloud) refuses(a scaler.Action) bool {
	if _, again := c.purchases[a.ClientToken]; again || a.Market == catalog.OnDemand {
		return false
	}
	return c.sim.now.Before(c.exhaustedUntil[a.Zone]) || c.sim.rng.IntN(100) < refusedPercent
}

// create adds a VM, or returns the one already bought with the client token.
func (c *cloud) create(pool identifier.PoolName, a scaler.Action) *server {
	if vm, ok := c.purchases[a.ClientToken]; ok {
		return c.servers[vm]
	}
	poolSpec := c.sim.catalog.Pools[pool]
	price, _ := c.sim.catalog.Price(a.Class, a.Zone, a.Market)
	s := &server{
		sim: c.sim,
		state: messenger.VMState{
			VM:     identifier.VMID(fmt.Sprintf("%s-%03d", pool, len(c.sim.pools[pool]))),
			Zone:   a.Zone,
			Class:  a.Class,
			Market: a.Market,
			Pool:   pool,
		},
		price:       price,
		pool:        poolSpec,
		boughtAt:    c.sim.now,
		readyAt:     c.sim.now.Add(plainBootTime),
		removedAt:   timekeeper.Never,
		speedFactor: 1,
		cache:       newPrefixCache(),
	}
	if poolSpec.Kind == catalog.ModelService && c.sim.now > 0 {
		c.storeIdleAt = max(c.storeIdleAt, c.sim.now.Add(engineBootTime)).Add(weightLoadTime)
		s.readyAt = c.storeIdleAt
	}
	c.purchases[a.ClientToken] = s.state.VM
	c.servers[s.state.VM] = s
	c.sim.pools[pool] = append(c.sim.pools[pool], s)
	return s
}

// release removes a server once it has finished its work or releaseTimeout has
// passed.
func (c *cloud) release(s *server) {
	if s.removalDeadline > 0 {
		return
	}
	deadline := c.sim.now.Add(releaseTimeout)
	c.giveNotice([]*server{s}, deadline)
	c.removeWhenIdle(s)
}

func (c *cloud) removeWhenIdle(s *server) {
	if !c.sim.now.Before(s.removedAt) {
		return
	}
	if len(s.running)+len(s.waiting) == 0 && c.sim.now.Sub(s.removalDeadline) > -releaseTimeout+timekeeper.Second {
		c.remove(s)
		return
	}
	c.sim.after(timekeeper.Second, func() { c.removeWhenIdle(s) })
}

// giveNotice schedules the removal of servers; each node receives the notice
// after a random delay.
func (c *cloud) giveNotice(servers []*server, deadline timekeeper.Time) {
	for _, s := range servers {
		s.removalDeadline = deadline
	}
	for _, n := range c.sim.nodes {
		lag := minNoticeLag + timekeeper.Duration(c.sim.rng.Int64N(int64(maxNoticeLag-minNoticeLag)))
		c.sim.after(lag, func() { n.receiveNotice(servers) })
	}
	for _, s := range servers {
		c.sim.at(deadline, func() { c.remove(s) })
	}
}

// remove ends a server and fails its remaining attempts.
func (c *cloud) remove(s *server) {
	if !c.sim.now.Before(s.removedAt) {
		return
	}
	s.advance()
	s.removedAt = c.sim.now
	s.scheduleVersion++
	broken := s.attempts()
	s.running, s.waiting = nil, nil
	for _, a := range broken {
		a.request.node.attemptFailed(a, messenger.AttemptBroken)
	}
	for _, n := range c.sim.nodes {
		n.forget(s)
	}
}

// scheduleFaults schedules the faults of a run at times drawn from rng.
func (sim *simulation) scheduleFaults(rng *rand.Rand) {
	zones := slices.Clone(sim.deployment.Zones)
	rng.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	jittered := func(d timekeeper.Duration) timekeeper.Time {
		return timekeeper.Time(d + timekeeper.Duration(rng.Int64N(int64(waveJitter))))
	}
	sim.at(jittered(firstWave), func() { sim.cloud.reclaimZone(zones) })
	secondWaveAt := jittered(secondWave)
	sim.at(secondWaveAt, func() {
		sim.cloud.exhaustAllZones()
		sim.cloud.reclaimZone(rotate(zones, 1))
	})
	sim.at(secondWaveAt.Add(secondWaveSpread), func() { sim.cloud.reclaimZone(rotate(zones, 2)) })
	sim.at(jittered(thirdWave), func() { sim.cloud.reclaimZone(rotate(zones, 3)) })
	pick := rng.Uint64()
	sim.at(jittered(slowStart), func() { sim.cloud.slowEngine(pick) })
	sim.at(jittered(stallStart), func() { sim.cloud.stallEngine(pick >> 8) })
	sim.scheduleSingleReclaims(rng)
}

func rotate(zones []identifier.Zone, n int) []identifier.Zone {
	return append(slices.Clone(zones[n:]), zones[:n]...)
}

// scheduleSingleReclaims reclaims single VMs at random times.
func (sim *simulation) scheduleSingleReclaims(rng *rand.Rand) {
	const checkEvery = 10 * timekeeper.Second
	for t := timekeeper.Time(warmUp); t.Sub(0) < runTime; t = t.Add(checkEvery) {
		seed := rng.Uint64()
		sim.at(t, func() {
			draws := rand.New(rand.NewPCG(seed, 0))
			for _, s := range sim.cloud.reclaimable("") {
				if draws.Float64() < reclaimsPerVMHour*float64(checkEvery)/float64(timekeeper.Hour) {
					sim.cloud.giveNotice([]*server{s}, sim.now.Add(sim.deployment.NoticeTime))
				}
			}
		})
	}
}

// reclaimable returns the reclaimable VMs of a zone without a notice, or of all
// zones if z is empty.
func (c *cloud) reclaimable(z identifier.Zone) []*server {
	var vms []*server
	for _, p := range c.sim.deployment.Pools {
		for _, s := range c.sim.pools[p.Name] {
			if s.state.Market == catalog.Reclaimable && s.removalDeadline == 0 && (z == "" || s.state.Zone == z) {
				vms = append(vms, s)
			}
		}
	}
	return vms
}

// reclaimZone reclaims the VMs of the first of the zones that has any to
// reclaim, and marks the zone as out of capacity for a while.
func (c *cloud) reclaimZone(zones []identifier.Zone) {
	for _, z := range zones {
		servers := c.reclaimable(z)
		if len(servers) == 0 {
			continue
		}
		c.exhaustedUntil[z] = max(c.exhaustedUntil[z], c.sim.now.Add(zoneExhaustedTime))
		c.giveNotice(servers, c.sim.now.Add(c.sim.deployment.NoticeTime))
		return
	}
}

func (c *cloud) exhaustAllZones() {
	for _, z := range c.sim.deployment.Zones {
		c.exhaustedUntil[z] = c.sim.now.Add(allZonesExhaustedTime)
	}
}

// pickEngine returns a ready engine without a notice, or nil if none exists.
func (c *cloud) pickEngine(pick uint64) *server {
	var engines []*server
	for _, p := range c.sim.deployment.Pools {
		for _, s := range c.sim.pools[p.Name] {
			if !s.plain() && s.ready(c.sim.now) && s.removalDeadline == 0 {
				engines = append(engines, s)
			}
		}
	}
	if len(engines) == 0 {
		return nil
	}
	return engines[pick%uint64(len(engines))]
}

func (c *cloud) slowEngine(pick uint64) {
	s := c.pickEngine(pick)
	if s == nil {
		return
	}
	set := func(factor float64, reportsIdle bool) {
		s.advance()
		s.speedFactor, s.reportsIdle = factor, reportsIdle
		s.reschedule()
	}
	set(slowSpeedFactor, true)
	c.sim.after(slowEnd-slowStart, func() { set(1, false) })
}

func (c *cloud) stallEngine(pick uint64) {
	s := c.pickEngine(pick)
	if s == nil {
		return
	}
	s.advance()
	s.stalled = true
	s.reschedule()
	for _, a := range s.running {
		n := a.request.node
		c.sim.after(n.nextEventTimeout(a), func() {
			if a.gotFirst && s.stalled {
				n.eventTimedOut(a)
			}
		})
	}
	c.sim.after(stallEnd-stallStart, func() {
		s.advance()
		s.stalled = false
		s.reschedule()
	})
}
