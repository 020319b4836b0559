package runner

import (
	"sync"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// confirmations holds the handovers from peers that wait until the reducer
// confirms that the request is stored safely. It is safe for concurrent use.
type confirmations struct {
	mu      sync.Mutex
	waiting map[identifier.RequestID]map[chan struct{}]bool
}

func newConfirmations() *confirmations {
	return &confirmations{waiting: make(map[identifier.RequestID]map[chan struct{}]bool)}
}

// await returns a channel that confirm closes, and a function that ends the
// wait.
func (c *confirmations) await(r identifier.RequestID) (safe <-chan struct{}, forget func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	if c.waiting[r] == nil {
		c.waiting[r] = make(map[chan struct{}]bool)
	}
	c.waiting[r][ch] = true
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting[r], ch)
		if len(c.waiting[r]) == 0 {
			delete(c.waiting, r)
		}
	}
}

func (c *confirmations) confirm(r identifier.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ch := range c.waiting[r] {
		close(ch)
	}
	delete(c.waiting, r)
}
