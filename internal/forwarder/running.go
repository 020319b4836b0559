package forwarder

import "sync"

// runningAttempts are the attempts in flight. The zero value holds none.
type runningAttempts struct {
	mu     sync.Mutex
	timers map[*attemptTimer]struct{}
	ended  bool
}

// add adds an attempt, which ends at once if all have been ended.
func (r *runningAttempts) add(t *attemptTimer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		t.expire()
		return
	}
	if r.timers == nil {
		r.timers = map[*attemptTimer]struct{}{}
	}
	r.timers[t] = struct{}{}
}

func (r *runningAttempts) remove(t *attemptTimer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.timers, t)
}

// endAll ends all attempts, also later ones.
func (r *runningAttempts) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for t := range r.timers {
		t.expire()
	}
}
