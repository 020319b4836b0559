package dialer_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dialer"
)

const (
	// pause is the time for which a sound server may be silent.
	pause = 1500 * time.Millisecond
	// bodySize is more than the buffers of a connection hold.
	bodySize = 20 << 20
)

// Guards against requests that are cut because their server pauses while it reads the body.
func TestBodyOutlivesPauseOfServer(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	type result struct {
		read int64
		err  error
	}
	received := make(chan result, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			received <- result{err: err}
			return
		}
		defer func() { _ = conn.Close() }()
		<-time.After(pause) // The server is silent.
		read, err := io.Copy(io.Discard, conn)
		received <- result{
			read: read,
			err:  err,
		}
	}()
	conn, err := dialer.New(dialer.Config{MaxUnacked: dialer.ServerMaxUnacked}).DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, bodySize))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	got := <-received
	require.NoError(t, got.err)
	require.EqualValues(t, bodySize, got.read)
}

// Guards against cut bytes that look whole because the kernel reported the reset to the writing side.
func TestResetBesideWriteIsNoOrderlyEnd(t *testing.T) {
	t.Parallel()
	const part = "part"
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		closed := make(chan error, 1)
		go func() {
			conn, err := listener.Accept()
			if err == nil {
				_, err = io.ReadFull(conn, make([]byte, 1))
			}
			if err == nil {
				_, err = io.WriteString(conn, part)
			}
			if err == nil {
				err = conn.(*net.TCPConn).SetLinger(0)
			}
			if err == nil {
				err = conn.Close()
			}
			closed <- err
		}()
		conn, err := dialer.DetectResets(dialer.New(dialer.Config{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write(make([]byte, 1))
		require.NoError(t, err)
		require.NoError(t, <-closed)
		var failed error
		for failed == nil {
			_, failed = conn.Write(make([]byte, 1<<20))
		}
		got, err := io.ReadAll(conn)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		require.Equal(t, part, string(got))
		require.NoError(t, conn.Close())
		require.NoError(t, listener.Close())
	}
}

// Guards against whole bytes that count as cut because this end still had something to write.
func TestOrderlyEndIsNoReset(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	release := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		<-release
		_ = conn.Close()
	}()
	conn, err := dialer.DetectResets(dialer.New(dialer.Config{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write(make([]byte, 1<<10))
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	require.NoError(t, err)
	close(release)
	<-ended
	require.NoError(t, conn.Close())
}
