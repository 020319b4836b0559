package bencher

import (
	"container/heap"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// schedule is a discrete-event queue that drives virtual time.
type schedule struct {
	now       timekeeper.Time
	events    eventHeap
	scheduled uint64
}

type event struct {
	at       timekeeper.Time
	sequence uint64
	run      func()
}

// at schedules run for t, after the events already scheduled for t.
func (s *schedule) at(t timekeeper.Time, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{
		at:       max(t, s.now),
		sequence: s.scheduled,
		run:      run,
	})
}

func (s *schedule) after(d timekeeper.Duration, run func()) { s.at(s.now.Add(d), run) }

// every calls run now and then at every interval d until end.
func (s *schedule) every(d timekeeper.Duration, end timekeeper.Time, run func()) {
	if s.now.After(end) {
		return
	}
	run()
	s.after(d, func() { s.every(d, end, run) })
}

// runUntil runs all events that are scheduled up to and including end.
func (s *schedule) runUntil(end timekeeper.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
