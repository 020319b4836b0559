package planner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ranked is a stream with what its export saves per second of transfer.
type ranked struct {
	stream Stream
	value  float64
}

// rankByValue sorts streams, the best use of the bandwidth first.
func rankByValue(now timekeeper.Time, rate identifier.BytesPerSecond, token identifier.Money, streams []Stream) {
	order := make([]ranked, len(streams))
	for i, s := range streams {
		transfer := transferTime(s, 0, rate)
		order[i] = ranked{
			stream: s,
			value:  saved(now, transfer, token, s) / transfer.Seconds(),
		}
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.value, a.value), compareNames(a.stream, b.stream))
	})
	for i, r := range order {
		streams[i] = r.stream
	}
}

// saved returns what the export of s saves: the tokens that need no
// recomputing, and the penalty where it hangs on the export.
func saved(now timekeeper.Time, transfer timekeeper.Duration, token identifier.Money, s Stream) float64 {
	value := float64(token) * float64(s.Context)
	if penaltyAtStake(now, transfer, s) {
		value += float64(s.Penalty)
	}
	return value
}

// penaltyAtStake tells whether s meets its target by an export and misses it
// by prefill. A stream that is late either way, or in time either way, has no
// claim on bandwidth that another stream's target needs.
func penaltyAtStake(now timekeeper.Time, transfer timekeeper.Duration, s Stream) bool {
	if s.Target == 0 || s.PrefillPerSecond <= 0 {
		return true
	}
	generate := timekeeper.Duration(spanOf(float64(s.Remaining), s.TokensPerSecond))
	byExport := now.Add(transfer + generate)
	byPrefill := now.Add(finishTime(s) + timekeeper.Duration(spanOf(float64(s.Context), s.PrefillPerSecond)))
	return !byExport.After(s.Target) && byPrefill.After(s.Target)
}

// compareStakes orders streams for the room that is left: by priority, by
// penalty, then by the tokens generated so far.
func compareStakes(a, b Stream) int {
	return cmp.Or(
		cmp.Compare(b.Priority, a.Priority),
		cmp.Compare(b.Penalty, a.Penalty),
		cmp.Compare(b.Context, a.Context),
		compareNames(a, b),
	)
}
