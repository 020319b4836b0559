package server

import (
	"cmp"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Limits bounds what one connection may cost the node. A zero field takes its
// default.
type Limits struct {
	// HeaderTime bounds the wait for a request's headers, HeaderSize their
	// size.
	HeaderTime timekeeper.Duration
	HeaderSize identifier.Bytes
	// BodyTime bounds the wait for a request's whole body, MaxBody its size
	// where the service allows more.
	BodyTime timekeeper.Duration
	MaxBody  identifier.Bytes
	// WriteTime bounds each write to a caller.
	WriteTime timekeeper.Duration
	// IdleTime bounds the wait for the next request on an open connection.
	IdleTime timekeeper.Duration
	// Heartbeat is the spacing of comments on a stream that has no tokens.
	Heartbeat timekeeper.Duration
	// MaxDeadline bounds the deadline that a caller may ask for.
	MaxDeadline timekeeper.Duration
	// VerdictGrace is how long past its deadline a request may stay without
	// a verdict before its caller is told that the outcome is unknown.
	VerdictGrace timekeeper.Duration
}

// The default limits.
const (
	DefaultHeaderTime                    = 5 * timekeeper.Second
	DefaultHeaderSize   identifier.Bytes = 16 << 10
	DefaultBodyTime                      = 15 * timekeeper.Second
	DefaultMaxBody      identifier.Bytes = 4 << 20
	DefaultWriteTime                     = 10 * timekeeper.Second
	DefaultIdleTime                      = 60 * timekeeper.Second
	DefaultHeartbeat                     = timekeeper.Second
	DefaultMaxDeadline                   = 24 * timekeeper.Hour
	DefaultVerdictGrace                  = 5 * timekeeper.Second
)

func (l Limits) withDefaults() Limits {
	l.HeaderTime = cmp.Or(l.HeaderTime, DefaultHeaderTime)
	l.HeaderSize = cmp.Or(l.HeaderSize, DefaultHeaderSize)
	l.BodyTime = cmp.Or(l.BodyTime, DefaultBodyTime)
	l.MaxBody = cmp.Or(l.MaxBody, DefaultMaxBody)
	l.WriteTime = cmp.Or(l.WriteTime, DefaultWriteTime)
	l.IdleTime = cmp.Or(l.IdleTime, DefaultIdleTime)
	l.Heartbeat = cmp.Or(l.Heartbeat, DefaultHeartbeat)
	l.MaxDeadline = cmp.Or(l.MaxDeadline, DefaultMaxDeadline)
	l.VerdictGrace = cmp.Or(l.VerdictGrace, DefaultVerdictGrace)
	return l
}
