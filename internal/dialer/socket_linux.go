package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// unackedTime is how long written bytes may stay unacknowledged. Round trips
// take milliseconds, and a packet that was lost is sent again after 200 ms and
// then 400 ms.
const unackedTime = 900 * timekeeper.Millisecond

// boundUnacked makes a connection fail whose other end does not acknowledge.
//
// A server that goes dark leaves its connections open. Without the bound the
// kernel sends a request again for minutes, and the caller waits for as long
// as it is willing to, though for a repeatable request another server could
// answer. An acknowledgement says nothing of how long an answer takes, so a
// server that is only slow keeps its requests.
func boundUnacked(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTime))
	})
	if err != nil {
		return err
	}
	return failed
}
