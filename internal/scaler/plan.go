package scaler

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Plan returns the purchases and releases to make now. The holder of the lease
// calls it every few seconds; rng breaks ties between offers.
func (s *Scaler) Plan(now timekeeper.Time, in Input, rng *rand.Rand) []Action {
	if in.Fence != s.fence {
		s.fence = in.Fence
		s.slots = newSlotTable()
	}
	s.Observe(now, in)
	if in.ListAsOf.Before(in.SafeAfter) {
		return nil
	}
	s.slots.applyList(in.ListAsOf, in.Servers)
	p := &plan{
		scaler:        s,
		now:           now,
		size:          s.sizing(in.Catalog),
		rng:           rng,
		serversInZone: make(map[identifier.Zone]int),
	}
	p.count()
	p.resendUnconfirmed()
	p.buy()
	p.swap()
	p.releaseSurplus()
	return p.actions
}

// isReleasing reports whether the scaler itself is releasing the VM. Such a VM
// is leaving without having been reclaimed.
func (s *Scaler) isReleasing(vm identifier.VMID) bool {
	for _, slot := range s.slots.used {
		if slot.vm == vm {
			return slot.releasing
		}
	}
	return false
}

// plan is the state of one call of Plan.
type plan struct {
	scaler        *Scaler
	now           timekeeper.Time
	size          sizing
	rng           *rand.Rand
	servers       int
	onDemand      int
	serversInZone map[identifier.Zone]int
	actions       []Action
}

// count counts the servers that stay, including unconfirmed purchases.
func (p *plan) count() {
	for _, s := range p.scaler.slots.all() {
		if !s.releasing {
			p.addCount(s.offer, 1)
		}
	}
}

func (p *plan) addCount(o offer, n int) {
	p.servers += n
	p.serversInZone[o.zone] += n
	if o.market == catalog.OnDemand {
		p.onDemand += n
	}
}

// resendUnconfirmed repeats purchases without an answer and releases that the
// list does not show yet.
func (p *plan) resendUnconfirmed() {
	for _, s := range p.scaler.slots.all() {
		if p.now.Before(s.lastSentAt.Add(resendInterval)) {
			continue
		}
		switch {
		case s.vm == "":
			p.emit(s, p.purchase(s))
		case s.releasing:
			p.emit(s, Action{
				Kind: Release,
				VM:   s.vm,
			})
		}
	}
}

func (p *plan) emit(s *slot, a Action) {
	s.lastSentAt = p.now
	p.actions = append(p.actions, a)
}

func (p *plan) purchase(s *slot) Action {
	return Action{
		Kind:        Buy,
		Slot:        s.number,
		ClientToken: s.token,
		Class:       p.size.pool.Class,
		Zone:        s.offer.zone,
		Market:      s.offer.market,
	}
}

// buy buys the missing servers one by one, because each purchase affects the
// choice of the next.
func (p *plan) buy() {
	if p.servers >= p.size.targetServers {
		return
	}
	offers := p.offers()
	for p.servers < p.size.targetServers {
		o, ok := p.chooseOffer(offers)
		if !ok {
			return
		}
		p.buyInNewSlot(o)
	}
}

func (p *plan) offers() []pricedOffer {
	return p.scaler.market.offers(p.now, p.size.class, p.size.reclaimCost, p.scaler.config.Rules, p.rng)
}

func (p *plan) buyInNewSlot(o offer) *slot {
	s := p.scaler.slots.allocate()
	s.offer = o
	s.token = clientToken(p.scaler.config.Pool, p.scaler.fence, s)
	p.emit(s, p.purchase(s))
	p.addCount(o, 1)
	return s
}

// chooseOffer returns the cheapest offer in a zone below its limit, or else the
// cheapest offer. The pool's share of on-demand VMs takes precedence. Beyond
// it, an on-demand VM is bought only if it is cheaper including risk, or if
// nothing reclaimable is available and it costs less than the penalties it
// avoids.
func (p *plan) chooseOffer(offers []pricedOffer) (offer, bool) {
	needsOnDemand := p.onDemand < p.size.minOnDemand(max(p.servers+1, p.size.targetServers)) && hasMarket(offers, catalog.OnDemand)
	zoneLimit := p.size.zoneLimit(p.scaler.config.Rules)
	var fallback *pricedOffer
	for i, o := range offers {
		if needsOnDemand && o.market != catalog.OnDemand {
			continue
		}
		if !needsOnDemand && !p.worthBuying(o, offers) {
			continue
		}
		if p.serversInZone[o.zone] < zoneLimit {
			return o.offer, true
		}
		if fallback == nil {
			fallback = &offers[i]
		}
	}
	if fallback == nil {
		return offer{}, false
	}
	return fallback.offer, true
}

func hasMarket(offers []pricedOffer, m catalog.Market) bool {
	for _, o := range offers {
		if o.market == m {
			return true
		}
	}
	return false
}

// worthBuying reports whether an offer may be bought beyond the on-demand
// share.
func (p *plan) worthBuying(o pricedOffer, offers []pricedOffer) bool {
	if o.market == catalog.Reclaimable || !p.scaler.config.Rules.PriceThreshold {
		return true
	}
	for _, other := range offers {
		if other.market == catalog.Reclaimable {
			return o.riskPrice < other.riskPrice
		}
	}
	return o.riskPrice < p.size.avoidedPenalty(p.servers)
}
