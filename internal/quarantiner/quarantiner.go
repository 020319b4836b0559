// Package quarantiner remembers the requests under which backend servers ended, and
// tells which of them no server may get any more.
//
// A request may end each server that begins to run it (a query of death). Its caller
// sends it again, to any node and under another request id, and each time it takes
// further servers, and all that they run, with it. So what counts is the request, by
// caller and content, over all nodes:
//
//   - A node reports each end of a server under a request of its own, and peers
//     tell one another (news.go).
//   - Once three servers have ended under a request it is refused everywhere.
//     Servers that ended for another request, under which more have ended, do not
//     count (verdict.go).
//   - A whole answer clears a request: it does not end each server that runs it.
//   - Requests that are refused are kept in the platform's store, for the case
//     that all nodes are lost at once (snapshot.go).
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxEnds is how many servers may end under a request: the users' bound.
	maxEnds = 3
	// patientEnds is how many servers end at the most under a request that always met
	// another suspect one: the users bear three sends after the third.
	patientEnds = maxEnds + 3
	// forgetAfter is how long a request is remembered after it last came. Callers
	// that return do so within minutes.
	forgetAfter = 10 * timekeeper.Minute
	// holdTime is how long after the last server ended a request is refused though
	// it keeps coming: by then servers may run another version. If one more ends
	// it is refused for as long again.
	holdTime = 1 * timekeeper.Hour
	// maxRequests bounds the requests that are remembered. A server that ends has
	// up to some sixty, so that these are the ends of a whole zone.
	maxRequests = 1024
	// maxServers bounds the servers that are remembered of one request, the last
	// ones.
	maxServers = 8
	// tidyEvery is the spacing of looks for what can be forgotten.
	tidyEvery = 1 * timekeeper.Second
)

// record is what is known of one request.
type record struct {
	request identifier.Fingerprint
	// ends are the servers that ended under it, in the order of their ends.
	ends []end
	// seen is when it last came, or a server last ended under it.
	seen timekeeper.Time
	// cleared is when it last got a whole answer, or zero.
	cleared timekeeper.Time
	// changed is when ends or cleared last changed here, and found when they did so
	// by what this node found itself.
	changed timekeeper.Time
	found   timekeeper.Time
	// tells counts the messages that had it.
	tells int
	// refused is the verdict.
	refused bool
}

// end is the end of a server.
type end struct {
	server identifier.VMID
	at     timekeeper.Time
}

// Quarantine is what one node knows.
type Quarantine struct {
	records map[identifier.Fingerprint]*record
	// unjudged tells that records changed since the verdicts.
	unjudged bool
	// toTell tells that this node found something that peers do not know.
	toTell   bool
	nextTidy timekeeper.Time
	// turn is where the next message goes on among the requests that are told
	// again and again.
	turn    int
	news    news
	changes []Change
	kept    snapshot
}

// New returns a Quarantine that knows nothing.
func New() *Quarantine {
	return &Quarantine{records: map[identifier.Fingerprint]*record{}}
}

// FingerprintOf returns the fingerprint of what a caller asks.
func FingerprintOf(caller string, content identifier.ContentHash) identifier.Fingerprint {
	if content == 0 {
		return 0
	}
	h := xxhash.NewWithSeed(uint64(content))
	// It never fails.
	_, _ = h.WriteString(caller)
	return identifier.Fingerprint(h.Sum64())
}

// ServerEnded records that a server ended while it ran a request of this node.
func (q *Quarantine) ServerEnded(now timekeeper.Time, request identifier.Fingerprint, server identifier.VMID) {
	if request == 0 {
		return
	}
	r := q.record(now, request)
	r.seen = now
	if !r.add(server, now) {
		return
	}
	r.changed = now
	r.found = now
	q.unjudged = true
	q.toTell = true
}

// Completed notes that a request got a whole answer.
func (q *Quarantine) Completed(now timekeeper.Time, request identifier.Fingerprint) {
	r, known := q.records[request]
	if !known || len(r.ends) == 0 {
		return
	}
	r.clear(now)
	r.changed = now
	r.found = now
	q.unjudged = true
	q.toTell = true
}

// Refuses notes that a request came, and reports whether it is refused and after
// which time it will not be, if it does not come again.
func (q *Quarantine) Refuses(now timekeeper.Time, request identifier.Fingerprint) (timekeeper.Duration, bool) {
	r, known := q.records[request]
	if !known {
		return 0, false
	}
	r.seen = now
	q.judge(now)
	if !r.refused {
		return 0, false
	}
	return min(forgetAfter, r.last().Add(holdTime).Sub(now)), true
}

// Tick forgets what is old.
func (q *Quarantine) Tick(now timekeeper.Time) {
	if now.Before(q.nextTidy) {
		return
	}
	q.nextTidy = now.Add(tidyEvery)
	for _, f := range q.requests() {
		r := q.records[f]
		q.unjudged = q.unjudged || r.refused && now.Sub(r.last()) >= holdTime
		if now.Sub(r.seen) >= forgetAfter {
			q.drop(r)
		}
	}
	q.judge(now)
}

// requests returns the requests in the order of their fingerprints.
func (q *Quarantine) requests() []identifier.Fingerprint {
	return slices.Sorted(maps.Keys(q.records))
}

// record returns the record of a request, a new one where there is none.
func (q *Quarantine) record(now timekeeper.Time, request identifier.Fingerprint) *record {
	r, known := q.records[request]
	if known {
		return r
	}
	q.makeRoom()
	r = &record{
		request: request,
		seen:    now,
	}
	q.records[request] = r
	return r
}

// makeRoom drops the request under which fewest servers ended when the table is
// full, of these the one not seen for longest.
func (q *Quarantine) makeRoom() {
	if len(q.records) < maxRequests {
		return
	}
	var victim *record
	for _, r := range q.records {
		if victim == nil || r.before(victim) {
			victim = r
		}
	}
	q.drop(victim)
}

// before reports whether r is dropped before other.
func (r *record) before(other *record) bool {
	return cmp.Or(
		cmp.Compare(len(r.ends), len(other.ends)),
		cmp.Compare(r.seen, other.seen),
		cmp.Compare(r.request, other.request),
	) < 0
}

func (q *Quarantine) drop(r *record) {
	delete(q.records, r.request)
	q.unjudged = true
	if r.refused {
		q.changes = append(q.changes, r.change(false))
	}
}

// add adds the end of a server, and reports whether it is news. Of one that is known
// the earlier instant holds: hearsay makes it later by its way.
func (r *record) add(server identifier.VMID, at timekeeper.Time) bool {
	if !at.After(r.cleared) && r.cleared != 0 {
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

// clear takes the ends of servers back that came before a whole answer.
func (r *record) clear(at timekeeper.Time) {
	r.cleared = at
	r.ends = slices.DeleteFunc(r.ends, func(e end) bool { return !e.at.After(at) })
}

// last returns when the last server ended, or zero.
func (r *record) last() timekeeper.Time {
	if len(r.ends) == 0 {
		return 0
	}
	return r.ends[len(r.ends)-1].at
}
