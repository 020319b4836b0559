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

// Backend is the node behind the server. It is safe for concurrent use.
type Backend interface {
	// Authenticate returns the client account that key belongs to.
	Authenticate(key string) (identifier.AccountID, bool)
	// AuthenticateOperator reports whether key is the operators' key.
	AuthenticateOperator(key string) bool
	// Service returns the service of the given name.
	Service(name identifier.ServiceName) (catalog.Service, bool)
	// Addresses returns the nodes that the callers of an account use for a
	// service, best first, and how long a caller may keep the list.
	Addresses(account identifier.AccountID, service identifier.ServiceName) ([]NodeAddress, timekeeper.Duration)
	// Configured reports whether the node has a configuration.
	Configured() bool
	// Submit takes a request in. It does not wait for the verdict. Its caller
	// counts as attached until ctx ends, as that of Attach does.
	Submit(ctx context.Context, s Submission) (*answerer.Answer, error)
	// Attach returns the answer of a request that an account sent earlier.
	// Its error is an *answerer.ElsewhereError where another node has it, and
	// an *answerer.UnknownRequestError where it is unknown or not the
	// account's own.
	Attach(ctx context.Context, request identifier.RequestID, account identifier.AccountID) (*answerer.Answer, error)
	// Cancel gives a request up. Its errors are those of Attach.
	Cancel(ctx context.Context, request identifier.RequestID, account identifier.AccountID) error
	// Propose changes one file of the configuration and waits for the
	// verdict.
	Propose(ctx context.Context, change messenger.ChangeProposed) (messenger.ChangeVerdict, error)
	// Files returns the configuration in force.
	Files() map[identifier.FileName]FileState
	// History returns the changes that this node knows, oldest first.
	History() []configurer.Change
	// Status returns the node's view of the system.
	Status() Status
	// Timeline returns the events of this node that match f.
	Timeline(f historian.Filter) []historian.Entry
	// Explain returns the events that led to the end of a request.
	Explain(request identifier.RequestID) []historian.Entry
}

// NodeAddress is where callers reach a node.
type NodeAddress struct {
	Node    identifier.VMID `json:"node"`
	Zone    identifier.Zone `json:"zone"`
	Address string          `json:"address"`
}

// Submission is a request as its caller sent it, authenticated and parsed.
type Submission struct {
	Account identifier.AccountID
	Service identifier.ServiceName
	// Key is empty where the caller gave none.
	Key identifier.IdempotencyKey
	// Remaining is the time until the deadline; zero means that the service's
	// own deadline holds.
	Remaining timekeeper.Duration
	// Prompt and MaxTokens are set for a model service. MaxTokens is zero
	// where the caller left it out.
	Prompt    string
	MaxTokens identifier.Tokens
	// Method, Path, ContentType and Body are set for a plain service. Path
	// starts with a slash and has the query, if any.
	Method      string
	Path        string
	ContentType string
	Body        []byte
}

// FileState is one file of the configuration.
type FileState struct {
	Content  []byte
	Revision identifier.Revision
	// Deleted marks a file that was deleted at Revision.
	Deleted bool
}
