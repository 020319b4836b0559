package configurer

// rules has a switch for each safeguard, so that a test can disable one and
// show that the test then fails. All are enabled in production.
type rules struct {
	// compareRevision rejects a change that is not based on the file's last
	// revision. Without it the second of two concurrent changes silently
	// overwrites the first. All nodes see the same log order, so exactly one of
	// the two is accepted.
	compareRevision bool
	// checkMerged rejects a change after which the merged folder has faults.
	// Without it an invalid folder comes into force.
	checkMerged bool
	// countOnce deduplicates records by nonce. A change is appended again if the
	// response to its append was lost. Without the rule the second copy of a
	// change that was reported as rejected could be accepted later. The nonces
	// are part of the replicated state and of snapshots, so all nodes skip the
	// same records.
	countOnce bool
	// keepTombstones keeps the revision of a deleted file. Without it a change
	// that was proposed before the file was created is accepted after the
	// deletion and creates the file again.
	keepTombstones bool
	// ignoreSeenSnapshots ignores the contents of a snapshot whose as-of offset
	// the node has passed. Without it a snapshot that was appended late reverts
	// the changes between its as-of offset and its own offset.
	ignoreSeenSnapshots bool
	// replayFromAsOf applies the records after a snapshot's as-of offset. If it
	// continued after the snapshot's own offset, a node that starts late would
	// skip the changes in between and diverge permanently.
	replayFromAsOf bool
	// detectGap stops judging if records may have expired unread. Without it a
	// node that was paused for longer than the retention judges changes by a
	// stale state and reports other verdicts than its peers.
	detectGap bool
	// observeRetention detects that the log drops records earlier than the folder
	// states. Without it, if the folder states too long a retention, a node that
	// was paused does not notice that it missed records. The last record that it
	// applied has expired too, so that record's age bounds the true retention.
	observeRetention bool
	// importOnlyNewer rejects a peer's state that is not newer. Without it the
	// state of a lagging peer reverts revisions that the node has applied.
	importOnlyNewer bool
	// appendSnapshots appends the state before the retention passes. Without it
	// the configuration is lost when its records have expired and each VM has
	// been replaced.
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
