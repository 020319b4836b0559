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

// Stream is the log stream whose newest record lists the refused requests.
//
// Nodes store nothing on disk. Without the record, a query of death would end three
// more servers whenever all nodes were killed at once.
const Stream identifier.LogStream = "quarantine"

const (
	// appendInterval is the time between appends of a snapshot until one succeeds. A
	// repeated record is harmless, because each record is a complete snapshot.
	appendInterval = 1 * timekeeper.Second
	// maxStored bounds the requests in a record, of some 200 bytes each.
	maxStored = 64
	// refreshAfter is the difference between a refused request's last arrival and the
	// stored one from which a new record is due.
	refreshAfter = forgetAfter / 2
)

// snapshot tracks the state of the log.
type snapshot struct {
	// stored are the requests in the newest record known to be in the log, with the
	// times of their last arrival. sent are those in the last record sent.
	stored     map[identifier.Fingerprint]timekeeper.Time
	sent       map[identifier.Fingerprint]timekeeper.Time
	nextAppend timekeeper.Time
}

// snapshotEntry is a refused request in a record.
type snapshotEntry struct {
	Request   uint64   `json:"request"`
	Part      bool     `json:"part,omitempty"`
	Servers   []string `json:"servers"`
	EndedAgo  []int64  `json:"ended_ago_ms"`
	SeenAgoMS int64    `json:"seen_ago_ms"`
}

// SnapshotDue returns a record of the refused requests if the log does not have an
// equivalent one.
func (q *Quarantine) SnapshotDue(now timekeeper.Time) ([]byte, bool, error) {
	if now.Before(q.snapshot.nextAppend) {
		return nil, false, nil
	}
	refused := q.refused()
	lastSeen := make(map[identifier.Fingerprint]timekeeper.Time, len(refused))
	for _, r := range refused {
		lastSeen[r.request] = r.lastSeen
	}
	if maps.EqualFunc(lastSeen, q.snapshot.stored, func(a, b timekeeper.Time) bool { return a.Sub(b) < refreshAfter }) {
		return nil, false, nil
	}
	q.snapshot.nextAppend = now.Add(appendInterval)
	q.snapshot.sent = lastSeen
	entries := make([]snapshotEntry, 0, len(refused))
	for _, r := range refused {
		entries = append(entries, r.snapshotEntry(now))
	}
	data, err := json.Marshal(entries)
	return data, err == nil, err
}

// SnapshotStored records that the snapshot sent last is in the log.
func (q *Quarantine) SnapshotStored() { q.snapshot.stored = q.snapshot.sent }

// Restored makes a snapshot due, because the store was restored and may have lost the
// newest record.
func (q *Quarantine) Restored() {
	q.snapshot.stored = nil
	q.snapshot.nextAppend = 0
}

// refused returns the refused requests, most recently seen first.
func (q *Quarantine) refused() []*record {
	var out []*record
	for _, r := range q.records {
		if r.refused {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.lastSeen, a.lastSeen), cmp.Compare(a.request, b.request))
	})
	return out[:min(len(out), maxStored)]
}

func (r *record) snapshotEntry(now timekeeper.Time) snapshotEntry {
	s := snapshotEntry{
		Request:   uint64(r.request),
		Part:      r.part,
		SeenAgoMS: int64(now.Sub(r.lastSeen)),
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
	var entries []snapshotEntry
	if err := json.Unmarshal(newest.Data, &entries); err != nil {
		return fmt.Errorf("record of refused requests at offset %d: %w", newest.Offset, err)
	}
	age := max(now.Sub(newest.Appended), 0)
	q.snapshot.stored = map[identifier.Fingerprint]timekeeper.Time{}
	for _, s := range entries[:min(len(entries), maxStored)] {
		suspect := s.suspect(age)
		q.merge(now, suspect)
		q.snapshot.stored[suspect.Request] = now.Add(-suspect.SeenAge)
	}
	return nil
}

// suspect converts an entry of a record that was appended age ago.
func (s snapshotEntry) suspect(age timekeeper.Duration) messenger.SuspectRequest {
	out := messenger.SuspectRequest{
		Request: identifier.Fingerprint(s.Request),
		Part:    s.Part,
		SeenAge: age + timekeeper.Duration(max(s.SeenAgoMS, 0)),
	}
	for i, server := range s.Servers[:min(len(s.Servers), len(s.EndedAgo))] {
		out.Ends = append(out.Ends, messenger.ServerEnd{
			Server: identifier.VMID(server),
			Age:    age + timekeeper.Duration(max(s.EndedAgo[i], 0)),
		})
	}
	return out
}
