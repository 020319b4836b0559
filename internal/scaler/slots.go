package scaler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// resendInterval is the interval after which a purchase or release without
	// visible effect is repeated. Both are idempotent.
	resendInterval = 5 * timekeeper.Second
	// listTimeout is how long a bought VM may be missing from the list. A VM
	// that was reclaimed before it was ever listed would otherwise occupy its
	// slot forever, and the pool would stay one server short.
	listTimeout = 2 * timekeeper.Minute
)

// slot represents one VM of the pool.
type slot struct {
	number     int
	generation int
	token      string
	offer      offer
	// vm is empty until the purchase is confirmed.
	vm          identifier.VMID
	listed      bool
	purchasedAt timekeeper.Time
	// lastSentAt is when the purchase or the release was last sent.
	lastSentAt timekeeper.Time
	releasing  bool
	// replaces is the VM to release once this one serves.
	replaces identifier.VMID
}

// slotTable holds the slots in use and the generations of all slots. Its size
// is the maximum number of VMs that the pool ever had at once.
type slotTable struct {
	used        map[int]*slot
	generations map[int]int
}

func newSlotTable() slotTable {
	return slotTable{
		used:        make(map[int]*slot),
		generations: make(map[int]int),
	}
}

// all returns the slots in use, ordered by number.
func (t *slotTable) all() []*slot {
	sorted := slices.Collect(maps.Values(t.used))
	slices.SortFunc(sorted, func(a, b *slot) int { return cmp.Compare(a.number, b.number) })
	return sorted
}

func (t *slotTable) byToken(token string) (*slot, bool) {
	for _, s := range t.used {
		if s.token == token && s.vm == "" {
			return s, true
		}
	}
	return nil, false
}

// allocate takes the lowest free slot.
func (t *slotTable) allocate() *slot {
	n := 0
	for t.used[n] != nil {
		n++
	}
	s := &slot{
		number:     n,
		generation: t.generations[n],
	}
	t.used[n] = s
	return s
}

// free frees a slot and increments its generation, so that its token is never
// used again.
func (t *slotTable) free(s *slot) {
	t.generations[s.number] = s.generation + 1
	delete(t.used, s.number)
}

// recordPurchase assigns a purchased VM to its slot. If the answer was delayed,
// the list may have shown the VM first and another slot holds it; counting it
// twice would leave the pool one server short.
func (t *slotTable) recordPurchase(now timekeeper.Time, s *slot, vm identifier.VMID) {
	for _, other := range t.used {
		if other.vm == vm {
			t.free(s)
			return
		}
	}
	s.vm = vm
	s.purchasedAt = now
}

// applyList updates the slots from the list: the slots of removed and leaving
// VMs are freed, and unknown VMs get a slot.
func (t *slotTable) applyList(asOf timekeeper.Time, servers []Server) {
	listedServers := make(map[identifier.VMID]Server, len(servers))
	leaving := make(map[identifier.VMID]bool)
	for _, v := range servers {
		listedServers[v.VM] = v
		leaving[v.VM] = v.Leaving
	}
	known := make(map[identifier.VMID]bool)
	for _, s := range t.all() {
		if s.vm == "" {
			continue
		}
		known[s.vm] = true
		_, listed := listedServers[s.vm]
		s.listed = s.listed || listed
		switch {
		case leaving[s.vm] && !s.releasing:
			t.free(s)
		case !listed && (s.listed || asOf.After(s.purchasedAt.Add(listTimeout))):
			t.free(s)
		}
	}
	t.addUnknown(servers, known)
}

func (t *slotTable) addUnknown(servers []Server, known map[identifier.VMID]bool) {
	sorted := slices.SortedFunc(slices.Values(servers), func(a, b Server) int {
		return cmp.Compare(a.VM, b.VM)
	})
	for _, v := range sorted {
		if known[v.VM] || v.Leaving {
			continue
		}
		s := t.allocate()
		s.vm = v.VM
		s.listed = true
		s.offer = offer{
			zone:   v.Zone,
			market: v.Market,
		}
	}
}

// clientToken returns the token of a purchase for a slot. The fencing number
// keeps the tokens of different holders distinct.
func clientToken(pool identifier.PoolName, fence identifier.Fence, s *slot) string {
	return fmt.Sprintf("%s.%d.%d.%d", pool, fence, s.number, s.generation)
}
