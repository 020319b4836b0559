// Package dialer opens connections whose other end may vanish without a word: a
// VM that is taken away or cut off sends nothing, and a connection that
// something between the two ends has lost track of stays open for good. Written
// bytes have to be acknowledged in time, and idle connections are probed, so
// that either shows as an error in about two seconds.
package dialer

import (
	"net"
	"time"
)

const (
	// connectTime bounds a new connection within a region, which takes some
	// milliseconds; an end that is gone answers nothing.
	connectTime = 400 * time.Millisecond
	// probeIdle, probeEvery and probeCount find idle connections whose other
	// end is gone. The kernel counts whole seconds.
	probeIdle  = 1 * time.Second
	probeEvery = 1 * time.Second
	probeCount = 2
)

// New returns a dialer of such connections.
func New() *net.Dialer {
	return &net.Dialer{
		Timeout: connectTime,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeEvery,
			Count:    probeCount,
		},
		Control: boundUnacked,
	}
}
