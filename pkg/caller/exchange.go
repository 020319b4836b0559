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

// maxRestarts is the maximum number of times that a request unknown to all
// nodes is sent again.
const maxRestarts = 2

// responseReader reads an answer from the successful responses of successive
// connections.
type responseReader interface {
	// read reads a response. Its error is a *connectionError if another
	// connection may deliver the rest, a *movedError if another node owns the
	// request, and a *failedError if the request ended without an answer. Any
	// other error is final.
	read(e *exchange, node string, response *http.Response) error
	// reset discards what was read, because the request is sent again.
	reset() error
}

// movedError reports that another node now owns the request.
type movedError struct{ to string }

func (e *movedError) Error() string { return "moved to " + e.to }

// exchange sends one request and receives its answer over any number of
// connections and nodes.
type exchange struct {
	client    *Client
	message   message
	reader    responseReader
	trace     Trace
	startedAt timekeeper.Time
	// progressAt is the time at which data last arrived.
	progressAt timekeeper.Time
	// detachedAt is the time at which the connection to the node that served
	// the request was lost. It is zero while the request is attached.
	detachedAt timekeeper.Time
	// divergedAt is the time at which a node first reported that its answer
	// differs from the tokens received, or zero.
	divergedAt timekeeper.Time
	// resumed is set for Resume, which does not have the request itself and
	// can't send it again.
	resumed bool
	// unknownSince is the time from which every responding node has reported
	// the request as unknown, or zero.
	unknownSince timekeeper.Time
	// roundStartedAt is the time from which the nodes in the queue are tried.
	roundStartedAt timekeeper.Time
	// maybeSent reports whether a node may have received the request without
	// responding.
	maybeSent bool
	// attached reports whether a node has answered since the request was last
	// sent.
	attached bool
	// lastToken is the index of the last token received.
	lastToken   identifier.Tokens
	queue       []string
	queueFilled bool
	// redirects counts the redirects since a node last answered.
	redirects int
	// retriedNode is the node that was last retried after an idle timeout.
	retriedNode string
	// lastErr is the error of the last attempt.
	lastErr error
	// onActivity resets the idle timeout of the current connection.
	onActivity func()
}

// failedError reports that an accepted request ended without an answer.
type failedError struct{ refusal *RefusalError }

func (e *failedError) Error() string { return e.refusal.Error() }

func (c *Client) newExchange(m message, t responseReader) *exchange {
	if m.options.Key == "" {
		m.options.Key = identifier.IdempotencyKey(ulid.Make().String())
	}
	now := c.config.Clock.Now()
	return &exchange{
		client:     c,
		message:    m,
		reader:     t,
		trace:      Trace{Key: m.options.Key},
		startedAt:  now,
		progressAt: now,
		onActivity: func() {},
	}
}

// run tries nodes until the answer is complete, the request is finally refused,
// or a timeout expires.
func (e *exchange) run(ctx context.Context) error {
	for {
		node, err := e.nextNode(ctx)
		if err != nil {
			return e.finalError(err)
		}
		done, err := e.handleResult(ctx, e.try(ctx, node))
		e.trace.Total = e.since(e.startedAt)
		if done {
			return err
		}
		e.lastErr = err
		if e.since(e.progressAt) > e.client.config.ProgressTimeout || ctx.Err() != nil {
			return e.finalError(err)
		}
		if err := e.checkSearchTimeout(); err != nil {
			return err
		}
	}
}

func (e *exchange) now() timekeeper.Time { return e.client.config.Clock.Now() }

func (e *exchange) since(t timekeeper.Time) timekeeper.Duration { return e.now().Sub(t) }

// nextNode returns the node for the next attempt. After all nodes have failed
// it waits and requests addresses again.
func (e *exchange) nextNode(ctx context.Context) (string, error) {
	if len(e.queue) == 0 {
		if err := e.refillQueue(ctx); err != nil {
			return "", err
		}
	}
	node := e.queue[0]
	e.queue = e.queue[1:]
	return node, nil
}

func (e *exchange) refillQueue(ctx context.Context) error {
	if e.queueFilled {
		if err := sleep(ctx, e.client.config.RetryDelay); err != nil {
			return err
		}
		e.client.expire(e.message.service)
	}
	e.queueFilled = true
	nodes, err := e.addresses(ctx)
	if err != nil {
		return err
	}
	e.queue = e.client.allNodes(nodes)
	e.roundStartedAt = e.now()
	if len(e.queue) == 0 {
		return &NoNodeError{Cause: nil}
	}
	return nil
}

// addresses returns the nodes to use. If no node provides addresses, a request
// that may have been sent falls back to the configured nodes. A request that
// was not sent waits and retries as the refusal states.
func (e *exchange) addresses(ctx context.Context) ([]Node, error) {
	for {
		nodes, err := e.client.Addresses(ctx, e.message.service)
		var refusal *RefusalError
		switch {
		case err == nil:
			return nodes, nil
		case ctx.Err() != nil:
			return nil, err
		case e.maybeSent || e.trace.Request != "" || !errors.As(err, &refusal):
			return nil, nil
		case refusal.RetryAfter == 0 || e.exceedsTimeLimit(refusal.RetryAfter):
			return nil, refusal
		}
		if err := sleep(ctx, jittered(refusal.RetryAfter)); err != nil {
			return nil, refusal
		}
	}
}

func sleep(ctx context.Context, d timekeeper.Duration) error {
	timer := time.NewTimer(d.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// try sends one HTTP request to a node and reads the response. It closes a
// connection on which no data arrives in time, because a middlebox may have
// dropped its state, and it would then never receive data again.
func (e *exchange) try(ctx context.Context, node string) error {
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := e.responseTimeout(node)
	timer := time.AfterFunc(limit.Std(), func() { cancel(&idleTimeoutError{after: limit}) })
	defer timer.Stop()
	e.onActivity = func() {
		e.progressAt = e.now()
		timer.Reset(e.client.config.StreamIdleTimeout.Std())
	}
	r, err := e.newRequest(tryCtx, node)
	if err != nil {
		return err
	}
	response, err := e.client.do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return e.readResponse(node, response)
}

// responseTimeout returns the longest wait for the headers of a response. The
// headers of an answer without streaming arrive only when it is complete. After
// an idle timeout the wait is shorter, since a frozen node still accepts
// connections but never answers.
func (e *exchange) responseTimeout(node string) timekeeper.Duration {
	switch {
	case node == e.retriedNode:
		return e.client.config.StreamIdleTimeout
	case !e.message.stream && e.message.options.Deadline > 0:
		return e.message.options.Deadline
	}
	return e.client.config.AnswerTimeout
}

func (e *exchange) newRequest(ctx context.Context, node string) (*http.Request, error) {
	if e.trace.Request != "" {
		return e.message.reattachRequest(ctx, e.client, node, e.trace.Request, e.trace.LastEventID)
	}
	remaining := e.message.options.Deadline
	if remaining > 0 {
		remaining -= e.since(e.startedAt)
		if remaining <= 0 {
			return nil, &RefusalError{
				Status:  http.StatusGatewayTimeout,
				Reason:  "deadline_expired",
				Title:   "deadline passed before the request could be sent",
				Outcome: OutcomeNotRun,
			}
		}
	}
	return e.message.sendRequest(ctx, e.client, node, remaining)
}

func (e *exchange) readResponse(node string, response *http.Response) error {
	if request := response.Header.Get(headerRequest); request != "" {
		e.trace.Request = identifier.RequestID(request)
	}
	if next, ok := redirectTarget(response); ok {
		return &movedError{to: next}
	}
	if response.StatusCode != http.StatusOK && response.Header.Get(headerOutcome) == "" {
		return readProblem(node, response)
	}
	e.markAttached(node)
	return e.reader.read(e, node, response)
}

func (e *exchange) markAttached(node string) {
	if len(e.trace.Nodes) > 0 {
		e.trace.Reattached++
	}
	e.trace.Nodes = append(e.trace.Nodes, node)
	e.attached = true
	e.detachedAt = 0
	e.unknownSince = 0
	e.redirects = 0
	e.onActivity()
}

// handleResult handles the result of an attempt and reports whether the request
// has ended.
func (e *exchange) handleResult(ctx context.Context, err error) (bool, error) {
	var (
		moved   *movedError
		connErr *connectionError
		failed  *failedError
		refusal *RefusalError
	)
	switch {
	case err == nil:
		return true, nil
	case isDiverged(err):
		e.markDiverged()
		return false, err
	case errors.As(err, &moved):
		e.followRedirect(moved.to)
		return false, err
	case errors.As(err, &connErr):
		e.handleConnectionError(connErr)
		return false, err
	case errors.As(err, &failed):
		return e.handleFailure(ctx, failed.refusal)
	case errors.As(err, &refusal) && e.attached:
		return e.handleReattachRefusal(refusal)
	case errors.As(err, &refusal):
		return e.handleRefusal(ctx, refusal)
	}
	return true, err
}

// followRedirect puts the node that owns the request at the head of the queue.
// The other nodes remain queued in case it fails too. While updates propagate,
// two nodes may each regard the other as the owner, so the number of successive
// redirects is limited.
func (e *exchange) followRedirect(node string) {
	e.markDetached()
	e.unknownSince = 0
	e.redirects++
	if e.redirects > maxRedirects {
		e.redirects = 0
		return
	}
	e.queue = append([]string{node}, e.queue...)
}

// handleConnectionError handles a failed connection. After an idle timeout it
// retries the same node once, which is probably healthy and owns the answer.
func (e *exchange) handleConnectionError(connErr *connectionError) {
	if connErr.sent {
		e.unknownSince = 0
		e.maybeSent = e.maybeSent || e.trace.Request == ""
	}
	if e.trace.Request != "" {
		e.markDetached()
	}
	var idle *idleTimeoutError
	if errors.As(connErr, &idle) && e.retriedNode != connErr.node {
		e.retriedNode = connErr.node
		e.queue = append([]string{connErr.node}, e.queue...)
		return
	}
	e.retriedNode = ""
}

// isDiverged reports whether a node reported that its answer differs from the
// tokens received.
func isDiverged(err error) bool {
	var (
		ended   *failedError
		refusal *RefusalError
	)
	if errors.As(err, &ended) {
		refusal = ended.refusal
	}
	return (refusal != nil || errors.As(err, &refusal)) && refusal.Reason == reasonAnswerDiverged
}

// markDiverged records that a node has a different answer. Its tokens can't be
// appended to those received: engines sample, and the result would be a text
// that no model generated. Other nodes are still tried, since the node with the
// original answer may be only temporarily unreachable.
func (e *exchange) markDiverged() {
	e.markDetached()
	if e.divergedAt == 0 {
		e.divergedAt = e.now()
	}
}

func (e *exchange) markUnknown() {
	if e.unknownSince == 0 {
		e.unknownSince = e.now()
	}
}

func (e *exchange) markDetached() {
	if e.detachedAt == 0 {
		e.detachedAt = e.now()
	}
}

// handleReattachRefusal handles a refusal to continue an accepted request. A
// refusal that concerns only that node leads to a search on the other nodes.
func (e *exchange) handleReattachRefusal(refusal *RefusalError) (bool, error) {
	e.markDetached()
	if refusal.Reason == reasonUnknownRequest {
		e.markUnknown()
		return false, refusal
	}
	e.unknownSince = 0
	switch {
	case refusal.Outcome != OutcomeNotRun:
		return true, refusal
	case refusal.Status >= http.StatusInternalServerError, refusal.Status == http.StatusTooManyRequests:
		return false, refusal
	}
	return true, e.unknownOutcomeError(refusal)
}

// handleFailure handles an accepted request that ended without an answer.
func (e *exchange) handleFailure(ctx context.Context, refusal *RefusalError) (bool, error) {
	if refusal.Outcome != OutcomeNotRun || e.lastToken > 0 || e.message.path == "" {
		return true, refusal // A resumed request can't be sent again.
	}
	e.attached = false
	return e.handleRefusal(ctx, refusal)
}

// handleRefusal handles a request that was not accepted. It retries as the
// refusal states.
func (e *exchange) handleRefusal(ctx context.Context, refusal *RefusalError) (bool, error) {
	if e.detachedAt != 0 && refusal.Reason == reasonUnknownRequest {
		return false, refusal
	}
	tryNextNode := refusal.Reason == reasonNodeLeaving && len(e.queue) > 0
	if !mayResend(refusal) || !tryNextNode && e.exceedsTimeLimit(refusal.RetryAfter) {
		return true, e.finalRefusal(refusal)
	}
	e.trace.Request = ""
	e.detachedAt = 0
	if tryNextNode {
		return false, refusal
	}
	if err := sleep(ctx, jittered(refusal.RetryAfter)); err != nil {
		return true, e.finalRefusal(refusal)
	}
	return false, refusal
}

// mayResend reports whether a refused request may be sent again with its key.
// This includes an unknown outcome with a retry time, which a node reports if
// it can't determine whether another node runs the key: a key runs at most
// once, and the next node that accepts it knows the outcome.
func mayResend(refusal *RefusalError) bool {
	resendable := refusal.Outcome == OutcomeNotRun || refusal.Outcome == OutcomeUnknown
	return resendable && refusal.RetryAfter > 0
}

// jitterDivisor is the ratio of a wait to its maximum random extension.
const jitterDivisor = 4

// jittered returns d extended at random, so that callers refused at the same
// time do not retry at the same time.
func jittered(d timekeeper.Duration) timekeeper.Duration {
	return d + rand.N(d/jitterDivisor+1)
}

// exceedsTimeLimit reports whether a wait of d would exceed the deadline or the
// progress timeout.
func (e *exchange) exceedsTimeLimit(d timekeeper.Duration) bool {
	if deadline := e.message.options.Deadline; deadline > 0 && e.since(e.startedAt)+d >= deadline {
		return true
	}
	return e.since(e.progressAt)+d > e.client.config.ProgressTimeout
}

// finalRefusal returns the error for a final refusal. A node that reports "not
// run" refers only to what it received. If an earlier attempt got no response,
// its node may have run the request, and the outcome is unknown.
func (e *exchange) finalRefusal(refusal *RefusalError) error {
	if e.maybeSent && refusal.Outcome == OutcomeNotRun {
		return e.unknownOutcomeError(refusal)
	}
	return refusal
}

// checkSearchTimeout returns an error if no node has continued a diverged
// answer in time. For other requests it calls resendIfUnknown.
func (e *exchange) checkSearchTimeout() error {
	if e.divergedAt == 0 {
		return e.resendIfUnknown()
	}
	if e.since(e.divergedAt) < e.client.config.SearchTimeout {
		return nil
	}
	return e.divergedError(e.lastErr)
}

func (e *exchange) divergedError(cause error) error {
	return &DivergedError{
		Request:  e.trace.Request,
		Key:      e.message.options.Key,
		Received: e.lastToken,
		Cause:    cause,
	}
}

// resendIfUnknown prepares the request to be sent again with its key once no
// node can be expected to adopt it any more.
func (e *exchange) resendIfUnknown() error {
	if e.detachedAt == 0 || e.since(e.detachedAt) < e.client.config.SearchTimeout && !e.unknownEverywhere() {
		return nil
	}
	if e.resumed || e.trace.Restarted == maxRestarts {
		return e.unknownOutcomeError(e.lastErr)
	}
	if err := e.reader.reset(); err != nil {
		return err
	}
	e.trace.Restarted++
	e.trace.Request = ""
	e.maybeSent = true
	e.attached = false
	e.detachedAt = 0
	e.unknownSince = 0
	e.lastToken = 0
	e.trace.LastEventID = ""
	return nil
}

// unknownEverywhere reports whether the request can be assumed to have ended
// with its node. Only long requests have a copy on another node, and a node
// that is asked for a request queries its peers for the copy. No node adopts a
// short request of a failed node, so a full search would only delay it. Neither
// a missing response nor a redirect to an unreachable node counts as a report
// that the request is unknown, since that node may still have it. All nodes must
// have been tried since the first report: one slow node must not be left out.
func (e *exchange) unknownEverywhere() bool {
	if e.unknownSince == 0 || e.message.path == "" {
		return false
	}
	allTried := len(e.queue) == 0 && !e.roundStartedAt.Before(e.unknownSince)
	return allTried && e.since(e.unknownSince) >= e.client.config.UnknownRequestTimeout
}

// finalError returns the error for a request that got no answer in time.
func (e *exchange) finalError(cause error) error {
	var refusal *RefusalError
	switch {
	case e.divergedAt != 0:
		return e.divergedError(cause)
	case e.maybeSent || e.attached || e.trace.Request != "":
		return e.unknownOutcomeError(cause)
	case errors.As(cause, &refusal):
		return refusal
	}
	return &NoNodeError{Cause: cause}
}

func (e *exchange) unknownOutcomeError(cause error) error {
	return &UnknownOutcomeError{
		Request:  e.trace.Request,
		Key:      e.message.options.Key,
		Received: e.lastToken,
		Cause:    cause,
	}
}
