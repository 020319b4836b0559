package dialer

import (
	"context"
	"errors"
	"net"
	"time"
)

// repeatTimeout bounds the second attempt of RepeatTimedOut. It is short, so that an
// unreachable remote end is detected early.
const repeatTimeout = 200 * time.Millisecond

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RepeatTimedOut returns a DialFunc that repeats an attempt of dial once if it timed out.
//
// A timeout does not show that the remote end is unreachable: it also passes while this
// process is not scheduled, and after a lost packet, which the kernel retransmits only
// after a second. Nothing was sent on the connection yet.
func RepeatTimedOut(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if ctx.Err() != nil || !timedOut(err) {
			return conn, err
		}
		ctx, done := context.WithTimeout(ctx, repeatTimeout)
		defer done()
		return dial(ctx, network, address)
	}
}

func timedOut(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}
