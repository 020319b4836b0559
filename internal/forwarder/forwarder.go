// Package forwarder passes opaque exchanges between callers and backend
// servers: a request goes to a server unchanged, and the server's status,
// headers and bytes are the answer.
//
// The forwarder decides nothing. A Decider is told of each request, and of how
// each attempt ended, and says what is done next; a Protocol knows the names
// that callers and servers give to what a request says of itself. What is left
// is the care that no byte of one exchange ends up in another, that an answer
// that is not whole never looks whole, and that an end is called by its name:
//
//   - request.go reads a whole request before anything is sent on.
//   - attempt.go sends it to one server and classifies the end.
//   - stream.go passes on whole events, and lets another server go on behind
//     the last one.
//   - answer.go writes answers and refusals.
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// defaultMaxBody bounds a request's body until a configuration says.
	defaultMaxBody identifier.Bytes = 4 << 20
	// maxHeld bounds the bodies of all requests together, so that a crowd of
	// large ones does not take the process's memory.
	maxBufferedBodies identifier.Bytes = 64 << 20
	// maxAnswer bounds an answer that is held until it is whole; a longer one
	// is passed on as it comes.
	maxBufferedAnswer identifier.Bytes = 1 << 20

	// headerTime bounds the wait for a request's head: the users' own bound is
	// three seconds, for which they ask no earlier end.
	readHeaderTimeout = 5 * time.Second
	// idleTime is how long callers' idle connections are kept. Callers reuse
	// them up to four fifths of the users' bound of 15 s.
	callerIdleTimeout = 60 * time.Second
	// maxHeader bounds a request's head, twice the users' bound.
	maxHeaderBytes = 32 << 10

	// serverIdleTime is how long idle connections to servers are kept. A
	// server closes them after some seconds; a request that crosses the close
	// can't be repeated, so this side closes first.
	serverIdleTimeout = 4 * time.Second
	// idlePerServer bounds those connections to each server.
	maxIdlePerServer = 16
)

// Decider decides what becomes of exchanges. Receive and AttemptEnded return
// the effect that follows: a RefuseExchange, SendExchange or EndExchange, or
// nil where the node is stopping.
type Decider interface {
	Receive(ctx context.Context, spec messenger.ExchangeSpec) messenger.Effect
	Began(ctx context.Context, e messenger.ExchangeBegan)
	AttemptEnded(ctx context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect
	Ended(e messenger.ExchangeEnded)
	LimitReceived(ctx context.Context, e messenger.ServerLimitReceived)
}

// Head is what a request says of itself.
type Head struct {
	Request      identifier.RequestID
	Key          string
	TimeLimit    timekeeper.Duration
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	Prefix       []messenger.PromptPart
	// LastEvent is the last event of an earlier answer that the caller has.
	LastEvent string
}

// Reply is what the head of a server's answer says.
type Reply struct {
	// Request is the request that the server answers, where it says so.
	Request identifier.RequestID
	// NotRun tells that the server did not run the request and won't.
	NotRun bool
	// Misdirected tells that another server than the one that was meant has the
	// address.
	Misdirected bool
	Signed      bool
	RetryAfter  timekeeper.Duration
	// Limit is what the server says of the requests that it accepts.
	Limit messenger.StatedLimit
}

// Protocol knows the names that callers and servers use. Its methods are
// called from many goroutines.
type Protocol interface {
	// ReadHead decodes the head of a request. Its error is for the caller.
	ReadHead(r *http.Request) (Head, error)
	// WriteHead sets what a server is told beside the caller's own headers,
	// and takes out what only the system may say. left is the time that the
	// caller has left, lastEvent the event to go on behind.
	WriteHead(h http.Header, s messenger.SendExchange, left timekeeper.Duration, lastEvent string)
	ReadReply(status int, h http.Header) Reply
	WriteRetryAfter(h http.Header, d timekeeper.Duration)
}

// Config says what a Forwarder works with.
type Config struct {
	Decider  Decider
	Protocol Protocol
	Clock    timekeeper.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
	// MaxBody returns the bound of a body; nil stands for a default.
	MaxBody func() identifier.Bytes
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	config        Config
	transport     *http.Transport
	lastID        atomic.Uint64
	bufferedBytes atomic.Int64
	leaving       atomic.Bool
}

var _ http.Handler = (*Forwarder)(nil)

// New returns a Forwarder without connections.
func New(c Config) *Forwarder {
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Metrics == nil {
		c.Metrics = NewMetrics()
	}
	return &Forwarder{
		config:    c,
		transport: newTransport(),
	}
}

// Close closes idle connections to servers.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Leave makes callers use other connections from now on: each answer is the
// last one on its connection.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// Server returns the HTTP server for callers.
func (f *Forwarder) Server() *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog: f.config.Logger.StandardLogger(&hclog.StandardLoggerOptions{
			ForceLevel: hclog.Debug,
		}),
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         dialer.New().DialContext,
		MaxIdleConnsPerHost: maxIdlePerServer,
		IdleConnTimeout:     serverIdleTimeout,
		// A coded body is not the server's body.
		DisableCompression: true,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
	}
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		forwarder: f,
		id:        identifier.ExchangeID(f.lastID.Add(1)),
		w:         w,
		r:         r,
		received:  f.config.Clock.Now(),
	}
	f.config.Metrics.received()
	if f.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if !x.readRequest() {
		return
	}
	defer f.bufferedBytes.Add(-int64(len(x.body)))
	x.run()
}
