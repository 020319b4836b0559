package runner

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var _ server.Backend = (*Runner)(nil)

const (
	// locateParallel bounds the peers asked at a time where a request is,
	// locateMost those asked at all, and locateTimeout the whole search.
	locateParallel = 4
	locateMost     = 16
	locateTimeout  = 2 * time.Second
	// adoptPatience is how long a caller that came to the holder of a copy is
	// kept waiting while the owner's death is established; adoptCheck is the
	// spacing of looks.
	adoptPatience = 15 * time.Second
	adoptCheck    = 50 * time.Millisecond
)

// Authenticate returns the client account that key belongs to.
func (r *Runner) Authenticate(key string) (identifier.AccountID, bool) {
	c := r.catalog.Load()
	if c == nil || key == "" {
		return "", false
	}
	hash := keyHash(key)
	for id, account := range c.Accounts {
		if slices.Contains(account.KeyHashes, hash) {
			return id, true
		}
	}
	return "", false
}

// AuthenticateOperator reports whether key is the operators' key.
func (r *Runner) AuthenticateOperator(key string) bool {
	hash := []byte(keyHash(key))
	known := 0
	for _, want := range r.config.OperatorKeyHashes {
		known |= subtle.ConstantTimeCompare(hash, []byte(want))
	}
	return known == 1
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Service returns the service of the given name.
func (r *Runner) Service(name identifier.ServiceName) (catalog.Service, bool) {
	c := r.catalog.Load()
	if c == nil {
		return catalog.Service{}, false
	}
	s, ok := c.Services[name]
	return s, ok
}

// Submit takes a request in, or attaches to the answer that its key already
// has. The caller counts as gone when ctx ends.
func (r *Runner) Submit(ctx context.Context, s server.Submission) (*answerer.Answer, error) {
	fresh := r.newAnswer(s)
	answer, added, err := r.answers.Add(fresh, worthKeeping)
	if err != nil {
		return nil, err
	}
	if !added && !sameRequest(answer, fresh) {
		return nil, &answerer.KeyConflictError{Key: s.Key}
	}
	if added {
		r.metrics.requests.Add(1)
		if !r.emit(ctx, messenger.RequestReceived{Spec: answer.Spec()}) {
			r.answers.Remove(answer.Request())
			return nil, &answerer.StoppedError{}
		}
	}
	r.attachCaller(ctx, answer)
	return answer, nil
}

// worthKeeping reports whether a repeated request gets the old answer. It
// runs anew where nothing has run, or where running again does no harm and
// may bring the answer that the first run did not.
//
// A keyed request that must not run twice may be refused as unknown, because
// another node may have its key, with a time to come back. Kept, that refusal
// would be all that the caller hears until it is forgotten, long after the log
// is back. Whether the key may run is for the claims in the log to decide, at
// this node as at any other.
func worthKeeping(old *answerer.Answer) bool {
	end, ended := old.Ended()
	switch {
	case !ended || end.MovedTo != "" || end.Outcome == messenger.Done:
		return true
	case end.Outcome == messenger.NotRun, old.Refused() && end.RetryAfter > 0:
		return false
	default:
		return !old.Spec().Idempotent
	}
}

func sameRequest(a, b *answerer.Answer) bool {
	return a.Account() == b.Account() && a.Service() == b.Service() && reflect.DeepEqual(a.Body(), b.Body())
}

func (r *Runner) newAnswer(s server.Submission) *answerer.Answer {
	body := answerer.Body{
		Prompt:      s.Prompt,
		Method:      s.Method,
		Path:        s.Path,
		ContentType: s.ContentType,
		Content:     s.Body,
	}
	service, _ := r.Service(s.Service)
	now := r.clock.Now()
	remaining := s.Remaining
	if remaining == 0 {
		remaining = service.Deadline
	}
	maxTokens := service.MaxTokens
	if s.MaxTokens > 0 {
		maxTokens = min(maxTokens, s.MaxTokens)
	}
	return answerer.New(answerer.Config{
		Spec: messenger.RequestSpec{
			Request:      requestID(s),
			Account:      s.Account,
			Service:      s.Service,
			Key:          s.Key,
			Idempotent:   service.Idempotent,
			Long:         service.Long,
			Home:         r.config.Self,
			Received:     now,
			Deadline:     now.Add(remaining),
			BodySize:     body.Size(),
			PromptTokens: encoder.PromptTokens(s.Prompt),
			MaxTokens:    maxTokens,
			Prefix:       encoder.Prefix(s.Prompt),
		},
		Body: body,
	})
}

// requestID derives the id from the account and the key, so that every node
// names a repeated request the same, or makes up a new one.
func requestID(s server.Submission) identifier.RequestID {
	if s.Key == "" {
		return identifier.RequestID(ulid.Make().String())
	}
	return identifier.RequestID(fmt.Sprintf("k%016x%016x", keySum(1, s), keySum(2, s)))
}

// keySum hashes the account and the key, with the account's length first so
// that no two pairs run together.
func keySum(half uint64, s server.Submission) uint64 {
	d := xxhash.NewWithSeed(half)
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s.Account)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(string(s.Account))
	_, _ = d.WriteString(string(s.Key))
	return d.Sum64()
}

// attachCaller counts a caller in until ctx ends.
func (r *Runner) attachCaller(ctx context.Context, a *answerer.Answer) {
	if a.CallerCame() == 1 {
		r.emit(ctx, messenger.CallerAttached{Request: a.Request()})
	}
	context.AfterFunc(ctx, func() {
		if a.CallerLeft() == 0 {
			r.emit(context.Background(), messenger.CallerGone{Request: a.Request()})
		}
	})
}

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
	q := relayer.Question{
		Request: request,
		Account: account,
	}
	at, found := r.locate(ctx, q, r.peerAddresses(ctx, request))
	if found && !at.Copy {
		return nil, &answerer.ElsewhereError{
			Request: request,
			Address: at.Address,
		}
	}
	if copied, _, ok := r.copies.get(request); ok && copied.Account() == account {
		return r.awaitAdoption(ctx, request, account)
	}
	if found {
		return nil, &answerer.ElsewhereError{
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
		return nil, &answerer.ElsewhereError{
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

// peerAddresses returns the peer addresses of the nodes that may have a
// request, likeliest first.
func (r *Runner) peerAddresses(ctx context.Context, request identifier.RequestID) []string {
	var addresses []string
	r.ask(ctx, func() {
		for _, n := range placer.Candidates(request, r.config.Reducer.Nodes()) {
			if n.VM != r.config.Self && len(addresses) < locateMost {
				addresses = append(addresses, n.PeerAddress)
			}
		}
	})
	return addresses
}

// Cancel gives a request up.
func (r *Runner) Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error {
	if _, err := r.find(ctx, request, account); err != nil {
		return err
	}
	if !r.emit(ctx, messenger.RequestCancelled{Request: request}) {
		return &answerer.StoppedError{}
	}
	return nil
}

// Propose changes one file of the configuration and waits for the verdict.
func (r *Runner) Propose(ctx context.Context, change messenger.ChangeProposed) (messenger.ChangeVerdict, error) {
	verdict := make(chan messenger.ChangeVerdict, 1)
	ok := r.ask(ctx, func() {
		r.proposed++
		change.Ticket = r.proposed
		r.proposals[change.Ticket] = verdict
		r.later(change)
	})
	if !ok {
		return messenger.ChangeVerdict{}, &answerer.StoppedError{}
	}
	select {
	case v := <-verdict:
		return v, nil
	case <-ctx.Done():
	case <-r.stopped:
	}
	r.ask(context.Background(), func() { delete(r.proposals, change.Ticket) })
	return messenger.ChangeVerdict{Unknown: true}, nil
}

// Files returns the configuration in force.
func (r *Runner) Files() map[identifier.FileName]server.FileState {
	files := make(map[identifier.FileName]server.FileState)
	r.ask(context.Background(), func() {
		for name, f := range r.config.Reducer.Files() {
			files[name] = server.FileState{
				Content:  f.Content,
				Revision: f.Revision,
				Deleted:  f.Deleted,
			}
		}
	})
	return files
}

// History returns the changes that this node knows, oldest first.
func (r *Runner) History() []configurer.Change {
	var changes []configurer.Change
	r.ask(context.Background(), func() { changes = r.config.Reducer.History() })
	return changes
}

// Timeline returns the events of this node that match f.
func (r *Runner) Timeline(f historian.Filter) []historian.Entry { return r.config.Historian.Entries(f) }

// Explain returns the events that led to the end of a request.
func (r *Runner) Explain(request identifier.RequestID) []historian.Entry {
	return r.config.Historian.Entries(historian.Filter{Request: request})
}

// Metrics returns what the Runner counts.
func (r *Runner) Metrics() *Metrics { return r.metrics }
