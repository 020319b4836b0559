package conductor

import "github.com/dotterelhollow/dotterelhollow/pkg/identifier"

// Epochs order the nodes that consider themselves the owner of a request. A
// node that was frozen or partitioned does not know that it was declared dead:
// both nodes would continue, and the caller would receive two answers spliced
// together. The node with the larger epoch continues and the other redirects
// its callers; without an order both could yield, and the answer would be lost.
const (
	// takeoverEpochIncrement is added to the epoch when a node takes over a
	// request.
	takeoverEpochIncrement = 1
	// renewalEpochIncrement is added to the owner's epoch when it abandons a
	// holder or successor that may continue the request. It is larger than
	// takeoverEpochIncrement, so that the owner takes precedence over that
	// node.
	renewalEpochIncrement = 2
)

// attemptNumberStride separates the attempt numbers of successive owners. A
// former owner that was declared dead may still start attempts; the stride
// keeps its attempt numbers, and so its stream names, distinct from the new
// owner's.
const attemptNumberStride = 100

// becomeOwner makes this node the owner of r with epoch e. The former owner's
// last attempt number is last.
func (r *request) becomeOwner(e identifier.Epoch, last identifier.AttemptNumber) {
	r.epoch = e
	r.attempt = max(last, identifier.AttemptNumber(e)*attemptNumberStride)
}
