package bencher

import (
	"container/heap"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// schedule is the virtual time of a run: what is to happen, in order.
type schedule struct {
	now    timekeeper.Time
	events eventHeap
	count  uint64
}

type event struct {
	at    timekeeper.Time
	order uint64
	run   func()
}

// at lets run happen at t, after what was scheduled for t before.
func (s *schedule) at(t timekeeper.Time, run func()) {
	s.count++
	heap.Push(&s.events, event{
		at:    max(t, s.now),
		order: s.count,
		run:   run,
	})
}

func (s *schedule) after(d timekeeper.Duration, run func()) { s.at(s.now.Add(d), run) }

// every lets run happen now and then, until the end.
func (s *schedule) every(d timekeeper.Duration, end timekeeper.Time, run func()) {
	if s.now.After(end) {
		return
	}
	run()
	s.after(d, func() { s.every(d, end, run) })
}

// runUntil lets everything happen that is scheduled up to end.
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
	return h[i].order < h[j].order
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
