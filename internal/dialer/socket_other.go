//go:build !linux

package dialer

import (
	"net"
	"syscall"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// boundUnacked does nothing on systems without TCP_USER_TIMEOUT. Unreachable
// remote ends are then detected by keep-alive probes and request timeouts.
func (c Config) boundUnacked(_, _ string, _ syscall.RawConn) error { return nil }

// closedBoth returns false on systems that do not report the state of connections.
func closedBoth(syscall.Conn) (bool, error) { return false, nil }

// AckAge returns false on systems that do not report the age of acknowledgements.
func AckAge(net.Conn) (timekeeper.Duration, bool) { return 0, false }
