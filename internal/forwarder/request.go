package forwarder

import (
	"errors"
	"net/http"
	"os"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxDecisionTime is the age from which a decision is not carried out: less than the half second
// within which nodes must heed what servers state, and more than a round trip to the nodes that
// grant limits, permits and slots.
const maxDecisionTime = 400 * timekeeper.Millisecond

// exchange is the state of one request and its answer.
type exchange struct {
	forwarder *Forwarder
	id        identifier.ExchangeID
	w         http.ResponseWriter
	r         *http.Request
	received  timekeeper.Time
	head      Head
	body      []byte
	content   identifier.ContentHash

	attempts int
	server   identifier.VMID
	// connection is that of the last attempt.
	connection *connection
	// addresses are those of the attempts so far.
	addresses []string
	// unreleased is the last attempt if its server may still work on the request, or nil.
	unreleased *unreleasedAttempt
	// lastEvent is the id of the last event that the caller received, over all
	// attempts.
	lastEvent string
	// headSent reports that the head of the answer was sent to the caller.
	headSent bool
	// serverFailure is a server's error answer, passed on if no later attempt succeeds.
	serverFailure *bufferedAnswer
	// statedLimit is the limit that the server of the last attempt stated.
	statedLimit messenger.StatedLimit
	// serverLeaving reports that the server of the last attempt stated that it is leaving.
	serverLeaving bool
	// askedAgain reports that a stale decision was asked for once more.
	askedAgain bool
	// brittle reports that the server of the last attempt stated that it is brittle.
	brittle bool
	// backoff is the time for which the server of the last attempt asked this node to
	// send it no requests.
	backoff       timekeeper.Duration
	responseBegan bool
	status        int
	// inputs are those of the last decision, for the log.
	inputs messenger.DecisionInputs
	// timeToFirst is the time until the first byte or event, lastEventAt the time of
	// the last event, and longestGap the longest time between two events.
	timeToFirst timekeeper.Duration
	lastEventAt timekeeper.Time
	longestGap  timekeeper.Duration
	// eventCount is the number of events of the current attempt, the first at
	// firstEventAt.
	eventCount   int
	firstEventAt timekeeper.Time
}

// readRequest reads the whole request before anything is sent, so that no server
// receives part of a request if the caller disconnects. It returns false if the caller
// has been answered.
func (x *exchange) readRequest() bool {
	head, err := x.forwarder.config.Protocol.ReadHead(x.r)
	if err != nil {
		x.reject(http.StatusBadRequest, err)
		return false
	}
	x.head = head
	x.lastEvent = head.LastEvent
	limit := x.forwarder.maxBody()
	if x.r.ContentLength > int64(limit) {
		x.reject(http.StatusRequestEntityTooLarge, nil)
		return false
	}
	x.body, err = x.readBody(limit)
	if err == nil {
		x.content = hashContent(x.r, x.body)
		return true
	}
	var (
		tooLarge *http.MaxBytesError
		full     *BodiesFullError
	)
	switch {
	case errors.As(err, &tooLarge):
		x.reject(http.StatusRequestEntityTooLarge, err)
	case errors.As(err, &full):
		x.w.Header().Set("Connection", "close")
		x.unavailable("bodies_held", refusalRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.reject(http.StatusRequestTimeout, err)
	default:
		// The caller disconnected, or sent a malformed body.
		x.reject(http.StatusBadRequest, err)
	}
	return false
}

func (f *Forwarder) maxBody() identifier.Bytes {
	if f.config.MaxBody != nil {
		if n := f.config.MaxBody(); n > 0 {
			return n
		}
	}
	return defaultMaxBody
}

func (x *exchange) spec() messenger.ExchangeSpec {
	return messenger.ExchangeSpec{
		Exchange:       x.id,
		Request:        x.head.Request,
		Host:           hostName(x.r.Host),
		Path:           requestPath(x.r),
		Key:            x.head.Key,
		Received:       x.received,
		TimeLimit:      x.head.TimeLimit,
		PromptTokens:   x.head.PromptTokens,
		MaxTokens:      x.head.MaxTokens,
		Prefix:         x.head.Prefix,
		Resumes:        x.head.Resumes,
		Content:        x.content,
		ResumedRequest: x.head.Resumed,
		LengthHint:     x.head.LengthHint,
	}
}

// hashContent returns a hash by which a repeated request is recognized. It omits the
// headers, since a caller that retries sends another id, remaining time and last event.
// It includes the query only if there is no body, since the query then distinguishes
// requests with the same path.
func hashContent(r *http.Request, body []byte) identifier.ContentHash {
	target := requestPath(r)
	if len(body) == 0 {
		target = r.RequestURI
	}
	h := xxhash.New()
	for _, part := range []string{r.Method, hostName(r.Host), target} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return identifier.ContentHash(h.Sum64())
}

// run executes the decider's effects until the caller is answered.
func (x *exchange) run() {
	f := x.forwarder
	ctx := x.r.Context()
	asked := f.config.Clock.Now()
	decision := f.config.Decider.Receive(ctx, x.spec())
	for {
		send, ok := decision.(messenger.SendExchange)
		if !ok {
			x.finish(decision)
			return
		}
		x.attempts++
		x.server = send.Server
		x.statedLimit = messenger.StatedLimit{}
		x.serverLeaving = false
		x.brittle = false
		x.backoff = 0
		x.inputs = send.Inputs
		var end attemptEnd
		if send.From.Given() {
			// The decision waited for the memory to be copied.
			asked = send.Decided
		}
		attempt := send.Attempt
		switch previous := x.unreleased; {
		case !x.awaitUnreleased(ctx, send):
			end = x.endUnreleased()
			attempt = previous.send.Attempt
		case x.isStale(asked):
			end = x.staleDecision()
		default:
			end = x.attempt(ctx, send)
		}
		if end.done {
			f.config.Decider.Ended(messenger.ExchangeEnded{
				Exchange:       x.id,
				Attempt:        attempt,
				Result:         end.result,
				ServerEnded:    end.serverEnded,
				Events:         x.eventCount,
				EventsDuration: x.lastEventAt.Sub(x.firstEventAt),
			})
			x.log(end.result, end.reason)
			if end.abort {
				panic(http.ErrAbortHandler)
			}
			return
		}
		x.logAttempt(send, end)
		if end.takeover.decided() {
			decision = end.takeover.send
			asked = end.takeover.asked
			continue
		}
		asked = f.config.Clock.Now()
		decision = f.config.Decider.AttemptEnded(ctx, messenger.ExchangeAttemptEnded{
			Exchange:    x.id,
			Attempt:     send.Attempt,
			Server:      send.Server,
			Result:      end.result,
			Streaming:   x.headSent,
			RetryAfter:  end.retryAfter,
			Backoff:     x.backoff,
			ServerEnded: end.serverEnded,
			PathFailed:  end.pathFailed,
			Stale:       end.stale,
			Events:      x.eventCount,
		})
	}
}

// isStale reports whether a decision took so long that a server may have stated something
// since that it does not take into account. It is asked for once more, no more often, as
// decisions of other nodes may be part of it.
func (x *exchange) isStale(asked timekeeper.Time) bool {
	return !x.askedAgain && x.forwarder.config.Clock.Now().Sub(asked) > maxDecisionTime
}

// staleDecision ends an attempt before anything is sent.
func (x *exchange) staleDecision() attemptEnd {
	x.askedAgain = true
	x.connection = &connection{}
	x.forwarder.config.Metrics.decidedLate()
	return attemptEnd{
		result:     messenger.AttemptNotSent,
		reason:     "stale decision",
		pathFailed: true,
		stale:      true,
	}
}

// finish answers the caller after an effect that starts no attempt.
func (x *exchange) finish(decision messenger.Effect) {
	switch d := decision.(type) {
	case messenger.RefuseExchange:
		x.inputs = d.Inputs
		x.refuse(d.Refusal)
	case messenger.EndExchange:
		x.fail(d.Reason)
	default:
		if x.attempts > 0 {
			x.fail(messenger.ReasonLeaving)
			return
		}
		x.unavailable(string(messenger.ReasonLeaving), refusalRetryAfter)
	}
}
