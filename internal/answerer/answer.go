package answerer

import (
	"context"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Piece is one token of an answer. Indexes start at 1.
type Piece struct {
	Index identifier.Tokens
	Text  string
}

// Body is the content of the caller's request. A model service uses Prompt, a
// plain service the other fields.
type Body struct {
	Prompt      string
	Method      string
	Path        string
	ContentType string
	Content     []byte
}

// Size returns the memory that b uses, in bytes.
func (b Body) Size() identifier.Bytes {
	return identifier.Bytes(len(b.Prompt) + len(b.Method) + len(b.Path) + len(b.ContentType) + len(b.Content))
}

// Reply is the complete HTTP response of a plain service.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Verdict is the decision whether a request is accepted.
type Verdict struct {
	Accepted bool
	// Refusal is set if Accepted is false.
	Refusal messenger.Refusal
}

// End describes how an answer ended.
type End struct {
	Outcome    messenger.Outcome
	Reason     messenger.Reason
	RetryAfter timekeeper.Duration
	// Status, Header and Body are the reply of a plain service.
	Status int
	Header map[string]string
	Body   []byte
	// MovedTo is the caller address of the node that now owns the request. It
	// is empty if the request ended on this node.
	MovedTo string
}

// complete reports whether e is the end of a complete answer.
func (e *End) complete() bool {
	return e != nil && e.MovedTo == "" && e.Outcome == messenger.Done
}

// Placement identifies an attempt and the backend server and stream that it
// runs on.
type Placement struct {
	Attempt identifier.AttemptNumber
	Server  identifier.VMID
	Stream  identifier.StreamName
}

// pieceOverhead is the memory that a piece uses in addition to its text,
// including its digest.
const pieceOverhead = 24 + digestSize

// Answer is one request's answer. It is safe for concurrent use.
type Answer struct {
	spec messenger.RequestSpec
	body Body

	mu            sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	placement     Placement
	pieces        []Piece
	digests       []Digest // digests[i] covers pieces[:i+1]
	reply         *Reply
	released      identifier.Tokens
	replyReleased bool
	// If ackRequired is set, only what the holder has acknowledged is released.
	// If paused is set, nothing is released (during a handover).
	ackRequired    bool
	paused         bool
	ownerUncertain bool // another node may own the request
	acked          identifier.Tokens
	replyAcked     bool
	verdict        *Verdict
	end            *End
	done           chan struct{} // closed when the answer ends
	movedTo        identifier.VMID
	epoch          identifier.Epoch
	size           identifier.Bytes
	usage          *Usage        // nil if the answer is in no store
	endRead        chan struct{} // closed once a reader has received the end
	callers        int
}

// Config holds the initial state of an Answer.
type Config struct {
	Spec messenger.RequestSpec
	Body Body
	// Placement is the latest known attempt of an answer that comes from
	// another node. Pieces and Reply are its content so far.
	Placement Placement
	Pieces    []Piece
	Reply     *Reply
	// Epoch is the epoch of the owner.
	Epoch identifier.Epoch
	// Accepted is set if another node has already accepted the request.
	Accepted bool
}

// New returns an answer whose content is released without waiting for a holder.
func New(c Config) *Answer {
	a := &Answer{
		spec:          c.Spec,
		body:          c.Body,
		changed:       make(chan struct{}),
		placement:     c.Placement,
		reply:         c.Reply,
		released:      identifier.Tokens(len(c.Pieces)),
		replyReleased: c.Reply != nil,
		size:          c.Body.Size(),
		endRead:       make(chan struct{}),
		done:          make(chan struct{}),
		epoch:         c.Epoch,
	}
	if c.Accepted {
		a.verdict = &Verdict{Accepted: true}
	}
	for _, p := range c.Pieces {
		a.add(p)
	}
	if c.Reply != nil {
		a.size += identifier.Bytes(len(c.Reply.Body))
	}
	return a
}

// Request returns the request's ID.
func (a *Answer) Request() identifier.RequestID { return a.spec.Request }

// Account returns the client account that the answer belongs to.
func (a *Answer) Account() identifier.AccountID { return a.spec.Account }

// Service returns the requested service.
func (a *Answer) Service() identifier.ServiceName { return a.spec.Service }

// Spec returns the specification of the request.
func (a *Answer) Spec() messenger.RequestSpec { return a.spec }

// Body returns the content of the caller's request.
func (a *Answer) Body() Body { return a.body }

// Verdict waits until the request is accepted or refused. The error is a
// *WaitError.
func (a *Answer) Verdict(ctx context.Context) (Verdict, error) {
	var v Verdict
	err := a.wait(ctx, func() bool {
		switch {
		case a.verdict != nil:
			v = *a.verdict
		case a.end != nil:
			// Moved or ended before it was accepted: Read returns the end.
			v = Verdict{Accepted: true}
		default:
			return false
		}
		return true
	})
	return v, err
}

// Refused reports whether the request was refused, in which case this node has
// sent it to no backend server.
func (a *Answer) Refused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verdict != nil && !a.verdict.Accepted
}

// Read waits until pieces with an index above after are released or the answer
// has ended, and returns what is available of both. The end is never returned
// before the last piece. The caller must not modify the pieces. The error is a
// *WaitError.
func (a *Answer) Read(ctx context.Context, after identifier.Tokens) ([]Piece, *End, error) {
	var (
		pieces []Piece
		end    *End
	)
	err := a.wait(ctx, func() bool {
		pieces = between(a.pieces, after, a.released)
		end = a.visibleEnd()
		return len(pieces) > 0 || end != nil
	})
	if err == nil && end != nil {
		a.markEndRead()
	}
	return pieces, end, err
}

// Done returns a channel that is closed when the answer ends, even if readers
// may not receive the end yet.
func (a *Answer) Done() <-chan struct{} { return a.done }

// EndRead returns a channel that is closed once a reader has received the end.
func (a *Answer) EndRead() <-chan struct{} { return a.endRead }

func (a *Answer) markEndRead() {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-a.endRead:
	default:
		close(a.endRead)
	}
}

// visibleEnd returns the end if readers may receive it: once all content before
// it is released, or at once if the request moved to another node. The caller
// must hold a.mu.
func (a *Answer) visibleEnd() *End {
	if a.end == nil || a.end.MovedTo != "" {
		return a.end
	}
	if int(a.released) < len(a.pieces) || (a.reply != nil && !a.replyReleased) {
		return nil
	}
	return a.end
}

// wait blocks until done returns true or ctx ends. It calls done with a.mu
// held.
func (a *Answer) wait(ctx context.Context, done func() bool) error {
	for {
		a.mu.Lock()
		ok, changed := done(), a.changed
		a.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return &WaitError{
				Request: a.spec.Request,
				Cause:   context.Cause(ctx),
			}
		}
	}
}

// notify wakes all waiters. The caller must hold a.mu.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// between returns the pieces with an index in (after, upTo].
func between(pieces []Piece, after, upTo identifier.Tokens) []Piece {
	after = max(after, 0)
	upTo = min(upTo, identifier.Tokens(len(pieces)))
	if after >= upTo {
		return nil
	}
	return pieces[after:upTo:upTo]
}
