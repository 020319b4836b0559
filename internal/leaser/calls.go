package leaser

import (
	"sync"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// callsPerOffset is how many calls have numbers between two fences that follow one
// another. A tenure is renewed in the log each second or so, and makes far fewer calls
// meanwhile, so that the fence of the next one is beyond all of its numbers.
const callsPerOffset = 1 << 10

// CallSequence numbers the calls that one process makes under its fences, each above the one
// before. Who checks fences then refuses a call that is carried out late, after a newer
// one, also where both are of one tenure: an order whose answer was lost came into force
// twelve seconds later and gave up half of the servers that a newer one had brought.
//
// It is safe for concurrent use. The zero value has numbered none.
type CallSequence struct {
	mu    sync.Mutex
	fence identifier.Fence
	calls uint64
}

// Next returns the number of the next call under a fence. It is false where a later fence
// was used.
func (c *CallSequence) Next(fence identifier.Fence) (identifier.Fence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.fence {
		return 0, false
	}
	if fence > c.fence {
		c.fence = fence
		c.calls = 0
	}
	c.calls++
	return fence*callsPerOffset + identifier.Fence(c.calls), true
}
