package caller

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/answerreader"
	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config configures a Client. Nodes and Key are required. A zero duration
// selects its default.
type Config struct {
	// Nodes are the caller addresses (host:port) of some nodes. One reachable
	// node is enough.
	Nodes []string
	// Key authenticates the client account.
	Key string
	// Clock defaults to the wall clock.
	Clock timekeeper.Clock
	// Transport defaults to a transport that only this client uses.
	Transport http.RoundTripper
	// DialTimeout bounds the time to establish a connection.
	DialTimeout timekeeper.Duration
	// StreamIdleTimeout bounds the time without a token or heartbeat on an
	// open stream. A connection that exceeds it is closed.
	StreamIdleTimeout timekeeper.Duration
	// AnswerTimeout bounds the wait for the headers of a stream, and for the
	// whole answer to a call without a deadline.
	AnswerTimeout timekeeper.Duration
	// ProgressTimeout bounds the time without progress, over all nodes and
	// connections, before a request fails.
	ProgressTimeout timekeeper.Duration
	// RetryDelay is the wait after all nodes have failed.
	RetryDelay timekeeper.Duration
	// SearchTimeout bounds the search for a node that continues the answer.
	// After it a request that no node knows is sent again under its key, and
	// a request whose answer differs on another node fails. It must exceed
	// the time that nodes need to adopt the requests of a failed node.
	SearchTimeout timekeeper.Duration
	// UnknownRequestTimeout replaces SearchTimeout if every reachable node
	// reports throughout the search that it does not know the request.
	UnknownRequestTimeout timekeeper.Duration
}

// Defaults of Config.
const (
	DefaultDialTimeout           = timekeeper.Second
	DefaultStreamIdleTimeout     = 4 * timekeeper.Second
	DefaultAnswerTimeout         = 30 * timekeeper.Second
	DefaultProgressTimeout       = 60 * timekeeper.Second
	DefaultRetryDelay            = 250 * timekeeper.Millisecond
	DefaultSearchTimeout         = 20 * timekeeper.Second
	DefaultUnknownRequestTimeout = 5 * timekeeper.Second
)

// idleConnTimeout is short because a middlebox may drop the state of an idle
// connection, and the next request on it would then get no response.
const idleConnTimeout = 5 * time.Second

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	c.DialTimeout = cmp.Or(c.DialTimeout, DefaultDialTimeout)
	c.StreamIdleTimeout = cmp.Or(c.StreamIdleTimeout, DefaultStreamIdleTimeout)
	c.AnswerTimeout = cmp.Or(c.AnswerTimeout, DefaultAnswerTimeout)
	c.ProgressTimeout = cmp.Or(c.ProgressTimeout, DefaultProgressTimeout)
	c.RetryDelay = cmp.Or(c.RetryDelay, DefaultRetryDelay)
	c.SearchTimeout = cmp.Or(c.SearchTimeout, DefaultSearchTimeout)
	c.UnknownRequestTimeout = cmp.Or(c.UnknownRequestTimeout, DefaultUnknownRequestTimeout)
	if c.Transport == nil {
		c.Transport = newTransport(c)
	}
	return c
}

func newTransport(c Config) *answerreader.Transport {
	return &answerreader.Transport{
		Transport: &http.Transport{
			DialContext:     dialer.DetectResets((&net.Dialer{Timeout: c.DialTimeout.Std()}).DialContext),
			IdleConnTimeout: idleConnTimeout,
		},
	}
}
