package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// lastMoment is kept free before the deadline of a leaving server. The
	// cloud may be a little early and a pace a little slow; a transfer cut at
	// its last byte saves nothing.
	lastMoment = 300 * timekeeper.Millisecond
	// finishReserve stretches the time a stream is expected to need, because
	// a stream that was left in place and does not end in time pays twice.
	finishReserve = 1.1
)

// wave is the state of one call of PlanWave.
type wave struct {
	now     timekeeper.Time
	leaving map[identifier.VMID]timekeeper.Time
	rate    identifier.BytesPerSecond
	rules   Rules
	rooms   *roomTable
	// sourceFree is the instant from which a leaving server's bandwidth is
	// not yet spent.
	sourceFree map[identifier.VMID]timekeeper.Time
	moves      []Move
}

// PlanWave returns one move for each stream on a leaving server, ordered by
// start and name. Leaving holds the deadlines of all servers that leave, and
// rate is the bandwidth of one server for transfers. Streams on other servers
// are left alone.
func PlanWave(
	now timekeeper.Time,
	leaving map[identifier.VMID]timekeeper.Time,
	rate identifier.BytesPerSecond,
	streams []Stream,
	rooms []Headroom,
	rules Rules,
) []Move {
	w := &wave{
		now:        now,
		leaving:    leaving,
		rate:       rate,
		rules:      rules,
		rooms:      newRoomTable(now, leaving, leavingZones(leaving, streams), rooms, rules),
		sourceFree: make(map[identifier.VMID]timekeeper.Time),
	}
	rest := w.keepFinishing(affected(leaving, streams))
	rest = w.keepMoving(rest)
	rest = w.export(rest)
	w.prefill(rest)
	slices.SortFunc(w.moves, compareMoves)
	return w.moves
}

// affected returns the streams on leaving servers, in the order of their
// names.
func affected(leaving map[identifier.VMID]timekeeper.Time, streams []Stream) []Stream {
	var found []Stream
	for _, s := range streams {
		if _, ok := leaving[s.Server]; ok {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, compareNames)
	return found
}

// leavingZones returns the zones that lose a server with streams on it.
func leavingZones(leaving map[identifier.VMID]timekeeper.Time, streams []Stream) map[identifier.Zone]bool {
	zones := make(map[identifier.Zone]bool)
	for _, s := range streams {
		if _, ok := leaving[s.Server]; ok && s.Zone != "" {
			zones[s.Zone] = true
		}
	}
	return zones
}

// keepFinishing plans the streams that end in time and returns the others.
func (w *wave) keepFinishing(streams []Stream) []Stream {
	if !w.rules.FinishInPlace {
		return streams
	}
	var rest []Stream
	for _, s := range streams {
		if s.MovingTo != "" || w.lastStart(s).Before(w.now.Add(finishTime(s))) {
			rest = append(rest, s)
			continue
		}
		w.add(s, Finish, s.Server, w.now)
	}
	return rest
}

// keepMoving keeps the exports under way whose receiver still stays and which
// still end in time, and returns the other streams.
//
// Cutting a running export for a better one would throw away the bandwidth it
// has used; a receiver that has become a leaving server is the one good
// reason to.
func (w *wave) keepMoving(streams []Stream) []Stream {
	var rest []Stream
	for _, s := range streams {
		if s.MovingTo == "" || s.MovingUntil.After(w.lastStart(s)) || !w.rooms.take(s.MovingTo, s) {
			rest = append(rest, s)
			continue
		}
		w.rooms.busy(s.MovingTo, s.MovingUntil)
		w.sourceFree[s.Server] = max(w.sourceFree[s.Server], s.MovingUntil)
		w.add(s, Export, s.MovingTo, w.now)
	}
	return rest
}

// export spends the bandwidth of the leaving servers and returns the streams
// that got none of it.
func (w *wave) export(streams []Stream) []Stream {
	if !w.rules.ExportKV || w.rate <= 0 {
		return streams
	}
	if w.rules.RankByValue {
		rankByValue(w.now, w.rate, w.rules.TokenValue, streams)
	}
	var rest []Stream
	for _, s := range streams {
		if !w.exportOne(s) {
			rest = append(rest, s)
		}
	}
	return rest
}

func (w *wave) exportOne(s Stream) bool {
	free := max(w.now, w.sourceFree[s.Server])
	to, ready, ok := w.rooms.pick(s, free)
	if !ok {
		return false
	}
	start := max(free, ready)
	end := start.Add(transferTime(s, start.Sub(w.now), w.rate))
	if w.rules.KeepBandwidth && end.After(w.lastEnd(s)) {
		return false
	}
	w.rooms.take(to, s)
	w.rooms.busy(to, end)
	w.sourceFree[s.Server] = end
	w.add(s, Export, to, start)
	return true
}

// prefill gives the remaining room to the streams with the most to lose.
//
// They run on until the last moment. Streams are planned by the most tokens
// that they may still generate, and many end before that: moved at once, they
// would all be computed again. The few tokens more to read for the others cost
// less.
func (w *wave) prefill(streams []Stream) {
	slices.SortFunc(streams, compareStakes)
	for _, s := range streams {
		start := w.now
		if w.rules.PrefillLate {
			start = max(w.now, w.lastStart(s))
		}
		to, _, ok := w.rooms.pick(s, w.now)
		if ok {
			w.rooms.take(to, s)
		}
		w.add(s, Prefill, to, start)
	}
}

func (w *wave) add(s Stream, a Action, to identifier.VMID, start timekeeper.Time) {
	w.moves = append(w.moves, Move{
		Request: s.Request,
		Attempt: s.Attempt,
		Action:  a,
		To:      to,
		Start:   start,
	})
}

// lastStart returns the instant at which the stream's server counts as gone.
func (w *wave) lastStart(s Stream) timekeeper.Time {
	return w.leaving[s.Server].Add(-lastMoment)
}

// lastEnd returns the instant by which the stream's export must end: the end
// of this plan's part of the link's time.
func (w *wave) lastEnd(s Stream) timekeeper.Time {
	last := w.lastStart(s)
	if w.rules.LinkShare <= 0 || w.rules.LinkShare >= 1 {
		return last
	}
	return w.now.Add(timekeeper.Duration(float64(last.Sub(w.now)) * w.rules.LinkShare))
}

// finishTime returns how long the stream is expected to run.
func finishTime(s Stream) timekeeper.Duration {
	return timekeeper.Duration(finishReserve * spanOf(float64(s.Remaining), s.TokensPerSecond))
}

// transferTime returns how long the export of s takes if it begins after the
// given wait. The cache grows while the stream waits for its turn.
func transferTime(s Stream, wait timekeeper.Duration, rate identifier.BytesPerSecond) timekeeper.Duration {
	size := float64(s.KVBytes)
	if s.Context > 0 {
		grown := min(s.TokensPerSecond*wait.Seconds(), float64(s.Remaining))
		size += size * grown / float64(s.Context)
	}
	return timekeeper.Duration(spanOf(size, float64(rate))) + timekeeper.Millisecond
}

// spanOf returns amount/rate in milliseconds. Without a rate it
// is longer than any notice.
func spanOf(amount, rate float64) float64 {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return float64(timekeeper.Hour)
	}
	return amount / rate * float64(timekeeper.Second)
}

func compareMoves(a, b Move) int {
	return cmp.Or(
		cmp.Compare(a.Start, b.Start),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

func compareNames(a, b Stream) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
