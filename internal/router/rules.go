package router

// Rules enables the single rules of the choice, so that the effect of each can be
// measured. Leaving servers are never chosen, whatever the rules.
type Rules struct {
	// OwnInFlight counts this node's own requests on the server.
	OwnInFlight bool
	// Prefix omits the prefill of cached tokens, among the servers with the fewest of
	// this node's requests.
	Prefix bool
	// Slowdown lowers the token rate as the batch grows.
	Slowdown bool
	// Avoid prefers servers and zones that the job does not list to be avoided.
	Avoid bool
	// Suspicion prefers servers that are not suspected.
	Suspicion bool
	// Completion adds the time to completion, weighted by priority.
	Completion bool
	// Target adds a cost for the risk of missing the account's target or the deadline.
	Target bool
	// ZoneHop adds the round trip to another availability zone.
	ZoneHop bool
	// ReclaimRisk adds the expected loss of work on a reclaimable VM.
	ReclaimRisk bool
	// Spread starts the comparison at a random server, which wins ties.
	Spread bool
}

// AllRules returns Rules with every rule enabled.
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
