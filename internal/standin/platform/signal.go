package platform

// signal tells any number of waiters of the next change. Its owner guards it
// with the lock that guards the changed state.
type signal struct{ next chan struct{} }

func newSignal() signal { return signal{next: make(chan struct{})} }

func (s *signal) fire() {
	close(s.next)
	s.next = make(chan struct{})
}
