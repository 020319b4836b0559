package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxObservers is the maximum number of nodes whose last observation is remembered.
const maxObservers = 4096

// freshness is the time up to which a node knows something that is observed in the
// platform's store, from its own observations or from peers' reports.
//
// The age in a report lacks its transit time. If nodes went by the age alone, two relays
// that report to each other would take old data for newer and newer data.
type freshness struct {
	asOf timekeeper.Time
	// basis is the observation on which asOf is based.
	basis messenger.Observation
	// newest holds the newest observation of each observer.
	newest map[identifier.VMID]messenger.Observation
}

// observe records an observation that this node made at a time.
func (f *freshness) observe(at timekeeper.Time, self identifier.VMID, incarnation identifier.Incarnation) {
	own := messenger.Observation{
		Node:        self,
		Incarnation: incarnation,
		Number:      f.newest[self].Number + 1,
	}
	f.remember(own)
	f.asOf = at
	f.basis = own
}

// merge merges a peer's report of an observation, and reports whether it is newer than
// what this node knows. A report without an observation counts by its age alone.
func (f *freshness) merge(now timekeeper.Time, age timekeeper.Duration, basis messenger.Observation) bool {
	if basis.Node != "" {
		last, known := f.newest[basis.Node]
		if known && !basis.After(last) || !known && len(f.newest) >= maxObservers {
			return false
		}
		f.remember(basis)
	}
	asOf := now.Add(-max(age, 0))
	if !asOf.After(f.asOf) {
		return false
	}
	f.asOf = asOf
	f.basis = basis
	return true
}

func (f *freshness) remember(o messenger.Observation) {
	if f.newest == nil {
		f.newest = map[identifier.VMID]messenger.Observation{}
	}
	f.newest[o.Node] = o
}
