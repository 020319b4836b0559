// Package forwarder proxies opaque exchanges between callers and backend servers: a
// request is sent to a server unchanged, and the server's status, headers and bytes are
// the answer.
//
// The forwarder makes no decisions. A Decider receives each request and the result of
// each attempt, and returns what to do next. A Protocol knows the header names that
// callers and servers use. The forwarder ensures that the bytes of exchanges are never
// mixed, that a truncated answer never looks complete, and that the result of each
// attempt is classified correctly. What a connection shows is not taken for what its server does
// with the request:
//
//   - A request counts as not run only if nothing of it was written, or if the server rejects it
//     in an answer that names it, on a connection with no earlier attempt of the same request.
//   - A stream goes on at another server only if the server before has answered this attempt or
//     ended, or answers a check that was sent after the attempt's connection was closed.
//
// The files:
//
//   - request.go reads a whole request before anything is sent on, and body.go its body.
//   - attempt.go sends it to one server and classifies the result.
//   - timer.go ends an attempt at its deadline, or if another server takes over, and
//     running.go all attempts at the end of a planned stop.
//   - connect.go opens the connection, directly or through a peer.
//   - release.go lets no stream go on at another server before the server before has dropped
//     the request, and check.go finds out whether a server runs.
//   - acknowledge.go finds out whether the VM of a server that accepts no connection runs.
//   - stream.go passes on complete events, so that another server can resume
//     after the last one.
//   - unframed.go tells whole answers with neither a length nor chunks from others.
//   - long.go bounds the memory for answers that are read before they are passed on.
//   - answer.go writes answers and refusals, panic.go the answer after a panic.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// defaultMaxBody bounds a request's body if the configuration sets no bound.
	defaultMaxBody identifier.Bytes = 4 << 20
	// maxBufferedBodies bounds the total size of all request bodies in memory, so that
	// many large ones at once do not exhaust the memory of the process.
	maxBufferedBodies identifier.Bytes = 64 << 20
	// readHeaderTimeout exceeds the callers' own timeout of 3 s for a request's head.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is the time for which callers' idle connections are kept.
	// Callers reuse connections that were idle for up to 12 s.
	callerIdleTimeout = 60 * time.Second
	// maxHeaderBytes is twice the callers' limit for a request's head.
	maxHeaderBytes = 32 << 10
	// maxServerHeaderBytes bounds the head of a server's answer. A node holds one for each
	// request, and a server in trouble may send a head without end.
	maxServerHeaderBytes = 64 << 10

	// serverIdleTimeout is the time for which idle connections to servers are kept. It
	// is shorter than the servers' own timeout, since a request sent while the server
	// closes the connection can't be repeated.
	serverIdleTimeout = 4 * time.Second
	// maxIdlePerServer bounds the idle connections to each server.
	maxIdlePerServer = 16
)

// Decider decides how exchanges proceed. Receive and AttemptEnded return the next
// effect: a RefuseExchange, SendExchange or EndExchange, or nil if the node is
// stopping.
type Decider interface {
	Receive(ctx context.Context, spec messenger.ExchangeSpec) messenger.Effect
	Began(ctx context.Context, e messenger.ExchangeBegan)
	AttemptEnded(ctx context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect
	// Stalled returns a SendExchange if another server takes over from one that has sent
	// nothing in time, and otherwise another effect: the attempt goes on.
	Stalled(ctx context.Context, e messenger.ExchangeStalled) messenger.Effect
	Ended(e messenger.ExchangeEnded)
	LimitReceived(ctx context.Context, e messenger.ServerLimitReceived)
	LeavingReceived(ctx context.Context, e messenger.ServerLeavingReceived)
	BrittleReceived(ctx context.Context, e messenger.ServerBrittleReceived)
	PathTried(ctx context.Context, e messenger.PathTried)
	// Moving reports whether the server of an exchange was called to stop its stream, so that
	// it can go on elsewhere.
	Moving(ctx context.Context, id identifier.ExchangeID) bool
}

// Head holds the metadata from a request's headers.
type Head struct {
	Request      identifier.RequestID
	Key          string
	TimeLimit    timekeeper.Duration
	PromptTokens identifier.Tokens
	MaxTokens    identifier.Tokens
	// LengthHint is the caller's estimate of the number of output tokens, or zero.
	LengthHint identifier.Tokens
	Prefix     []messenger.PromptPart
	// LastEvent is the id of the last event that the caller received from an earlier
	// answer, or empty.
	LastEvent string
	// Resumes reports whether the caller already has a part of the answer. Resumed is the id
	// of its request that brought the first event, or empty if it states none.
	Resumes bool
	Resumed identifier.RequestID
}

// Reply holds the metadata from the head of a server's answer.
type Reply struct {
	// Request is the id of the request that the server answers, or empty if not stated.
	Request identifier.RequestID
	// NotRun reports that the server did not run the request and will not.
	NotRun bool
	// Misdirected reports that the address now belongs to another server.
	Misdirected bool
	Signed      bool
	RetryAfter  timekeeper.Duration
	// Backoff is the time for which the server asks this node to send it no requests, or
	// zero.
	Backoff timekeeper.Duration
	// Limit is the rate limit that the server states.
	Limit messenger.StatedLimit
	// Leaving reports that the server states that it is leaving.
	Leaving bool
	// Brittle is what the server states of the rejections that it can bear.
	Brittle messenger.StatedBrittle
}

// Protocol translates the header names that callers and servers use. It is called from
// many goroutines.
type Protocol interface {
	// ReadHead decodes the head of a request. Its error is reported to the caller.
	ReadHead(r *http.Request) (Head, error)
	// WriteHead sets the system's headers of a request to a server, and removes those
	// that a caller must not set. remaining is the caller's remaining time, lastEvent the
	// event after which to resume.
	WriteHead(h http.Header, s messenger.SendExchange, remaining timekeeper.Duration, lastEvent string)
	ReadReply(status int, h http.Header) Reply
	WriteRetryAfter(h http.Header, d timekeeper.Duration)
}

// Config holds the dependencies and settings of a Forwarder.
type Config struct {
	// Self names this node to the peers through which it connects.
	Self     identifier.VMID
	Decider  Decider
	Protocol Protocol
	Clock    timekeeper.Clock
	Logger   hclog.Logger
	Metrics  *Metrics
	// StatusPath is the path at which servers that send streams tell their state. If it is
	// empty, silent servers are not checked.
	StatusPath string
	// Dial opens the direct connections to servers. If it is nil, TCP connections are opened.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxBody returns the bound of a request's body; if it is nil, a default applies.
	MaxBody func() identifier.Bytes
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	config        Config
	transports    transports
	lastID        atomic.Uint64
	bufferedBytes atomic.Int64
	longAnswers   longAnswers
	leaving       atomic.Bool
	running       runningAttempts
	checks        *checks
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
	if c.Dial == nil {
		c.Dial = dialer.New(dialer.Config{MaxUnacked: dialer.ServerMaxUnacked}).DialContext
	}
	f := &Forwarder{
		config:      c,
		transports:  newTransports(c),
		longAnswers: newLongAnswers(),
	}
	f.checks = newChecks(f)
	return f
}

// Close closes idle connections to servers, and ends their checks.
func (f *Forwarder) Close() {
	f.checks.close()
	f.transports.closeIdle()
}

// Leave makes callers switch to other connections: each further answer closes its
// connection.
func (f *Forwarder) Leave() { f.leaving.Store(true) }

// End ends all attempts as at their deadlines, shortly before the process ends: callers are
// answered, where the end of the process would close their connections.
func (f *Forwarder) End() { f.running.endAll() }

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

func newTransport() *answerreader.Transport {
	return &answerreader.Transport{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     serverIdleTimeout,
			// A decompressed body would differ from the server's body.
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxServerHeaderBytes,
			ReadBufferSize:         4 << 10,
			WriteBufferSize:        4 << 10,
		},
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
	defer x.answerPanic()
	if !x.readRequest() {
		return
	}
	defer f.bufferedBytes.Add(-int64(len(x.body)))
	x.run()
}
