package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// receiver is a server that streams can be moved to.
type receiver struct {
	headroom Headroom
	// inLeavingZone marks a server in a zone that loses servers: it is likely
	// to be reclaimed next.
	inLeavingZone bool
	// linkFreeAt is the time from which its bandwidth is unassigned.
	linkFreeAt timekeeper.Time
}

// receiverTable holds the receivers, ordered by name.
type receiverTable struct {
	receivers       []receiver
	byServer        map[identifier.VMID]int
	enforceHeadroom bool
}

func newReceiverTable(
	now timekeeper.Time,
	leaving map[identifier.VMID]timekeeper.Time,
	leavingZones map[identifier.Zone]bool,
	headroom []Headroom,
	rules Rules,
) *receiverTable {
	t := &receiverTable{
		byServer:        make(map[identifier.VMID]int, len(headroom)),
		enforceHeadroom: rules.KeepRoom,
	}
	for _, r := range headroom {
		if _, isLeaving := leaving[r.Server]; isLeaving && rules.AvoidLeaving {
			continue
		}
		t.receivers = append(t.receivers, receiver{
			headroom:      r,
			inLeavingZone: rules.AvoidZones && leavingZones[r.Zone],
			linkFreeAt:    now,
		})
	}
	slices.SortFunc(t.receivers, func(a, b receiver) int {
		return cmp.Compare(a.headroom.Server, b.headroom.Server)
	})
	for i, r := range t.receivers {
		t.byServer[r.headroom.Server] = i
	}
	return t
}

// choose returns the best receiver for s, and the earliest time after from at
// which its link is free. Receivers outside the leaving zones are preferred,
// then those whose link is free first, then those with the most free slots.
func (t *receiverTable) choose(s Stream, from timekeeper.Time) (identifier.VMID, timekeeper.Time, bool) {
	best := -1
	for i := range t.receivers {
		if !t.fits(i, s) {
			continue
		}
		if best < 0 || t.isBetter(i, best, from) {
			best = i
		}
	}
	if best < 0 {
		return "", 0, false
	}
	r := t.receivers[best]
	return r.headroom.Server, max(from, r.linkFreeAt), true
}

func (t *receiverTable) isBetter(i, j int, from timekeeper.Time) bool {
	a, b := &t.receivers[i], &t.receivers[j]
	if a.inLeavingZone != b.inLeavingZone {
		return b.inLeavingZone
	}
	aFree, bFree := max(from, a.linkFreeAt), max(from, b.linkFreeAt)
	if aFree != bFree {
		return aFree < bFree
	}
	return a.headroom.Slots > b.headroom.Slots
}

func (t *receiverTable) fits(i int, s Stream) bool {
	if !t.enforceHeadroom {
		return true
	}
	r := &t.receivers[i].headroom
	return r.Slots > 0 && r.KVTokens >= s.Context+s.Remaining
}

// reserve assigns s to the server and reports whether the server had headroom.
func (t *receiverTable) reserve(server identifier.VMID, s Stream) bool {
	i, ok := t.byServer[server]
	if !ok || !t.fits(i, s) {
		return false
	}
	t.receivers[i].headroom.Slots--
	t.receivers[i].headroom.KVTokens -= s.Context + s.Remaining
	return true
}

// occupyLink marks the server's link as occupied until the given time.
func (t *receiverTable) occupyLink(server identifier.VMID, until timekeeper.Time) {
	if i, ok := t.byServer[server]; ok {
		t.receivers[i].linkFreeAt = max(t.receivers[i].linkFreeAt, until)
	}
}
