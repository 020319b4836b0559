package conductor

// Safeguards holds one switch for each safeguard. All are on in every
// process; a test turns one off to show that its checker objects. Each field
// names what callers or servers see without it.
type Safeguards struct {
	// DropStale drops events of attempts that are not the current one. Without
	// it the late end of an earlier attempt ends the request, and the caller
	// takes half an answer for the whole.
	DropStale bool
	// ClaimFirst claims a non-idempotent key before the first byte leaves.
	// Without it a key that a caller sends to two nodes runs twice.
	ClaimFirst bool
	// HoldFirst accepts a long request only once a peer holds its copy.
	// Without it the node's death loses an accepted request.
	HoldFirst bool
	// RepeatOnlySafe never repeats what may have run and is not idempotent.
	// Without it a broken connection makes a booking run twice.
	RepeatOnlySafe bool
	// AvoidLeaving gives no new work to a server that is leaving. Without it
	// requests begin there after the notice, and the reclaim cuts them.
	AvoidLeaving bool
	// AdoptCopies takes over the requests of a dead owner. Without it their
	// callers find nobody who knows them.
	AdoptCopies bool
	// HandOver gives requests in flight away when this node leaves. Without it
	// its end cuts them.
	HandOver bool
	// YieldToHolder stops serving a request that its holder has adopted.
	// Without it an owner that was frozen goes on with the answer, which no
	// holder takes: its caller waits for tokens that are never released.
	YieldToHolder bool
	// StallAlone keeps an answer back that a node with a copy may adopt.
	// Without it an owner that is cut off gives its caller tokens that the
	// adopter does not have, and may not make again.
	StallAlone bool
	// LaterOwner lets the owner with the larger epoch go on, of two. Without
	// it both may yield, and the answer is lost.
	LaterOwner bool
	// TruthfulNotRun says not_run only where nothing can have run. Without it
	// a caller repeats under a new key what has run already.
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
