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

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var _ server.Backend = (*Runner)(nil)

// Configured reports whether the configuration has an account. That of a node
// that has just started is empty.
func (r *Runner) Configured() bool {
	c := r.catalog.Load()
	return c != nil && len(c.Accounts) > 0
}

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

// AuthenticateOperator reports whether key is an operator's key.
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

// Submit accepts a request for processing, or attaches to the existing answer
// for its key. The caller counts as disconnected when ctx ends.
func (r *Runner) Submit(ctx context.Context, s server.Submission) (*answerer.Answer, error) {
	created := r.newAnswer(s)
	answer, added, err := r.answers.Add(created, reusable)
	if err != nil {
		return nil, err
	}
	if !added && !sameRequest(answer, created) {
		return nil, &answerer.KeyConflictError{Key: s.Key}
	}
	if added {
		r.metrics.requests.Add(1)
		if !r.emit(ctx, messenger.RequestReceived{Spec: answer.Spec()}) {
			r.answers.Remove(answer.Request())
			return nil, &answerer.NodeStoppingError{}
		}
	}
	r.attachCaller(ctx, answer)
	return answer, nil
}

// reusable reports whether a repeated request receives the old answer. It runs
// again if nothing has run, or if it is idempotent and did not succeed.
//
// A non-idempotent request with a key may be refused with outcome unknown and a
// retry delay, because another node may have claimed the key. Such a refusal
// must not be reused: the claims in the log decide on a retry, and the caller
// would otherwise be refused long after the log is available again.
func reusable(old *answerer.Answer) bool {
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
			EntryNode:    r.config.Self,
			Received:     now,
			Deadline:     now.Add(remaining),
			BodySize:     body.Size(),
			PromptTokens: encoder.PromptTokens(s.Prompt),
			MaxTokens:    maxTokens,
			Prefix:       encoder.Prefix(s.Prompt),
			Content:      contentHash(s),
		},
		Body: body,
	})
}

// contentHash hashes the content of a submission, excluding its key.
func contentHash(s server.Submission) identifier.ContentHash {
	d := xxhash.New()
	for _, part := range []string{string(s.Service), s.Method, s.Path, s.Prompt} {
		// Writes to the hash do not fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(s.Body)
	return identifier.ContentHash(d.Sum64())
}

// requestID derives the ID from the account and the key, so that all nodes use
// the same ID for a repeated request. Without a key the ID is a new ULID.
func requestID(s server.Submission) identifier.RequestID {
	if s.Key == "" {
		return identifier.RequestID(ulid.Make().String())
	}
	return identifier.RequestID(fmt.Sprintf("k%016x%016x", keySum(1, s), keySum(2, s)))
}

// keySum hashes the account and the key. The length of the account comes first,
// so that distinct pairs have distinct encodings.
func keySum(half uint64, s server.Submission) uint64 {
	d := xxhash.NewWithSeed(half)
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s.Account)))
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(string(s.Account))
	_, _ = d.WriteString(string(s.Key))
	return d.Sum64()
}

// attachCaller counts the caller as attached until ctx ends.
func (r *Runner) attachCaller(ctx context.Context, a *answerer.Answer) {
	if a.AddCaller() == 1 {
		r.emit(ctx, messenger.CallerAttached{Request: a.Request()})
	}
	context.AfterFunc(ctx, func() {
		if a.RemoveCaller() == 0 {
			r.emit(context.Background(), messenger.CallerDisconnected{Request: a.Request()})
		}
	})
}

// Metrics returns the counters of the Runner.
func (r *Runner) Metrics() *Metrics { return r.metrics }
