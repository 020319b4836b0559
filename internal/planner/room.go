package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// receiver is a server that may take streams, as the plan fills it.
type receiver struct {
	room Headroom
	// shunned marks a server in a zone that loses servers: the next notice
	// is likely to be its own.
	shunned bool
	// freeAt is the instant from which its bandwidth is not yet spent.
	freeAt timekeeper.Time
}

// roomTable holds the receivers, in the order of their names.
type roomTable struct {
	receivers []receiver
	byServer  map[identifier.VMID]int
	keepRoom  bool
}

func newRoomTable(
	now timekeeper.Time,
	leaving map[identifier.VMID]timekeeper.Time,
	zones map[identifier.Zone]bool,
	rooms []Headroom,
	rules Rules,
) *roomTable {
	t := &roomTable{
		byServer: make(map[identifier.VMID]int, len(rooms)),
		keepRoom: rules.KeepRoom,
	}
	for _, r := range rooms {
		if _, gone := leaving[r.Server]; gone && rules.AvoidLeaving {
			continue
		}
		t.receivers = append(t.receivers, receiver{
			room:    r,
			shunned: rules.AvoidZones && zones[r.Zone],
			freeAt:  now,
		})
	}
	slices.SortFunc(t.receivers, func(a, b receiver) int {
		return cmp.Compare(a.room.Server, b.room.Server)
	})
	for i, r := range t.receivers {
		t.byServer[r.room.Server] = i
	}
	return t
}

// pick returns the best receiver for s from the instant on, and the instant
// from which it has bandwidth: outside the leaving zones, free soonest, with
// the most slots left.
func (t *roomTable) pick(s Stream, from timekeeper.Time) (identifier.VMID, timekeeper.Time, bool) {
	best := -1
	for i := range t.receivers {
		if !t.fits(i, s) {
			continue
		}
		if best < 0 || t.better(i, best, from) {
			best = i
		}
	}
	if best < 0 {
		return "", 0, false
	}
	r := t.receivers[best]
	return r.room.Server, max(from, r.freeAt), true
}

func (t *roomTable) better(i, j int, from timekeeper.Time) bool {
	a, b := &t.receivers[i], &t.receivers[j]
	if a.shunned != b.shunned {
		return b.shunned
	}
	aFree, bFree := max(from, a.freeAt), max(from, b.freeAt)
	if aFree != bFree {
		return aFree < bFree
	}
	return a.room.Slots > b.room.Slots
}

func (t *roomTable) fits(i int, s Stream) bool {
	if !t.keepRoom {
		return true
	}
	r := &t.receivers[i].room
	return r.Slots > 0 && r.KVTokens >= s.Context+s.Remaining
}

// take gives s a place on the server and reports whether it had one.
func (t *roomTable) take(server identifier.VMID, s Stream) bool {
	i, ok := t.byServer[server]
	if !ok || !t.fits(i, s) {
		return false
	}
	t.receivers[i].room.Slots--
	t.receivers[i].room.KVTokens -= s.Context + s.Remaining
	return true
}

// busy tells that the server's bandwidth is spent until the instant.
func (t *roomTable) busy(server identifier.VMID, until timekeeper.Time) {
	if i, ok := t.byServer[server]; ok {
		t.receivers[i].freeAt = max(t.receivers[i].freeAt, until)
	}
}
