package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
)

// Switches holds the fault switches of one stand-in, a struct of type T, and
// serves them at /faults. It is safe for concurrent use.
type Switches[T any] struct {
	mu      sync.Mutex
	current T
	// OnChange is called after each change, under no lock; it may be nil.
	OnChange func(T)
}

// Get returns the switches as they stand.
func (s *Switches[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Update changes the switches in place.
func (s *Switches[T]) Update(change func(*T)) {
	s.mu.Lock()
	change(&s.current)
	now := s.current
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange(now)
	}
}

// Consume uses up one of the counter that pick names, and tells whether there was
// one.
func (s *Switches[T]) Consume(pick func(*T) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := pick(&s.current)
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// ServeHTTP answers GET with the switches and POST by setting those that the
// body names.
func (s *Switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		next, err := clone(s.Get())
		if err != nil {
			encoder.WriteProblem(w, http.StatusInternalServerError, encoder.Problem{Error: err.Error()})
			return
		}
		if !ReadJSON(w, r, &next) {
			return
		}
		s.Update(func(t *T) { *t = next })
	}
	encoder.WriteJSON(w, http.StatusOK, s.Get())
}

// clone copies v with all it points to, because decoding into a slice would
// write into the array that other goroutines read.
func clone[T any](v T) (T, error) {
	var c T
	text, err := json.Marshal(v)
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(text, &c)
}
