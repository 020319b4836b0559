package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCloseDelay is the time after the end of an attempt within which its server must see the
// connection closed.
const maxCloseDelay = 100 * time.Millisecond

// bodySize is the size of a body that the buffers of a connection do not hold.
const bodySize = 8 << 20

// Guards against requests that run on at a server after another one has got them, as nothing was closed.
func TestConnectionOfAbandonedAttemptIsClosed(t *testing.T) {
	const foreign = "HTTP/1.1 504 Gateway Timeout\r\nId: another\r\n"
	large := strings.Repeat("x", bodySize)
	tests := []struct {
		name string
		// answer is what the server sends, and body that of the request.
		answer string
		body   string
	}{
		{
			name:   "another request's answer without a body",
			answer: foreign + "Content-Length: 0\r\n\r\n",
		},
		{
			name:   "another request's answer",
			answer: foreign + "Content-Length: 3\r\n\r\nabc",
		},
		{
			name:   "another request's answer that is not whole",
			answer: foreign + "Content-Length: 9\r\n\r\nabc",
		},
		{
			name:   "another request's answer before the body was sent",
			answer: foreign + "Content-Length: 0\r\n\r\n",
			body:   large,
		},
		{
			name:   "success that is not signed, without a body",
			answer: "HTTP/1.1 200 OK\r\nId: r-1\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name:   "success that is not signed and has no content",
			answer: "HTTP/1.1 204 No Content\r\nId: r-1\r\n\r\n",
		},
		{
			name:   "rejection that names no request",
			answer: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name:   "rejection that does not state that nothing ran, without an id",
			answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		},
		{
			name:   "other protocol",
			answer: "HTTP/1.1 101 Switching Protocols\r\nId: another\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		},
		{
			name:   "no answer",
			answer: "x",
		},
	}
	for _, test := range tests {
		for _, tunnel := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/tunnel %t", test.name, tunnel), func(t *testing.T) {
				closed := make(chan time.Time, 1)
				first := startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
					_, _ = io.WriteString(c, test.answer)
					_, _ = io.Copy(io.Discard, in)
					closed <- time.Now()
				})
				s := newFakeDecider(first, startWholeServer(t, "second"))
				s.firstEventTimeout = stallTimeout
				if tunnel {
					s.path = messenger.Path{
						Isolated: true,
						Peers:    []messenger.PathPeer{startPeer(t, "")},
					}
				}
				address := startForwarderWithConfig(t, forwarder.Config{
					Self:     "entry-1",
					Decider:  s,
					Protocol: testProtocol{},
					Clock:    timekeeper.System{},
					MaxBody:  func() identifier.Bytes { return 2 * bodySize },
				})
				answer := do(t, newRequest(t, http.MethodPost, "http://"+address+"/", strings.NewReader(test.body)))
				require.NoError(t, answer.err)
				require.Equal(t, "second", answer.body)
				answered := time.Now()
				select {
				case at := <-closed:
					require.Less(t, at.Sub(answered), maxCloseDelay)
				case <-time.After(2 * time.Second):
					require.FailNow(t, "the connection is open")
				}
			})
		}
	}
}

// Guards against new connections for each request that a server rejects.
func TestConnectionOfRejectionIsKept(t *testing.T) {
	const requests = 3
	var connections atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := newFakeDecider(server)
	dialer := &net.Dialer{}
	address := startForwarderWith(t, s, func(ctx context.Context, network, address string) (net.Conn, error) {
		connections.Add(1)
		return dialer.DialContext(ctx, network, address)
	})
	for range requests {
		do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
		s.attempt = 0
	}
	require.Equal(t, []messenger.AttemptResult{
		messenger.AttemptRefused,
		messenger.AttemptRefused,
		messenger.AttemptRefused,
	}, s.results())
	require.EqualValues(t, 1, connections.Load())
}

// Guards against a request that counts as not run because the rejection of an earlier attempt comes twice.
func TestSecondCopyOfRejectionIsNoAnswer(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, tunnel := range []bool{false, true} {
		t.Run(fmt.Sprintf("tunnel %t", tunnel), func(t *testing.T) {
			var requests atomic.Int64
			server := startHeadServer(t, func(c net.Conn, in *bufio.Reader) {
				if requests.Add(1) == 1 {
					_, _ = io.WriteString(c, rejection)
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = io.WriteString(c, rejection)
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: r-1\r\nSignature: s\r\nContent-Length: 3\r\n\r\nran")
			})
			s := newFakeDecider(server, server)
			if tunnel {
				s.path = messenger.Path{
					Isolated: true,
					Peers:    []messenger.PathPeer{startPeer(t, "")},
				}
			}
			got := do(t, newRequest(t, http.MethodPost, "http://"+startForwarder(t, s)+"/", strings.NewReader("body")))
			require.NoError(t, got.err)
			require.Equal(t, "ran", got.body)
			require.Equal(t, []messenger.AttemptResult{messenger.AttemptRefused}, s.results())
		})
	}
}
