package server

import (
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
	setDefault(&l.HeaderTime, DefaultHeaderTime)
	setDefault(&l.HeaderSize, DefaultHeaderSize)
	setDefault(&l.BodyTime, DefaultBodyTime)
	setDefault(&l.MaxBody, DefaultMaxBody)
	setDefault(&l.WriteTime, DefaultWriteTime)
	setDefault(&l.IdleTime, DefaultIdleTime)
	setDefault(&l.Heartbeat, DefaultHeartbeat)
	setDefault(&l.MaxDeadline, DefaultMaxDeadline)
	setDefault(&l.VerdictGrace, DefaultVerdictGrace)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
