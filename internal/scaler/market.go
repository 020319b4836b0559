package scaler

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// initialBackoff and maxBackoff are the bounds of the backoff after a
	// refused purchase, which doubles with each consecutive refusal.
	initialBackoff = 15 * timekeeper.Second
	maxBackoff     = 5 * timekeeper.Minute
	// zoneAvoidDuration is how long no reclaimable VM is bought in a zone after
	// a reclaim there, because reclaims come in waves.
	zoneAvoidDuration = 2 * timekeeper.Minute
	// priorReclaims and priorHours are the prior of the reclaim rate: reclaims
	// per VM hours over all zones. A zone's own rate outweighs the overall rate
	// after priorHours VM hours.
	priorReclaims = 0.8
	priorHours    = 4.0
)

// offer identifies a zone and market in which VMs are sold.
type offer struct {
	zone   identifier.Zone
	market catalog.Market
}

// pricedOffer is an offer with its hourly price, including the expected cost of
// reclaims.
type pricedOffer struct {
	offer
	riskPrice float64
	// tie orders offers of equal price randomly, so that the pools of a
	// deployment do not all buy in the same zone.
	tie uint64
}

// market holds the refusals and reclaims observed so far.
type market struct {
	backoff     map[offer]backoff
	records     map[identifier.Zone]*zoneRecord
	updatedAt   timekeeper.Time
	seenLeaving map[identifier.VMID]bool
}

type backoff struct {
	until    timekeeper.Time
	duration timekeeper.Duration
}

// zoneRecord counts a zone's reclaims and VM hours.
type zoneRecord struct {
	reclaims     float64
	hours        float64
	avoidedUntil timekeeper.Time
}

func newMarket() market {
	return market{
		backoff:     make(map[offer]backoff),
		records:     make(map[identifier.Zone]*zoneRecord),
		seenLeaving: make(map[identifier.VMID]bool),
	}
}

func (m *market) record(z identifier.Zone) *zoneRecord {
	if m.records[z] == nil {
		m.records[z] = &zoneRecord{}
	}
	return m.records[z]
}

// observe counts VM hours and the reclaims that are new in the list.
func (m *market) observe(now timekeeper.Time, servers []Server, releasing func(identifier.VMID) bool) {
	elapsed := now.Sub(m.updatedAt)
	if m.updatedAt == 0 {
		elapsed = 0
	}
	m.updatedAt = now
	leaving := make(map[identifier.VMID]bool)
	for _, v := range servers {
		if v.Market != catalog.Reclaimable {
			continue
		}
		record := m.record(v.Zone)
		record.hours += float64(elapsed) / float64(timekeeper.Hour)
		if !v.Leaving {
			continue
		}
		leaving[v.VM] = true
		if !m.seenLeaving[v.VM] && !releasing(v.VM) {
			record.reclaims++
			record.avoidedUntil = now.Add(zoneAvoidDuration)
		}
	}
	m.seenLeaving = leaving
}

// reclaimsPerHour returns the estimated hourly reclaim rate of a VM in a zone.
func (m *market) reclaimsPerHour(z identifier.Zone) float64 {
	record := m.record(z)
	return (priorHours*m.overallRate() + record.reclaims) / (priorHours + record.hours)
}

// overallRate returns the estimated reclaim rate over all zones.
func (m *market) overallRate() float64 {
	reclaims, hours := priorReclaims, priorHours
	for _, z := range slices.Sorted(maps.Keys(m.records)) {
		reclaims += m.records[z].reclaims
		hours += m.records[z].hours
	}
	return reclaims / hours
}

func (m *market) recordRefusal(now timekeeper.Time, o offer) {
	duration := initialBackoff
	if last, ok := m.backoff[o]; ok && now.Before(last.until.Add(last.duration)) {
		duration = min(2*last.duration, maxBackoff)
	}
	m.backoff[o] = backoff{
		until:    now.Add(duration),
		duration: duration,
	}
}

// available reports whether a purchase may be tried now.
func (m *market) available(now timekeeper.Time, o offer) bool {
	if now.Before(m.backoff[o].until) {
		return false
	}
	return o.market == catalog.OnDemand || !now.Before(m.record(o.zone).avoidedUntil)
}

// riskPrice returns the hourly price of an offer, including the expected cost
// of its reclaims.
func (m *market) riskPrice(listPrice identifier.Money, o offer, reclaimCost float64, r Rules) float64 {
	if o.market == catalog.OnDemand || !r.RiskPrice {
		return float64(listPrice)
	}
	return float64(listPrice) + m.reclaimsPerHour(o.zone)*reclaimCost
}

// offers returns the available offers of a class, ordered by price.
func (m *market) offers(
	now timekeeper.Time,
	class catalog.Class,
	reclaimCost float64,
	r Rules,
	rng *rand.Rand,
) []pricedOffer {
	var offers []pricedOffer
	for _, z := range sortedZones(class) {
		for _, kind := range []catalog.Market{catalog.Reclaimable, catalog.OnDemand} {
			o := offer{
				zone:   z,
				market: kind,
			}
			listPrice, sold := class.Prices[z][kind]
			if !sold || !m.available(now, o) {
				continue
			}
			offers = append(offers, pricedOffer{
				offer:     o,
				riskPrice: m.riskPrice(listPrice, o, reclaimCost, r),
				tie:       rng.Uint64(),
			})
		}
	}
	slices.SortFunc(offers, func(a, b pricedOffer) int {
		return cmp.Or(cmp.Compare(a.riskPrice, b.riskPrice), cmp.Compare(a.tie, b.tie))
	})
	return offers
}

func sortedZones(class catalog.Class) []identifier.Zone {
	zones := make([]identifier.Zone, 0, len(class.Prices))
	for z := range class.Prices {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	return zones
}
