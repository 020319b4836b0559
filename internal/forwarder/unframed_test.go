package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

const unframedHead = "HTTP/1.1 200 OK\r\nSignature: first\r\nConnection: close\r\n\r\n"

// unframedHeadOf returns unframedHead, in which a leaving server states that it leaves.
func unframedHeadOf(leaving bool) string {
	if !leaving {
		return unframedHead
	}
	return strings.TrimSuffix(unframedHead, "\r\n") + "Leaving: 1\r\n\r\n"
}

// Guards against half an answer without a length that looks whole, as its server ended in order.
func TestAnswerThatEndsWithItsServerIsBroken(t *testing.T) {
	for name, part := range map[string]string{
		"half of the body":   "half of the bo",
		"nothing":            "",
		"more than a buffer": strings.Repeat("x", 2<<20),
	} {
		t.Run(name, func(t *testing.T) {
			s := newFakeDecider(startEndingServer(t, true, unframedHead+part))
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			if len(part) > 1<<20 {
				require.Error(t, answer.err)
				ended := <-s.ended
				require.Equal(t, messenger.AttemptBroken, ended.Result)
				require.True(t, ended.ServerEnded)
				return
			}
			require.Equal(t, http.StatusBadGateway, answer.status)
			require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
			require.True(t, s.attemptEnds[0].ServerEnded)
		})
	}
}

// Guards against a stream that counts as complete because its server ended between two events.
func TestStreamThatEndsWithItsServerIsResumed(t *testing.T) {
	first := startEndingServer(t, true, unframedHead+"id: 1\ndata: a\n\n")
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = fmt.Fprint(w, "id: 2\ndata: b\n\n")
	})
	s := newFakeDecider(first, second)
	s.route.Stream = true
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", answer.body)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
}

// Guards against whole answers without a length that are taken for broken ones.
func TestAnswerWithoutLengthIsComplete(t *testing.T) {
	for _, leaving := range []bool{false, true} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("stream %t, its server leaves %t", stream, leaving), func(t *testing.T) {
				body := "id: 1\ndata: a\n\n"
				s := newFakeDecider(startEndingServer(t, false, unframedHeadOf(leaving)+body))
				s.route.Stream = stream
				answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
				require.NoError(t, answer.err)
				require.Equal(t, body, answer.body)
				require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
			})
		}
	}
}

// Guards against cut answers that look whole because their server had announced its end.
func TestAnswerThatEndsWithLeavingServerIsBroken(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %t", stream), func(t *testing.T) {
			s := newFakeDecider(startEndingServer(t, true, unframedHeadOf(true)+"id: 1\ndata: a\n\n"))
			s.route.Stream = stream
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
			if stream {
				require.Error(t, answer.err)
				return
			}
			require.Equal(t, http.StatusBadGateway, answer.status)
		})
	}
}

// deadPeers are nodes that have ended.
var deadPeers = []messenger.PathPeer{
	{
		Node:    "entry-2",
		Address: "127.0.0.1:1",
	},
	{
		Node:    "entry-3",
		Address: "127.0.0.1:1",
	},
}

// Guards against cut answers that look whole because the peers to ask ended with the server.
func TestAnswerIsBrokenIfPeersEndWithServer(t *testing.T) {
	s := newFakeDecider(startEndingServer(t, true, unframedHead+"half of the bo"))
	s.path.Peers = deadPeers
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.Equal(t, http.StatusBadGateway, answer.status)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
	require.False(t, s.attemptEnds[0].ServerEnded, "no peer confirms it")
}

// Guards against whole answers that are taken for broken ones because paths fail.
func TestAnswerWithoutLengthIsCompleteOnAnyPath(t *testing.T) {
	for _, test := range []struct {
		name  string
		dial  dialFunc
		peers func(t *testing.T) []messenger.PathPeer
	}{
		{
			name:  "all peers ended",
			peers: func(*testing.T) []messenger.PathPeer { return deadPeers },
		},
		{
			name: "through a peer",
			dial: refuse,
			peers: func(t *testing.T) []messenger.PathPeer {
				return []messenger.PathPeer{startPeer(t, "")}
			},
		},
		{
			name: "only peers still connect",
			dial: onlyFirst(),
			peers: func(t *testing.T) []messenger.PathPeer {
				return []messenger.PathPeer{startPeer(t, "")}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFakeDecider(startEndingServer(t, false, unframedHead+"whole"))
			s.path.Peers = test.peers(t)
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarderWith(t, s, test.dial)+"/", nil))
			require.Equal(t, http.StatusOK, answer.status)
			require.Equal(t, "whole", answer.body)
			require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
		})
	}
}

// onlyFirst opens one connection, and hangs for all later ones.
func onlyFirst() dialFunc {
	var dials atomic.Int64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return hang(ctx, network, address)
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}

// Guards against cut answers that look whole as the kernel closes a killed server's listener last.
func TestAnswerIsBrokenIfListenerIsClosedLast(t *testing.T) {
	address, dial := startServerWithLateListener(t, 5*time.Millisecond, unframedHead+"half of the bo")
	s := newFakeDecider(address)
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarderWith(t, s, dial)+"/", nil))
	require.Equal(t, http.StatusBadGateway, answer.status)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
	require.True(t, s.attemptEnds[0].ServerEnded)
}

// startServerWithLateListener starts a server that sends an answer and closes the connection. It
// stops listening after a delay, for connections that are opened with the function returned.
func startServerWithLateListener(t *testing.T, delay time.Duration, answer string) (string, dialFunc) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan time.Time, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = fmt.Fprint(c, answer)
		}
		closed <- time.Now()
		_ = c.Close()
	}()
	return l.Addr().String(), func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case at := <-closed:
			if time.Since(at) >= delay {
				_ = l.Close()
			}
		default:
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}
