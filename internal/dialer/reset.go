package dialer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

// ResetError reports that the remote end reset a connection, although a read found an orderly
// end. It is a syscall.ECONNRESET.
type ResetError struct{ Remote net.Addr }

var _ error = (*ResetError)(nil)

func (e *ResetError) Error() string { return fmt.Sprintf("%v reset the connection", e.Remote) }

// Unwrap returns syscall.ECONNRESET.
func (e *ResetError) Unwrap() error { return syscall.ECONNRESET }

// DetectResets returns a DialFunc whose connections tell a reset from an orderly end. The kernel
// reports a reset once: if a write in progress takes the error, reads find an orderly end.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		socket, ok := conn.(socketConn)
		if !ok {
			return conn, nil
		}
		return &resetConn{socketConn: socket}, nil
	}
}

// socketConn is a connection with a file descriptor.
type socketConn interface {
	net.Conn
	syscall.Conn
}

// resetConn is a connection that was opened by DetectResets.
type resetConn struct{ socketConn }

var _ socketConn = (*resetConn)(nil)

// Read implements net.Conn. Its error is a *ResetError if the connection was reset, whoever took
// the kernel's error.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.socketConn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	closed, failed := closedBoth(c.socketConn)
	switch {
	case errors.Is(failed, net.ErrClosed):
		// It was closed meanwhile, as a write on it failed or its request ended.
		return n, failed
	case closed:
		return n, &ResetError{Remote: c.RemoteAddr()}
	}
	return n, err
}
