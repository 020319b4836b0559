package server

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Backend is the node that the server exposes. It is safe for concurrent use.
type Backend interface {
	// Authenticate returns the client account of key.
	Authenticate(key string) (identifier.AccountID, bool)
	// AuthenticateOperator reports whether key is the operators' key.
	AuthenticateOperator(key string) bool
	// Service returns the service of the given name.
	Service(name identifier.ServiceName) (catalog.Service, bool)
	// Addresses returns the nodes that callers of an account should use for a
	// service, in order of preference, and how long a caller may cache the
	// list.
	Addresses(account identifier.AccountID, service identifier.ServiceName) ([]NodeAddress, timekeeper.Duration)
	// Configured reports whether the node has a configuration.
	Configured() bool
	// Submit passes a request to the node without waiting for the verdict. The
	// caller counts as attached until ctx ends.
	Submit(ctx context.Context, s Submission) (*answerer.Answer, error)
	// Attach returns the answer to a request that an account sent earlier. The
	// caller counts as attached until ctx ends. The error is an
	// *answerer.NotOwnerError if another node owns the request, and an
	// *answerer.UnknownRequestError if the request is unknown or belongs to
	// another account.
	Attach(ctx context.Context, request identifier.RequestID, account identifier.AccountID) (*answerer.Answer, error)
	// Cancel cancels a request. Its errors are those of Attach.
	Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error
	// Propose changes one file of the configuration and waits for the
	// verdict.
	Propose(ctx context.Context, change messenger.ChangeProposed) (messenger.ChangeVerdict, error)
	// Files returns the files of the configuration in force.
	Files() map[identifier.FileName]FileState
	// History returns the configuration changes known to this node, oldest
	// first.
	History() []configurer.Change
	// Status returns the node's view of the system.
	Status() Status
	// Timeline returns the timeline entries of this node that match f.
	Timeline(f historian.Filter) []historian.Entry
	// Explain returns the timeline entries that led to the end of a request.
	Explain(request identifier.RequestID) []historian.Entry
}

// NodeAddress is the address at which callers reach a node.
type NodeAddress struct {
	Node    identifier.VMID `json:"node"`
	Zone    identifier.Zone `json:"zone"`
	Address string          `json:"address"`
}

// Submission is an authenticated and parsed request of a caller.
type Submission struct {
	Account identifier.AccountID
	Service identifier.ServiceName
	// Key is empty if the caller set none.
	Key identifier.IdempotencyKey
	// Remaining is the time until the deadline. Zero selects the deadline of
	// the service.
	Remaining timekeeper.Duration
	// Prompt and MaxTokens are set for a model service. MaxTokens is zero if
	// the caller set none.
	Prompt    string
	MaxTokens identifier.Tokens
	// Method, Path, ContentType and Body are set for a plain service. Path
	// starts with a slash and includes the query.
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// FileState is one file of the configuration.
type FileState struct {
	Content  []byte
	Revision identifier.Revision
	// Deleted reports whether the file was deleted at Revision.
	Deleted bool
}
