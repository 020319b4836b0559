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
	a.end = &End{
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
	}
	a.notify()
}

// Begin makes attempt n the only one whose pieces are taken, and tells how
// many tokens stand here already. It is refused for an attempt that is not
// newer than the current one, or once the answer has ended.
func (a *Answer) Begin(n identifier.AttemptNumber) (identifier.Tokens, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n <= a.attempt || a.end != nil {
		return 0, false
	}
	a.attempt = n
	return identifier.Tokens(len(a.pieces)), true
}

// Attempt returns the number of the current attempt.
func (a *Answer) Attempt() identifier.AttemptNumber {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempt
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
	if n != a.attempt || a.end != nil || index != identifier.Tokens(len(a.pieces))+1 {
		return false
	}
	a.pieces = append(a.pieces, Piece{
		Index: index,
		Text:  text,
	})
	a.size += identifier.Bytes(len(text) + pieceOverhead)
	if !a.gated {
		a.released = index
	}
	a.notify()
	return true
}

// SetReply takes the whole answer of a plain service from attempt n, and
// reports whether it was taken.
func (a *Answer) SetReply(n identifier.AttemptNumber, r Reply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n != a.attempt || a.end != nil || a.reply != nil {
		return false
	}
	a.reply = &r
	a.size += identifier.Bytes(len(r.Body))
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
	a.end = &e
	a.notify()
}

// Redirect tells readers that the node at a caller address has the request
// now. It also replaces an end that no reader may have yet.
func (a *Answer) Redirect(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.visibleEnd() != nil {
		return
	}
	a.end = &End{MovedTo: address}
	a.notify()
}

// Gate holds back pieces from now on until Release lets them out.
func (a *Answer) Gate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gated = true
}

// Ungate lets out all pieces, now and later.
func (a *Answer) Ungate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gated = false
	a.released = identifier.Tokens(len(a.pieces))
	a.notify()
}

// Release lets out the pieces up to index upTo.
func (a *Answer) Release(upTo identifier.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	upTo = min(upTo, identifier.Tokens(len(a.pieces)))
	if upTo <= a.released {
		return
	}
	a.released = upTo
	a.notify()
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

// AwaitPieces is like Read for the goroutine that pushes to a holder: it
// waits for pieces beyond after whether they are released or not, and for the
// end. Its error is a *WaitError.
func (a *Answer) AwaitPieces(ctx context.Context, after identifier.Tokens) ([]Piece, *End, error) {
	var (
		pieces []Piece
		end    *End
	)
	err := a.wait(ctx, func() bool {
		pieces = between(a.pieces, after, identifier.Tokens(len(a.pieces)))
		end = a.end
		return len(pieces) > 0 || end != nil
	})
	return pieces, end, err
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
func (a *Answer) CallerCame() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers++
	return a.callers
}

// CallerLeft counts one caller less and returns how many there are.
func (a *Answer) CallerLeft() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.callers--
	return a.callers
}
