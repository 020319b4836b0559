//go:build !linux

package dialer

import "syscall"

// boundUnacked does nothing on systems without TCP_USER_TIMEOUT. Unreachable
// remote ends are then detected by keep-alive probes and request timeouts.
func (c Config) boundUnacked(_, _ string, _ syscall.RawConn) error { return nil }
