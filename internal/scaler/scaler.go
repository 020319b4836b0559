// Package scaler decides which VMs a pool of backend servers buys and gives
// back. It runs on the holder of the pool's lease.
//
// A new VM loads its weights at a limited rate, so that it serves minutes
// after it was bought: the scaler buys for the demand it foresees by then. It
// buys the cheapest mix of zones and markets, with the price of a reclaimable
// VM raised by what a reclaim costs, keeps the share of on-demand VMs that the
// pool wants, and spreads the VMs so that the loss of any one zone leaves
// enough for interactive requests. A refused purchase is tried in another
// zone, and on demand only where the penalties it avoids are dearer.
//
// # No purchase twice
//
// A pool has slots, numbered from 0. Each purchase is made for a slot in a
// generation, under the fencing number of the lease, and these three make its
// client token. A purchase whose answer was lost is repeated under the same
// token, and is the same purchase.
//
// Slots are nowhere stored. A new holder begins with an empty table under its
// own, larger fencing number: it waits until the platform's list is as of an
// instant at which the last purchase of the holder before it had taken effect
// (Input.SafeAfter), and gives the VMs on the list the slots from 0 on. So the
// list tells what earlier holders bought, and tokens of two holders never
// meet. A purchase that an earlier holder's pause delayed past SafeAfter can
// still land; it shows on the list as one server too many and is released.
package scaler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Rules switches single rules, so that a measurement can show what each is
// worth.
type Rules struct {
	// Ahead buys for the demand foreseen for the end of a VM's load time;
	// without it, for the demand of now.
	Ahead bool
	// Flash detects flash crowds from arrivals by Page's CUSUM test, before
	// they show as busy slots.
	Flash bool
	// RiskPrice raises the price of a reclaimable VM by the expected cost of
	// its reclaims.
	RiskPrice bool
	// Spare keeps more slots free where penalties are costly against VMs.
	Spare bool
	// ZoneSpread bounds how many servers stand in one zone.
	ZoneSpread bool
	// PriceThreshold buys on demand after refusals only where the penalties
	// avoided are dearer; without it, always.
	PriceThreshold bool
	// Swap replaces servers by clearly cheaper ones, as what is believed of
	// reclaims changes.
	Swap bool
	// Hysteresis releases a VM only after a while of surplus.
	Hysteresis bool
}

// AllRules returns the rules with all of them on.
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

// Config is what a Scaler is made from.
type Config struct {
	Pool  identifier.PoolName
	Rules Rules
	// LoadTime is how long after its purchase a VM serves.
	LoadTime timekeeper.Duration
}

// Server is one VM of the pool; one that still loads its weights counts too.
type Server = messenger.VMState

// Demand is what the pool is asked for.
type Demand struct {
	// InFlight is the number of requests that run or wait, over all servers.
	InFlight float64
	// Interactive is the number of these that are interactive.
	Interactive float64
	// Arrivals counts the requests that arrived since the previous Plan.
	Arrivals int
	// TotalPenalty is the sum of the penalties for missing the targets of these
	// arrivals. Zero means unknown: the mean penalty of the pool's targets is
	// assumed.
	TotalPenalty identifier.Money
}

// Input is what one Plan is made from.
type Input struct {
	Catalog *catalog.Catalog
	// Fence is the fencing number of the lease under which the plan is made.
	Fence identifier.Fence
	// SafeAfter is the instant by which every purchase of earlier holders
	// has taken effect. Nothing is bought or released on a list older than it.
	SafeAfter timekeeper.Time
	// ListAsOf is the instant of the platform's list behind Servers.
	ListAsOf timekeeper.Time
	// Servers are the VMs of the pool on the list; those known to leave have
	// Leaving set, whatever the list says.
	Servers []Server
	Demand  Demand
}

// ActionKind is a kind of action.
type ActionKind string

// The kinds of action.
const (
	// Buy buys a VM.
	Buy ActionKind = "buy"
	// Release gives a VM back, after its requests have ended or moved.
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

// New returns a Scaler without history.
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
	s.market.observe(now, in.Servers, s.releasing)
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
		s.slots.bought(now, slot, r.VM)
	case r.Refused:
		s.market.refused(now, slot.offer)
		s.slots.free(slot)
	}
}
