package tunneler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const testTimeout = 5 * time.Second

// fakeAdmitter admits all tunnels, unless it has a refusal.
type fakeAdmitter struct {
	refusal messenger.TunnelRefusal
	froms   chan identifier.VMID
	tried   chan messenger.PathTried
	ended   chan struct{}
}

func newFakeAdmitter() *fakeAdmitter {
	return &fakeAdmitter{
		froms: make(chan identifier.VMID, 8),
		tried: make(chan messenger.PathTried, 8),
		ended: make(chan struct{}, 8),
	}
}

func (a *fakeAdmitter) AdmitTunnel(_ context.Context, from identifier.VMID, _, _ string) messenger.TunnelAnswer {
	a.froms <- from
	return messenger.TunnelAnswer{
		Server:  "i-1",
		Refusal: a.refusal,
	}
}

func (a *fakeAdmitter) PathTried(_ context.Context, e messenger.PathTried) { a.tried <- e }
func (a *fakeAdmitter) TunnelEnded()                                       { a.ended <- struct{}{} }

// startPeer starts a node that opens tunnels.
func startPeer(t *testing.T, a *fakeAdmitter) messenger.PathPeer {
	t.Helper()
	s := httptest.NewServer(tunneler.NewHandler(tunneler.HandlerConfig{
		Admitter: a,
		Next:     http.NotFoundHandler(),
	}))
	t.Cleanup(s.Close)
	return messenger.PathPeer{
		Node:    "entry-2",
		Address: s.Listener.Addr().String(),
	}
}

// startServer starts a server that hands its only connection to serve.
func startServer(t *testing.T, serve func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		serve(c.(*net.TCPConn))
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String()
}

func open(t *testing.T, peer messenger.PathPeer, address string) *tunneler.Conn {
	t.Helper()
	c, err := tunneler.NewOpener("entry-1").Open(t.Context(), peer, address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func await[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		require.Fail(t, "nothing happened")
		panic("unreachable")
	}
}

// Bytes pass in both directions, and the orderly end of the server's bytes is passed on.
func TestTunnelCarriesBytes(t *testing.T) {
	a := newFakeAdmitter()
	address := startServer(t, func(c *net.TCPConn) {
		request := make([]byte, 4)
		_, _ = io.ReadFull(c, request)
		_, _ = io.WriteString(c, string(request)+"pong")
	})
	c := open(t, startPeer(t, a), address)
	require.Equal(t, identifier.VMID("entry-2"), c.Peer)
	_, err := io.WriteString(c, "ping")
	require.NoError(t, err)
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "pingpong", string(answer))
	require.NoError(t, c.Close())
	require.Equal(t, identifier.VMID("entry-1"), await(t, a.froms))
	require.Equal(t, messenger.Connected, await(t, a.tried).Direct)
	await(t, a.ended)
}

// Guards against an answer that looks complete although its server reset the connection.
func TestResetOfServerResetsTunnel(t *testing.T) {
	address := startServer(t, func(c *net.TCPConn) {
		request := make([]byte, 4)
		_, _ = io.ReadFull(c, request)
		_, _ = io.WriteString(c, "half an ans")
		_, _ = io.ReadFull(c, request)
		_ = c.SetLinger(0)
	})
	c := open(t, startPeer(t, newFakeAdmitter()), address)
	_, err := io.WriteString(c, "ping")
	require.NoError(t, err)
	answer := make([]byte, len("half an ans"))
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	_, err = io.WriteString(c, "ping")
	require.NoError(t, err)
	_, err = c.Read(answer)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against servers that go on to work for a caller that has left.
func TestEndOfNodeReachesServer(t *testing.T) {
	ended := make(chan error, 1)
	address := startServer(t, func(c *net.TCPConn) {
		_, err := io.Copy(io.Discard, c)
		ended <- err
	})
	a := newFakeAdmitter()
	c := open(t, startPeer(t, a), address)
	_, err := io.WriteString(c, "ping")
	require.NoError(t, err)
	require.NoError(t, c.Close())
	await(t, ended)
	await(t, a.ended)
}

// What a refused tunnel tells about its server must be known to the node that asked.
func TestRefusedTunnels(t *testing.T) {
	free := startServer(t, func(*net.TCPConn) {})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	for _, test := range []struct {
		name    string
		refusal messenger.TunnelRefusal
		address string
		want    messenger.ConnectResult
	}{
		{
			name:    "the server refuses",
			address: closed.Addr().String(),
			want:    messenger.ConnectRefused,
		},
		{
			name:    "not a member",
			refusal: messenger.TunnelNotMember,
			address: free,
			want:    messenger.ConnectUnavailable,
		},
		{
			name:    "isolated",
			refusal: messenger.TunnelIsolated,
			address: free,
			want:    messenger.ConnectUnavailable,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			a := newFakeAdmitter()
			a.refusal = test.refusal
			_, err := tunneler.NewOpener("entry-1").Open(t.Context(), startPeer(t, a), test.address)
			var failed *tunneler.OpenError
			require.ErrorAs(t, err, &failed)
			require.Equal(t, test.want, failed.Result)
			var refused *tunneler.RefusedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, test.refusal, refused.Reason)
		})
	}
}

// A peer that does not answer must not hold an attempt up.
func TestUnresponsivePeerIsUnavailable(t *testing.T) {
	address := startServer(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	began := time.Now()
	_, err := tunneler.NewOpener("entry-1").Open(t.Context(), messenger.PathPeer{
		Node:    "entry-2",
		Address: address,
	}, address)
	var failed *tunneler.OpenError
	require.ErrorAs(t, err, &failed)
	require.Equal(t, messenger.ConnectUnavailable, failed.Result)
	require.Less(t, time.Since(began), testTimeout)
}
