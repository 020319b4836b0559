package dialer

import "net"

// Configure sets the same options on an accepted connection as New does on those that it
// opens.
func Configure(c *net.TCPConn) error {
	if err := c.SetKeepAliveConfig(keepAlive()); err != nil {
		return err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return boundUnacked("", "", raw)
}
