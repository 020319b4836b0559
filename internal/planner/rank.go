package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// rankedStream is a stream with the value that its export saves per second of
// transfer.
type rankedStream struct {
	stream Stream
	value  float64
}

// rankByValue sorts streams by the value saved per second of transfer, highest
// first.
func rankByValue(now timekeeper.Time, rate identifier.BytesPerSecond, tokenValue identifier.Money, streams []Stream) {
	order := make([]rankedStream, len(streams))
	for i, s := range streams {
		transfer := transferTime(s, 0, rate)
		order[i] = rankedStream{
			stream: s,
			value:  exportValue(now, transfer, tokenValue, s) / transfer.Seconds(),
		}
	}
	slices.SortFunc(order, func(a, b rankedStream) int {
		return cmp.Or(cmp.Compare(b.value, a.value), compareIDs(a.stream, b.stream))
	})
	for i, r := range order {
		streams[i] = r.stream
	}
}

// exportValue returns the value that the export of s saves: the cost of
// recomputing its tokens, and the penalty if only an export avoids it.
func exportValue(now timekeeper.Time, transfer timekeeper.Duration, tokenValue identifier.Money, s Stream) float64 {
	value := float64(tokenValue) * float64(s.Context)
	if exportAvoidsMiss(now, transfer, s) {
		value += float64(s.Penalty)
	}
	return value
}

// exportAvoidsMiss reports whether s meets its target after an export but
// misses it after a prefill. For all other streams an export makes no
// difference to the target.
func exportAvoidsMiss(now timekeeper.Time, transfer timekeeper.Duration, s Stream) bool {
	if s.Target == 0 || s.PrefillPerSecond <= 0 {
		return true
	}
	generate := timekeeper.Duration(millisecondsFor(float64(s.Remaining), s.TokensPerSecond))
	byExport := now.Add(transfer + generate)
	byPrefill := now.Add(expectedFinishTime(s) + timekeeper.Duration(millisecondsFor(float64(s.Context), s.PrefillPerSecond)))
	return !byExport.After(s.Target) && byPrefill.After(s.Target)
}

// compareForPrefill orders streams for the remaining headroom: by priority, by
// penalty, then by the size of the context.
func compareForPrefill(a, b Stream) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(b.Penalty, a.Penalty),
		cmp.Compare(b.Context, a.Context),
		compareIDs(a, b),
	)
}
