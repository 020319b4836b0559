package calibrator

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// recentSpan is the minimum time over which recent evidence is compared with earlier
	// evidence, and snapshotInterval the time between the sums that are kept for it.
	recentSpan       = 1200 * timekeeper.Millisecond
	snapshotInterval = 300 * timekeeper.Millisecond
	// noise is the standard deviation of an answer of weight one.
	noise = 0.3
	// minRecentWeight is the weight below which recent evidence shows no change.
	minRecentWeight = 0.5
	// maxDeviation is the deviation of recent from earlier evidence, in standard deviations,
	// from which the server's speed has changed.
	maxDeviation = 2.5
)

// history holds earlier sums of all evidence, oldest first. The difference between two
// sums is the evidence of the time between them, by which a server that has turned slow or
// recovered is reported before most of its evidence is new.
type history struct {
	sums []report
	// outdated is the evidence from before the last change of a server's speed.
	outdated map[identifier.VMID]record
}

// add appends a sum if the last one is old enough, and drops those that are not needed.
func (h *history) add(now timekeeper.Time, sum Sum) {
	if n := len(h.sums); n > 0 && now.Sub(h.sums[n-1].at) < snapshotInterval {
		return
	}
	h.sums = append(h.sums, report{
		at:  now,
		sum: sum,
	})
	for len(h.sums) > 1 && now.Sub(h.sums[1].at) >= recentSpan {
		h.sums = h.sums[1:]
	}
}

// sinceChange returns a server's evidence without the part from before its speed changed.
func (h *history) sinceChange(now timekeeper.Time, server identifier.VMID, all messenger.FactorEvidence) messenger.FactorEvidence {
	outdated := h.outdated[server].decayed(now)
	if len(h.sums) > 0 && now.Sub(h.sums[0].at) >= recentSpan {
		earlier := scale(h.sums[0].sum[server], decay(now.Sub(h.sums[0].at)))
		if changed(minus(earlier, outdated), minus(all, earlier)) {
			outdated = earlier
			h.outdated[server] = record{
				FactorEvidence: earlier,
				at:             now,
			}
		}
	}
	if outdated.Weight < minWeight {
		delete(h.outdated, server)
		return all
	}
	return plausible(minus(all, outdated))
}

// plausible returns the difference of two sums with its mean bounded, or no evidence if
// little is left. The errors of both sums are large against a small difference.
func plausible(rest messenger.FactorEvidence) messenger.FactorEvidence {
	if rest.Weight < minWeight {
		return messenger.FactorEvidence{}
	}
	rest.Sum = bounded(rest.Sum, maxLog*rest.Weight)
	return rest
}

// changed reports whether recent evidence of a server contradicts the earlier.
func changed(earlier, recent messenger.FactorEvidence) bool {
	if earlier.Weight < minWeight || recent.Weight < minRecentWeight {
		return false
	}
	difference := math.Abs(recent.Sum/recent.Weight - earlier.Sum/earlier.Weight)
	return difference > maxDeviation*noise*math.Sqrt(1/recent.Weight+1/earlier.Weight)
}
