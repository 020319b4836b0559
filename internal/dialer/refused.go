package dialer

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout bounds the connection attempt of RefusedAt. A running VM in the
// region accepts or refuses a connection within a few milliseconds.
const probeTimeout = 50 * time.Millisecond

// Refused reports whether err is a refused connection: the VM is reachable, but no
// process listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RefusedAt dials an address and reports whether the connection is refused. It
// returns false if there is no result in time.
//
// This detects the end of a process early. A closed connection alone does not show
// whether its process ended, and the entry of an ended process in the platform's
// store expires only three seconds later, but the kernel of its VM refuses new
// connections immediately.
func RefusedAt(ctx context.Context, address string) bool {
	ctx, done := context.WithTimeout(ctx, probeTimeout)
	defer done()
	c, err := New(Config{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return Refused(err)
	}
	// Nothing was sent, so closing loses no data.
	_ = c.Close()
	return false
}
