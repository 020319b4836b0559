package conductor

import "github.com/dotterelhollow/dotterelhollow/pkg/identifier"

// Epochs order the nodes that take themselves for the owner of a request. One
// that was frozen or cut off does not know that it was taken for dead: both
// would go on, and the caller read two answers joined. Of two the one with the
// larger epoch goes on and the other redirects its callers; without an order
// both could yield, and the answer would be lost.
const (
	// takeoverStep is how much larger the epoch of a new owner is.
	takeoverEpochIncrement = 1
	// renewalStep is how much the owner's epoch grows when it leaves a holder
	// or successor behind that may go on with the request. It is larger than
	// takeoverStep, so that the owner still comes after that node.
	renewalEpochIncrement = 2
)

// ownerStride separates the attempt numbers of successive owners. A former
// owner that was taken for dead may still start attempts; the stride keeps
// its numbers, and so its stream names, apart from the new owner's.
const attemptNumberStride = 100

// becomeOwner makes this node the owner of r with epoch e, after attempt last of
// the former owner.
func (r *request) becomeOwner(e identifier.Epoch, last identifier.AttemptNumber) {
	r.epoch = e
	r.attempt = max(last, identifier.AttemptNumber(e)*attemptNumberStride)
}
