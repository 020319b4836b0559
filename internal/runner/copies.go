package runner

import (
	"cmp"
	"slices"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// copyGrace is how long a copy outlives its request's deadline. An owner that
// died after the end of a request, or an Unhold that got lost, would else
// leave the copy here for good.
const copyGrace = 1 * timekeeper.Minute

// maxCopies bounds the copies. It is below the reducer's own bound, which
// would drop a copy that its owner was already told is kept.
const maxCopies = 1024

// copies keeps what peers pushed here of their long requests, within a bound
// on bytes. It is safe for concurrent use.
type copies struct {
	limit identifier.Bytes

	mu    sync.Mutex
	held  map[identifier.RequestID]*heldCopy
	bytes identifier.Bytes
}

type heldCopy struct {
	owner  identifier.VMID
	answer *answerer.Answer
	size   identifier.Bytes
}

func newCopies(limit identifier.Bytes) *copies {
	return &copies{
		limit: limit,
		held:  make(map[identifier.RequestID]*heldCopy),
	}
}

// later reports whether owner a of a request comes after owner b.
func later(epochA identifier.Epoch, a identifier.VMID, epochB identifier.Epoch, b identifier.VMID) bool {
	if epochA != epochB {
		return epochA > epochB
	}
	return a < b
}

// keep adds a push to the copy of its request. A push with the body makes a
// new copy; one without must join what is here. The push of an owner that
// another has come after is refused.
func (c *copies) keep(owner identifier.VMID, p relayer.Push) relayer.HoldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[p.Spec.Request]
	size := pushSize(p)
	if held != nil && held.owner != owner && later(held.answer.Epoch(), held.owner, p.Epoch, owner) {
		return relayer.HoldOwned
	}
	if p.Body == nil && (held == nil || held.owner != owner) {
		return relayer.HoldIncomplete
	}
	if c.bytes+size > c.limit || held == nil && len(c.held) >= maxCopies {
		return relayer.HoldFull
	}
	if p.Body != nil {
		c.remove(p.Spec.Request)
		held = &heldCopy{
			owner: owner,
			answer: answerer.New(answerer.Config{
				Spec:     p.Spec,
				Body:     *p.Body,
				Epoch:    p.Epoch,
				Accepted: true,
			}),
		}
		c.held[p.Spec.Request] = held
	}
	if !held.answer.Extend(answerer.Change{
		Placement: p.Place,
		Pieces:    p.Pieces,
		Reply:     p.Reply,
	}) {
		return relayer.HoldIncomplete
	}
	held.answer.RaiseEpoch(p.Epoch)
	now := held.answer.Size()
	c.bytes += now - held.size
	held.size = now
	return relayer.HoldStored
}

func pushSize(p relayer.Push) identifier.Bytes {
	var n identifier.Bytes
	if p.Body != nil {
		n += p.Body.Size()
	}
	for _, piece := range p.Pieces {
		n += identifier.Bytes(len(piece.Text))
	}
	if p.Reply != nil {
		n += identifier.Bytes(len(p.Reply.Body))
	}
	return n
}

// get returns the copy of a request and its owner.
func (c *copies) get(r identifier.RequestID) (*answerer.Answer, identifier.VMID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[r]
	if !ok {
		return nil, "", false
	}
	return held.answer, held.owner, true
}

// take removes the copy of a request and returns it.
func (c *copies) take(r identifier.RequestID) (*answerer.Answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[r]
	if !ok {
		return nil, false
	}
	c.remove(r)
	return held.answer, true
}

// drop removes the copy of a request.
func (c *copies) drop(r identifier.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(r)
}

// dropFrom removes the copy of a request if it is owner's, and reports
// whether it was. The request may have passed on to another owner that holds
// here too: the word of the earlier owner must not drop the later one's copy.
func (c *copies) dropFrom(owner identifier.VMID, r identifier.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[r]
	if !ok || held.owner != owner {
		return false
	}
	c.remove(r)
	return true
}

func (c *copies) remove(r identifier.RequestID) {
	held, ok := c.held[r]
	if !ok {
		return
	}
	c.bytes -= held.size
	delete(c.held, r)
}

// sweep removes the copies whose deadline is long past and returns them.
func (c *copies) sweep(now timekeeper.Time) []identifier.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var dropped []identifier.RequestID
	for r, held := range c.held {
		if now.After(held.answer.Spec().Deadline.Add(copyGrace)) {
			dropped = append(dropped, r)
			c.remove(r)
		}
	}
	slices.SortFunc(dropped, cmp.Compare[identifier.RequestID])
	return dropped
}

// size returns the number of copies and their bytes.
func (c *copies) size() (int, identifier.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held), c.bytes
}
