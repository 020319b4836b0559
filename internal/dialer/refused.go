package dialer

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// refusedTime bounds the question whether a process still listens, which a VM of
// the region answers within some milliseconds either way. One that is gone with its
// VM, or cut off, says nothing.
const refusedTime = 50 * time.Millisecond

// Refused reports whether err tells that nothing listens at the address that was
// dialled, though its VM answers: the process there has ended.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RefusedAt dials an address to learn whether a process still listens there. It
// returns false also where that can't be learned in time.
//
// A process that ends closes its connections as one that closes a single one does,
// and its entry in the platform's store lapses three seconds later. The kernel of
// its VM refuses the next connection at once.
func RefusedAt(ctx context.Context, address string) bool {
	ctx, done := context.WithTimeout(ctx, refusedTime)
	defer done()
	c, err := New().DialContext(ctx, "tcp", address)
	if err != nil {
		return Refused(err)
	}
	// Nothing was sent, so that nothing can be lost by closing.
	_ = c.Close()
	return false
}
