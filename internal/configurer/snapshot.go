package configurer

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The timing of snapshots. A snapshot is due after at most three eighths of the
// retention, so that two in a row may fail before records are lost.
const (
	snapshotDivisor = 4 // a snapshot is due after 1/4 of the retention
	jitterDivisor   = 8 // plus a jitter of up to 1/8 of the retention
	// maxUrgentDelay bounds the random delay of a snapshot that is needed
	// immediately, so that not all nodes append one.
	maxUrgentDelay = 2 * timekeeper.Second
	// minSnapshotRetry is the minimum wait for a snapshot to be read back before
	// it is appended again.
	minSnapshotRetry = 5 * timekeeper.Second
	// maxUncovered is the number of changes after the last snapshot at which the
	// next one is due. It is below maxRecent, because snapshotRead needs all of
	// these changes in the history.
	maxUncovered = maxRecent / 2
)

// schedule determines when this node appends the next snapshot.
type schedule struct {
	// coveredTo is the as-of offset of the best snapshot that was read.
	coveredTo identifier.Offset
	// oldestNeeded is the append time of the oldest record that a new node needs:
	// that snapshot, or a change after its as-of offset.
	oldestNeeded timekeeper.Time
	// uncovered is the number of changes after coveredTo.
	uncovered int
	// expiredTo is the last offset that the log has dropped.
	expiredTo identifier.Offset
	// dueAt is the time at which this node appends a snapshot, or zero if it is
	// not set. urgent is set if dueAt was set because one is needed immediately.
	dueAt  timekeeper.Time
	urgent bool
}

func (s *schedule) changeJudged(c Change) {
	s.uncovered++
	if s.oldestNeeded == 0 {
		s.oldestNeeded = c.Appended
	}
}

// snapshotRead records a snapshot that was read, unless an earlier one is
// better. A snapshot that was appended late leaves changes uncovered that are
// older than itself, so snapshots are compared by the oldest record needed.
func (s *schedule) snapshotRead(appended timekeeper.Time, asOf identifier.Offset, recent []Change) {
	oldestNeeded, uncovered := appended, 0
	for _, c := range recent {
		if c.Offset > asOf {
			oldestNeeded = min(oldestNeeded, c.Appended)
			uncovered++
		}
	}
	if oldestNeeded < s.oldestNeeded {
		return
	}
	s.coveredTo = asOf
	s.oldestNeeded = oldestNeeded
	s.uncovered = uncovered
	s.dueAt = 0
	s.urgent = false
}

// neededNow reports whether a snapshot is needed immediately: either no snapshot
// covers the records that have expired, or there are too many changes after the
// last one.
func (s *schedule) neededNow() bool {
	return s.expiredTo > s.coveredTo || s.uncovered >= maxUncovered
}

// due returns the time of the next snapshot and draws it if it is not set.
func (s *schedule) due(now timekeeper.Time, retention timekeeper.Duration, rng *rand.Rand) timekeeper.Time {
	if s.neededNow() && !s.urgent {
		s.urgent = true
		s.dueAt = now.Add(jitter(maxUrgentDelay, rng))
	}
	if s.dueAt != 0 {
		return s.dueAt
	}
	s.dueAt = s.oldestNeeded.Add(retention/snapshotDivisor + jitter(retention/jitterDivisor, rng))
	if s.dueAt.Before(now) {
		s.dueAt = now.Add(jitter(maxUrgentDelay, rng))
	}
	return s.dueAt
}

func jitter(d timekeeper.Duration, rng *rand.Rand) timekeeper.Duration {
	return timekeeper.Duration(rng.Int64N(int64(d) + 1))
}

// SnapshotDue returns the snapshot to append if this node's jittered timer has
// expired. Reading back a snapshot of any node resets the timer; a snapshot that
// is not read back is appended again.
func (s *State) SnapshotDue(now timekeeper.Time, rng *rand.Rand) ([]byte, bool) {
	empty := s.view.revision == 0 && len(s.view.recent) == 0
	if !s.Ready() || (empty && !s.schedule.neededNow()) || !s.rules.appendSnapshots {
		return nil, false
	}
	if now.Before(s.schedule.due(now, s.retention(), rng)) {
		return nil, false
	}
	s.schedule.dueAt = now.Add(minSnapshotRetry + jitter(minSnapshotRetry, rng))
	return encode(record{Snapshot: s.view.snapshot()}), true
}

// Export returns the state for a peer that cannot read the log.
func (s *State) Export() []byte {
	return encode(exportRecord{
		Snapshot:     s.view.snapshot(),
		CoveredTo:    s.schedule.coveredTo,
		OldestNeeded: s.schedule.oldestNeeded,
	})
}

// Import adopts the exported state of a peer that has read further. It returns
// the pending changes whose verdicts the peer has read. Its error is a
// *RecordError, a *StateError or an *OlderStateError.
func (s *State) Import(now timekeeper.Time, data []byte) ([]Applied, error) {
	var r exportRecord
	if err := json.Unmarshal(data, &r); err != nil || r.Snapshot == nil {
		return nil, &RecordError{Cause: err}
	}
	if r.Snapshot.AsOf <= s.view.asOf && s.rules.importOnlyNewer {
		return nil, &OlderStateError{
			AsOf:        s.view.asOf,
			OfferedAsOf: r.Snapshot.AsOf,
		}
	}
	v, err := viewOf(r.Snapshot)
	if err != nil {
		return nil, err
	}
	if !s.rules.importOnlyNewer {
		s.view.asOf = 0
	}
	s.schedule.merge(r)
	applied := s.adoptView(v)
	return append(applied, s.applyHeld(now)...), nil
}

// merge adopts the peer's schedule if this node has none.
func (s *schedule) merge(r exportRecord) {
	if s.oldestNeeded == 0 {
		s.oldestNeeded = r.OldestNeeded
		s.coveredTo = r.CoveredTo
	}
}
