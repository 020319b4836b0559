package quarantiner

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// newsTime is for how long a change is told: peers are told twice a second, so
	// that each hears of it four times.
	newsTime = 2 * timekeeper.Second
	// maxNews bounds the changed requests in one message, some 40 bytes each. A node
	// tells 72 of them in newsTime, more than a server has.
	maxNews = 18
	// graveEnds is how many servers ended under the requests that are told again and
	// again, so that a node that was cut off or frozen hears of them as well, and
	// maxGrave how many of these one message has. All of 64 are told in two seconds.
	graveEnds = 2
	maxGrave  = 16
	// maxAll bounds what a node that joined is told at once.
	maxAll = 256
	// seenStep is the least difference by which hearsay moves the instant at which a
	// request was last seen. Less may be the way of the message, which would keep a
	// request that two nodes tell one another from being forgotten.
	seenStep = 15 * timekeeper.Second
)

// PendingUpdates reports whether this node found something since the last call that
// peers should receive soon.
func (q *Quarantine) PendingUpdates() bool {
	tell := q.toTell
	q.toTell = false
	return tell
}

// Updates returns what peers are told now: what changed lately, of what this node found
// itself, or of all where it passes on news for others; and some of the requests under
// which several servers ended.
//
// Of more than a message has, those told least come first: where a fixed order said
// which, a query of death among sixty requests of each server that ended could stay
// untold by every node.
func (q *Quarantine) Updates(now timekeeper.Time, passOn bool) []messenger.SuspectRequest {
	if len(q.records) == 0 {
		return nil
	}
	if q.news.at == now && q.news.passOn == passOn {
		return q.news.suspects // Relays tell many peers at an instant.
	}
	q.news = news{
		at:       now,
		passOn:   passOn,
		suspects: q.gatherNews(now, passOn),
	}
	return q.news.suspects
}

// news is what was told last.
type news struct {
	at       timekeeper.Time
	passOn   bool
	suspects []messenger.SuspectRequest
}

func (q *Quarantine) gatherNews(now timekeeper.Time, passOn bool) []messenger.SuspectRequest {
	var changed, grave []*record
	for _, f := range q.requests() {
		r := q.records[f]
		switch {
		case now.Sub(r.found) <= newsTime || passOn && now.Sub(r.changed) <= newsTime:
			changed = append(changed, r)
		case len(r.ends) >= graveEnds:
			grave = append(grave, r)
		}
	}
	slices.SortStableFunc(changed, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), cmp.Compare(a.tells, b.tells))
	})
	changed = changed[:min(len(changed), maxNews)]
	for _, r := range changed {
		r.tells++
	}
	return q.tell(now, append(changed, q.turnOf(grave)...))
}

// turnOf returns the requests whose turn it is to be told.
func (q *Quarantine) turnOf(grave []*record) []*record {
	if len(grave) <= maxGrave {
		return grave
	}
	out := make([]*record, 0, maxGrave)
	for range maxGrave {
		q.turn = (q.turn + 1) % len(grave)
		out = append(out, grave[q.turn])
	}
	return out
}

// All returns what a node that joined is told, those under which most servers ended
// first.
func (q *Quarantine) All(now timekeeper.Time) []messenger.SuspectRequest {
	all := make([]*record, 0, len(q.records))
	for _, f := range q.requests() {
		all = append(all, q.records[f])
	}
	slices.SortStableFunc(all, func(a, b *record) int { return cmp.Compare(len(b.ends), len(a.ends)) })
	return q.tell(now, all[:min(len(all), maxAll)])
}

func (q *Quarantine) tell(now timekeeper.Time, records []*record) []messenger.SuspectRequest {
	out := make([]messenger.SuspectRequest, 0, len(records))
	for _, r := range records {
		out = append(out, r.told(now))
	}
	return out
}

func (r *record) told(now timekeeper.Time) messenger.SuspectRequest {
	s := messenger.SuspectRequest{
		Request: r.request,
		SeenAge: now.Sub(r.seen),
		Cleared: r.cleared != 0,
	}
	if s.Cleared {
		s.ClearedAge = now.Sub(r.cleared)
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
	seen := now.Add(-max(s.SeenAge, 0))
	if !known || seen.Sub(r.seen) >= seenStep {
		r.seen = seen
	}
	changed := false
	if s.Cleared {
		changed = r.heardCleared(now.Add(-max(s.ClearedAge, 0)))
	}
	for _, e := range s.Ends[:min(len(s.Ends), maxServers)] {
		if r.add(e.Server, now.Add(-max(e.Age, 0))) {
			changed = true
		}
	}
	if changed {
		r.changed = now
		q.unjudged = true
	}
}

// heardCleared takes in a whole answer that a peer knows of, and reports whether that
// is news.
func (r *record) heardCleared(at timekeeper.Time) bool {
	if !at.After(r.cleared) {
		return false
	}
	clears := slices.ContainsFunc(r.ends, func(e end) bool { return !e.at.After(at) })
	if !clears && at.Sub(r.cleared) < seenStep {
		return false
	}
	r.clear(at)
	return true
}
