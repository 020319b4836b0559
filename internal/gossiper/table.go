package gossiper

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// table is a bounded map that is iterated in key order. Its slices are copied
// when a key is added or removed, which is rare, so that iteration needs no
// copy and is safe during changes.
type table[T any] struct {
	byVM    map[identifier.VMID]*T
	order   []identifier.VMID
	ordered []*T
	limit   int
	dropped uint64
}

func newTable[T any](limit int) table[T] {
	return table[T]{
		byVM:  map[identifier.VMID]*T{},
		limit: limit,
	}
}

func (t *table[T]) len() int { return len(t.order) }

func (t *table[T]) full() bool { return len(t.order) >= t.limit }

func (t *table[T]) get(vm identifier.VMID) *T { return t.byVM[vm] }

// put sets the value of vm. If the table is full, put does not add a new key
// but counts it as dropped and returns false.
func (t *table[T]) put(vm identifier.VMID, v *T) bool {
	i, ok := slices.BinarySearch(t.order, vm)
	if !ok && t.full() {
		t.dropped++
		return false
	}
	if ok {
		t.ordered = slices.Clone(t.ordered)
		t.ordered[i] = v
	} else {
		t.order = slices.Insert(slices.Clone(t.order), i, vm)
		t.ordered = slices.Insert(slices.Clone(t.ordered), i, v)
	}
	t.byVM[vm] = v
	return true
}

func (t *table[T]) remove(vm identifier.VMID) {
	i, ok := slices.BinarySearch(t.order, vm)
	if !ok {
		return
	}
	t.order = slices.Delete(slices.Clone(t.order), i, i+1)
	t.ordered = slices.Delete(slices.Clone(t.ordered), i, i+1)
	delete(t.byVM, vm)
}

// values returns the values in key order. The caller must not modify the
// slice.
func (t *table[T]) values() []*T { return t.ordered }
