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
	// adoptPatience is how long a caller that came to the holder of a copy is
	// kept waiting while the owner's death is established; adoptCheck is the
	// spacing of looks.
	adoptPatience = 15 * time.Second
	adoptCheck    = 50 * time.Millisecond
)

// Attach returns the answer of a request that an account sent earlier.
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

// find returns this node's own answer, or tells where the request is.
func (r *Runner) find(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	if a, ok := r.answers.Get(request); ok {
		return own(a, account)
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
	if copied, _, ok := r.copies.get(request); ok && copied.Account() == account {
		return r.awaitAdoption(ctx, request, account)
	}
	if found {
		return nil, &answerer.NotOwnerError{
			Request: request,
			Address: at.Address,
		}
	}
	return nil, &answerer.UnknownRequestError{Request: request}
}

// own returns the answer if it is the account's and still here.
func own(a *answerer.Answer, account identifier.AccountID) (*answerer.Answer, error) {
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

// awaitAdoption keeps a caller waiting whose request's owner is silent and
// whose copy is here: this node is about to adopt it, or the owner comes back.
func (r *Runner) awaitAdoption(
	ctx context.Context, request identifier.RequestID, account identifier.AccountID,
) (*answerer.Answer, error) {
	ctx, done := context.WithTimeout(ctx, adoptPatience)
	defer done()
	for sleep(ctx, adoptCheck) {
		if a, ok := r.answers.Get(request); ok {
			return own(a, account)
		}
		if _, _, ok := r.copies.get(request); !ok {
			break
		}
	}
	return nil, &answerer.UnknownRequestError{Request: request}
}

// Cancel gives a request up.
func (r *Runner) Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error {
	if _, err := r.find(ctx, request, account); err != nil {
		return err
	}
	if !r.emit(ctx, messenger.RequestCancelled{Request: request}) {
		return &answerer.NodeStoppingError{}
	}
	return nil
}
