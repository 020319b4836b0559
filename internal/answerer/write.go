package answerer

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Accept tells readers that the request was accepted.
func (a *Answer) Accept() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.verdict != nil {
		return
	}
	a.verdict = &Verdict{Accepted: true}
	a.notify()
}

// Refuse gives readers the final answer of a request that was not accepted.
func (a *Answer) Refuse(r messenger.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.verdict != nil || a.end != nil {
		return
	}
	a.verdict = &Verdict{
		Accepted: false,
		Refusal:  r,
	}
	a.setEnd(End{
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
	})
}

// Begin makes the attempt at p the only one whose pieces are taken, and tells
// how many tokens stand here already. It is refused for an attempt that is
// not newer than the current one, or once the answer has ended.
func (a *Answer) Begin(placement Placement) (identifier.Tokens, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if placement.Attempt <= a.placement.Attempt || a.end != nil {
		return 0, false
	}
	a.placement = placement
	a.notify()
	return identifier.Tokens(len(a.pieces)), true
}

// Place returns where the current attempt runs.
func (a *Answer) Placement() Placement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.placement
}

// Append adds a piece that attempt n brought, and reports whether it was
// taken.
//
// Both checks guard the caller against crossed answers: an older attempt that
// went silent may speak again after its successor began, and its late pieces
// would repeat or mix into the answer. The attempt number drops all that is
// not the current attempt's; the index drops what stands here already and
// refuses to leave a hole.
func (a *Answer) Append(n identifier.AttemptNumber, index identifier.Tokens, text string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.placement.Attempt || a.end != nil || index != identifier.Tokens(len(a.pieces))+1 {
		return false
	}
	a.add(Piece{
		Index: index,
		Text:  text,
	})
	a.release()
	a.notify()
	return true
}

// SetReply takes the whole answer of a plain service from attempt n, and
// reports whether it was taken.
func (a *Answer) SetReply(n identifier.AttemptNumber, r Reply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.placement.Attempt || a.end != nil || a.reply != nil {
		return false
	}
	a.reply = &r
	a.grow(len(r.Body))
	a.release()
	a.notify()
	return true
}

// Finish ends the answer. The reply of a plain service goes out with it. Only
// the first end counts.
func (a *Answer) Finish(e End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	if a.reply != nil && e.Status == 0 && e.MovedTo == "" {
		e.Status, e.Header, e.Body = a.reply.Status, a.reply.Header, a.reply.Body
	}
	a.setEnd(e)
}

// setEnd ends the answer. The caller holds a.mu.
func (a *Answer) setEnd(e End) {
	if a.end == nil {
		close(a.done)
	}
	a.end = &e
	a.notify()
}

// Redirect tells readers that node to, at its caller address, has the request
// now. It also replaces an end that no reader may have yet.
func (a *Answer) Redirect(to identifier.VMID, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.visibleEnd() != nil {
		return
	}
	a.movedTo = to
	a.setEnd(End{MovedTo: address})
}

// MovedTo returns the node that has the request now, if it is another.
func (a *Answer) MovedTo() (identifier.VMID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.movedTo, a.end != nil && a.end.MovedTo != ""
}

// RaiseEpoch sets the epoch of the answer's owner. It never goes down.
func (a *Answer) RaiseEpoch(e identifier.Epoch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, e)
}

// Epoch returns the epoch of the answer's owner.
func (a *Answer) Epoch() identifier.Epoch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.epoch
}

// Hold holds back what comes from now on until Release lets it out.
func (a *Answer) Hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ackRequired = true
}

// Unhold lets out all that stands here, and what comes later, at once.
func (a *Answer) Unhold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ackRequired = false
	a.release()
	a.notify()
}

// Pause lets nothing more out until Unpause. A handover takes its snapshot
// under it: a caller that got a token beyond the snapshot could get a
// successor's different continuation after it.
func (a *Answer) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = true
}

// Doubt notes that another node may have the request.
func (a *Answer) SetOwnerUncertain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerUncertain = true
}

// Unpause ends a Pause, unless the answer has not ended and another node may
// have the request. It reports whether the pause is over.
func (a *Answer) Unpause() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ownerUncertain && a.end == nil {
		return false
	}
	a.paused = false
	a.release()
	a.notify()
	return true
}

// Release lets out the pieces up to index upTo, and the reply if reply is
// set, because the holder has them.
func (a *Answer) Release(upTo identifier.Tokens, reply bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = max(a.acked, min(upTo, identifier.Tokens(len(a.pieces))))
	a.replyAcked = a.replyAcked || (reply && a.reply != nil)
	a.release()
	a.notify()
}

// release lets out what may go out. The caller holds a.mu.
func (a *Answer) release() {
	switch {
	case a.paused:
	case a.ackRequired:
		a.released = max(a.released, a.acked)
		a.replyReleased = a.replyReleased || a.replyAcked
	default:
		a.released = identifier.Tokens(len(a.pieces))
		a.replyReleased = a.reply != nil
	}
}

// add puts p behind what stands here. The caller holds a.mu.
func (a *Answer) add(p Piece) {
	last, _ := a.digestAt(identifier.Tokens(len(a.digests)))
	a.pieces = append(a.pieces, p)
	a.digests = append(a.digests, last.Next(p.Text))
	a.grow(len(p.Text) + pieceOverhead)
}

// grow counts n more bytes. The caller holds a.mu.
func (a *Answer) grow(n int) {
	a.size += identifier.Bytes(n)
	a.usage.add(identifier.Bytes(n))
}

// Delivered returns how many tokens stand here, released or not.
func (a *Answer) Delivered() identifier.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return identifier.Tokens(len(a.pieces))
}

// Pieces returns the pieces beyond after, released or not.
func (a *Answer) Pieces(after identifier.Tokens) []Piece {
	a.mu.Lock()
	defer a.mu.Unlock()
	return between(a.pieces, after, identifier.Tokens(len(a.pieces)))
}

// Change is what an answer got since a Mark.
type Change struct {
	Placement Placement
	Pieces    []Piece
	Reply     *Reply
	End       *End
}

// Mark tells how much of an answer a holder has.
type Progress struct {
	Attempt identifier.AttemptNumber
	Pieces  identifier.Tokens
	Reply   bool
}

// Await is for the goroutine that pushes to a holder: it waits until the
// answer has more than m, released or not, or has ended. Its error is a
// *WaitError.
func (a *Answer) Await(ctx context.Context, since Progress) (Change, error) {
	var c Change
	err := a.wait(ctx, func() bool {
		c = a.since(since)
		return c.End != nil || c.Placement.Attempt != since.Attempt || len(c.Pieces) > 0 || c.Reply != nil
	})
	return c, err
}

// Since returns what the answer got since m, without waiting.
func (a *Answer) Since(p Progress) Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.since(p)
}

func (a *Answer) since(p Progress) Change {
	c := Change{
		Placement: a.placement,
		Pieces:    between(a.pieces, p.Pieces, identifier.Tokens(len(a.pieces))),
		End:       a.end,
	}
	if !p.Reply {
		c.Reply = a.reply
	}
	return c
}

// Extend adds what the owner of a copy pushed, and reports whether it joins
// what stands here without a hole.
func (a *Answer) Extend(c Change) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range c.Pieces {
		have := identifier.Tokens(len(a.pieces))
		if p.Index > have+1 {
			return false
		}
		if p.Index <= have {
			continue
		}
		a.add(p)
	}
	if c.Reply != nil && a.reply == nil {
		a.reply = c.Reply
		a.grow(len(c.Reply.Body))
	}
	if c.Placement.Attempt > a.placement.Attempt {
		a.placement = c.Placement
	}
	a.release()
	a.notify()
	return true
}

// Reply returns the reply of a plain service, if it is there.
func (a *Answer) Reply() (Reply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reply == nil {
		return Reply{}, false
	}
	return *a.reply, true
}

// Ended returns the end, whether readers may have it yet or not.
func (a *Answer) Ended() (End, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Size returns the number of bytes that the answer keeps in memory.
func (a *Answer) Size() identifier.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// CallerCame counts one more caller and returns how many there are.
func (a *Answer) AddCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers++
	return a.callers
}

// CallerLeft counts one caller less and returns how many there are.
func (a *Answer) RemoveCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers--
	return a.callers
}
