package configurer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	fileA = identifier.FileName("10-a.ini")
	fileB = identifier.FileName("20-b.ini")
)

// Each scenario must hold with all rules and fail with its own rule disabled, which shows
// that the scenario depends on the rule.
func TestSafeguards(t *testing.T) {
	scenarios := map[string]struct {
		holds func(rules) bool
		off   func(*rules)
	}{
		"race of two operators": {
			holds: concurrentChangesHold,
			off:   func(r *rules) { r.compareRevision = false },
		},
		"merged folder with faults": {
			holds: mergedHolds,
			off:   func(r *rules) { r.checkMerged = false },
		},
		"lost answer and second append": {
			holds: lostResponseHolds,
			off:   func(r *rules) { r.countOnce = false },
		},
		"deleted file": {
			holds: tombstoneHolds,
			off:   func(r *rules) { r.keepTombstones = false },
		},
		"late snapshot": {
			holds: lateSnapshotHolds,
			off:   func(r *rules) { r.ignoreSeenSnapshots = false },
		},
		"late snapshot and new node": {
			holds: lateSnapshotNewNodeHolds,
			off:   func(r *rules) { r.replayFromAsOf = false },
		},
		"pause past the retention": {
			holds: pauseHolds,
			off:   func(r *rules) { r.detectGap = false },
		},
		"folder names too long a retention": {
			holds: wrongRetentionHolds,
			off:   func(r *rules) { r.observeRetention = false },
		},
		"older peer": {
			holds: olderPeerHolds,
			off:   func(r *rules) { r.importOnlyNewer = false },
		},
		"fleet replaced for days": {
			holds: func(r rules) bool { return replacedFleetHolds(r, testRetention/10*3) },
			off:   func(r *rules) { r.appendSnapshots = false },
		},
		"fleet replaced for days, each node soon": {
			holds: func(r rules) bool { return replacedFleetHolds(r, testRetention/10) },
			off:   func(r *rules) { r.appendSnapshots = false },
		},
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			require.True(t, scenario.holds(allRules()))
			weakened := allRules()
			scenario.off(&weakened)
			require.False(t, scenario.holds(weakened))
		})
	}
}

// Two operators concurrently change a file on two nodes, both based on revision 0. The
// first change in log order is accepted and the second is rejected with one fault.
func concurrentChangesHold(r rules) bool {
	l := newTestLog()
	one, two := l.ready(r), l.ready(r)
	first, firstNonce := l.propose(one, proposalOf(one, fileA, zoneFile("x")))
	second, secondNonce := l.propose(two, proposalOf(two, fileA, zoneFile("y")))
	l.append(second)
	l.append(first)
	winner, loser := verdictOf(l.read(two), secondNonce), verdictOf(l.read(one), firstNonce)
	return winner.Accepted && !loser.Accepted && len(loser.Faults) == 1 && fileContent(one, fileA) == zoneFile("y")
}

// An operator deletes the zone that a price refers to. The change is rejected because
// the merged folder would be invalid.
func mergedHolds(r rules) bool {
	l := newTestLog()
	s := l.ready(r)
	l.write(s, fileA, zoneFile("x"))
	l.write(s, fileB, "[vm_class c]\n[price c x]\nreclaimable = 1\n")
	verdict := l.write(s, fileA, "")
	return !verdict.Accepted && len(verdict.Faults) == 1 && fileContent(s, fileA) != ""
}

// The response to an append is lost and the record is appended again. The first copy was
// rejected because it refers to a missing zone, which is created before the second copy.
// The second copy must not be accepted.
func lostResponseHolds(r rules) bool {
	l := newTestLog()
	s := l.ready(r)
	data, nonce := l.propose(s, proposalOf(s, fileB, "[vm_class c]\n[price c x]\nreclaimable = 1\n"))
	l.append(data)
	rejected := verdictOf(l.read(s), nonce)
	l.write(s, fileA, zoneFile("x"))
	l.append(data)
	again := l.read(s)
	return !rejected.Accepted && len(again) == 0 && fileContent(s, fileB) == "" && len(s.History()) == 2
}

// The creation of a file is appended late, after another operator has created and deleted
// the file. It is rejected as older than the tombstone's revision.
func tombstoneHolds(r rules) bool {
	l := newTestLog()
	s, slow := l.ready(r), l.ready(r)
	stale, _ := l.propose(slow, proposalOf(slow, fileA, zoneFile("old")))
	l.write(s, fileA, zoneFile("x"))
	l.write(s, fileA, "")
	l.append(stale)
	l.read(s)
	return fileContent(s, fileA) == ""
}

// A snapshot is appended late, after a change that it does not include. Nodes that have
// applied the change keep it.
func lateSnapshotHolds(r rules) bool {
	l := newTestLog()
	s := l.ready(r)
	l.write(s, fileA, zoneFile("x"))
	snapshot := encode(record{Snapshot: s.view.snapshot()})
	accepted := l.write(s, fileA, zoneFile("y"))
	l.append(snapshot)
	l.read(s)
	return accepted.Accepted && fileContent(s, fileA) == zoneFile("y") && s.Revision() == accepted.Revision
}

// A new node finds only a snapshot that was appended late. It must also apply the change
// between the snapshot's as-of offset and the snapshot's own offset.
func lateSnapshotNewNodeHolds(r rules) bool {
	l := newTestLog()
	s := l.ready(r)
	l.write(s, fileA, zoneFile("x"))
	asOf := s.AsOf()
	snapshot := encode(record{Snapshot: s.view.snapshot()})
	l.write(s, fileA, zoneFile("y"))
	l.append(snapshot)
	l.read(s)
	l.expire(asOf + 1)
	late := l.ready(r)
	return late.Fault() == nil && equalState(late, s)
}

// A node is paused for longer than the retention and misses a change that has expired. It
// must not judge further changes, and must report a fault, until a snapshot closes the gap.
func pauseHolds(r rules) bool {
	l := newTestLog()
	s, paused := l.ready(r), l.ready(r)
	l.write(s, fileA, zoneFile("x"))
	for range 4 {
		l.advance(testRetention / 4)
		l.read(s)
	}
	l.write(s, fileB, zoneFile("y"))
	l.read(paused)
	faulty := paused.Fault() != nil && len(paused.History()) == 0
	l.append(encode(record{Snapshot: s.view.snapshot()}))
	l.read(s)
	l.read(paused)
	return faulty && paused.Fault() == nil && equalState(paused, s)
}

// The folder states a retention of a day, but the log retains records for an hour. A node
// that is paused for two hours misses a change that has expired, and must detect the gap.
func wrongRetentionHolds(r rules) bool {
	l := newTestLog()
	s, paused := l.ready(r), l.ready(r)
	l.write(s, fileA, "[log]\nretention = 24h\n")
	l.read(paused)
	l.write(s, fileB, zoneFile("x"))
	for range 120 {
		l.advance(2 * testRetention / 120)
		l.read(s)
		if data, due := s.SnapshotDue(l.now, l.rng); due {
			l.append(data)
		}
	}
	l.read(paused)
	return s.Fault() == nil && paused.Fault() == nil && equalState(s, paused)
}

// A node that imports the state of a lagging peer must not revert a revision that it has
// applied.
func olderPeerHolds(r rules) bool {
	l := newTestLog()
	s := l.ready(r)
	l.write(s, fileA, zoneFile("x"))
	lagging := l.ready(r).Export()
	l.write(s, fileA, zoneFile("y"))
	_, err := s.Import(l.now, lagging)
	return err != nil && fileContent(s, fileA) == zoneFile("y")
}

// Over twenty retentions, each node of a fleet of three is replaced after a lifetime that
// is a fraction of the retention, and the snapshots of one node always fail. The only
// change must remain in force on new nodes.
func replacedFleetHolds(r rules, lifetime timekeeper.Duration) bool {
	l := newTestLog()
	l.write(l.ready(r), fileA, zoneFile("x"))
	fleet := []*State{l.ready(r), l.ready(r), l.ready(r)}
	snapshots := 0
	rounds := int(20 * testRetention / lifetime * 3)
	for round := range rounds {
		fleet[round%len(fleet)] = l.ready(r)
		for range 10 {
			for i, s := range fleet {
				l.read(s)
				if data, due := s.SnapshotDue(l.now, l.rng); due && i > 0 {
					l.append(data)
					snapshots++
				}
			}
			l.advance(lifetime / 30)
		}
	}
	s := l.ready(r)
	return s.Ready() && fileContent(s, fileA) == zoneFile("x") && snapshots < 200
}

// A node that starts while the log is unavailable imports the state of a peer and
// continues from there when the log is available. No change is judged twice.
func TestNewNodeDuringOutage(t *testing.T) {
	l := newTestLog()
	s := l.ready(allRules())
	l.write(s, fileA, zoneFile("x"))
	fresh := l.node(allRules())
	_, err := fresh.Import(l.now, s.Export())
	require.NoError(t, err)
	require.Equal(t, s.Catalog(), fresh.Catalog())
	require.False(t, fresh.Ready())
	l.write(s, fileB, zoneFile("y"))
	require.Len(t, l.read(fresh), 1)
	require.True(t, equalState(fresh, s))
	require.True(t, fresh.Ready())
}

// A change that is not read back within the timeout has an unknown verdict. Its record may
// still be appended, and then comes into force and into the history.
func TestUnknownVerdict(t *testing.T) {
	l := newTestLog()
	s := l.ready(allRules())
	data, nonce := l.propose(s, proposalOf(s, fileA, zoneFile("x")))
	again, waiting := s.PendingRecord(nonce)
	require.True(t, waiting)
	require.Equal(t, data, again)
	require.Empty(t, s.Timeouts(l.now))
	late := s.Timeouts(l.now.Add(DefaultVerdictTimeout))
	require.Len(t, late, 1)
	require.True(t, late[0].Verdict.Unknown)
	require.Equal(t, identifier.Ticket(7), late[0].Ticket)
	l.append(data)
	applied := l.read(s)
	require.True(t, applied[0].Verdict.Accepted)
	require.Zero(t, applied[0].Ticket)
	require.True(t, s.History()[0].Accepted)
}

// A node proposes a change and is paused past the retention. The accepted change has
// expired, but a snapshot contains its nonce, so the operator gets the correct verdict.
func TestVerdictFromSnapshot(t *testing.T) {
	l := newTestLog()
	s, paused := l.ready(allRules()), l.ready(allRules())
	data, nonce := l.propose(paused, proposalOf(paused, fileA, zoneFile("x")))
	at := l.append(data)
	l.read(s)
	l.advance(testRetention)
	l.append(encode(record{Snapshot: s.view.snapshot()}))
	verdict := verdictOf(l.read(paused), nonce)
	require.True(t, verdict.Accepted)
	require.Equal(t, at, verdict.Revision)
}

// A whole fleet was stopped for longer than the retention, and the folder has expired. New
// nodes report a gap, and an operator restores the folder from a local copy.
func TestRestore(t *testing.T) {
	l := newTestLog()
	l.write(l.ready(allRules()), fileA, zoneFile("x"))
	l.advance(2 * testRetention)
	one, two := l.ready(allRules()), l.ready(allRules())
	var gap *GapError
	_, err := one.Propose(l.now, proposalOf(one, fileA, zoneFile("x")), l.nonce())
	require.ErrorAs(t, err, &gap)
	folder := map[identifier.FileName][]byte{fileB: []byte(zoneFile("y"))}
	data, err := one.ProposeRestore(l.now, folder, 9, l.nonce())
	require.NoError(t, err)
	l.append(data)
	applied := l.read(one)
	require.Equal(t, identifier.Ticket(9), applied[0].Ticket)
	require.True(t, applied[0].Verdict.Accepted)
	l.read(two)
	require.True(t, equalState(one, two))
	require.True(t, l.write(two, fileA, zoneFile("z")).Accepted)
	_, err = two.ProposeRestore(l.now, folder, 9, l.nonce())
	var whole *NoGapError
	require.ErrorAs(t, err, &whole)
}

// Invalid proposals are rejected before they are appended, and malformed records are
// skipped.
func TestInvalidInput(t *testing.T) {
	l := newTestLog()
	s := l.ready(allRules())
	var bad *ProposalError
	_, err := s.Propose(l.now, messenger.ChangeProposed{File: "../x"}, l.nonce())
	require.ErrorAs(t, err, &bad)
	for _, data := range []string{"", "{}", `{"change":{}}`, `{"snapshot":{"as_of":99}}`, `[`} {
		l.append([]byte(data))
	}
	require.Empty(t, l.read(s))
	require.Equal(t, 5, s.Dropped().Malformed)
	_, err = s.Import(l.now, []byte("{}"))
	var malformed *RecordError
	require.ErrorAs(t, err, &malformed)
	for range maxPending {
		l.propose(s, proposalOf(s, fileA, zoneFile("x")))
	}
	var busy *TooManyPendingError
	_, err = s.Propose(l.now, proposalOf(s, fileA, zoneFile("x")), l.nonce())
	require.ErrorAs(t, err, &busy)
}

// The history, the tombstones and the held records after a gap are bounded.
func TestBounds(t *testing.T) {
	l := newTestLog()
	s := l.ready(allRules())
	for range maxTombstones + 10 {
		file := identifier.FileName(l.nonce()) + ".ini"
		l.write(s, file, zoneFile("x"))
		l.write(s, file, "")
	}
	require.Len(t, s.History(), maxRecent)
	require.Len(t, s.Files(), maxTombstones)
	l.advance(2 * testRetention)
	gapped := l.ready(allRules())
	for range 100 {
		l.append(make([]byte, 64<<10))
	}
	l.read(gapped)
	require.LessOrEqual(t, gapped.heldBytes, maxHeldBytes)
	require.Positive(t, gapped.Dropped().Held)
}

// Timers are jittered, so that few nodes append a snapshot at the same time. Reading a
// snapshot resets the timers of all nodes.
func TestSnapshotTimers(t *testing.T) {
	l := newTestLog()
	l.write(l.ready(allRules()), fileA, zoneFile("x"))
	fleet := make([]*State, 50)
	for i := range fleet {
		fleet[i] = l.ready(allRules())
	}
	var appended []timekeeper.Time
	for range 3600 {
		l.advance(timekeeper.Second)
		for _, s := range fleet {
			l.read(s)
			if data, due := s.SnapshotDue(l.now, l.rng); due {
				l.append(data)
				appended = append(appended, l.now)
			}
		}
	}
	require.GreaterOrEqual(t, len(appended), 2)
	require.LessOrEqual(t, len(appended), 4)
}
