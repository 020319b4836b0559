package router

// Rules switches the rules of the choice on and off, so that a measurement
// can tell what each is worth. Leaving servers are never chosen; no switch
// changes that.
type Rules struct {
	// OwnInFlight counts this node's own requests on the server, which no
	// report shows yet.
	OwnInFlight bool
	// Reports counts the load that servers report.
	Reports bool
	// AgeReports trusts a report less the older it is.
	AgeReports bool
	// Prefix skips the prefill of tokens that the server has cached.
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
	// Price adds the VM's price, for batch work above all.
	Price bool
	// Spread compares two servers drawn at random and the favourite, not all.
	Spread bool
}

// AllRules returns the rules with each one on.
func AllRules() Rules {
	return Rules{
		OwnInFlight: true,
		Reports:     true,
		AgeReports:  true,
		Prefix:      true,
		Slowdown:    true,
		Avoid:       true,
		Suspicion:   true,
		Completion:  true,
		Target:      true,
		ZoneHop:     true,
		ReclaimRisk: true,
		Price:       true,
		Spread:      true,
	}
}
