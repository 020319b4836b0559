package configurer

import (
	"encoding/json"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// When a snapshot is appended. At the latest it is due after three eighths of
// the retention: two in a row may fail before records are lost.
const (
	snapshotDivisor = 4 // due after this share of the retention
	jitterDivisor   = 8 // plus up to this share of it
	// urgentSpread spreads the nodes when a snapshot is wanted at once.
	maxUrgentDelay = 2 * timekeeper.Second
	// snapshotRetry is the least wait for a snapshot to be read back.
	minSnapshotRetry = 5 * timekeeper.Second
	// maxUncovered is how many changes may stand after the last snapshot. It
	// keeps all of them in the history, which times the next one.
	maxUncovered = maxRecent / 2
)

// schedule tells when to append the next snapshot.
type schedule struct {
	// coveredTo is the as-of offset of the best snapshot that was read.
	coveredTo identifier.Offset
	// since is the log's time of the oldest record that is still needed: that
	// snapshot, or a change after its as-of offset.
	oldestNeeded timekeeper.Time
	// uncovered counts the changes after coveredTo.
	uncovered int
	// expiredTo is the last offset that the log has dropped.
	expiredTo identifier.Offset
	// dueAt is this node's own time for the next snapshot, or zero while it
	// is not set.
	dueAt  timekeeper.Time
	urgent bool
}

// changed takes in a judged change.
func (s *schedule) changeJudged(c Change) {
	s.uncovered++
	if s.oldestNeeded == 0 {
		s.oldestNeeded = c.Appended
	}
}

// seen takes in a snapshot that was read. One that was appended late keeps
// fewer records from mattering, so its worth is the age of the oldest change
// after its as-of offset.
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

// wanted reports whether a snapshot is wanted at once: a node that starts now
// would find no snapshot that covers what the log has dropped, or there are
// many changes after the last one.
func (s *schedule) neededNow() bool {
	return s.expiredTo > s.coveredTo || s.uncovered >= maxUncovered
}

// due returns the time of the next snapshot, drawing it where it is not set.
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

// SnapshotDue returns the snapshot to append when this node's jittered timer
// has come. A snapshot that is read back, of whichever node, resets the timer;
// one that is not is repeated.
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

// Export returns the state for a peer that can't read the log.
func (s *State) Export() []byte {
	return encode(exportRecord{
		Snapshot:     s.view.snapshot(),
		CoveredTo:    s.schedule.coveredTo,
		OldestNeeded: s.schedule.oldestNeeded,
	})
}

// Import takes the state of a peer that has read further. What waited for a
// verdict that the peer has read is returned. The error is a *RecordError, a
// *StateError, or an *OlderStateError when there is nothing to take.
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

// imported takes over the peer's timing where this node has none.
func (s *schedule) merge(r exportRecord) {
	if s.oldestNeeded == 0 {
		s.oldestNeeded = r.OldestNeeded
		s.coveredTo = r.CoveredTo
	}
}
