package claimer

import (
	"container/heap"
	"container/list"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// expiryMargin is the time for which an entry is kept past its window, in case the
// log's clock is set back.
const expiryMargin = timekeeper.Minute

type entry struct {
	Entry
	stream identifier.LogStream
	// readAt is this node's time when it read the last claim of the key, and window
	// that claim's window.
	readAt      timekeeper.Time
	window      timekeeper.Duration
	index       int
	bodyElement *list.Element
}

func newEntry(now timekeeper.Time, s identifier.LogStream, logRecord messenger.Record, r record) *entry {
	return &entry{
		Entry: Entry{
			Account:   r.Account,
			Key:       r.Key,
			Request:   r.Request,
			Winner:    r.Claimant,
			Nonce:     r.Nonce,
			Offset:    logRecord.Offset,
			Appended:  logRecord.Appended,
			ExpiresAt: logRecord.Appended.Add(r.Window),
		},
		stream: s,
		readAt: now,
		window: r.Window,
	}
}

// extend prolongs the holder's window after a later claim of the key.
func (e *entry) extend(now timekeeper.Time, logRecord messenger.Record, r record) {
	if until := logRecord.Appended.Add(r.Window); until.After(e.ExpiresAt) {
		e.ExpiresAt = until
		e.readAt = now
		e.window = r.Window
	}
}

func (e *entry) key() key {
	return key{
		account: e.Account,
		key:     e.Key,
	}
}

// holdsAt reports whether the key is still held at append time t.
func (e *entry) holdsAt(t timekeeper.Time) bool { return t.Before(e.ExpiresAt) }

// expiryHeap orders entries by expiry, soonest first.
type expiryHeap []*entry

var _ heap.Interface = (*expiryHeap)(nil)

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].ExpiresAt.Before(h[j].ExpiresAt) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// bodies bounds the total size of the recorded answers.
type bodies struct {
	max   identifier.Bytes
	total identifier.Bytes
	// order lists the entries that have an answer, oldest outcome first.
	order list.List
}

func newBodies(limit identifier.Bytes) *bodies { return &bodies{max: limit} }

// add counts the answer of e and returns the number of answers dropped to make room.
func (b *bodies) add(e *entry) (dropped int) {
	if len(e.Recorded.Body) == 0 {
		return 0
	}
	b.total += identifier.Bytes(len(e.Recorded.Body))
	e.bodyElement = b.order.PushBack(e)
	for b.total > b.max {
		b.drop(b.order.Front().Value.(*entry))
		dropped++
	}
	return dropped
}

// drop removes the answer of e, if it has one. Decisions that share the outcome keep
// their answer.
func (b *bodies) drop(e *entry) {
	if e.bodyElement == nil {
		return
	}
	b.order.Remove(e.bodyElement)
	e.bodyElement = nil
	b.total -= identifier.Bytes(len(e.Recorded.Body))
	withoutBody := *e.Recorded
	withoutBody.Body = nil
	withoutBody.BodyOmitted = true
	e.Recorded = &withoutBody
}
