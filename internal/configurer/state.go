package configurer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// DefaultVerdictTimeout is the default of Config.VerdictTimeout.
const DefaultVerdictTimeout = 5 * timekeeper.Second

// Config sets up a State.
type Config struct {
	// VerdictTimeout is the time within which a proposed change must be read
	// back. Otherwise its verdict is reported as unknown. Zero means
	// DefaultVerdictTimeout.
	VerdictTimeout timekeeper.Duration
}

// State is the configuration as one node has read it from the log.
type State struct {
	config Config
	rules  rules
	view   view
	// receivedTo is the last offset that was received, and lostTo the last one
	// that may have expired unread. There is a gap while lostTo > view.asOf.
	receivedTo identifier.Offset
	lostTo     identifier.Offset
	// held are the records after a gap. They are applied once a snapshot or
	// restore closes the gap.
	held      []messenger.Record
	heldBytes int
	// caughtUp is set if the last read reached the end of the stream.
	// caughtUpAt is the time of the last read that did.
	caughtUp   bool
	caughtUpAt timekeeper.Time
	pending    []proposal
	schedule   schedule
	// lastApplied and lastAppended are the offset and append time of the last
	// applied record. minExpiredAge is the minimum age at which such a record
	// was found to have expired.
	lastApplied   identifier.Offset
	lastAppended  timekeeper.Time
	minExpiredAge timekeeper.Duration
	dropped       Dropped
	snapshotErr   error
}

// Dropped counts records that a State did not apply.
type Dropped struct {
	// Malformed counts malformed records.
	Malformed int `json:"malformed"`
	// Held counts records after a gap that exceeded maxHeldBytes.
	Held int `json:"held"`
}

// maxHeldBytes bounds the held records after a gap.
const maxHeldBytes = 4 << 20

// New returns an empty State.
func New(c Config) *State {
	if c.VerdictTimeout == 0 {
		c.VerdictTimeout = DefaultVerdictTimeout
	}
	return &State{
		config: c,
		rules:  allRules(),
		view:   newView(),
	}
}

// Applied is a change that was judged, or whose verdict timed out.
type Applied struct {
	Revision identifier.Revision
	Nonce    identifier.Nonce
	File     identifier.FileName
	// Ticket identifies the operator's proposal. It is zero if this node has no
	// pending proposal with the nonce.
	Ticket  identifier.Ticket
	Verdict messenger.ChangeVerdict
}

// Catalog returns the configuration in force. It is never nil.
func (s *State) Catalog() *catalog.Catalog { return s.view.catalog }

// Revision returns the offset of the last accepted change.
func (s *State) Revision() identifier.Revision { return s.view.revision }

// AsOf returns the offset up to which records were applied.
func (s *State) AsOf() identifier.Offset { return s.view.asOf }

// ReadFrom returns the offset at which the next read of the stream begins.
func (s *State) ReadFrom() identifier.Offset { return s.receivedTo + 1 }

// Ready reports whether the last read reached the end of the stream and there is
// no fault.
func (s *State) Ready() bool { return s.caughtUp && s.Fault() == nil }

// Dropped returns the counts of records that were not applied.
func (s *State) Dropped() Dropped { return s.dropped }

// Files returns the files of the folder and the tombstones of deleted ones.
func (s *State) Files() map[identifier.FileName]FileState { return maps.Clone(s.view.files) }

// History returns the last judged changes, the oldest first.
func (s *State) History() []Change { return slices.Clone(s.view.recent) }

// Fault returns a *GapError while records are missing, a *StateError if the last
// snapshot in the log is invalid for this program, and nil otherwise.
func (s *State) Fault() error {
	if s.gap() {
		return &GapError{
			AsOf:   s.view.asOf,
			LostTo: s.lostTo,
		}
	}
	return s.snapshotErr
}

func (s *State) gap() bool { return s.lostTo > s.view.asOf }

// ApplyRecords applies one read of the stream and returns the resulting verdicts.
// Reads may overlap or be repeated, but must not omit records.
func (s *State) ApplyRecords(now timekeeper.Time, read messenger.LogRead) []Applied {
	s.handleExpiry(now, read.First)
	var applied []Applied
	for _, rec := range read.Records {
		applied = append(applied, s.receive(now, rec)...)
	}
	s.caughtUp = read.End
	if read.End {
		s.caughtUpAt = now
	}
	return applied
}

// handleExpiry detects a gap from the oldest offset that the log retains. All
// streams share one sequence of offsets, so this offset may pass asOf although
// only records of other streams have expired. Records appended after a read
// that reached the end cannot have expired within the retention. If that read
// is less than half the retention ago, which allows for reads that are applied
// late, no record of this stream is missing and asOf advances.
func (s *State) handleExpiry(now timekeeper.Time, first identifier.Offset) {
	if first == 0 {
		return
	}
	s.observeRetention(now, first)
	s.schedule.expiredTo = max(s.schedule.expiredTo, first-1)
	if first-1 <= s.view.asOf {
		return
	}
	complete := s.caughtUp && !s.gap() && now.Sub(s.caughtUpAt) < s.retention()/2
	if complete || !s.rules.detectGap {
		s.view.asOf = first - 1
		return
	}
	s.lostTo = max(s.lostTo, first-1)
}

// observeRetention records the age of the last applied record if it has expired.
func (s *State) observeRetention(now timekeeper.Time, first identifier.Offset) {
	if s.lastApplied == 0 || first <= s.lastApplied || !s.rules.observeRetention {
		return
	}
	age := now.Sub(s.lastAppended)
	if s.minExpiredAge == 0 || age < s.minExpiredAge {
		s.minExpiredAge = age
	}
}

// retention returns the configured retention of the log, or the observed one if
// that is shorter.
func (s *State) retention() timekeeper.Duration {
	configured := s.view.catalog.LogRetention
	if s.minExpiredAge == 0 {
		return configured
	}
	return min(configured, max(s.minExpiredAge, minRetention))
}

// receive applies one record, or holds it while there is a gap.
func (s *State) receive(now timekeeper.Time, rec messenger.Record) []Applied {
	if rec.Offset <= s.receivedTo || rec.Offset <= s.view.asOf {
		return nil
	}
	s.receivedTo = rec.Offset
	if s.gap() {
		return s.hold(now, rec)
	}
	return s.apply(now, rec)
}

// apply applies the next record to the view.
func (s *State) apply(now timekeeper.Time, rec messenger.Record) []Applied {
	s.view.asOf = rec.Offset
	r, err := decode(rec.Offset, rec.Data)
	appended := appendedAt(now, rec)
	s.lastApplied, s.lastAppended = rec.Offset, appended
	switch {
	case err != nil:
		s.dropped.Malformed++
		return nil
	case r.Snapshot != nil:
		s.observeSnapshot(rec.Offset, appended, r.Snapshot)
		return nil
	case r.Restore != nil:
		return s.restore(rec.Offset, appended, r.Restore)
	}
	verdict, isNew := s.view.judge(rec.Offset, appended, r.Change, s.rules)
	if !isNew {
		return nil
	}
	s.schedule.changeJudged(verdict)
	return []Applied{s.settle(verdict)}
}

// appendedAt returns the append time of a record, or now if the log states none.
func appendedAt(now timekeeper.Time, rec messenger.Record) timekeeper.Time {
	if rec.Appended == 0 {
		return now
	}
	return rec.Appended
}

func (s *State) observeSnapshot(offset identifier.Offset, appended timekeeper.Time, snapshot *snapshotRecord) {
	s.schedule.snapshotRead(appended, snapshot.AsOf, s.view.recent)
	if s.rules.ignoreSeenSnapshots {
		return
	}
	if v, err := viewOf(snapshot); err == nil {
		s.view = v
		s.view.asOf = offset
	}
}

func (s *State) restore(offset identifier.Offset, appended timekeeper.Time, r *restoreRecord) []Applied {
	v, ok := viewOfRestore(offset, appended, r)
	if !ok {
		return nil
	}
	s.view = v
	s.schedule = schedule{expiredTo: s.schedule.expiredTo}
	s.schedule.changeJudged(v.recent[0])
	return []Applied{s.settle(v.recent[0])}
}

// hold keeps a record after a gap. If the record is a snapshot or restore that
// closes the gap, the held records after its as-of offset are applied.
func (s *State) hold(now timekeeper.Time, rec messenger.Record) []Applied {
	s.held = append(s.held, rec)
	s.heldBytes += len(rec.Data)
	r, err := decode(rec.Offset, rec.Data)
	var applied []Applied
	switch {
	case err != nil:
	case r.Snapshot != nil:
		applied = s.adoptSnapshot(rec.Offset, r.Snapshot)
	case r.Restore != nil:
		applied = s.restore(rec.Offset, appendedAt(now, rec), r.Restore)
	}
	applied = append(applied, s.applyHeld(now)...)
	s.limitHeld()
	return applied
}

func (s *State) adoptSnapshot(offset identifier.Offset, snapshot *snapshotRecord) []Applied {
	v, err := viewOf(snapshot)
	if err != nil {
		s.snapshotErr = err
		return nil
	}
	if !s.rules.replayFromAsOf {
		v.asOf = offset
	}
	return s.adoptView(v)
}

// adoptView replaces the view by a later one. A view reflects all records up to
// its as-of offset, so a later view includes all changes of an earlier one.
func (s *State) adoptView(v view) []Applied {
	if v.asOf <= s.view.asOf {
		return nil
	}
	s.view = v
	s.snapshotErr = nil
	s.receivedTo = max(s.receivedTo, v.asOf)
	return s.settlePending()
}

// applyHeld drops the held records that the view includes, and applies the others
// if there is no gap.
func (s *State) applyHeld(now timekeeper.Time) []Applied {
	s.held = slices.DeleteFunc(s.held, func(rec messenger.Record) bool {
		done := rec.Offset <= s.view.asOf
		if done {
			s.heldBytes -= len(rec.Data)
		}
		return done
	})
	if s.gap() {
		return nil
	}
	var applied []Applied
	for _, rec := range s.held {
		applied = append(applied, s.apply(now, rec)...)
	}
	s.held, s.heldBytes = nil, 0
	return applied
}

func (s *State) limitHeld() {
	for s.heldBytes > maxHeldBytes {
		oldest := s.held[0]
		s.lostTo = max(s.lostTo, oldest.Offset)
		s.heldBytes -= len(oldest.Data)
		s.held = s.held[1:]
		s.dropped.Held++
	}
}
