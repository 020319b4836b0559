// Package quarantiner records the requests during which backend servers ended, and
// decides which of them are refused.
//
// A request may end every server that runs it (a query of death). Its caller sends it
// again, to any node and under another request id, and each time it ends further
// servers, along with all other requests on them. So requests are identified by caller
// and content, and the ends of servers are counted over all nodes:
//
//   - A node records each end of a server under one of its own requests, and nodes
//     exchange these records (updates.go).
//   - Once three servers have ended under a request, all nodes refuse it. Servers that
//     probably ended for another request do not count (verdict.go).
//   - Requests may also end servers because of a part of their prompts that they share, so
//     that the same is recorded of parts. Sound requests share parts with them and are on the
//     same servers, so that more is required for a part to be refused (part.go).
//   - A complete answer clears a request and its parts, because it shows that they do not
//     end every server that runs them.
//   - Refused requests are stored in the platform's log, in case all nodes are lost at
//     once (snapshot.go).
//
// The package is pure: time is an argument. Nothing is safe for concurrent use.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// refuseThreshold is the number of servers that end under a request before it is
	// refused.
	refuseThreshold = 3
	// tieBreakThreshold is the number of ends from which a suspect with as many ends no
	// longer explains the end of a server. It bounds the servers lost to two queries of
	// death that always run together.
	tieBreakThreshold = refuseThreshold + 3
	// forgetAfter is the time for which a request is remembered after its last arrival.
	// Callers retry within minutes.
	forgetAfter = 10 * timekeeper.Minute
	// refusalTime is the time for which a request is refused after the last end of a
	// server, even if it keeps coming: by then servers may run another version. If
	// another server ends, the request is refused for as long again.
	refusalTime = 1 * timekeeper.Hour
	// maxRequests bounds the remembered requests. A server runs up to about sixty
	// requests when it ends, so the table holds those of a whole zone.
	maxRequests = 1024
	// maxServers bounds the ended servers that are remembered per request. The latest
	// are kept.
	maxServers      = 8
	cleanupInterval = 1 * timekeeper.Second
)

// record holds what is known of one request.
type record struct {
	request identifier.Fingerprint
	// part reports that this is a part of prompts, which many requests may have.
	part bool
	// ends are the servers that ended under the request, in order of time.
	ends []end
	// lastSeen is the time of the last arrival or the last end of a server.
	lastSeen timekeeper.Time
	// clearedAt is the time of the last complete answer, or zero.
	clearedAt timekeeper.Time
	// changedAt is the time of the last change of ends or clearedAt. foundAt is that of
	// the last change that this node observed itself.
	changedAt timekeeper.Time
	foundAt   timekeeper.Time
	// timesSent is the number of messages that contained the record.
	timesSent int
	refused   bool
	// tied reports that this part and another one are refused, of which only one may be the
	// cause. trials counts the requests with the part that this node has sent all the same,
	// the last at triedAt.
	tied    bool
	trials  int
	triedAt timekeeper.Time
}

// end is the end of a server.
type end struct {
	server identifier.VMID
	at     timekeeper.Time
}

// Quarantine is the table of suspect requests of one node.
type Quarantine struct {
	records map[identifier.Fingerprint]*record
	// completions holds the times of the last complete answers with each part.
	completions *simplelru.LRU[identifier.Fingerprint, timekeeper.Time]
	// startedAt is the time of the first Tick.
	startedAt timekeeper.Time
	// takesTrials reports whether this node sends requests with refused parts that may be sound.
	takesTrials bool
	// verdictsStale reports whether records changed since the last update of the
	// verdicts.
	verdictsStale bool
	// updatesPending reports whether this node found something that its peers do not
	// know.
	updatesPending bool
	nextCleanup    timekeeper.Time
	// lastRepeated is the index of the last suspect that was repeated to peers.
	lastRepeated int
	lastUpdate   update
	changes      []Change
	snapshot     snapshot
}

// New returns an empty Quarantine.
func New() *Quarantine {
	return &Quarantine{
		records:     map[identifier.Fingerprint]*record{},
		completions: newCompletions(),
	}
}

// FingerprintOf returns the fingerprint of a request, by caller and content. It is zero
// if the content is unknown.
func FingerprintOf(caller string, content identifier.ContentHash) identifier.Fingerprint {
	if content == 0 {
		return 0
	}
	h := xxhash.NewWithSeed(uint64(content))
	// WriteString never returns an error.
	_, _ = h.WriteString(caller)
	return identifier.Fingerprint(h.Sum64())
}

// ServerEnded records that a server ended while it ran a request of this node, whose prompt
// has the given parts.
func (q *Quarantine) ServerEnded(now timekeeper.Time, request identifier.Fingerprint, server identifier.VMID, parts ...identifier.Fingerprint) {
	if request != 0 {
		q.recordEnd(now, q.record(now, request), server)
	}
	for _, part := range parts {
		q.recordEnd(now, q.partRecord(now, part), server)
	}
}

func (q *Quarantine) recordEnd(now timekeeper.Time, r *record, server identifier.VMID) {
	r.lastSeen = now
	if !r.addEnd(server, now) {
		return
	}
	r.changedAt = now
	r.foundAt = now
	q.verdictsStale = true
	q.updatesPending = true
}

// Completed records that a request got a complete answer.
func (q *Quarantine) Completed(now timekeeper.Time, request identifier.Fingerprint, parts ...identifier.Fingerprint) {
	// Requests share parts, of which some get an answer all the time: this is not urgent.
	for _, part := range parts {
		q.completions.Add(part, now)
		q.recordCompletion(now, part)
	}
	if q.recordCompletion(now, request) {
		q.updatesPending = true
	}
}

// recordCompletion clears a record, and reports whether that had any ends.
func (q *Quarantine) recordCompletion(now timekeeper.Time, f identifier.Fingerprint) bool {
	r, known := q.records[f]
	if !known || len(r.ends) == 0 {
		return false
	}
	r.clear(now)
	r.changedAt = now
	r.foundAt = now
	q.verdictsStale = true
	return true
}

// Refuses records the arrival of a request, and reports whether it is refused, by itself or
// for a part of its prompt. The duration is the time until the refusal ends, if no such request
// arrives before.
func (q *Quarantine) Refuses(now timekeeper.Time, request identifier.Fingerprint, parts ...identifier.Fingerprint) (timekeeper.Duration, bool) {
	retryAfter, refused := q.refuses(now, request)
	for _, part := range parts {
		d, r := q.refuses(now, part)
		retryAfter = max(retryAfter, d)
		refused = refused || r
	}
	return retryAfter, refused
}

func (q *Quarantine) refuses(now timekeeper.Time, f identifier.Fingerprint) (timekeeper.Duration, bool) {
	r, known := q.records[f]
	if !known {
		return 0, false
	}
	r.lastSeen = now
	q.updateVerdicts(now)
	if !r.refused {
		return 0, false
	}
	return min(forgetAfter, r.lastEnd().Add(refusalTime).Sub(now)), true
}

// Tick drops expired requests and updates the verdicts.
func (q *Quarantine) Tick(now timekeeper.Time) {
	if now.Before(q.nextCleanup) {
		return
	}
	q.nextCleanup = now.Add(cleanupInterval)
	if q.startedAt == 0 {
		q.startedAt = now
	}
	for _, f := range q.sortedRequests() {
		r := q.records[f]
		q.verdictsStale = q.verdictsStale || r.refused && now.Sub(r.lastEnd()) >= refusalTime ||
			r.part && !r.refused && len(r.ends) >= partThreshold
		if now.Sub(r.lastSeen) >= forgetAfter {
			q.drop(r)
		}
	}
	q.updateVerdicts(now)
}

// sortedRequests returns the fingerprints of all records in ascending order.
func (q *Quarantine) sortedRequests() []identifier.Fingerprint {
	return slices.Sorted(maps.Keys(q.records))
}

// record returns the record of a request, and creates it if necessary.
func (q *Quarantine) record(now timekeeper.Time, request identifier.Fingerprint) *record {
	r, known := q.records[request]
	if known {
		return r
	}
	q.evict()
	r = &record{
		request:  request,
		lastSeen: now,
	}
	q.records[request] = r
	return r
}

// evict makes room in a full table: it drops one of the requests with the fewest ended
// servers, the least recently seen of them.
func (q *Quarantine) evict() {
	if len(q.records) < maxRequests {
		return
	}
	var victim *record
	for _, r := range q.records {
		if victim == nil || r.evictedBefore(victim) {
			victim = r
		}
	}
	q.drop(victim)
}

func (r *record) evictedBefore(other *record) bool {
	return cmp.Or(
		cmp.Compare(len(r.ends), len(other.ends)),
		cmp.Compare(r.lastSeen, other.lastSeen),
		cmp.Compare(r.request, other.request),
	) < 0
}

func (q *Quarantine) drop(r *record) {
	delete(q.records, r.request)
	q.verdictsStale = true
	if r.refused {
		q.changes = append(q.changes, r.change(false))
	}
}

// addEnd adds the end of a server, and reports whether it is a new one. If the end is
// known, the earlier time is kept: the transit time of messages makes reported times
// later.
func (r *record) addEnd(server identifier.VMID, at timekeeper.Time) bool {
	if !at.After(r.clearedAt) && r.clearedAt != 0 {
		return false
	}
	i := slices.IndexFunc(r.ends, func(e end) bool { return e.server == server })
	if i >= 0 {
		r.ends[i].at = min(r.ends[i].at, at)
		return false
	}
	r.ends = append(r.ends, end{
		server: server,
		at:     at,
	})
	slices.SortFunc(r.ends, func(a, b end) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	if len(r.ends) > maxServers {
		r.ends = slices.Delete(r.ends, 0, len(r.ends)-maxServers)
	}
	return true
}

// clear records a complete answer, and removes the ends of servers before it.
func (r *record) clear(at timekeeper.Time) {
	r.clearedAt = at
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return !e.at.After(at) })
}

// lastEnd returns the time of the last end of a server, or zero.
func (r *record) lastEnd() timekeeper.Time {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1].at
}
