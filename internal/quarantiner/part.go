package quarantiner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// partThreshold is the number of servers that end under requests with a part, without a
	// complete answer in between, before the part is refused. provenPartThreshold is that for
	// a part with which there were complete answers before, and minUnproven the time since the
	// last of them.
	partThreshold       = 5
	provenPartThreshold = 6
	minUnproven         = 1500 * timekeeper.Millisecond
	// minPartSpan is the time between the first and the last of these ends. Servers that end
	// together, such as those of an availability zone, may end for another reason.
	minPartSpan = 500 * timekeeper.Millisecond
	// minPartShare is the share of the servers that ended in that time under requests with the
	// part. Parts of many requests are on servers that end for other reasons.
	minPartShare = 0.25
	// unprovenAfterStart is the time after the start of this node for which all parts count as
	// ones with complete answers, of which it may know nothing.
	unprovenAfterStart = 5 * timekeeper.Second
	// tiedTrialDelay is the time without an end after which one of two parts that were always
	// together is tried alone, and provenTrialDelay that for one with which there were complete
	// answers before. Each further trial waits twice as long, maxTrialDoublings times.
	tiedTrialDelay    = 5 * timekeeper.Second
	provenTrialDelay  = 1 * timekeeper.Minute
	maxTrialDoublings = 6
	// maxCompletions bounds the parts whose last complete answer is remembered.
	maxCompletions = 8192
)

func newCompletions() *simplelru.LRU[identifier.Fingerprint, timekeeper.Time] {
	lru, err := simplelru.NewLRU[identifier.Fingerprint, timekeeper.Time](maxCompletions, nil)
	if err != nil {
		panic(err) // The size is positive.
	}
	return lru
}

// PartOf returns the fingerprint of a part of prompts for the servers of a service.
func PartOf(service identifier.ServiceName, part identifier.PrefixHash) identifier.Fingerprint {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString("part ")
	_, _ = h.WriteString(string(service))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(part)))
	return identifier.Fingerprint(max(h.Sum64(), 1))
}

// partRecord returns the record of a part, and creates it if necessary.
func (q *Quarantine) partRecord(now timekeeper.Time, part identifier.Fingerprint) *record {
	r := q.record(now, part)
	r.part = true
	if completedAt, _ := q.completions.Peek(part); completedAt.After(r.clearedAt) {
		r.clear(completedAt)
		r.changedAt = now
		r.foundAt = now
		q.verdictsStale = true
	}
	return r
}

// partVerdicts returns the parts that are refused, and the servers whose ends they explain.
//
// A part that ends servers and the parts beside it in prompts are on the same servers when
// these end. Those beside it are in sound requests as well, and get complete answers. So of
// the parts on a server the one whose last complete answer is the oldest is the likely cause,
// and among equals the one with the most ends.
func (q *Quarantine) partVerdicts(now timekeeper.Time) (refused map[*record]bool, explained map[identifier.VMID]bool) {
	refused = map[*record]bool{}
	explained = map[identifier.VMID]bool{}
	suspects := q.suspectParts(now)
	for i, r := range suspects {
		unexplained := slices.DeleteFunc(slices.Clone(r.ends), func(e end) bool { return explained[e.server] })
		stays := r.refused && len(unexplained) > 0
		if refused[r] || !stays && !q.isCause(now, r, unexplained) {
			continue
		}
		refused[r] = true
		r.tied = false
		for _, other := range suspects[i+1:] {
			// Nothing shows yet which of two parts that are always together is the cause.
			if other.clearedAt == 0 && r.clearedAt == 0 && sameServers(other.ends, r.ends) {
				refused[other] = true
				other.tied = true
				r.tied = true
			}
		}
		for _, e := range r.ends {
			explained[e.server] = true
		}
	}
	return refused, explained
}

// suspectParts returns the parts under which enough servers ended to refuse them, the most
// likely cause first. Those that are refused already come before others.
func (q *Quarantine) suspectParts(now timekeeper.Time) []*record {
	var out []*record
	for _, r := range q.records {
		if r.part && len(r.ends) >= partThreshold && now.Sub(r.lastEnd()) < refusalTime {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		if a.refused != b.refused {
			if a.refused {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(a.clearedAt, b.clearedAt),
			cmp.Compare(len(b.ends), len(a.ends)),
			cmp.Compare(a.request, b.request),
		)
	})
	return out
}

// isCause reports whether the ends of servers that nothing else explains show that a part
// is their cause.
func (q *Quarantine) isCause(now timekeeper.Time, r *record, unexplained []end) bool {
	required := partThreshold
	if r.clearedAt != 0 || now.Sub(q.startedAt) < unprovenAfterStart {
		required = provenPartThreshold
	}
	if len(unexplained) < required || r.clearedAt != 0 && now.Sub(r.clearedAt) < minUnproven {
		return false
	}
	first, last := unexplained[0].at, unexplained[len(unexplained)-1].at
	if last.Sub(first) < minPartSpan {
		return false
	}
	return float64(len(unexplained)) >= minPartShare*float64(q.serversEndedBetween(first, last))
}

// serversEndedBetween returns the number of servers that ended in a time.
func (q *Quarantine) serversEndedBetween(first, last timekeeper.Time) int {
	servers := map[identifier.VMID]bool{}
	for _, r := range q.records {
		for _, e := range r.ends {
			if !e.at.Before(first) && !e.at.After(last) {
				servers[e.server] = true
			}
		}
	}
	return len(servers)
}

// SetTrials sets whether this node takes trials. Only one of all nodes does.
func (q *Quarantine) SetTrials(allowed bool) { q.takesTrials = allowed }

// TakeTrial reports whether a refused request may be sent once all the same, because a part of
// its prompt that is refused may be sound: one with which there were complete answers before,
// or one that was always together with another one. A complete answer releases it.
func (q *Quarantine) TakeTrial(now timekeeper.Time, request identifier.Fingerprint, parts ...identifier.Fingerprint) bool {
	q.updateVerdicts(now)
	if r := q.records[request]; !q.takesTrials || r != nil && r.refused {
		return false
	}
	var refused []*record
	for _, part := range parts {
		if r := q.records[part]; r != nil && r.refused {
			refused = append(refused, r)
		}
	}
	if len(refused) != 1 || !refused[0].isTrialDue(now) {
		return false
	}
	refused[0].trials++
	refused[0].triedAt = now
	return true
}

func (r *record) isTrialDue(now timekeeper.Time) bool {
	delay := tiedTrialDelay
	switch {
	case r.clearedAt != 0:
		delay = provenTrialDelay
	case !r.tied:
		return false
	}
	for range min(r.trials, maxTrialDoublings) {
		delay *= 2
	}
	return now.Sub(max(r.lastEnd(), r.triedAt)) >= delay
}

func sameServers(a, b []end) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(e end) bool {
		return !slices.ContainsFunc(b, func(other end) bool { return other.server == e.server })
	})
}
