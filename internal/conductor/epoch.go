package conductor

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// takeoverStep is how much larger the epoch of a new owner is.
	takeoverStep = 1
	// renewalStep is how much the owner's epoch grows when it leaves a holder
	// or successor behind that may go on with the request. It is larger than
	// takeoverStep, so that the owner still comes after that node.
	renewalStep = 2
)

// ownerStride separates the attempt numbers of successive owners. A former
// owner that was taken for dead may still start attempts; the stride keeps
// its numbers, and so its stream names, apart from the new owner's.
const ownerStride = 100

// takenWith gives r to this node with an epoch.
func (r *request) takenWith(e identifier.Epoch, last identifier.AttemptNumber) {
	r.epoch = e
	r.attempt = max(last, identifier.AttemptNumber(e)*ownerStride)
}
