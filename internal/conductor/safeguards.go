package conductor

// Safeguards holds one switch for each safeguard. All are on in every
// process; a test turns one off to show that its checker objects.
type Safeguards struct {
	// DropStale drops events of attempts that are not the current one.
	DropStale bool
	// ClaimFirst claims a non-idempotent key before the first byte leaves.
	ClaimFirst bool
	// HoldFirst accepts a long request only once a peer holds its copy.
	HoldFirst bool
	// RepeatOnlySafe never repeats what may have run and is not idempotent.
	RepeatOnlySafe bool
	// AvoidLeaving gives no new work to a server that is leaving.
	AvoidLeaving bool
	// AdoptCopies takes over the requests of a dead owner.
	AdoptCopies bool
	// HandOver gives requests in flight away when this node leaves.
	HandOver bool
	// YieldToHolder stops serving a request that its holder has adopted.
	YieldToHolder bool
	// StallAlone keeps an answer back that a node with a copy may adopt.
	StallAlone bool
	// LaterOwner lets the owner with the larger epoch go on, of two.
	LaterOwner bool
	// TruthfulNotRun says not_run only where nothing can have run.
	TruthfulNotRun bool
}

// AllSafeguards returns the switches as every process has them.
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
