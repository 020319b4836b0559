package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
)

// Switches holds the fault settings of a stand-in, a struct of type T, and serves
// them over HTTP. It is safe for concurrent use.
type Switches[T any] struct {
	mu      sync.Mutex
	current T
	// OnChange, if not nil, is called after each Update without the lock held.
	OnChange func(T)
}

// Get returns the current settings.
func (s *Switches[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Update applies change to the settings.
func (s *Switches[T]) Update(change func(*T)) {
	s.mu.Lock()
	change(&s.current)
	updated := s.current
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange(updated)
	}
}

// Consume decrements the counter that the function selects. It reports whether
// the counter was positive.
func (s *Switches[T]) Consume(counter func(*T) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining := counter(&s.current)
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// ServeHTTP returns the settings. A POST first sets those named in its body.
func (s *Switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var body json.RawMessage
		if !ReadJSON(w, r, &body) {
			return
		}
		if err := s.set(body); err != nil {
			encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{
				Error:   err.Error(),
				Outcome: encoder.OutcomeNotRun,
			})
			return
		}
	}
	encoder.WriteJSON(w, http.StatusOK, s.Get())
}

// set sets the settings named in body.
func (s *Switches[T]) set(body []byte) error {
	var failure error
	s.Update(func(t *T) {
		next, err := deepCopy(*t)
		if err != nil {
			failure = err
			return
		}
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		if failure = decoder.Decode(&next); failure == nil {
			*t = next
		}
	})
	return failure
}

// deepCopy copies v with everything it refers to. Decoding into a shallow copy
// would write to slices that other goroutines read.
func deepCopy[T any](v T) (T, error) {
	var c T
	text, err := json.Marshal(v)
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal(text, &c)
}
