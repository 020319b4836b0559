package dialer_test

import (
	"context"
	"io"
	"net"
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
