// Package scaler decides which VMs a pool of backend servers buys and releases. It
// runs on the holder of the pool's lease.
//
// A new VM takes minutes to load its weights before it serves, so the scaler buys
// for the demand predicted for that time. It buys the cheapest mix of zones and
// markets, adding the expected cost of reclaims to the price of a reclaimable VM.
// It keeps the pool's share of on-demand VMs, and spreads the VMs so that after
// the loss of any one zone enough remain for interactive requests. A refused
// purchase is tried in another zone, and on demand only if that costs less than the
// penalties it avoids.
//
// # No purchase twice
//
// A pool has slots, numbered from 0. The client token of a purchase consists of a
// slot, the slot's generation and the fencing number of the lease. A purchase
// whose answer was lost is repeated with the same token, so that it takes effect
// only once.
//
// Slots are not stored. A new holder starts with an empty table under its own,
// larger fencing number. It waits until the platform's list is recent enough to
// show all purchases of the previous holder (Input.SafeAfter), and assigns slots
// to the VMs on the list. So the list shows what earlier holders bought, and the
// tokens of two holders never collide. If a pause of an earlier holder delays a
// purchase past SafeAfter, the surplus server appears on the list and is released.
package scaler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Rules switches individual rules on, so that the effect of each can be
// measured.
type Rules struct {
	// Ahead buys for the demand predicted for the end of a VM's load time
	// instead of the current demand.
	Ahead bool
	// Flash detects flash crowds from arrivals by Page's CUSUM test, before
	// they occupy slots.
	Flash bool
	// RiskPrice adds the expected cost of reclaims to the price of a
	// reclaimable VM.
	RiskPrice bool
	// Spare keeps more slots free if penalties are high compared with the price
	// of a VM.
	Spare bool
	// ZoneSpread limits the number of servers in one zone.
	ZoneSpread bool
	// PriceThreshold buys on demand after refusals only if the avoided
	// penalties cost more than the VM; without it, always.
	PriceThreshold bool
	// Swap replaces servers by substantially cheaper ones as the estimated
	// reclaim rates change.
	Swap bool
	// Hysteresis releases a VM only after a lasting surplus.
	Hysteresis bool
}

// AllRules returns Rules with all rules on.
func AllRules() Rules {
	return Rules{
		Ahead:          true,
		Flash:          true,
		RiskPrice:      true,
		Spare:          true,
		ZoneSpread:     true,
		PriceThreshold: true,
		Swap:           true,
		Hysteresis:     true,
	}
}

// Config configures a Scaler.
type Config struct {
	Pool  identifier.PoolName
	Rules Rules
	// LoadTime is the time from a VM's purchase until it serves.
	LoadTime timekeeper.Duration
}

// Server is one VM of the pool, which may still be loading its weights.
type Server = messenger.VMState

// Demand is the current demand for the pool.
type Demand struct {
	// InFlight is the number of requests that run or wait, over all servers.
	InFlight float64
	// Interactive is the number of these that are interactive.
	Interactive float64
	// Arrivals is the number of requests that arrived since the previous call.
	Arrivals int
	// TotalPenalty is the sum of the penalties for missing the targets of these
	// arrivals. Zero means unknown: the mean penalty of the pool's targets is
	// assumed.
	TotalPenalty identifier.Money
}

// Input is the input of Plan and Observe.
type Input struct {
	Catalog *catalog.Catalog
	// Fence is the fencing number of the lease under which the plan is made.
	Fence identifier.Fence
	// SafeAfter is the time by which all purchases of earlier holders have
	// taken effect. Nothing is bought or released based on an older list.
	SafeAfter timekeeper.Time
	// ListAsOf is the time of the platform's list that Servers was read from.
	ListAsOf timekeeper.Time
	// Servers contains the pool's VMs on the list. Leaving is set for those
	// known to be leaving, even if the list does not show it.
	Servers []Server
	Demand  Demand
}

// ActionKind is the kind of an action.
type ActionKind string

// The kinds of action.
const (
	// Buy buys a VM.
	Buy ActionKind = "buy"
	// Release releases a VM after its requests have ended or moved.
	Release ActionKind = "release"
)

// Action is one purchase or release.
type Action struct {
	Kind ActionKind
	// VM is the VM to release.
	VM identifier.VMID
	// Slot, ClientToken, Class, Zone and Market describe a purchase.
	Slot        int
	ClientToken string
	Class       identifier.VMClass
	Zone        identifier.Zone
	Market      catalog.Market
}

// PurchaseResult is the result of a purchase. Without a VM, it was refused or,
// if Ambiguous is set, it is unknown whether it succeeded.
type PurchaseResult struct {
	VM        identifier.VMID
	Refused   bool
	Ambiguous bool
}

// Scaler plans for one pool. It is not safe for concurrent use.
type Scaler struct {
	config   Config
	fence    identifier.Fence
	slots    slotTable
	forecast forecast
	market   market
	surplus  surplus
}

// New returns a Scaler without any observations.
func New(c Config) *Scaler {
	return &Scaler{
		config: c,
		slots:  newSlotTable(),
		market: newMarket(),
	}
}

// Observe updates the forecast and the reclaim statistics without planning.
// Nodes that do not hold the lease call it, so that a new holder knows the
// demand and the past reclaims; otherwise each change of the holder would lose
// them.
func (s *Scaler) Observe(now timekeeper.Time, in Input) {
	s.forecast.observe(now, in.Demand)
	s.market.observe(now, in.Servers, s.isReleasing)
}

// PurchaseEnded records the result of the purchase with the given client token.
// Purchases made under an earlier lease are ignored.
func (s *Scaler) PurchaseEnded(now timekeeper.Time, clientToken string, r PurchaseResult) {
	slot, ok := s.slots.byToken(clientToken)
	if !ok {
		return
	}
	switch {
	case r.VM != "":
		s.slots.recordPurchase(now, slot, r.VM)
	case r.Refused:
		s.market.recordRefusal(now, slot.offer)
		s.slots.free(slot)
	}
}
