package caller

import (
	"cmp"
	"net"
	"net/http"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config says how a Client reaches the system. Nodes and Key are required; a
// zero duration takes its default.
type Config struct {
	// Nodes are the caller addresses, host:port, of some nodes. One that
	// answers is enough.
	Nodes []string
	// Key authenticates the client account.
	Key string
	// Clock is the wall clock when nil.
	Clock timekeeper.Clock
	// Transport is a transport of the client's own when nil.
	Transport http.RoundTripper
	// DialTime bounds the wait for a connection.
	DialTime timekeeper.Duration
	// SilenceTime is how long an open stream may stay without a token or
	// heartbeat. Past it the connection is taken for dead.
	SilenceTime timekeeper.Duration
	// AnswerTime bounds the wait for the headers of a stream, and for the
	// whole answer of a plain call that set no deadline.
	AnswerTime timekeeper.Duration
	// Patience bounds the time without progress, over all nodes and
	// connections, before a request is given up.
	Patience timekeeper.Duration
	// Pause is the wait after all nodes were tried in vain.
	Pause timekeeper.Duration
	// Restart bounds the time for which a request that no node knows is
	// looked for before it is sent again under its key, and for which a node
	// is looked for that goes on with an answer of which another node has a
	// different one. It is longer than nodes take to adopt a dead node's
	// requests.
	Restart timekeeper.Duration
	// Forgotten bounds the same time for a request of which, all that time
	// long, every node that can be reached says that it does not know it.
	Forgotten timekeeper.Duration
}

// The defaults of a Config.
const (
	DefaultDialTime    = timekeeper.Second
	DefaultSilenceTime = 4 * timekeeper.Second
	DefaultAnswerTime  = 30 * timekeeper.Second
	DefaultPatience    = 60 * timekeeper.Second
	DefaultPause       = 250 * timekeeper.Millisecond
	DefaultRestart     = 20 * timekeeper.Second
	DefaultForgotten   = 5 * timekeeper.Second
)

// idleTime bounds how long an unused connection is kept. It is short, because
// something between two ends may lose track of an idle connection, and the
// next request on it would wait in vain.
const idleTime = 5 * time.Second

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	c.DialTime = cmp.Or(c.DialTime, DefaultDialTime)
	c.SilenceTime = cmp.Or(c.SilenceTime, DefaultSilenceTime)
	c.AnswerTime = cmp.Or(c.AnswerTime, DefaultAnswerTime)
	c.Patience = cmp.Or(c.Patience, DefaultPatience)
	c.Pause = cmp.Or(c.Pause, DefaultPause)
	c.Restart = cmp.Or(c.Restart, DefaultRestart)
	if c.Transport == nil {
		c.Transport = newTransport(c)
	}
	return c
}

func newTransport(c Config) *http.Transport {
	dialer := &net.Dialer{Timeout: c.DialTime.Std()}
	return &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleTime,
	}
}
