package scaler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// surplusTime is how long a surplus must last before a VM is released,
	// and releaseEvery the least time between two releases. A VM that was
	// released too early takes its load time to get back.
	surplusTime  = 5 * timekeeper.Minute
	releaseEvery = 30 * timekeeper.Second
)

// surplus remembers since when there have been servers to spare.
type surplus struct {
	since        timekeeper.Time
	lastReleased timekeeper.Time
}

// release gives back the dearest server that can be spared.
func (p *plan) release() {
	state := &p.scaler.surplus
	if p.have <= p.size.keep {
		state.since = 0
		return
	}
	if state.since == 0 {
		state.since = p.now
	}
	if p.scaler.config.Rules.Hysteresis && !p.settled(state) {
		return
	}
	if s := p.dearest(); s != nil {
		s.releasing = true
		state.lastReleased = p.now
		p.counted(s.offer, -1)
		p.give(s, Action{
			Kind: Release,
			VM:   s.vm,
		})
	}
}

func (p *plan) settled(state *surplus) bool {
	return p.now.Sub(state.since) >= surplusTime && p.now.Sub(state.lastReleased) >= releaseEvery
}

// dearest returns the server whose release saves most. On-demand servers that
// the pool's share needs stay; a crowded zone gives first.
func (p *plan) dearest() *slot {
	cost := p.size.reclaimCost(p.scaler.config.LoadTime)
	bound := p.size.zoneCap(p.scaler.config.Rules)
	var best *slot
	var bestPrice float64
	var bestCrowded bool
	for _, s := range p.scaler.slots.all() {
		if s.vm == "" || s.releasing || !p.spared(s.offer) {
			continue
		}
		listed := p.size.class.Prices[s.offer.zone][s.offer.market]
		price := p.scaler.market.price(listed, s.offer, cost, p.scaler.config.Rules)
		crowded := p.inZone[s.offer.zone] > bound
		if best == nil || crowded && !bestCrowded || crowded == bestCrowded && price > bestPrice {
			best, bestPrice, bestCrowded = s, price, crowded
		}
	}
	return best
}

func (p *plan) spared(o offer) bool {
	return o.market != catalog.OnDemand || p.onDemand-1 >= p.size.onDemand(p.have-1)
}
