package quarantiner

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stream is the stream of the log whose newest record names the requests that are
// refused.
//
// Nodes keep nothing when their processes end. Were all killed at once, a query of
// death would end three servers more after each time.
const Stream identifier.LogStream = "quarantine"

const (
	// storeAgain is the spacing of appends until one is known to stand. Each record
	// says all, so that repeating one does no harm.
	storeAgain = 1 * timekeeper.Second
	// maxStored bounds the requests in a record, some 200 bytes each.
	maxStored = 64
	// refreshAfter is how much later than its record says a request that is still
	// refused was seen when a new record is due.
	refreshAfter = forgetAfter / 2
)

// snapshot is what stands in the log.
type snapshot struct {
	// stored are the requests in the newest record that is known to stand, with the
	// instants at which they were last seen, and sent those in the last one sent.
	stored map[identifier.Fingerprint]timekeeper.Time
	sent   map[identifier.Fingerprint]timekeeper.Time
	next   timekeeper.Time
}

// savedRequest is a request in a record.
type savedRequest struct {
	Request   uint64   `json:"request"`
	Servers   []string `json:"servers"`
	EndedAgo  []int64  `json:"ended_ago_ms"`
	SeenAgoMS int64    `json:"seen_ago_ms"`
}

// SnapshotDue returns a record of the refused requests if the newest one in the log
// differs.
func (q *Quarantine) SnapshotDue(now timekeeper.Time) ([]byte, bool, error) {
	if now.Before(q.kept.next) {
		return nil, false, nil
	}
	refused := q.refused()
	seen := make(map[identifier.Fingerprint]timekeeper.Time, len(refused))
	for _, r := range refused {
		seen[r.request] = r.seen
	}
	if maps.EqualFunc(seen, q.kept.stored, func(a, b timekeeper.Time) bool { return a.Sub(b) < refreshAfter }) {
		return nil, false, nil
	}
	q.kept.next = now.Add(storeAgain)
	q.kept.sent = seen
	saved := make([]savedRequest, 0, len(refused))
	for _, r := range refused {
		saved = append(saved, r.saved(now))
	}
	data, err := json.Marshal(saved)
	return data, err == nil, err
}

// SnapshotStored records that the snapshot sent last was appended.
func (q *Quarantine) SnapshotStored() { q.kept.stored = q.kept.sent }

// Restored takes in that the log may have lost the newest record: it is due again.
func (q *Quarantine) Restored() {
	q.kept.stored = nil
	q.kept.next = 0
}

// refused returns the requests that are refused, those last seen first.
func (q *Quarantine) refused() []*record {
	var out []*record
	for _, r := range q.records {
		if r.refused {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.seen, a.seen), cmp.Compare(a.request, b.request))
	})
	return out[:min(len(out), maxStored)]
}

func (r *record) saved(now timekeeper.Time) savedRequest {
	s := savedRequest{
		Request:   uint64(r.request),
		SeenAgoMS: int64(now.Sub(r.seen)),
	}
	for _, e := range r.ends {
		s.Servers = append(s.Servers, string(e.server))
		s.EndedAgo = append(s.EndedAgo, int64(now.Sub(e.at)))
	}
	return s
}

// ApplyRecords applies records of the stream. Only the newest counts.
func (q *Quarantine) ApplyRecords(now timekeeper.Time, records []messenger.Record) error {
	if len(records) == 0 {
		return nil
	}
	newest := records[len(records)-1]
	var saved []savedRequest
	if err := json.Unmarshal(newest.Data, &saved); err != nil {
		return fmt.Errorf("record of refused requests at offset %d: %w", newest.Offset, err)
	}
	since := max(now.Sub(newest.Appended), 0)
	q.kept.stored = map[identifier.Fingerprint]timekeeper.Time{}
	for _, s := range saved[:min(len(saved), maxStored)] {
		suspect := s.suspect(since)
		q.merge(now, suspect)
		q.kept.stored[suspect.Request] = now.Add(-suspect.SeenAge)
	}
	return nil
}

// suspect returns what a record says that was appended so long ago.
func (s savedRequest) suspect(since timekeeper.Duration) messenger.SuspectRequest {
	out := messenger.SuspectRequest{
		Request: identifier.Fingerprint(s.Request),
		SeenAge: since + timekeeper.Duration(max(s.SeenAgoMS, 0)),
	}
	for i, server := range s.Servers[:min(len(s.Servers), len(s.EndedAgo))] {
		out.Ends = append(out.Ends, messenger.ServerEnd{
			Server: identifier.VMID(server),
			Age:    since + timekeeper.Duration(max(s.EndedAgo[i], 0)),
		})
	}
	return out
}
