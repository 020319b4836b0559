package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// deadlineMargin is the safety margin before the deadline of a leaving
	// server. The cloud may be slightly early and a transfer slightly slow, and
	// a transfer that is cut off saves nothing.
	deadlineMargin = 300 * timekeeper.Millisecond
	// finishTimeFactor is the safety factor on the expected run time of a
	// stream, because a stream that stays and does not end in time must be
	// moved at the last moment.
	finishTimeFactor = 1.1
)

// wave is the state of one call of PlanWave.
type wave struct {
	now       timekeeper.Time
	leaving   map[identifier.VMID]timekeeper.Time
	rate      identifier.BytesPerSecond
	rules     Rules
	receivers *receiverTable
	// linkFreeAt is the time from which a leaving server's bandwidth is
	// unassigned.
	linkFreeAt map[identifier.VMID]timekeeper.Time
	moves      []Move
}

// PlanWave returns one move for each stream on a leaving server, ordered by
// start, request and attempt. The map leaving holds the deadlines of all
// leaving servers, and rate is the transfer bandwidth of one server. Streams on
// other servers are ignored.
func PlanWave(
	now timekeeper.Time,
	leaving map[identifier.VMID]timekeeper.Time,
	rate identifier.BytesPerSecond,
	streams []Stream,
	headroom []Headroom,
	rules Rules,
) []Move {
	w := &wave{
		now:        now,
		leaving:    leaving,
		rate:       rate,
		rules:      rules,
		receivers:  newReceiverTable(now, leaving, leavingZones(leaving, streams), headroom, rules),
		linkFreeAt: make(map[identifier.VMID]timekeeper.Time),
	}
	remaining := w.planFinishing(affectedStreams(leaving, streams))
	remaining = w.planOngoingExports(remaining)
	remaining = w.planExports(remaining)
	w.planPrefills(remaining)
	slices.SortFunc(w.moves, compareMoves)
	return w.moves
}

// affectedStreams returns the streams on leaving servers, ordered by request.
func affectedStreams(leaving map[identifier.VMID]timekeeper.Time, streams []Stream) []Stream {
	var streamsOnLeaving []Stream
	for _, s := range streams {
		if _, ok := leaving[s.Server]; ok {
			streamsOnLeaving = append(streamsOnLeaving, s)
		}
	}
	slices.SortFunc(streamsOnLeaving, compareIDs)
	return streamsOnLeaving
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

// planFinishing plans the streams that will end in time and returns the others.
func (w *wave) planFinishing(streams []Stream) []Stream {
	if !w.rules.FinishInPlace {
		return streams
	}
	var remaining []Stream
	for _, s := range streams {
		if s.MovingTo != "" || w.effectiveDeadline(s).Before(w.now.Add(expectedFinishTime(s))) {
			remaining = append(remaining, s)
			continue
		}
		w.addMove(s, Finish, s.Server, w.now)
	}
	return remaining
}

// planOngoingExports continues the exports whose receiver is not leaving and
// that will end in time, and returns the other streams.
//
// Replacing a running export by a better one would waste the bandwidth it has
// used, so an export is only abandoned if it cannot succeed.
func (w *wave) planOngoingExports(streams []Stream) []Stream {
	var remaining []Stream
	for _, s := range streams {
		if s.MovingTo == "" || s.MovingUntil.After(w.effectiveDeadline(s)) || !w.receivers.reserve(s.MovingTo, s) {
			remaining = append(remaining, s)
			continue
		}
		w.receivers.occupyLink(s.MovingTo, s.MovingUntil)
		w.linkFreeAt[s.Server] = max(w.linkFreeAt[s.Server], s.MovingUntil)
		w.addMove(s, Export, s.MovingTo, w.now)
	}
	return remaining
}

// planExports assigns the bandwidth of the leaving servers and returns the
// streams that are not exported.
func (w *wave) planExports(streams []Stream) []Stream {
	if !w.rules.ExportKV || w.rate <= 0 {
		return streams
	}
	if w.rules.RankByValue {
		rankByValue(w.now, w.rate, w.rules.TokenValue, streams)
	}
	var remaining []Stream
	for _, s := range streams {
		if !w.planExport(s) {
			remaining = append(remaining, s)
		}
	}
	return remaining
}

func (w *wave) planExport(s Stream) bool {
	free := max(w.now, w.linkFreeAt[s.Server])
	to, ready, ok := w.receivers.choose(s, free)
	if !ok {
		return false
	}
	start := max(free, ready)
	end := start.Add(transferTime(s, start.Sub(w.now), w.rate))
	if w.rules.KeepBandwidth && end.After(w.exportDeadline(s)) {
		return false
	}
	w.receivers.reserve(to, s)
	w.receivers.occupyLink(to, end)
	w.linkFreeAt[s.Server] = end
	w.addMove(s, Export, to, start)
	return true
}

// planPrefills assigns the remaining headroom to the streams in the order of
// compareForPrefill.
//
// They continue until shortly before the deadline: streams are planned with the
// maximum number of tokens they may still generate, and many end earlier.
// Moving them at once would recompute all of them, which costs more than
// processing a few more tokens of the others.
func (w *wave) planPrefills(streams []Stream) {
	slices.SortFunc(streams, compareForPrefill)
	for _, s := range streams {
		start := w.now
		if w.rules.PrefillLate {
			start = max(w.now, w.effectiveDeadline(s))
		}
		to, _, ok := w.receivers.choose(s, w.now)
		if ok {
			w.receivers.reserve(to, s)
		}
		w.addMove(s, Prefill, to, start)
	}
}

func (w *wave) addMove(s Stream, a Action, to identifier.VMID, start timekeeper.Time) {
	w.moves = append(w.moves, Move{
		Request: s.Request,
		Attempt: s.Attempt,
		Action:  a,
		To:      to,
		Start:   start,
	})
}

// effectiveDeadline returns the deadline of the stream's server minus
// deadlineMargin.
func (w *wave) effectiveDeadline(s Stream) timekeeper.Time {
	return w.leaving[s.Server].Add(-deadlineMargin)
}

// exportDeadline returns the time by which the stream's export must end, given
// this plan's share of the link's time.
func (w *wave) exportDeadline(s Stream) timekeeper.Time {
	last := w.effectiveDeadline(s)
	if w.rules.LinkShare <= 0 || w.rules.LinkShare >= 1 {
		return last
	}
	return w.now.Add(timekeeper.Duration(float64(last.Sub(w.now)) * w.rules.LinkShare))
}

// expectedFinishTime returns the time the stream is expected to need to end.
func expectedFinishTime(s Stream) timekeeper.Duration {
	return timekeeper.Duration(finishTimeFactor * millisecondsFor(float64(s.Remaining), s.TokensPerSecond))
}

// transferTime returns the duration of the export of s if it starts after the
// given wait. The cache grows during the wait.
func transferTime(s Stream, wait timekeeper.Duration, rate identifier.BytesPerSecond) timekeeper.Duration {
	size := float64(s.KVBytes)
	if s.Context > 0 {
		grown := min(s.TokensPerSecond*wait.Seconds(), float64(s.Remaining))
		size += size * grown / float64(s.Context)
	}
	return timekeeper.Duration(millisecondsFor(size, float64(rate))) + timekeeper.Millisecond
}

// millisecondsFor returns amount/rate in milliseconds, or an hour if the rate
// is not positive.
func millisecondsFor(amount, rate float64) float64 {
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

func compareIDs(a, b Stream) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
}
