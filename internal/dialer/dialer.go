// Package dialer opens TCP connections that detect an unresponsive remote end. A
// VM that is reclaimed or partitioned closes no connections, and a middlebox may
// drop the state of a connection without notice. Written bytes must be
// acknowledged in time, and idle connections are probed, so that both cases
// cause an error within about two seconds.
package dialer

import (
	"net"
	"time"
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

// New returns a dialer with a connect timeout, keep-alive probes and, on Linux, a
// bound on unacknowledged data.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: keepAlive(),
		Control:         boundUnacked,
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
