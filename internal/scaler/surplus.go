package scaler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// surplusDuration is how long a surplus must last before a VM is released,
	// and releaseInterval the minimum interval between releases. A VM that is
	// released too early takes its load time to replace.
	surplusDuration = 5 * timekeeper.Minute
	releaseInterval = 30 * timekeeper.Second
)

// surplus records since when there have been surplus servers.
type surplus struct {
	since          timekeeper.Time
	lastReleasedAt timekeeper.Time
}

// releaseSurplus releases the most expensive server if the surplus has lasted.
func (p *plan) releaseSurplus() {
	state := &p.scaler.surplus
	if p.servers <= p.size.releaseThreshold {
		state.since = 0
		return
	}
	if state.since == 0 {
		state.since = p.now
	}
	if p.scaler.config.Rules.Hysteresis && !p.surplusLasts(state) {
		return
	}
	if s := p.mostExpensive(); s != nil {
		state.lastReleasedAt = p.now
		p.releaseSlot(s)
	}
}

func (p *plan) releaseSlot(s *slot) {
	s.releasing = true
	p.addCount(s.offer, -1)
	p.emit(s, Action{
		Kind: Release,
		VM:   s.vm,
	})
}

// riskPriceOf returns the hourly price of a server, including the expected cost
// of reclaims.
func (p *plan) riskPriceOf(o offer) float64 {
	listed := p.size.class.Prices[o.zone][o.market]
	return p.scaler.market.riskPrice(listed, o, p.size.reclaimCost, p.scaler.config.Rules)
}

func (p *plan) surplusLasts(state *surplus) bool {
	return p.now.Sub(state.since) >= surplusDuration && p.now.Sub(state.lastReleasedAt) >= releaseInterval
}

// mostExpensive returns the server whose release saves the most, preferring
// zones above their limit. On-demand servers that the pool's share requires are
// excluded.
func (p *plan) mostExpensive() *slot {
	zoneLimit := p.size.zoneLimit(p.scaler.config.Rules)
	var best *slot
	var bestPrice float64
	var bestOverLimit bool
	for _, s := range p.scaler.slots.all() {
		if s.vm == "" || s.releasing || p.hasReplacement(s.vm) || !p.canRelease(s.offer) {
			continue
		}
		price := p.riskPriceOf(s.offer)
		overLimit := p.serversInZone[s.offer.zone] > zoneLimit
		if best == nil || overLimit && !bestOverLimit || overLimit == bestOverLimit && price > bestPrice {
			best, bestPrice, bestOverLimit = s, price, overLimit
		}
	}
	return best
}

func (p *plan) canRelease(o offer) bool {
	return o.market != catalog.OnDemand || p.onDemand-1 >= p.size.minOnDemand(p.servers-1)
}
