package dialer

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
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

// AckAge returns the time since the remote end of a connection last acknowledged something. It
// returns false if that is not known.
func AckAge(c net.Conn) (timekeeper.Duration, bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	info, err := tcpInfo(socket)
	if err != nil {
		return 0, false
	}
	return timekeeper.Duration(info.Last_ack_recv), true
}

// tcpClose is TCP_CLOSE of the kernel's tcp_states.h.
const tcpClose = 7

// closedBoth reports whether a connection, which this process has not closed, is closed in both
// directions. Its error is net.ErrClosed if the process has closed it.
func closedBoth(c syscall.Conn) (bool, error) {
	info, err := tcpInfo(c)
	if err != nil {
		return false, err
	}
	return info.State == tcpClose, nil
}

// tcpInfo returns what the kernel knows of a connection.
func tcpInfo(c syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	var (
		info   *unix.TCPInfo
		failed error
	)
	err = raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, failed
}
