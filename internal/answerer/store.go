package answerer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Usage counts the bytes that the answers of a store use.
type Usage struct{ bytes atomic.Int64 }

// Bytes returns the current number of bytes.
func (u *Usage) Bytes() identifier.Bytes { return identifier.Bytes(u.bytes.Load()) }

func (u *Usage) add(n identifier.Bytes) {
	if u != nil {
		u.bytes.Add(int64(n))
	}
}

// Store maps requests to answers. It is safe for concurrent use.
type Store struct {
	limit identifier.Bytes
	grace timekeeper.Duration
	usage Usage

	mu      sync.Mutex
	answers map[identifier.RequestID]*storedAnswer
}

// storedAnswer is an answer in a store. endedAt is zero until a sweep finds
// that the answer has ended.
type storedAnswer struct {
	answer  *Answer
	endedAt timekeeper.Time
}

// StoreConfig holds the limits of a store.
type StoreConfig struct {
	// Limit bounds the total size of the answers. Add fails beyond it.
	Limit identifier.Bytes
	// Grace is the time that an ended answer is kept for callers that reattach.
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

// Get returns the answer of a request, if the store has it.
func (s *Store) Get(r identifier.RequestID) (*Answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.answers[r]
	if !ok {
		return nil, false
	}
	return k.answer, true
}

// Add stores a. If the request already has an answer for which keepOld returns
// true, Add returns that one and false instead. Ended answers are evicted to
// make room, oldest first; if that is not enough, the error is a
// *StoreFullError.
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

// Put stores a regardless of the limit, and replaces an older answer of the
// same request. It is for requests that this node must finish.
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

// Remove removes the answer of a request.
func (s *Store) Remove(r identifier.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(r)
}

// Discard removes a, unless the request has another answer by now.
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

// Sweep removes the ended answers whose grace time has passed, and further
// ended ones, oldest first, while the store is above its limit. It returns the
// number of removed answers.
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

// makeRoom evicts ended answers, oldest first, until n more bytes fit, and
// reports whether they do. A caller that is reading an evicted answer can still
// read it to its end.
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

// Len returns the number of answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.answers)
}

// Bytes returns the total size of the answers.
func (s *Store) Bytes() identifier.Bytes { return s.usage.Bytes() }

// setUsage moves the size of a from its current usage counter to u, which may
// be nil.
func (a *Answer) setUsage(u *Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usage.add(-a.size)
	a.usage = u
	a.usage.add(a.size)
}
