package answerer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Usage counts the bytes that the answers of a store keep.
type Usage struct{ bytes atomic.Int64 }

// Bytes returns the count.
func (u *Usage) Bytes() identifier.Bytes { return identifier.Bytes(u.bytes.Load()) }

func (u *Usage) add(n identifier.Bytes) {
	if u != nil {
		u.bytes.Add(int64(n))
	}
}

// Store keeps answers by request. It is safe for concurrent use.
type Store struct {
	limit identifier.Bytes
	grace timekeeper.Duration
	usage Usage

	mu      sync.Mutex
	answers map[identifier.RequestID]*storedAnswer
}

// kept is an answer in a store; endedAt is zero until a sweep saw its end.
type storedAnswer struct {
	answer  *Answer
	endedAt timekeeper.Time
}

// StoreConfig bounds a store.
type StoreConfig struct {
	// Limit bounds the bytes of all answers. Add refuses beyond it.
	Limit identifier.Bytes
	// Grace is how long an ended answer stays for callers that reattach.
	Grace timekeeper.Duration
}

// NewStore returns an empty store.
func NewStore(c StoreConfig) *Store {
	return &Store{
		limit:   c.Limit,
		grace:   c.Grace,
		answers: make(map[identifier.RequestID]*storedAnswer),
	}
}

// Get returns the answer of a request, if it is kept.
func (s *Store) Get(r identifier.RequestID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.answers[r]
	if !ok {
		return nil, false
	}
	return k.answer, true
}

// Add keeps a, unless the request has an answer already that keep wants to
// stay: that one is returned with false. Ended answers make room, oldest
// first; where there is none, the error is a *FullError.
func (s *Store) Add(a *Answer, keepOld func(old *Answer) bool) (*Answer, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.answers[a.Request()]; ok && keepOld(old.answer) {
		return old.answer, false, nil
	}
	if !s.makeRoom(a.Size()) {
		return nil, false, &StoreFullError{RetryAfter: timekeeper.Second}
	}
	s.put(a)
	return a, true, nil
}

// Put keeps a in any case, in place of an older answer of the same request:
// it is of a request that this node has to finish.
func (s *Store) Put(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(a)
}

func (s *Store) put(a *Answer) {
	s.remove(a.Request())
	a.setUsage(&s.usage)
	s.answers[a.Request()] = &storedAnswer{answer: a}
}

// Remove drops the answer of a request.
func (s *Store) Remove(r identifier.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(r)
}

// Discard drops a, unless the request has another answer by now.
func (s *Store) Discard(a *Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.answers[a.Request()]; ok && k.answer == a {
		s.remove(a.Request())
	}
}

func (s *Store) remove(r identifier.RequestID) {
	k, ok := s.answers[r]
	if !ok {
		return
	}
	delete(s.answers, r)
	k.answer.setUsage(nil)
}

// Sweep drops the ended answers whose grace time is over, and older ended
// ones while the store is over its limit. It returns how many it dropped.
func (s *Store) Sweep(now timekeeper.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.answers)
	for r, k := range s.answers {
		if _, ended := k.answer.Ended(); !ended {
			continue
		}
		if k.endedAt == 0 {
			k.endedAt = now
		}
		if now.Sub(k.endedAt) >= s.grace {
			s.remove(r)
		}
	}
	s.makeRoom(0)
	return before - len(s.answers)
}

// makeRoom drops ended answers, oldest first, until n more bytes fit, and
// reports whether they do. An ended answer that a caller is still reading
// stays whole for that caller; only the store lets go of it.
func (s *Store) makeRoom(n identifier.Bytes) bool {
	if s.usage.Bytes()+n <= s.limit {
		return true
	}
	var ended []*storedAnswer
	for _, k := range s.answers {
		if k.endedAt != 0 {
			ended = append(ended, k)
		}
	}
	slices.SortFunc(ended, func(a, b *storedAnswer) int {
		return cmp.Or(
			cmp.Compare(a.endedAt, b.endedAt),
			cmp.Compare(a.answer.Request(), b.answer.Request()),
		)
	})
	for _, k := range ended {
		if s.usage.Bytes()+n <= s.limit {
			break
		}
		s.remove(k.answer.Request())
	}
	return s.usage.Bytes()+n <= s.limit
}

// Len returns the number of answers kept.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

// Bytes returns the bytes that all answers keep.
func (s *Store) Bytes() identifier.Bytes { return s.usage.Bytes() }

// join moves a's bytes to the count of u, or out of any count.
func (a *Answer) setUsage(u *Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.add(-a.size)
	a.usage = u
	a.usage.add(a.size)
}
