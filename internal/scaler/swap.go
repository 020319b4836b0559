package scaler

import "github.com/dotterelhollow/dotterelhollow/pkg/identifier"

const (
	// minSwapGain is the minimum fraction of a server's price that a
	// replacement must save. Small changes of the estimated reclaim rates
	// should not cause swaps.
	minSwapGain = 0.15
	// maxSwaps is the maximum number of concurrent replacements, as all of them
	// load their weights from the same store.
	maxSwaps = 2
)

// swap replaces the most expensive servers by cheaper ones, and releases a
// server once its replacement has had time to load.
func (p *plan) swap() {
	if !p.scaler.config.Rules.Swap {
		return
	}
	inProgress := p.finishSwaps()
	if p.servers < p.size.targetServers || p.servers > p.size.releaseThreshold {
		return
	}
	for ; inProgress < maxSwaps; inProgress++ {
		if !p.startSwap() {
			return
		}
	}
}

// finishSwaps releases the servers whose replacements have loaded, and returns
// the number of replacements still loading.
func (p *plan) finishSwaps() int {
	inProgress := 0
	for _, s := range p.scaler.slots.all() {
		if s.replaces == "" {
			continue
		}
		if s.vm == "" || p.now.Before(s.purchasedAt.Add(p.scaler.config.LoadTime)) {
			inProgress++
			continue
		}
		p.releaseVM(s.replaces)
		s.replaces = ""
	}
	return inProgress
}

func (p *plan) releaseVM(vm identifier.VMID) {
	for _, s := range p.scaler.slots.all() {
		if s.vm == vm && !s.releasing {
			p.releaseSlot(s)
		}
	}
}

func (p *plan) startSwap() bool {
	replaced := p.mostExpensive()
	if replaced == nil {
		return false
	}
	price := p.riskPriceOf(replaced.offer)
	for _, o := range p.offers() {
		if o.riskPrice > (1-minSwapGain)*price {
			return false
		}
		if p.serversInZone[o.zone] < p.size.zoneLimit(p.scaler.config.Rules) {
			p.buyInNewSlot(o.offer).replaces = replaced.vm
			return true
		}
	}
	return false
}

// hasReplacement reports whether a replacement for the server has been bought.
func (p *plan) hasReplacement(vm identifier.VMID) bool {
	for _, s := range p.scaler.slots.used {
		if s.replaces == vm {
			return true
		}
	}
	return false
}
