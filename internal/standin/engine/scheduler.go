package engine

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// stepInterval is the time between steps of the batch. maxStep bounds the time
// that a delayed step accounts for.
const (
	stepInterval = 5 * time.Millisecond
	maxStep      = 250 * time.Millisecond
	// idleInterval is the time between steps of an engine without work, which
	// remove ended streams and measure the load.
	idleInterval = 500 * time.Millisecond
)

// schedule runs the batch in steps until ctx ends.
func (e *Engine) schedule(ctx context.Context) {
	timer := time.NewTimer(stepInterval)
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
		wait := idleInterval
		if e.step(min(now.Sub(last), maxStep)) {
			wait = stepInterval
		}
		last = now
		timer.Reset(wait)
	}
}

// step advances the batch by the elapsed time and reports whether work remains.
func (e *Engine) step(elapsed time.Duration) bool {
	faults := e.switches.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.config.Clock.Now()
	if !faults.Freeze {
		e.removeExpired(now)
		e.admit()
		e.advance(elapsed, faults)
		e.admit()
	}
	e.recordLoad(now)
	return len(e.running)+len(e.waiting) > 0
}

// admit moves queued streams into free slots, by priority and then by arrival. It
// stops at a stream whose context does not fit into the KV cache.
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
		s.reservedTokens = need
		s.state = stateRunning
		s.wasStarted = true
		s.prefillRemaining = float64(e.prefillTokens(s))
		s.prefilledTokens = identifier.Tokens(s.prefillRemaining)
		e.running = append(e.running, s)
		e.ledger.recordStart(s)
		s.notifyReaders()
	}
}

// prefillTokens returns the number of context tokens to process before the
// stream's next token: those that are not cached, but at least one, because the
// next token is computed from the last.
func (e *Engine) prefillTokens(s *stream) identifier.Tokens {
	cached := e.cache.cachedBlocks(s.request.Prefix) * blockTokens
	if kv, ok := e.findImport(s); ok {
		cached = max(cached, kv.Context)
	}
	return max(1, s.contextTokens()-min(cached, s.contextTokens()))
}

// advance performs the work of the elapsed time. Streams share the prefill rate in
// turn; all other streams decode concurrently.
func (e *Engine) advance(elapsed time.Duration, f Faults) {
	slow := max(1, f.SlowFactor)
	seconds := elapsed.Seconds() / slow
	prefill := e.config.PrefillPerSecond * seconds
	load := float64(len(e.running)-1) / float64(max(1, e.config.Slots-1))
	decode := e.config.TokensPerSecond * seconds * (1 - e.config.BatchSlowdown*load)
	for _, s := range slices.Clone(e.running) {
		if s.prefillRemaining > 0 {
			processed := min(prefill, s.prefillRemaining)
			prefill -= processed
			s.prefillRemaining -= processed
			if s.prefillRemaining > 0 {
				continue
			}
			e.cache.add(s.request.Prefix, e.config.Clock.Now())
			s.tokenCredit = 1
		} else {
			s.tokenCredit += decode
		}
		e.decode(s)
	}
}

func (e *Engine) decode(s *stream) {
	n := int(s.tokenCredit)
	if n == 0 {
		return
	}
	s.tokenCredit -= float64(n)
	generated, complete := s.generate(n)
	e.ledger.recordGenerated(s, generated)
	if complete {
		e.finish(s, stateEnded)
		return
	}
	s.notifyReaders()
}

// finish removes a stream from the batch or the queue.
func (e *Engine) finish(s *stream, end state) {
	if s.ended() {
		return
	}
	same := func(other *stream) bool { return other == s }
	e.running = slices.DeleteFunc(e.running, same)
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.kvUsed -= s.reservedTokens
	s.reservedTokens = 0
	s.state = end
	s.endedAt = e.config.Clock.Now()
	e.ledger.recordEnd(s)
	s.notifyReaders()
}

// removeExpired ends streams whose deadline or OrphanTimeout has passed, and
// deletes ended streams and imports after Retention.
func (e *Engine) removeExpired(now timekeeper.Time) {
	for name, s := range e.streams {
		switch {
		case s.ended():
			if now.Sub(s.endedAt) > e.config.Retention {
				delete(e.streams, name)
			}
		case now.After(s.deadline):
			e.finish(s, stateExpired)
		case s.readers == 0 && now.Sub(s.lastReaderLeftAt) > e.config.OrphanTimeout:
			e.finish(s, stateOrphaned)
		}
	}
	for name, kv := range e.imports {
		if now.Sub(kv.importedAt) > e.config.Retention {
			delete(e.imports, name)
		}
	}
}
