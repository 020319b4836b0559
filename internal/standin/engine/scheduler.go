package engine

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// stepEvery is the time of one step of the batch. maxStep bounds what one
// late step may catch up.
const (
	stepEvery = 5 * time.Millisecond
	maxStep   = 250 * time.Millisecond
	// idleEvery is how often an engine without work looks after ended streams
	// and its load report.
	idleEvery = 500 * time.Millisecond
)

// schedule runs the batch step by step until ctx ends.
func (e *Engine) schedule(ctx context.Context) {
	timer := time.NewTimer(stepEvery)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-timer.C:
		}
		now := time.Now()
		pause := idleEvery
		if e.step(min(now.Sub(last), maxStep)) {
			pause = stepEvery
		}
		last = now
		timer.Reset(pause)
	}
}

// step advances the batch by the elapsed time and tells whether there is
// work left.
func (e *Engine) step(elapsed time.Duration) bool {
	faults := e.switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	if !faults.Freeze {
		e.expire(now)
		e.admit()
		e.advance(elapsed, faults)
		e.admit()
	}
	e.observe(now)
	return len(e.running)+len(e.waiting) > 0
}

// admit moves waiting streams into free slots, by priority and then arrival.
func (e *Engine) admit() {
	sort.SliceStable(e.waiting, func(i, j int) bool {
		return e.waiting[i].request.Priority > e.waiting[j].request.Priority
	})
	for len(e.waiting) > 0 && len(e.running) < e.config.Slots {
		s := e.waiting[0]
		need := s.request.PromptTokens + s.request.MaxTokens
		if e.kvUsed+need > e.config.KVTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvUsed += need
		s.reserved = need
		s.state = stateRunning
		s.ran = true
		s.prefillLeft = float64(e.prefillOf(s))
		s.prefilled = identifier.Tokens(s.prefillLeft)
		e.running = append(e.running, s)
		e.ledger.started(s)
		s.notify()
	}
}

// prefillOf is how many tokens of context the engine has to read before the
// stream's next token: all but what its caches hold. At least one is read,
// because the next token follows from reading the last.
func (e *Engine) prefillOf(s *stream) identifier.Tokens {
	held := e.cache.hit(s.request.Prefix) * blockTokens
	if kv, ok := e.importFor(s); ok {
		held = max(held, kv.Context)
	}
	return max(1, s.context()-min(held, s.context()))
}

// advance spends the elapsed time: prefill goes to one stream after the
// other, decoding to all others at once.
func (e *Engine) advance(elapsed time.Duration, f Faults) {
	slow := max(1, f.SlowFactor)
	seconds := elapsed.Seconds() / slow
	prefill := e.config.PrefillPerSecond * seconds
	load := float64(len(e.running)-1) / float64(max(1, e.config.Slots-1))
	decode := e.config.TokensPerSecond * seconds * (1 - e.config.BatchSlowdown*load)
	for _, s := range slices.Clone(e.running) {
		if s.prefillLeft > 0 {
			spent := min(prefill, s.prefillLeft)
			prefill -= spent
			s.prefillLeft -= spent
			if s.prefillLeft > 0 {
				continue
			}
			e.cache.add(s.request.Prefix, e.config.Clock.Now())
			s.credit = 1
		} else {
			s.credit += decode
		}
		e.decode(s)
	}
}

func (e *Engine) decode(s *stream) {
	n := int(s.credit)
	if n == 0 {
		return
	}
	s.credit -= float64(n)
	emitted, whole := s.emit(n)
	e.ledger.generated(s, emitted)
	if whole {
		e.finish(s, stateEnded)
		return
	}
	s.notify()
}

// finish takes a stream out of the batch or the queue.
func (e *Engine) finish(s *stream, end state) {
	if s.over() {
		return
	}
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.kvUsed -= s.reserved
	s.reserved = 0
	s.state = end
	s.endedAt = e.config.Clock.Now()
	e.ledger.ended(s)
	s.notify()
}

// expire ends the streams whose deadline has passed or whom nobody has read
// for long, and forgets the ended ones.
func (e *Engine) expire(now timekeeper.Time) {
	for name, s := range e.streams {
		switch {
		case s.over():
			if now.Sub(s.endedAt) > e.config.Retention {
				delete(e.streams, name)
			}
		case now.After(s.deadline):
			e.finish(s, stateExpired)
		case s.readers == 0 && now.Sub(s.readerLeft) > e.config.OrphanTimeout:
			e.finish(s, stateOrphaned)
		}
	}
	for name, kv := range e.imports {
		if now.Sub(kv.at) > e.config.Retention {
			delete(e.imports, name)
		}
	}
}
