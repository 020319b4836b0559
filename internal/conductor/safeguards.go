package conductor

// Safeguards has a switch for each safeguard. All are on in production; tests
// turn one off to verify that their checks detect its absence. Each field
// describes what callers or servers observe without it.
type Safeguards struct {
	// DropStale ignores events of attempts other than the current one. Without
	// it, the late end of an earlier attempt ends the request, and the caller
	// accepts a truncated answer as complete.
	DropStale bool
	// ClaimFirst claims a non-idempotent key before the request is sent to a
	// server. Without it, a key that a caller sends to two nodes runs twice.
	ClaimFirst bool
	// HoldFirst accepts a long request only after a peer holds its copy.
	// Without it, the death of the node loses an accepted request.
	HoldFirst bool
	// RepeatOnlySafe never repeats a request that may have run and is not
	// idempotent. Without it, a broken connection makes the request run twice.
	RepeatOnlySafe bool
	// AvoidLeaving sends no new work to a server that is leaving. Without it,
	// requests start there after the notice and are cut off by the reclaim.
	AvoidLeaving bool
	// AdoptCopies takes over the requests of a dead owner. Without it, no node
	// can serve their callers.
	AdoptCopies bool
	// HandOver hands over requests in flight when this node leaves. Without it,
	// they are cut off when the node ends.
	HandOver bool
	// YieldToHolder stops serving a request that its holder has adopted.
	// Without it, an owner that was frozen continues the answer, but no holder
	// accepts its copies, and its caller waits for tokens that are never
	// released.
	YieldToHolder bool
	// StallAlone withholds the answer while a node with a copy may adopt the
	// request. Without it, an owner that is partitioned sends its caller tokens
	// that the adopter does not have and may not generate again.
	StallAlone bool
	// LaterOwner lets the owner with the larger epoch continue if there are
	// two. Without it, both may yield, and the answer is lost.
	LaterOwner bool
	// TruthfulNotRun reports not_run only if nothing can have run. Without it,
	// a caller repeats under a new key a request that has already run.
	TruthfulNotRun bool
}

// AllSafeguards returns Safeguards with all switches on.
func AllSafeguards() Safeguards {
	return Safeguards{
		DropStale:      true,
		ClaimFirst:     true,
		HoldFirst:      true,
		RepeatOnlySafe: true,
		AvoidLeaving:   true,
		AdoptCopies:    true,
		HandOver:       true,
		YieldToHolder:  true,
		StallAlone:     true,
		LaterOwner:     true,
		TruthfulNotRun: true,
	}
}
