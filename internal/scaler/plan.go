package scaler

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Plan returns the purchases and releases to make now. It is called every few
// seconds by the holder of the lease; rng breaks ties between offers.
func (s *Scaler) Plan(now timekeeper.Time, in Input, rng *rand.Rand) []Action {
	if in.Fence != s.fence {
		s.fence = in.Fence
		s.slots = newSlotTable()
	}
	s.Observe(now, in)
	if in.ListAsOf.Before(in.SafeAfter) {
		return nil
	}
	s.slots.absorb(in.ListAsOf, in.Servers)
	p := &plan{
		scaler: s,
		now:    now,
		size:   s.sizing(in.Catalog),
		rng:    rng,
		inZone: make(map[identifier.Zone]int),
	}
	p.count()
	p.repeat()
	p.buy()
	p.swap()
	p.release()
	return p.actions
}

// releasing tells whether the scaler itself is giving the VM back, so that
// its leaving is no reclaim.
func (s *Scaler) releasing(vm identifier.VMID) bool {
	for _, slot := range s.slots.used {
		if slot.vm == vm {
			return slot.releasing
		}
	}
	return false
}

// plan is the state of one call of Plan.
type plan struct {
	scaler   *Scaler
	now      timekeeper.Time
	size     sizing
	rng      *rand.Rand
	have     int
	onDemand int
	inZone   map[identifier.Zone]int
	actions  []Action
}

// count counts the servers that stay, those still being bought included.
func (p *plan) count() {
	for _, s := range p.scaler.slots.all() {
		if !s.releasing {
			p.counted(s.offer, 1)
		}
	}
}

func (p *plan) counted(o offer, n int) {
	p.have += n
	p.inZone[o.zone] += n
	if o.market == catalog.OnDemand {
		p.onDemand += n
	}
}

// repeat gives purchases whose answer is missing, and releases that the list
// does not show, once more.
func (p *plan) repeat() {
	for _, s := range p.scaler.slots.all() {
		if p.now.Before(s.lastGiven.Add(repeatAfter)) {
			continue
		}
		switch {
		case s.vm == "":
			p.give(s, p.purchase(s))
		case s.releasing:
			p.give(s, Action{
				Kind: Release,
				VM:   s.vm,
			})
		}
	}
}

func (p *plan) give(s *slot, a Action) {
	s.lastGiven = p.now
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

// buy buys what is missing, one server after the other, as each changes what
// the next one should be.
func (p *plan) buy() {
	if p.have >= p.size.want {
		return
	}
	offers := p.offers()
	for p.have < p.size.want {
		o, ok := p.choose(offers)
		if !ok {
			return
		}
		p.open(o)
	}
}

func (p *plan) offers() []pricedOffer {
	return p.scaler.market.offers(p.now, p.size.class, p.size.reclaimCost, p.scaler.config.Rules, p.rng)
}

func (p *plan) open(o offer) *slot {
	s := p.scaler.slots.open()
	s.offer = o
	s.token = clientToken(p.scaler.config.Pool, p.scaler.fence, s)
	p.give(s, p.purchase(s))
	p.counted(o, 1)
	return s
}

// choose returns the cheapest offer in a zone that is not full. A share of
// on-demand VMs that the pool wants comes first. Beyond it, an on-demand VM
// must be the cheaper one by its risk, or be worth its price because nothing
// reclaimable is to be had.
func (p *plan) choose(offers []pricedOffer) (offer, bool) {
	mustStay := p.onDemand < p.size.onDemand(max(p.have+1, p.size.want)) && sells(offers, catalog.OnDemand)
	bound := p.size.zoneCap(p.scaler.config.Rules)
	var crowded *pricedOffer
	for i, o := range offers {
		if mustStay && o.market != catalog.OnDemand {
			continue
		}
		if !mustStay && !p.acceptable(o, offers) {
			continue
		}
		if p.inZone[o.zone] < bound {
			return o.offer, true
		}
		if crowded == nil {
			crowded = &offers[i]
		}
	}
	if crowded == nil {
		return offer{}, false
	}
	return crowded.offer, true
}

func sells(offers []pricedOffer, m catalog.Market) bool {
	for _, o := range offers {
		if o.market == m {
			return true
		}
	}
	return false
}

// acceptable tells whether an offer may be bought beyond the on-demand share.
func (p *plan) acceptable(o pricedOffer, offers []pricedOffer) bool {
	if o.market == catalog.Reclaimable || !p.scaler.config.Rules.PriceThreshold {
		return true
	}
	for _, other := range offers {
		if other.market == catalog.Reclaimable {
			return o.price < other.price
		}
	}
	return o.price < p.size.worth(p.have)
}
