//go:build !linux

package dialer

import "syscall"

// boundUnacked does nothing where the kernel has no such bound; keep-alive
// probes and callers' own patience are what is left.
func boundUnacked(_, _ string, _ syscall.RawConn) error { return nil }
