package leaser

import (
	"sync"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// callsPerOffset is the number of call numbers between two consecutive offsets of the
// log. Renewals advance the offset, and a tenure makes far fewer calls between two of
// them, so the next tenure's fence exceeds all of its call numbers.
const callsPerOffset = 1 << 10

// CallSequence numbers the calls that a process makes under its fences in increasing
// order. A server that checks fences can thus reject a call that arrives after a newer
// one, even within one tenure: a late order could otherwise undo a newer one.
//
// It is safe for concurrent use. The zero value is ready to use.
type CallSequence struct {
	mu    sync.Mutex
	fence identifier.Fence
	calls uint64
}

// Next returns the number of the next call under a fence, or false if a later fence was
// used.
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
