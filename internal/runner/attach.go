package runner

import (
	"context"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// adoptionTimeout is the time for which a caller waits at the holder of a
	// copy until the holder adopts the request. adoptionCheckInterval is the
	// time between checks.
	adoptionTimeout       = 15 * time.Second
	adoptionCheckInterval = 50 * time.Millisecond
)

// Attach attaches the caller to the answer of a request that its account sent
// earlier.
func (r *Runner) Attach(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	a, err := r.find(ctx, request, account)
	if err != nil {
		return nil, err
	}
	r.attachCaller(ctx, a)
	return a, nil
}

// find returns the answer of a request that this node owns. If another node has
// the request, the error is an *answerer.NotOwnerError.
func (r *Runner) find(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	if a, ok := r.answers.Get(request); ok {
		return localAnswer(a, account)
	}
	q := relayer.Query{
		Request: request,
		Account: account,
	}
	at, found := r.locate(ctx, q, r.peerAddresses(ctx, request))
	if found && !at.Copy {
		return nil, &answerer.NotOwnerError{
			Request: request,
			Address: at.Address,
		}
	}
	// The search takes a while, and this node may have adopted the request since.
	a, owned, ok := r.lookUp(request)
	switch {
	case owned:
		return localAnswer(a, account)
	case ok && a.Account() == account:
		return r.awaitAdoption(ctx, request, account)
	case found:
		return nil, &answerer.NotOwnerError{
			Request: request,
			Address: at.Address,
		}
	default:
		return nil, &answerer.UnknownRequestError{Request: request}
	}
}

// lookUp returns the answer of a request that this node owns, or else its copy.
func (r *Runner) lookUp(request identifier.RequestID) (a *answerer.Answer, owned, ok bool) {
	if a, ok := r.answers.Get(request); ok {
		return a, true, true
	}
	if a, _, ok := r.copies.get(request); ok {
		return a, false, true
	}
	// The request may have been adopted after the answers were searched.
	a, ok = r.answers.Get(request)
	return a, ok, ok
}

// localAnswer returns a if it belongs to the account and has not moved to
// another node.
func localAnswer(a *answerer.Answer, account identifier.AccountID) (*answerer.Answer, error) {
	if a.Account() != account {
		return nil, &answerer.UnknownRequestError{Request: a.Request()}
	}
	if end, ended := a.Ended(); ended && end.MovedTo != "" {
		return nil, &answerer.NotOwnerError{
			Request: a.Request(),
			Address: end.MovedTo,
		}
	}
	return a, nil
}

// awaitAdoption waits for an answer whose copy this node holds and whose owner
// does not respond, until this node adopts the request or drops the copy.
func (r *Runner) awaitAdoption(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	ctx, done := context.WithTimeout(ctx, adoptionTimeout)
	defer done()
	for sleep(ctx, adoptionCheckInterval) {
		a, owned, ok := r.lookUp(request)
		if owned {
			return localAnswer(a, account)
		}
		if !ok {
			break
		}
	}
	return nil, &answerer.UnknownRequestError{Request: request}
}

// Cancel cancels a request of an account.
func (r *Runner) Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error {
	if _, err := r.find(ctx, request, account); err != nil {
		return err
	}
	if !r.emit(ctx, messenger.RequestCancelled{Request: request}) {
		return &answerer.NodeStoppingError{}
	}
	return nil
}
