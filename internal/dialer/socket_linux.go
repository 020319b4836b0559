package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxUnackedTime is the time for which written bytes may stay unacknowledged.
// Round trips take milliseconds, and a lost packet is retransmitted after 200 ms
// and again after 400 ms.
const maxUnackedTime = 900 * timekeeper.Millisecond

// boundUnacked sets TCP_USER_TIMEOUT, so that a connection fails if the remote end
// does not acknowledge written bytes.
//
// Without it the kernel retransmits a request to an unreachable server for
// minutes, during which a repeatable request can't be retried elsewhere. The
// kernel acknowledges independently of the process, so a server that is merely
// slow keeps its requests.
func boundUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnackedTime))
	})
	if err != nil {
		return err
	}
	return failed
}
