package platform

// broadcast notifies any number of waiters of the next change. The lock of the
// observed state must guard it.
type broadcast struct{ changed chan struct{} }

func newBroadcast() broadcast { return broadcast{changed: make(chan struct{})} }

func (s *broadcast) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
