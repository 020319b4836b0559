// Package dialer opens TCP connections that detect an unresponsive remote end. A
// VM that is reclaimed or partitioned closes no connections, and a middlebox may
// drop the state of a connection without notice. Written bytes must be
// acknowledged in time, and idle connections are probed, so that both cases
// cause an error within about two seconds, or three for backend servers.
package dialer

import (
	"net"
	"time"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// connectTimeout is generous for a connection within a region, which takes
	// a few milliseconds.
	connectTimeout = 400 * time.Millisecond
	// The kernel accepts keep-alive times in whole seconds only.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 2
)

const (
	// defaultMaxUnacked is generous for round trips of milliseconds: a lost packet is
	// retransmitted after 200 ms and again after 400 ms.
	defaultMaxUnacked = 900 * timekeeper.Millisecond
	// ServerMaxUnacked is the MaxUnacked of connections to backend servers, also through
	// peers. A sound server may be silent for a second or so, and requests that run only once
	// would be lost with its connections.
	ServerMaxUnacked = 2500 * timekeeper.Millisecond
)

// Config configures connections.
type Config struct {
	// MaxUnacked is the time for which written bytes may stay unacknowledged, or the remote
	// end may accept no more. Zero means 900 ms, for nodes and the platform.
	MaxUnacked timekeeper.Duration
}

func (c Config) maxUnacked() timekeeper.Duration {
	if c.MaxUnacked <= 0 {
		return defaultMaxUnacked
	}
	return c.MaxUnacked
}

// New returns a dialer with a connect timeout, keep-alive probes and, on Linux, a
// bound on unacknowledged data.
func New(c Config) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive(),
		Control:         c.boundUnacked,
	}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}
