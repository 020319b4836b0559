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

// copyGrace is the time that a copy is kept beyond its request's deadline. It
// removes copies whose owner died after the request ended, or whose Unhold was
// lost.
const copyGrace = 1 * timekeeper.Minute

// maxCopies bounds the number of copies. It is below the reducer's own bound,
// which would drop a copy that was already acknowledged to its owner.
const maxCopies = 1024

// copies stores the copies of long requests that peers push to this node,
// within a memory limit. It is safe for concurrent use.
type copies struct {
	limit identifier.Bytes

	mu        sync.Mutex
	byRequest map[identifier.RequestID]*storedCopy
	bytes     identifier.Bytes
}

type storedCopy struct {
	owner  identifier.VMID
	answer *answerer.Answer
	size   identifier.Bytes
}

func newCopies(limit identifier.Bytes) *copies {
	return &copies{
		limit:     limit,
		byRequest: make(map[identifier.RequestID]*storedCopy),
	}
}

// laterOwner reports whether owner a with epochA supersedes owner b with
// epochB.
func laterOwner(epochA identifier.Epoch, a identifier.VMID, epochB identifier.Epoch, b identifier.VMID) bool {
	if epochA != epochB {
		return epochA > epochB
	}
	return a < b
}

// store adds a push to the copy of its request. A push with the body replaces
// the copy; one without must continue the existing copy. A push from a
// superseded owner is rejected.
func (c *copies) store(owner identifier.VMID, p relayer.Push) relayer.HoldAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.byRequest[p.Spec.Request]
	size := pushSize(p)
	if held != nil && held.owner != owner && laterOwner(held.answer.Epoch(), held.owner, p.Epoch, owner) {
		return relayer.HoldOwned
	}
	if p.Body == nil && (held == nil || held.owner != owner) {
		return relayer.HoldIncomplete
	}
	if c.bytes+size > c.limit || held == nil && len(c.byRequest) >= maxCopies {
		return relayer.HoldFull
	}
	if p.Body != nil {
		c.remove(p.Spec.Request)
		held = &storedCopy{
			owner: owner,
			answer: answerer.New(answerer.Config{
				Spec:     p.Spec,
				Body:     *p.Body,
				Epoch:    p.Epoch,
				Accepted: true,
			}),
		}
		c.byRequest[p.Spec.Request] = held
	}
	complete := held.answer.Extend(answerer.Change{
		Placement: p.Placement,
		Pieces:    p.Pieces,
		Reply:     p.Reply,
	})
	// The pieces before a gap were added.
	newSize := held.answer.Size()
	c.bytes += newSize - held.size
	held.size = newSize
	if !complete {
		return relayer.HoldIncomplete
	}
	held.answer.RaiseEpoch(p.Epoch)
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
	held, ok := c.byRequest[r]
	if !ok {
		return nil, "", false
	}
	return held.answer, held.owner, true
}

// adopt moves the copy of a request to the answers of this node, with the epoch
// of its adoption, and reports whether there was one. The answer is stored before
// the copy is removed, so that a caller finds the request at any time.
func (c *copies) adopt(r identifier.RequestID, epoch identifier.Epoch, answers *answerer.Store) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.byRequest[r]
	if !ok {
		return false
	}
	held.answer.RaiseEpoch(epoch)
	answers.Put(held.answer)
	c.remove(r)
	return true
}

// drop removes the copy of a request.
func (c *copies) drop(r identifier.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(r)
}

// dropIfOwner removes the copy of a request if it belongs to owner, and reports
// whether it did. After the request moved to another owner with the same
// holder, a late message of the earlier owner must not drop the newer copy.
func (c *copies) dropIfOwner(owner identifier.VMID, r identifier.RequestID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.byRequest[r]
	if !ok || held.owner != owner {
		return false
	}
	c.remove(r)
	return true
}

func (c *copies) remove(r identifier.RequestID) {
	held, ok := c.byRequest[r]
	if !ok {
		return
	}
	c.bytes -= held.size
	delete(c.byRequest, r)
}

// sweep removes the copies whose deadline passed more than copyGrace ago and
// returns their requests.
func (c *copies) sweep(now timekeeper.Time) []identifier.RequestID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var dropped []identifier.RequestID
	for r, held := range c.byRequest {
		if now.After(held.answer.Spec().Deadline.Add(copyGrace)) {
			dropped = append(dropped, r)
			c.remove(r)
		}
	}
	slices.SortFunc(dropped, cmp.Compare[identifier.RequestID])
	return dropped
}

// totals returns the number of copies and their total size.
func (c *copies) totals() (int, identifier.Bytes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byRequest), c.bytes
}
