package dialer

import "net"

// Configure sets the same options on an accepted connection as New does on those that it
// opens.
func Configure(conn *net.TCPConn, c Config) error {
	if err := conn.SetKeepAliveConfig(keepAlive()); err != nil {
		return err
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return c.boundUnacked("", "", raw)
}
