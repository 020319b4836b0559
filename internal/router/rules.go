package router

// Rules switches the rules of the choice on and off, so that a measurement
// can tell what each is worth. Leaving servers are never chosen; no switch
// changes that.
type Rules struct {
	// OwnInFlight counts this node's own requests on the server.
	OwnInFlight bool
	// Prefix skips the prefill of tokens that the server has cached, among the
	// servers with the fewest of this node's requests.
	Prefix bool
	// Slowdown lets the pace fall with the size of the batch.
	Slowdown bool
	// Avoid keeps to servers and zones that the job does not avoid.
	Avoid bool
	// Suspicion keeps to servers that are not suspect.
	Suspicion bool
	// Completion weighs the time to completion by priority.
	Completion bool
	// Target adds a cost to servers that would miss the account's target.
	Target bool
	// ZoneHop adds the time to another availability zone.
	ZoneHop bool
	// ReclaimRisk adds the expected loss of work on a reclaimable VM.
	ReclaimRisk bool
	// Spread begins the comparison at a random server, which wins ties.
	Spread bool
}

// AllRules returns the rules with each one on.
func AllRules() Rules {
	return Rules{
		OwnInFlight: true,
		Prefix:      true,
		Slowdown:    true,
		Avoid:       true,
		Suspicion:   true,
		Completion:  true,
		Target:      true,
		ZoneHop:     true,
		ReclaimRisk: true,
		Spread:      true,
	}
}
