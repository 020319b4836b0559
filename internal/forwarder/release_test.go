package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// Guards against a request that runs on at a server whose answer without a body was not its own.
func TestConnectionOfForeignAnswerIsClosed(t *testing.T) {
	closed := make(chan struct{})
	first := startRawServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 504 Gateway Timeout\r\nId: another\r\nContent-Length: 0\r\n\r\n")
		_, _ = bufio.NewReader(c).ReadByte()
		close(closed)
	})
	s := newFakeDecider(first, startWholeServer(t, "second"))
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "second", answer.body)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		require.FailNow(t, "the connection is open")
	}
}

// Guards against new connections for each request that a server rejects.
func TestConnectionOfRejectionIsKept(t *testing.T) {
	var connections atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := newFakeDecider(server, server, server)
	dialer := &net.Dialer{}
	do(t, newRequest(t, http.MethodGet, "http://"+startForwarderWith(t, s, func(ctx context.Context, network, address string) (net.Conn, error) {
		connections.Add(1)
		return dialer.DialContext(ctx, network, address)
	})+"/", nil))
	require.Equal(t, []messenger.AttemptResult{
		messenger.AttemptRefused,
		messenger.AttemptRefused,
		messenger.AttemptRefused,
	}, s.results())
	require.EqualValues(t, 1, connections.Load())
}
