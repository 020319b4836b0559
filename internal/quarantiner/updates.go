package quarantiner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// updateWindow is the time for which a change is reported. Peers receive updates
	// twice a second, so each change is sent four times.
	updateWindow = 2 * timekeeper.Second
	// maxUpdates bounds the changed requests in one message, of some 40 bytes each.
	// Within updateWindow a node sends up to 72, more than one server runs.
	maxUpdates = 18
	// suspectThreshold is the number of ended servers from which a request is repeated
	// to peers, for nodes that were partitioned or paused when it changed. maxRepeats
	// bounds these requests in one message: 64 of them are sent within two seconds.
	suspectThreshold = 2
	maxRepeats       = 16
	// maxExport bounds what a node that joins receives at once.
	maxExport = 256
	// minSeenChange is the minimum difference by which a peer's report changes
	// lastSeen. Smaller differences may be the transit time of the message, which would
	// keep a request alive for as long as two nodes exchange it.
	minSeenChange = 15 * timekeeper.Second
)

// PendingUpdates reports whether this node found something since the last call that
// peers should receive soon.
func (q *Quarantine) PendingUpdates() bool {
	pending := q.updatesPending
	q.updatesPending = false
	return pending
}

// Updates returns the requests to report to peers: those that changed recently, and
// some of the others under which several servers ended. Recent changes that this node
// received from peers are included only if includeReceived is set, as relays do.
//
// If a message can't hold all changed requests, those with the most ended servers go
// first, and among equals those sent least often. In a fixed order, a query of death
// among the sixty requests of each ended server might never be sent by any node.
func (q *Quarantine) Updates(now timekeeper.Time, includeReceived bool) []messenger.SuspectRequest {
	if len(q.records) == 0 {
		return nil
	}
	if q.lastUpdate.at == now && q.lastUpdate.includeReceived == includeReceived {
		return q.lastUpdate.suspects // Relays send to many peers at the same instant.
	}
	q.lastUpdate = update{
		at:              now,
		includeReceived: includeReceived,
		suspects:        q.collectUpdates(now, includeReceived),
	}
	return q.lastUpdate.suspects
}

// update is the result of the last call of Updates.
type update struct {
	at              timekeeper.Time
	includeReceived bool
	suspects        []messenger.SuspectRequest
}

func (q *Quarantine) collectUpdates(now timekeeper.Time, includeReceived bool) []messenger.SuspectRequest {
	var changed, repeated []*record
	for _, f := range q.sortedRequests() {
		r := q.records[f]
		switch {
		case now.Sub(r.foundAt) <= updateWindow || includeReceived && now.Sub(r.changedAt) <= updateWindow:
			changed = append(changed, r)
		case len(r.ends) >= suspectThreshold:
			repeated = append(repeated, r)
		}
	}
	slices.SortStableFunc(changed, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(a.timesSent, b.timesSent))
	})
	changed = changed[:min(len(changed), maxUpdates)]
	for _, r := range changed {
		r.timesSent++
	}
	return q.export(now, append(changed, q.nextRepeats(repeated)...))
}

// nextRepeats returns the next requests to repeat, in rotation.
func (q *Quarantine) nextRepeats(repeated []*record) []*record {
	if len(repeated) <= maxRepeats {
		return repeated
	}
	out := make([]*record, 0, maxRepeats)
	for range maxRepeats {
		q.lastRepeated = (q.lastRepeated + 1) % len(repeated)
		out = append(out, repeated[q.lastRepeated])
	}
	return out
}

// All returns the requests to report to a node that joined, those with the most ended
// servers first.
func (q *Quarantine) All(now timekeeper.Time) []messenger.SuspectRequest {
	all := make([]*record, 0, len(q.records))
	for _, f := range q.sortedRequests() {
		all = append(all, q.records[f])
	}
	slices.SortStableFunc(all, func(a, b *record) int { return cmp.Compare(len(b.ends), len(a.ends)) })
	return q.export(now, all[:min(len(all), maxExport)])
}

func (q *Quarantine) export(now timekeeper.Time, records []*record) []messenger.SuspectRequest {
	out := make([]messenger.SuspectRequest, 0, len(records))
	for _, r := range records {
		out = append(out, r.export(now))
	}
	return out
}

func (r *record) export(now timekeeper.Time) messenger.SuspectRequest {
	s := messenger.SuspectRequest{
		Request: r.request,
		Part:    r.part,
		SeenAge: now.Sub(r.lastSeen),
		Cleared: r.clearedAt != 0,
	}
	if s.Cleared {
		s.ClearedAge = now.Sub(r.clearedAt)
	}
	for _, e := range r.ends {
		s.Ends = append(s.Ends, messenger.ServerEnd{
			Server: e.server,
			Age:    now.Sub(e.at),
		})
	}
	return s
}

// Merge applies what a peer reported.
func (q *Quarantine) Merge(now timekeeper.Time, suspects []messenger.SuspectRequest) {
	for _, s := range suspects {
		q.merge(now, s)
	}
}

func (q *Quarantine) merge(now timekeeper.Time, s messenger.SuspectRequest) {
	known := q.records[s.Request] != nil
	old := s.SeenAge >= forgetAfter
	if s.Request == 0 || old || !known && len(s.Ends) == 0 {
		return
	}
	r := q.record(now, s.Request)
	if s.Part {
		r = q.partRecord(now, s.Request)
	}
	lastSeen := now.Add(-max(s.SeenAge, 0))
	if !known || lastSeen.Sub(r.lastSeen) >= minSeenChange {
		r.lastSeen = lastSeen
	}
	changed := false
	if s.Cleared {
		changed = r.mergeCleared(now.Add(-max(s.ClearedAge, 0)))
	}
	for _, e := range s.Ends[:min(len(s.Ends), maxServers)] {
		if r.addEnd(e.Server, now.Add(-max(e.Age, 0))) {
			changed = true
		}
	}
	if changed {
		r.changedAt = now
		q.verdictsStale = true
	}
}

// mergeCleared applies a peer's report of a complete answer, and reports whether it
// changed the record.
func (r *record) mergeCleared(at timekeeper.Time) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	removesEnds := slices.ContainsFunc(r.ends, func(e end) bool { return !e.at.After(at) })
	if !removesEnds && at.Sub(r.clearedAt) < minSeenChange {
		return false
	}
	r.clear(at)
	return true
}
