package configurer

// rules has one switch for each safeguard, so that a test can turn one off and
// show that its check objects. Product code has all of them on.
type rules struct {
	// compareRevision rejects a change whose operator had not seen the last
	// change of the file. Without it the second of two racing operators undoes
	// the first one's accepted change unseen. Log order is the same for all,
	// so comparing revisions lets exactly one of the two through.
	compareRevision bool
	// checkMerged rejects a change with which the merged folder has faults.
	// Without it nodes are in force with a folder that routes to nowhere.
	checkMerged bool
	// countOnce passes over a second record with the nonce of a judged one.
	// An append whose answer was lost is appended again; without the rule the
	// second copy of a change that was rejected, and reported so, could come
	// into force later. The nonces are part of the agreed state, snapshots
	// included, so all nodes pass over the same records.
	countOnce bool
	// keepTombstones keeps the revision of a deleted file. Without it a change
	// from before the file's creation looks fresh after the deletion and
	// brings the file back.
	keepTombstones bool
	// ignoreSeenSnapshots keeps a node that has read past a snapshot's as-of
	// offset from taking its contents. Without it a snapshot that was appended
	// late reverts the changes between its as-of offset and its position.
	ignoreSeenSnapshots bool
	// replayFromAsOf applies what stands after a snapshot's as-of offset.
	// Going on after its position would skip the changes in between, and a
	// node that started late would differ from the others for good.
	replayFromAsOf bool
	// detectGap stops judging when records may have expired unread. Without it
	// a node that was paused for longer than the retention judges changes by
	// an old state and tells operators other verdicts than its peers.
	detectGap bool
	// learnRetention notices that the log drops records earlier than the folder
	// says. Without it a folder that names too long a retention lets a paused
	// node take lost records for records that never were. The record that
	// dates the pause has expired too, so its age bounds the true retention.
	observeRetention bool
	// importOnlyNewer refuses a peer's state that is not newer. Without it a
	// peer that lags takes a node below a revision that it has applied.
	importOnlyNewer bool
	// appendSnapshots appends the state again before the retention passes.
	// Without it the configuration of a fleet that is replaced VM by VM is
	// gone once its records have expired.
	appendSnapshots bool
}

func allRules() rules {
	return rules{
		compareRevision:     true,
		checkMerged:         true,
		countOnce:           true,
		keepTombstones:      true,
		ignoreSeenSnapshots: true,
		replayFromAsOf:      true,
		detectGap:           true,
		observeRetention:    true,
		importOnlyNewer:     true,
		appendSnapshots:     true,
	}
}
