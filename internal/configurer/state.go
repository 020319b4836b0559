package configurer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// DefaultVerdictTimeout is how long an operator waits for a verdict.
const DefaultVerdictTimeout = 5 * timekeeper.Second

// Config sets up a State.
type Config struct {
	// VerdictTimeout is how long a proposed change may wait to be read back
	// before its operator is told that the verdict is unknown; zero means
	// DefaultVerdictTimeout.
	VerdictTimeout timekeeper.Duration
}

// State is the configuration as one node has read it from the log.
type State struct {
	config Config
	rules  rules
	view   view
	// seenTo is the last offset that was received, lostTo the last one that
	// may have expired unread. There is a gap while lostTo is past the view.
	receivedTo identifier.Offset
	lostTo     identifier.Offset
	// held are the records past a gap: a snapshot further on may show that
	// they count.
	held      []messenger.Record
	heldBytes int
	// caughtUp tells that the last read reached the end of the stream, which
	// endedAt times.
	caughtUp   bool
	caughtUpAt timekeeper.Time
	pending    []proposal
	schedule   schedule
	// last and lastAppended are the offset and time of the last record that
	// was applied; shortest is the least age at which one was seen expired.
	lastApplied   identifier.Offset
	lastAppended  timekeeper.Time
	minExpiredAge timekeeper.Duration
	dropped       Dropped
	snapshotErr   error
}

// Dropped counts what a State has dropped.
type Dropped struct {
	// Malformed counts records that are none of ours.
	Malformed int `json:"malformed"`
	// Held counts records past a gap that did not fit in memory.
	Held int `json:"held"`
}

// maxHeldBytes bounds the records past a gap.
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

// Applied is one change that was judged, or given up waiting for.
type Applied struct {
	Revision identifier.Revision
	Nonce    identifier.Nonce
	File     identifier.FileName
	// Ticket is that of the operator's proposal on this node, or zero.
	Ticket  identifier.Ticket
	Verdict messenger.ChangeVerdict
}

// Catalog returns the configuration in force. It is never nil.
func (s *State) Catalog() *catalog.Catalog { return s.view.catalog }

// Revision returns the offset of the last accepted change.
func (s *State) Revision() identifier.Revision { return s.view.revision }

// AsOf returns the offset as of which the state is known.
func (s *State) AsOf() identifier.Offset { return s.view.asOf }

// ReadFrom returns the offset to read the stream from.
func (s *State) ReadFrom() identifier.Offset { return s.receivedTo + 1 }

// Ready reports whether the stream was read to its end without a gap.
func (s *State) Ready() bool { return s.caughtUp && s.Fault() == nil }

// Dropped returns what the state has dropped so far.
func (s *State) Dropped() Dropped { return s.dropped }

// Files returns the folder with the tombstones of deleted files.
func (s *State) Files() map[identifier.FileName]FileState { return maps.Clone(s.view.files) }

// History returns the last judged changes, the oldest first.
func (s *State) History() []Change { return slices.Clone(s.view.recent) }

// Fault returns a *GapError while records are missing, a *StateError while the
// log holds a state that this program can't use, and nil otherwise.
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

// ApplyRecords applies one read of the stream and returns the verdicts that it
// brought. Reads may overlap or be repeated, but not leave records out.
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

// noteExpiry looks at the oldest offset that the log keeps. Offsets are shared
// by all streams, so it passes our position also when only other streams'
// records expired. What was appended after a read that reached the end can't
// have expired within the retention, half of which leaves room for a read that
// is absorbed late: then nothing of ours is missing, and the state stands as
// of that offset.
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

// learnRetention notes the age at which the log has dropped a record.
func (s *State) observeRetention(now timekeeper.Time, first identifier.Offset) {
	if s.lastApplied == 0 || first <= s.lastApplied || !s.rules.observeRetention {
		return
	}
	age := now.Sub(s.lastAppended)
	if s.minExpiredAge == 0 || age < s.minExpiredAge {
		s.minExpiredAge = age
	}
}

// retention returns how long the log keeps a record: as the operators say, or
// as was seen where that is less.
func (s *State) retention() timekeeper.Duration {
	configured := s.view.catalog.LogRetention
	if s.minExpiredAge == 0 {
		return configured
	}
	return min(configured, max(s.minExpiredAge, minRetention))
}

// take takes in one record.
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

// apply applies the record that follows the view.
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

// appendedAt returns the log's time of a record. A log that tells none is
// taken to have appended it just now.
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

// hold keeps a record past a gap. A snapshot or restore that covers the gap
// ends it, and what stands after its as-of offset is applied.
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

// adopt goes over to a later view. A view is what all records up to its as-of
// offset say, so a later one never takes back what an earlier one says.
func (s *State) adoptView(v view) []Applied {
	if v.asOf <= s.view.asOf {
		return nil
	}
	s.view = v
	s.snapshotErr = nil
	s.receivedTo = max(s.receivedTo, v.asOf)
	return s.settlePending()
}

// release applies the held records once they follow the view, and drops those
// that the view holds already.
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
