package server

import (
	"cmp"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Limits bounds the resources that one connection may use. A zero field
// selects its default.
type Limits struct {
	// HeaderTimeout and MaxHeaderSize bound the time to receive a request's
	// headers and their size.
	HeaderTimeout timekeeper.Duration
	MaxHeaderSize identifier.Bytes
	// BodyTimeout bounds the time to receive a request's whole body.
	BodyTimeout timekeeper.Duration
	// MaxBodySize bounds the size of a body even if the service allows more.
	MaxBodySize identifier.Bytes
	// WriteTimeout bounds each write to a caller.
	WriteTimeout timekeeper.Duration
	// IdleTimeout bounds the wait for the next request on an open connection.
	IdleTimeout timekeeper.Duration
	// HeartbeatInterval is the interval between heartbeat comments on a
	// stream without tokens.
	HeartbeatInterval timekeeper.Duration
	// MaxDeadline is the longest deadline that a caller may request.
	MaxDeadline timekeeper.Duration
	// VerdictGrace is the time after its deadline that a request may remain
	// without a verdict. After it the server reports an unknown outcome.
	VerdictGrace timekeeper.Duration
}

// Defaults of Limits.
const (
	DefaultHeaderTimeout                      = 5 * timekeeper.Second
	DefaultMaxHeaderSize     identifier.Bytes = 16 << 10
	DefaultBodyTimeout                        = 15 * timekeeper.Second
	DefaultMaxBodySize       identifier.Bytes = 4 << 20
	DefaultWriteTimeout                       = 10 * timekeeper.Second
	DefaultIdleTimeout                        = 60 * timekeeper.Second
	DefaultHeartbeatInterval                  = timekeeper.Second
	DefaultMaxDeadline                        = 24 * timekeeper.Hour
	DefaultVerdictGrace                       = 5 * timekeeper.Second
)

func (l Limits) withDefaults() Limits {
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, DefaultHeaderTimeout)
	l.MaxHeaderSize = cmp.Or(l.MaxHeaderSize, DefaultMaxHeaderSize)
	l.BodyTimeout = cmp.Or(l.BodyTimeout, DefaultBodyTimeout)
	l.MaxBodySize = cmp.Or(l.MaxBodySize, DefaultMaxBodySize)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, DefaultWriteTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, DefaultIdleTimeout)
	l.HeartbeatInterval = cmp.Or(l.HeartbeatInterval, DefaultHeartbeatInterval)
	l.MaxDeadline = cmp.Or(l.MaxDeadline, DefaultMaxDeadline)
	l.VerdictGrace = cmp.Or(l.VerdictGrace, DefaultVerdictGrace)
	return l
}
