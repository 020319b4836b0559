package forwarder_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// hang is the path of a node whose packets to servers are lost.
func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, &net.OpError{
		Op:  "dial",
		Err: ctx.Err(),
	}
}

// refuse is the path of a node whose connections to servers are refused.
func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{
		Op:  "dial",
		Err: syscall.ECONNREFUSED,
	}
}

// openTunnels admits every tunnel.
type openTunnels struct{ refusal messenger.TunnelRefusal }

func (o openTunnels) AdmitTunnel(context.Context, identifier.VMID, string, string) messenger.TunnelAnswer {
	return messenger.TunnelAnswer{Refusal: o.refusal}
}
func (openTunnels) PathTried(context.Context, messenger.PathTried) {}
func (openTunnels) TunnelEnded()                                   {}

// startPeer starts a node that opens tunnels, or refuses them.
func startPeer(t *testing.T, refusal messenger.TunnelRefusal) messenger.PathPeer {
	t.Helper()
	s := httptest.NewServer(tunneler.NewHandler(tunneler.HandlerConfig{
		Admitter: openTunnels{refusal},
		Next:     http.NotFoundHandler(),
	}))
	t.Cleanup(s.Close)
	return messenger.PathPeer{
		Node:    "entry-2",
		Address: s.Listener.Addr().String(),
	}
}

// A request whose server only peers reach must be served, and run once.
func TestRequestIsSentThroughPeer(t *testing.T) {
	for _, test := range []struct {
		name   string
		broken bool
		dial   dialFunc
		direct messenger.ConnectResult
	}{
		{
			name:   "connections hang",
			dial:   hang,
			direct: messenger.ConnectUnreachable,
		},
		{
			name:   "connections are refused",
			dial:   refuse,
			direct: messenger.ConnectRefused,
		},
		{
			name:   "the path is known to be broken",
			broken: true,
			dial:   hang,
			direct: messenger.ConnectNotTried,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var runs atomic.Int64
			server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				sign(w, r)
				_, _ = w.Write([]byte("whole"))
			})
			s := newFakeDecider(server)
			s.path = messenger.Path{
				Broken: test.broken,
				Peers:  []messenger.PathPeer{startPeer(t, "")},
			}
			address := startForwarderWith(t, s, test.dial)
			got := do(t, newRequest(t, http.MethodPost, "http://"+address+"/book/", strings.NewReader("x")))
			require.NoError(t, got.err)
			require.Equal(t, "whole", got.body)
			require.EqualValues(t, 1, runs.Load())
			require.Equal(t, []identifier.VMID{"entry-2"}, s.beganVia)
			require.Len(t, s.tried, 1)
			require.Equal(t, test.direct, s.tried[0].Direct)
			require.Equal(t, messenger.Connected, s.tried[0].Peers[0].Result)
		})
	}
}

// Guards against servers that are taken for ended because this node can't reach them.
func TestAttemptWithoutPathSaysNothingOfServer(t *testing.T) {
	s := newFakeDecider("127.0.0.1:1")
	s.path.Peers = []messenger.PathPeer{startPeer(t, messenger.TunnelIsolated)}
	address := startForwarderWith(t, s, refuse)
	do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptNotSent}, s.results())
	require.True(t, s.attemptEnds[0].PathFailed)
	require.False(t, s.attemptEnds[0].ServerEnded)
}

// A server whose address peers find refusing too has ended.
func TestServerHasEndedIfPeersAreRefusedToo(t *testing.T) {
	s := newFakeDecider("127.0.0.1:1")
	s.path.Peers = []messenger.PathPeer{startPeer(t, "")}
	address := startForwarderWith(t, s, refuse)
	do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptNotSent}, s.results())
	require.False(t, s.attemptEnds[0].PathFailed)
	require.True(t, s.attemptEnds[0].ServerEnded)
}

// Guards against ends of servers that are seen behind a partition, or missed as a peer is slow.
func TestPeerTellsWhetherServerHasEnded(t *testing.T) {
	for _, test := range []struct {
		name string
		// reached is set if the peer reaches the server.
		reached bool
		delay   time.Duration
		want    bool
	}{
		{
			name:    "reached",
			reached: true,
		},
		{
			name: "refused",
			want: true,
		},
		{
			name:  "refused late",
			delay: 170 * time.Millisecond,
			want:  true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			other := startServer(t, func(http.ResponseWriter, *http.Request) {})
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-time.After(test.delay)
				if test.reached {
					r.Host = other // The peer reaches the server, here at another address.
				}
				tunneler.NewHandler(tunneler.HandlerConfig{Admitter: openTunnels{}}).ServeHTTP(w, r)
			}))
			t.Cleanup(peer.Close)
			s := newFakeDecider(startEndingServer(t, true, ""))
			s.path.Peers = []messenger.PathPeer{
				{
					Node:    "entry-2",
					Address: peer.Listener.Addr().String(),
				},
			}
			do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
			require.Equal(t, test.want, s.attemptEnds[0].ServerEnded)
		})
	}
}
