package answerer

import (
	"context"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Piece is one token of an answer. Indexes count from 1.
type Piece struct {
	Index identifier.Tokens
	Text  string
}

// Body is what the caller sent: Prompt for a model service, the rest for a
// plain one.
type Body struct {
	Prompt      string
	Method      string
	Path        string
	ContentType string
	Content     []byte
}

// Size returns the number of bytes that b keeps in memory.
func (b Body) Size() identifier.Bytes {
	return identifier.Bytes(len(b.Prompt) + len(b.Method) + len(b.Path) + len(b.ContentType) + len(b.Content))
}

// Reply is the whole answer of a plain service.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Verdict tells whether a request was accepted.
type Verdict struct {
	Accepted bool
	// Refusal is set where Accepted is false.
	Refusal messenger.Refusal
}

// End is the end of an answer.
type End struct {
	Outcome    messenger.Outcome
	Reason     messenger.Reason
	RetryAfter timekeeper.Duration
	// Status, Header and Body are the reply of a plain service.
	Status int
	Header map[string]string
	Body   []byte
	// MovedTo is the caller address of the node that has the request now; it
	// is empty where the request ended here.
	MovedTo string
}

// whole reports whether e is the end of a whole answer.
func (e *End) complete() bool {
	return e != nil && e.MovedTo == "" && e.Outcome == messenger.Done
}

// Place tells where the current attempt runs.
type Placement struct {
	Attempt identifier.AttemptNumber
	Server  identifier.VMID
	Stream  identifier.StreamName
}

// pieceOverhead is the memory of a piece besides its text, its digest included.
const pieceOverhead = 24 + digestSize

// Answer is one request's answer. It is safe for concurrent use.
type Answer struct {
	spec messenger.RequestSpec
	body Body

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced at each change
	placement Placement
	pieces    []Piece
	digests   []Digest // of the pieces up to each
	reply     *Reply
	released  identifier.Tokens
	// replyOut tells that the reply is released.
	replyReleased bool
	// held gates release on what a holder has acknowledged; paused stops it
	// during a handover.
	ackRequired    bool
	paused         bool
	ownerUncertain bool // another node may have the request
	acked          identifier.Tokens
	replyAcked     bool
	verdict        *Verdict
	end            *End
	done           chan struct{} // closed at the end
	movedTo        identifier.VMID
	epoch          identifier.Epoch
	size           identifier.Bytes
	usage          *Usage        // nil once the answer is out of its store
	endRead        chan struct{} // closed once a reader has had the end
	callers        int
}

// Config says what an Answer starts with.
type Config struct {
	Spec messenger.RequestSpec
	Body Body
	// Place is the last attempt known, and Pieces and Reply what it brought,
	// where the answer comes from another node.
	Placement Placement
	Pieces    []Piece
	Reply     *Reply
	// Epoch is the owner's.
	Epoch identifier.Epoch
	// Accepted is set where another node has accepted the request.
	Accepted bool
}

// New returns an answer with nothing held back.
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

// Request returns the request's id.
func (a *Answer) Request() identifier.RequestID { return a.spec.Request }

// Account returns the client account that the answer belongs to.
func (a *Answer) Account() identifier.AccountID { return a.spec.Account }

// Service returns the service that was asked.
func (a *Answer) Service() identifier.ServiceName { return a.spec.Service }

// Spec returns what was asked for.
func (a *Answer) Spec() messenger.RequestSpec { return a.spec }

// Body returns what the caller sent.
func (a *Answer) Body() Body { return a.body }

// Verdict waits until the request is accepted or refused. Its error is a
// *WaitError.
func (a *Answer) Verdict(ctx context.Context) (Verdict, error) {
	var v Verdict
	err := a.wait(ctx, func() bool {
		switch {
		case a.verdict != nil:
			v = *a.verdict
		case a.end != nil:
			// Moved or ended before it was accepted: Read tells the rest.
			v = Verdict{Accepted: true}
		default:
			return false
		}
		return true
	})
	return v, err
}

// Refused reports whether the request ended without having been accepted:
// this node has sent it to no backend server.
func (a *Answer) Refused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.verdict != nil && !a.verdict.Accepted
}

// Read waits until pieces beyond after are released, or the answer has ended,
// and returns both where both are there. The end comes only together with or
// after the last piece. The pieces are the caller's to keep, not to change.
// Its error is a *WaitError.
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

// Over returns a channel that is closed at the end, whether readers may have
// it yet or not.
func (a *Answer) Done() <-chan struct{} { return a.done }

// Seen returns a channel that is closed once a reader has had the end.
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

// visibleEnd returns the end once readers may have it: when all that came
// before it is released, and at once when the answer goes on elsewhere. The
// caller holds a.mu.
func (a *Answer) visibleEnd() *End {
	if a.end == nil || a.end.MovedTo != "" {
		return a.end
	}
	if int(a.released) < len(a.pieces) || (a.reply != nil && !a.replyReleased) {
		return nil
	}
	return a.end
}

// wait blocks until done, which runs with a.mu held, returns true.
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

// notify wakes all waiters. The caller holds a.mu.
func (a *Answer) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// between returns the pieces with indexes in (after, upTo].
func between(pieces []Piece, after, upTo identifier.Tokens) []Piece {
	after = max(after, 0)
	upTo = min(upTo, identifier.Tokens(len(pieces)))
	if after >= upTo {
		return nil
	}
	return pieces[after:upTo:upTo]
}
