package prover

import (
	"container/heap"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// queue holds scheduled actions, ordered by time and then by insertion.
type queue struct {
	items itemHeap
	seq   uint64
}

type item struct {
	at  timekeeper.Time
	seq uint64
	do  func()
}

func (q *queue) add(at timekeeper.Time, do func()) {
	q.seq++
	heap.Push(&q.items, item{
		at:  at,
		seq: q.seq,
		do:  do,
	})
}

func (q *queue) next() item { return heap.Pop(&q.items).(item) }

type itemHeap []item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)   { *h = append(*h, x.(item)) }
func (h *itemHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
