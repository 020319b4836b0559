package answerer

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Accept reports to readers that the request was accepted.
func (a *Answer) Accept() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.verdict != nil {
		return
	}
	a.verdict = &Verdict{Accepted: true}
	a.notify()
}

// Refuse ends the answer with a refusal, unless the request was already
// accepted or refused.
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

// Begin makes the given attempt the current one, so that pieces of all others
// are rejected, and returns the number of tokens that the answer already has.
// It returns false if the attempt is not newer than the current one or the
// answer has ended.
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

// Placement returns the placement of the current attempt.
func (a *Answer) Placement() Placement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.placement
}

// Append adds a piece received by attempt n and reports whether it was
// accepted.
//
// Both checks prevent tokens of two attempts from being mixed: a stalled older
// attempt may send again after its successor began. The attempt number rejects
// pieces of any attempt but the current one, and the index rejects duplicates
// and gaps.
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

// SetReply sets the response of a plain service received by attempt n and
// reports whether it was accepted.
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

// Finish ends the answer with e, to which it adds the reply of a plain service.
// Later calls have no effect.
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

// setEnd ends the answer. The caller must hold a.mu.
func (a *Answer) setEnd(e End) {
	if a.end == nil {
		close(a.done)
	}
	a.end = &e
	a.notify()
}

// Redirect reports to readers that node to, at the given caller address, now
// owns the request. It replaces an end that is not yet visible to readers.
func (a *Answer) Redirect(to identifier.VMID, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.visibleEnd() != nil {
		return
	}
	a.movedTo = to
	a.setEnd(End{MovedTo: address})
}

// MovedTo returns the node that now owns the request, if it has moved.
func (a *Answer) MovedTo() (identifier.VMID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.movedTo, a.end != nil && a.end.MovedTo != ""
}

// RaiseEpoch raises the epoch of the answer's owner to e. It never lowers it.
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

// Hold withholds all further content from readers until Release releases
// it.
func (a *Answer) Hold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ackRequired = true
}

// Unhold releases all content, and further content as it arrives.
func (a *Answer) Unhold() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ackRequired = false
	a.release()
	a.notify()
}

// Pause stops all releases until Unpause. It must precede the snapshot of a
// handover: a caller that read a token beyond the snapshot could then read the
// successor's different continuation.
func (a *Answer) Pause() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.paused = true
}

// SetOwnerUncertain records that another node may own the request.
func (a *Answer) SetOwnerUncertain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownerUncertain = true
}

// Unpause ends a Pause and returns true. If another node may own the request
// and the answer has not ended, it returns false and the pause stays.
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

// Release releases the pieces up to index upTo, and the reply if reply is set.
// It is called when the holder has acknowledged them.
func (a *Answer) Release(upTo identifier.Tokens, reply bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = max(a.acked, min(upTo, identifier.Tokens(len(a.pieces))))
	a.replyAcked = a.replyAcked || (reply && a.reply != nil)
	a.release()
	a.notify()
}

// release releases all content that may be released. The caller must hold a.mu.
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

// add appends p and its digest. The caller must hold a.mu.
func (a *Answer) add(p Piece) {
	last, _ := a.digestAt(identifier.Tokens(len(a.digests)))
	a.pieces = append(a.pieces, p)
	a.digests = append(a.digests, last.Next(p.Text))
	a.grow(len(p.Text) + pieceOverhead)
}

// grow adds n to the size in bytes. The caller must hold a.mu.
func (a *Answer) grow(n int) {
	a.size += identifier.Bytes(n)
	a.usage.add(identifier.Bytes(n))
}

// Delivered returns the number of tokens of the answer, released or not.
func (a *Answer) Delivered() identifier.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return identifier.Tokens(len(a.pieces))
}

// Pieces returns the pieces with an index above after, released or not.
func (a *Answer) Pieces(after identifier.Tokens) []Piece {
	a.mu.Lock()
	defer a.mu.Unlock()
	return between(a.pieces, after, identifier.Tokens(len(a.pieces)))
}

// Change is the content added to an answer since a Progress.
type Change struct {
	Placement Placement
	Pieces    []Piece
	Reply     *Reply
	End       *End
}

// Progress is the part of an answer that a holder has.
type Progress struct {
	Attempt identifier.AttemptNumber
	Pieces  identifier.Tokens
	Reply   bool
}

// Await waits until the answer has content beyond since, released or not, or
// has ended. The error is a *WaitError.
func (a *Answer) Await(ctx context.Context, since Progress) (Change, error) {
	var c Change
	err := a.wait(ctx, func() bool {
		c = a.since(since)
		return c.End != nil || c.Placement.Attempt != since.Attempt || len(c.Pieces) > 0 || c.Reply != nil
	})
	return c, err
}

// Since returns the content beyond p without waiting.
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

// Extend adds content that the owner of a copy pushed. It returns false if
// pieces are missing in between.
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

// Reply returns the response of a plain service, if it has arrived.
func (a *Answer) Reply() (Reply, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reply == nil {
		return Reply{}, false
	}
	return *a.reply, true
}

// Ended returns the end, even if it is not yet visible to readers.
func (a *Answer) Ended() (End, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Size returns the memory that the answer uses, in bytes.
func (a *Answer) Size() identifier.Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.size
}

// AddCaller increments the number of attached callers and returns it.
func (a *Answer) AddCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers++
	return a.callers
}

// RemoveCaller decrements the number of attached callers and returns it.
func (a *Answer) RemoveCaller() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers--
	return a.callers
}
