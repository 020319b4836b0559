package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Demand returns the current demand of this node's callers for a pool.
func (c *Conductor) Demand(name identifier.PoolName) provisioner.Demand {
	d := provisioner.Demand{Arrivals: c.arrivals[name]}
	for _, r := range c.requests {
		if r.service.Pool != name {
			continue
		}
		d.InFlight++
		if r.service.Priority == catalog.Interactive {
			d.Interactive++
		}
	}
	return d
}

// loadReportMaxAge is the age from which a load report is ignored.
const loadReportMaxAge = 10 * timekeeper.Second

// chooseServer selects a server for the next attempt of r.
func (c *Conductor) chooseServer(env *Env, r *request) (router.Choice, bool) {
	if env.Catalog == nil {
		return router.Choice{}, false
	}
	job := router.Job{
		PromptTokens: r.spec.PromptTokens + r.delivered,
		MaxTokens:    r.spec.MaxTokens - r.delivered,
		Priority:     r.service.Priority,
		Deadline:     r.spec.Deadline,
		Target:       env.Catalog.Target(r.spec.Account, r.spec.Service),
		AvoidZones:   r.failedZones,
		AvoidServers: r.failedServers,
	}
	return router.Choose(env.Now, job, c.candidates(env, r), c.config.RoutingRules, env.Rand)
}

// candidates describes the servers of the request's pool to the router.
func (c *Conductor) candidates(env *Env, r *request) []router.Candidate {
	pool := env.Catalog.Pools[r.service.Pool]
	servers := env.Members.Servers(pool.Name)
	candidates := make([]router.Candidate, 0, len(servers))
	for _, s := range servers {
		candidates = append(candidates, c.candidate(env, r, pool, s))
	}
	return candidates
}

func (c *Conductor) candidate(env *Env, r *request, pool catalog.Pool, s gossiper.Server) router.Candidate {
	return router.Candidate{
		Server:           s.VM,
		Zone:             s.Zone,
		Market:           s.Market,
		Leaving:          s.Leaving && c.config.Safeguards.AvoidLeaving,
		Suspect:          env.Suspicions.Suspect(env.Now, s.VM),
		OwnInFlight:      c.attemptsOnServer[s.VM],
		OwnPrefill:       c.prefillTokens[s.VM],
		Load:             env.Loads[s.VM],
		PrefixHit:        env.Hints.CachedTokens(env.Now, s.VM, r.spec.Prefix),
		Slots:            pool.Slots,
		TokensPerSecond:  pool.TokensPerSecond,
		PrefillPerSecond: pool.PrefillPerSecond,
		SameZone:         s.Zone == c.config.Zone,
	}
}

// poolLoad returns the numbers of free slots, of all slots and of queued
// requests of the pool's servers that accept work.
func (c *Conductor) poolLoad(env *Env, name identifier.PoolName) (free, slots, queued int) {
	pool := env.Catalog.Pools[name]
	for _, s := range env.Members.Servers(name) {
		if s.Leaving {
			continue
		}
		busy := c.attemptsOnServer[s.VM]
		load, known := env.Loads[s.VM]
		if known && env.Now.Sub(load.AsOf) < loadReportMaxAge {
			busy = max(busy, load.Running)
			queued += load.Waiting
		}
		slots += pool.Slots
		free += max(0, pool.Slots-busy)
	}
	return free, slots, queued
}
