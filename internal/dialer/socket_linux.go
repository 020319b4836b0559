package dialer

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// boundUnacked sets TCP_USER_TIMEOUT, so that a connection fails if the remote end
// does not acknowledge written bytes.
//
// Without it the kernel retransmits a request to an unreachable server for
// minutes, during which a repeatable request can't be retried elsewhere. The
// kernel acknowledges independently of the process, but only as much as the process
// leaves room for: probes of a full receive window count as unacknowledged too.
func (c Config) boundUnacked(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.maxUnacked()))
	})
	if err != nil {
		return err
	}
	return failed
}
