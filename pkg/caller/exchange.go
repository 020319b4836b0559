package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxRestarts bounds how often a request that no node knows is sent again.
const maxRestarts = 2

// taker reads the answer out of successful responses, one connection after
// the other.
type taker interface {
	// take reads a response. Its error is a *brokenError where a further
	// connection may bring the rest, a *movedError where another node has
	// it, an *endError where there is no answer, and final otherwise.
	take(e *exchange, node string, response *http.Response) error
	// restart drops what was taken, because the request is sent again.
	restart() error
}

// movedError reports that another node has the request now.
type movedError struct{ to string }

func (e *movedError) Error() string { return "moved to " + e.to }

// exchange is one request on its way to its answer, over any number of
// connections and nodes.
type exchange struct {
	client  *Client
	message message
	taker   taker
	trace   Trace
	started timekeeper.Time
	// progress is when something last arrived.
	progress timekeeper.Time
	// lost is when the request was last attached to a node and fell off, or
	// zero while it is attached.
	lost timekeeper.Time
	// diverged is when a node first said that its answer is not the one whose
	// tokens were taken, or zero.
	diverged timekeeper.Time
	// sentEarlier tells that the request itself is not at hand, so that it
	// can't be sent again.
	sentEarlier bool
	// denied is since when every node that answered said that it does not know
	// the request, or zero.
	denied timekeeper.Time
	// ambiguous tells that a try was sent whose response never came.
	ambiguous bool
	// attached tells that a node answered since the request was last sent.
	attached bool
	// last is the index of the last token taken.
	last  identifier.Tokens
	queue []string
	tried bool
	// hops counts redirects since the last node that answered.
	hops int
	// again is the node that was last tried anew after a silent connection.
	again string
	// cause is why the last try did not end the request.
	cause error
	// beat shows that the present connection is alive.
	beat func()
}

// endError is an end without an answer of a request that had been accepted.
type endError struct{ refusal *RefusalError }

func (e *endError) Error() string { return e.refusal.Error() }

func (c *Client) newExchange(m message, t taker) *exchange {
	if m.terms.Key == "" {
		m.terms.Key = identifier.IdempotencyKey(ulid.Make().String())
	}
	now := c.config.Clock.Now()
	return &exchange{
		client:   c,
		message:  m,
		taker:    t,
		trace:    Trace{Key: m.terms.Key},
		started:  now,
		progress: now,
		beat:     func() {},
	}
}

// run tries nodes until the answer is whole, the request is refused for good,
// or there was no progress for too long.
func (e *exchange) run(ctx context.Context) error {
	for {
		node, err := e.nextNode(ctx)
		if err != nil {
			return e.giveUp(err)
		}
		done, err := e.judge(ctx, e.try(ctx, node))
		e.trace.Total = e.since(e.started)
		if done {
			return err
		}
		e.cause = err
		if e.since(e.progress) > e.client.config.ProgressTimeout || ctx.Err() != nil {
			return e.giveUp(err)
		}
		if err := e.restartIfGone(); err != nil {
			return err
		}
	}
}

func (e *exchange) now() timekeeper.Time { return e.client.config.Clock.Now() }

func (e *exchange) since(t timekeeper.Time) timekeeper.Duration { return e.now().Sub(t) }

// nextNode returns the node for the next try. Once all nodes were tried in
// vain it waits, and asks for addresses again.
func (e *exchange) nextNode(ctx context.Context) (string, error) {
	if len(e.queue) == 0 {
		if err := e.refill(ctx); err != nil {
			return "", err
		}
	}
	node := e.queue[0]
	e.queue = e.queue[1:]
	return node, nil
}

func (e *exchange) refill(ctx context.Context) error {
	if e.tried {
		if err := pause(ctx, e.client.config.RetryDelay); err != nil {
			return err
		}
		e.client.expire(e.message.service)
	}
	e.tried = true
	nodes, err := e.addresses(ctx)
	if err != nil {
		return err
	}
	e.queue = e.client.everyNode(nodes)
	if len(e.queue) == 0 {
		return &NoNodeError{Cause: nil}
	}
	return nil
}

// addresses returns the nodes to use. A request that is on its way already
// goes on with the configured nodes where none gives out addresses; a fresh
// one comes back later, if a node says that this makes sense.
func (e *exchange) addresses(ctx context.Context) ([]Node, error) {
	for {
		nodes, err := e.client.Addresses(ctx, e.message.service)
		var refusal *RefusalError
		switch {
		case err == nil:
			return nodes, nil
		case ctx.Err() != nil:
			return nil, err
		case e.ambiguous || e.trace.Request != "" || !errors.As(err, &refusal):
			return nil, nil
		case refusal.RetryAfter == 0 || e.late(refusal.RetryAfter):
			return nil, refusal
		}
		if err := pause(ctx, jittered(refusal.RetryAfter)); err != nil {
			return nil, refusal
		}
	}
}

func pause(ctx context.Context, d timekeeper.Duration) error {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// try opens one connection and takes what it brings. A connection on which
// nothing arrives for too long is cut: it may have been forgotten by something
// between here and the node, and would then stay open and silent for good.
func (e *exchange) try(ctx context.Context, node string) error {
	bounded, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := e.answerTime(node)
	timer := time.AfterFunc(limit.Std(), func() { cancel(&silentError{after: limit}) })
	defer timer.Stop()
	e.beat = func() {
		e.progress = e.now()
		timer.Reset(e.client.config.StreamIdleTimeout.Std())
	}
	r, err := e.request(bounded, node)
	if err != nil {
		return err
	}
	response, err := e.client.do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return e.receive(node, response)
}

// answerTime bounds the wait for the headers of a response. Those of a whole
// answer come only with its end. A node that has just gone silent gets less: a
// frozen one takes new connections, too, and never answers on them.
func (e *exchange) answerTime(node string) timekeeper.Duration {
	switch {
	case node == e.again:
		return e.client.config.StreamIdleTimeout
	case !e.message.stream && e.message.terms.Deadline > 0:
		return e.message.terms.Deadline
	}
	return e.client.config.AnswerTimeout
}

func (e *exchange) request(ctx context.Context, node string) (*http.Request, error) {
	if e.trace.Request != "" {
		return e.message.reattach(ctx, e.client, node, e.trace.Request, e.trace.LastEventID)
	}
	remaining := e.message.terms.Deadline
	if remaining > 0 {
		remaining -= e.since(e.started)
		if remaining <= 0 {
			return nil, &RefusalError{
				Status:  http.StatusGatewayTimeout,
				Reason:  "deadline_expired",
				Title:   "deadline passed before the request could be sent",
				Outcome: OutcomeNotRun,
			}
		}
	}
	return e.message.send(ctx, e.client, node, remaining)
}

func (e *exchange) receive(node string, response *http.Response) error {
	if request := response.Header.Get(headerRequest); request != "" {
		e.trace.Request = identifier.RequestID(request)
	}
	if next, ok := redirected(response); ok {
		return &movedError{to: next}
	}
	if response.StatusCode != http.StatusOK && response.Header.Get(headerOutcome) == "" {
		return readProblem(node, response)
	}
	e.attach(node)
	return e.taker.take(e, node, response)
}

func (e *exchange) attach(node string) {
	if len(e.trace.Nodes) > 0 {
		e.trace.Reattached++
	}
	e.trace.Nodes = append(e.trace.Nodes, node)
	e.attached = true
	e.lost = 0
	e.denied = 0
	e.hops = 0
	e.beat()
}

// judge decides what the end of a try means, and reports whether the request
// is at its end.
func (e *exchange) judge(ctx context.Context, err error) (bool, error) {
	var (
		moved   *movedError
		broken  *brokenError
		ended   *endError
		refusal *RefusalError
	)
	switch {
	case err == nil:
		return true, nil
	case hasDiverged(err):
		e.markDiverged()
		return false, err
	case errors.As(err, &moved):
		e.follow(moved.to)
		return false, err
	case errors.As(err, &broken):
		e.fellOff(broken)
		return false, err
	case errors.As(err, &ended):
		return e.judgeEnd(ctx, ended.refusal)
	case errors.As(err, &refusal) && e.attached:
		return e.judgeReattach(refusal)
	case errors.As(err, &refusal):
		return e.judgeRefusal(ctx, refusal)
	}
	return true, err
}

// follow puts the node that has the request first. The others stay behind it,
// in case that it is gone too. Two nodes that each take the other for the
// owner, while news travels, are left after a few turns.
func (e *exchange) follow(node string) {
	e.markLost()
	e.denied = 0
	e.hops++
	if e.hops > maxRedirects {
		e.hops = 0
		return
	}
	e.queue = append([]string{node}, e.queue...)
}

// fellOff handles a connection that broke. One that went silent is opened
// anew to the same node first: the node is more likely to be well than not,
// and it has the answer.
func (e *exchange) fellOff(broken *brokenError) {
	if broken.sent {
		e.denied = 0
		e.ambiguous = e.ambiguous || e.trace.Request == ""
	}
	if e.trace.Request != "" {
		e.markLost()
	}
	var silent *silentError
	if errors.As(broken, &silent) && e.again != broken.node {
		e.again = broken.node
		e.queue = append([]string{broken.node}, e.queue...)
		return
	}
	e.again = ""
}

// hasDiverged reports whether a node said that its answer differs from what
// was taken.
func hasDiverged(err error) bool {
	var (
		ended   *endError
		refusal *RefusalError
	)
	if errors.As(err, &ended) {
		refusal = ended.refusal
	}
	return (refusal != nil || errors.As(err, &refusal)) && refusal.Reason == reasonAnswerDiverged
}

// markDiverged notes that a node has another answer. Its tokens can't follow
// those that were taken: engines sample, and the two would join to a text that
// no model wrote. The other nodes are asked meanwhile: the node whose answer
// it was may only have been out of reach.
func (e *exchange) markDiverged() {
	e.markLost()
	if e.diverged == 0 {
		e.diverged = e.now()
	}
}

func (e *exchange) markDenied() {
	if e.denied == 0 {
		e.denied = e.now()
	}
}

func (e *exchange) markLost() {
	if e.lost == 0 {
		e.lost = e.now()
	}
}

// judgeReattach handles a node that did not go on with an accepted request.
// What it says is about itself: the request is looked for at other nodes.
func (e *exchange) judgeReattach(refusal *RefusalError) (bool, error) {
	e.markLost()
	if refusal.Reason == reasonUnknownRequest {
		e.markDenied()
		return false, refusal
	}
	e.denied = 0
	switch {
	case refusal.Outcome != OutcomeNotRun:
		return true, refusal
	case refusal.Status >= http.StatusInternalServerError, refusal.Status == http.StatusTooManyRequests:
		return false, refusal
	}
	return true, e.lostError(refusal)
}

// judgeEnd handles an accepted request that ended without its answer.
func (e *exchange) judgeEnd(ctx context.Context, refusal *RefusalError) (bool, error) {
	if refusal.Outcome != OutcomeNotRun || e.last > 0 || e.message.path == "" {
		return true, refusal // A resumed request can't be sent again.
	}
	e.attached = false
	return e.judgeRefusal(ctx, refusal)
}

// judgeRefusal handles a request that was not accepted. It comes back when
// the refusal says that this makes sense.
func (e *exchange) judgeRefusal(ctx context.Context, refusal *RefusalError) (bool, error) {
	if e.lost != 0 && refusal.Reason == reasonUnknownRequest {
		return false, refusal
	}
	elsewhere := refusal.Reason == reasonNodeLeaving && len(e.queue) > 0
	if !mayRepeat(refusal) || !elsewhere && e.late(refusal.RetryAfter) {
		return true, e.truth(refusal)
	}
	e.trace.Request = ""
	e.lost = 0
	if elsewhere {
		return false, refusal
	}
	if err := pause(ctx, jittered(refusal.RetryAfter)); err != nil {
		return true, e.truth(refusal)
	}
	return false, refusal
}

// mayRepeat reports whether a refused request may be sent again under its key.
// A node that can't tell whether another one runs the key says unknown, with a
// time to come back: the same key runs at most once, and the next node to take
// it knows what became of it.
func mayRepeat(refusal *RefusalError) bool {
	known := refusal.Outcome == OutcomeNotRun || refusal.Outcome == OutcomeUnknown
	return known && refusal.RetryAfter > 0
}

// jitterShare is the part of a wait that is added at random.
const jitterShare = 4

// jittered returns d and up to a quarter more, so that callers refused at the
// same moment do not come back at the same moment.
func jittered(d timekeeper.Duration) timekeeper.Duration {
	return d + rand.N(d/jitterShare+1)
}

// late reports whether a wait of d would pass the deadline, or the patience.
func (e *exchange) late(d timekeeper.Duration) bool {
	if deadline := e.message.terms.Deadline; deadline > 0 && e.since(e.started)+d >= deadline {
		return true
	}
	return e.since(e.progress)+d > e.client.config.ProgressTimeout
}

// truth returns a refusal as far as it can be believed. A node that says "not
// run" speaks of what it was sent; where an earlier try got no response, the
// node that had it may have run it all the same.
func (e *exchange) truth(refusal *RefusalError) error {
	if e.ambiguous && refusal.Outcome == OutcomeNotRun {
		return e.lostError(refusal)
	}
	return refusal
}

// restartIfGone ends a request whose answer no node has gone on with for so
// long that none will.
func (e *exchange) restartIfGone() error {
	if e.diverged == 0 {
		return e.restartIfLost()
	}
	if e.since(e.diverged) < e.client.config.SearchTimeout {
		return nil
	}
	return e.divergedError(e.cause)
}

func (e *exchange) divergedError(cause error) error {
	return &DivergedError{
		Request:  e.trace.Request,
		Key:      e.message.terms.Key,
		Received: e.last,
		Cause:    cause,
	}
}

// restartIfLost sends the request again under its key once no node has known
// it for so long that none will adopt it any more.
func (e *exchange) restartIfLost() error {
	if e.lost == 0 || e.since(e.lost) < e.client.config.SearchTimeout && !e.forgotten() {
		return nil
	}
	if e.sentEarlier || e.trace.Restarted == maxRestarts {
		return e.lostError(e.cause)
	}
	if err := e.taker.restart(); err != nil {
		return err
	}
	e.trace.Restarted++
	e.trace.Request = ""
	e.ambiguous = true
	e.attached = false
	e.lost = 0
	e.denied = 0
	e.last = 0
	e.trace.LastEventID = ""
	return nil
}

// forgotten reports whether the request can be taken to have ended with its
// node. Only long requests have a copy elsewhere, and a node that is asked asks
// its peers for the copy. So a short request of a dead node has no node that
// will adopt it; to look for it for as long as for a long one makes it late.
// A node that is out of reach and may have it answers nobody, and then neither
// its silence nor a redirect to it counts as a denial.
func (e *exchange) forgotten() bool {
	return e.denied != 0 && e.message.path != "" && e.since(e.denied) >= e.client.config.UnknownRequestTimeout
}

// giveUp returns the error for a request whose answer did not come in time.
func (e *exchange) giveUp(cause error) error {
	var refusal *RefusalError
	switch {
	case e.diverged != 0:
		return e.divergedError(cause)
	case e.ambiguous || e.attached || e.trace.Request != "":
		return e.lostError(cause)
	case errors.As(cause, &refusal):
		return refusal
	}
	return &NoNodeError{Cause: cause}
}

func (e *exchange) lostError(cause error) error {
	return &UnknownOutcomeError{
		Request:  e.trace.Request,
		Key:      e.message.terms.Key,
		Received: e.last,
		Cause:    cause,
	}
}
