package forwarder_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/tunneler"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const statusPath = "/status"

// pausableServer answers no streams, and statuses only while it is not paused.
type pausableServer struct {
	address string
	paused  atomic.Bool
	// dropped is closed when the connection of the stream is closed.
	dropped chan struct{}
}

func startPausableServer(t *testing.T) *pausableServer {
	s := &pausableServer{dropped: make(chan struct{})}
	s.address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != statusPath {
			<-r.Context().Done()
			close(s.dropped)
			return
		}
		if s.paused.Load() {
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, "{}")
	})
	return s
}

// sendStream sends a request for a stream through a forwarder that checks silent servers.
func sendStream(t *testing.T, s *fakeDecider) reply {
	s.route.Stream = true
	s.firstEventTimeout = stallTimeout
	address := startForwarderWithConfig(t, forwarder.Config{
		Self:       "entry-1",
		Decider:    s,
		Protocol:   testProtocol{},
		Clock:      timekeeper.System{},
		StatusPath: statusPath,
	})
	return do(t, newRequest(t, http.MethodGet, "http://"+address+"/", nil))
}

// Guards against decisions on silent servers without knowing whether these may be paused.
func TestSilentServerIsChecked(t *testing.T) {
	paused := startPausableServer(t)
	paused.paused.Store(true)
	hung, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = hung.Close() })
	tests := []struct {
		name    string
		address string
		want    messenger.ServerActivity
	}{
		{
			name:    "answers statuses",
			address: startPausableServer(t).address,
			want:    messenger.ServerResponds,
		},
		{
			name:    "answers nothing",
			address: paused.address,
			want:    messenger.ServerUnresponsive,
		},
		{
			name:    "process accepts no connection",
			address: hung.Addr().String(),
			want:    messenger.ServerUnresponsive,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFakeDecider(test.address)
			s.timeLimit = 2 * timekeeper.Second
			sendStream(t, s)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.NotEmpty(t, s.stalls)
			require.Equal(t, test.want, s.stalls[0].Activity)
		})
	}
}

// Guards against a stream at a second server while the first, paused since the decision, still has it.
func TestNextServerWaitsForRelease(t *testing.T) {
	const pause = 600 * time.Millisecond
	first := startPausableServer(t)
	var sent time.Time
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sent = time.Now()
		sign(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	})
	s := newFakeDecider(first.address, second, second)
	var resumed time.Time
	s.onStall = func(int) {
		first.paused.Store(true)
		resumed = time.Now().Add(pause)
		time.AfterFunc(pause, func() { first.paused.Store(false) })
	}
	got := sendStream(t, s)
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\n", got.body)
	require.False(t, sent.Before(resumed))
	<-first.dropped
}

// Guards against a stream at a second server while the first, whose connection broke, is paused with it.
func TestNextServerWaitsAfterBrokenConnection(t *testing.T) {
	const pause = 300 * time.Millisecond
	for _, test := range []struct {
		name   string
		events string
		tunnel bool
	}{
		{
			name: "before the first event",
		},
		{
			name:   "between events",
			events: "id: 1\ndata: a\n\n",
		},
		{
			name:   "through a peer",
			tunnel: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var paused atomic.Bool
			first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == statusPath {
					if paused.Load() {
						<-time.After(pause)
						paused.Store(false)
					}
					return
				}
				sign(w, r)
				if test.events != "" {
					_, _ = io.WriteString(w, test.events)
					_ = http.NewResponseController(w).Flush()
				}
				paused.Store(true)
				resetConnection(w)
			})
			second, pausedAtSecond := startNextServer(t, &paused, "id: 2\ndata: b\n\n")
			s := newFakeDecider(first, second)
			if test.tunnel {
				s.path = messenger.Path{
					Isolated: true,
					Peers:    []messenger.PathPeer{startPeer(t, "")},
				}
			}
			got := sendStream(t, s)
			require.NoError(t, got.err)
			require.Equal(t, test.events+"id: 2\ndata: b\n\n", got.body)
			require.False(t, pausedAtSecond.Load())
		})
	}
}

// startNextServer starts a server that answers with a body, and records whether the server before was
// paused when the request arrived.
func startNextServer(t *testing.T, paused *atomic.Bool, body string) (address string, pausedAtArrival *atomic.Bool) {
	t.Helper()
	pausedAtArrival = &atomic.Bool{}
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		pausedAtArrival.Store(paused.Load())
		sign(w, r)
		_, _ = io.WriteString(w, body)
	}), pausedAtArrival
}

// resetConnection ends the connection of a request with a reset.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a stream at a second server as the end of a peer counts as an answer of the first.
func TestEndOfTunnelIsNoAnswerOfServer(t *testing.T) {
	const pause = 300 * time.Millisecond
	var paused atomic.Bool
	first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == statusPath {
			<-time.After(pause)
			paused.Store(false)
			return
		}
		paused.Store(true)
		resetConnection(w)
	})
	second, pausedAtSecond := startNextServer(t, &paused, "id: 1\ndata: a\n\n")
	s := newFakeDecider(first, second)
	s.path = messenger.Path{
		Isolated: true,
		Peers:    []messenger.PathPeer{startPeerThatEnds(t, 2)},
	}
	got := sendStream(t, s)
	require.NoError(t, got.err)
	require.Equal(t, "id: 1\ndata: a\n\n", got.body)
	require.False(t, pausedAtSecond.Load())
}

// startPeerThatEnds starts a node that opens tunnels and ends the given one at once.
func startPeerThatEnds(t *testing.T, ending int64) messenger.PathPeer {
	t.Helper()
	var tunnels atomic.Int64
	opens := tunneler.NewHandler(tunneler.HandlerConfig{
		Admitter: openTunnels{},
		Next:     http.NotFoundHandler(),
	})
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if tunnels.Add(1) != ending {
			opens.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			_ = c.Close()
		}
	})
	return messenger.PathPeer{
		Node:    "entry-2",
		Address: server,
	}
}

// startStoppedServer starts a server that takes one request and then stands still: its VM accepts as
// many connections as its backlog holds and acknowledges their bytes.
func startStoppedServer(t *testing.T, backlog int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	var failed error
	require.NoError(t, raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), backlog) }))
	require.NoError(t, failed)
	go func() {
		if c, err := listener.Accept(); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	return listener.Addr().String()
}

// Guards against a paused server that counts as unreachable, as checks have filled its queue.
func TestChecksLeaveQueueOfPausedServer(t *testing.T) {
	const backlog = 2
	s := newFakeDecider(startStoppedServer(t, backlog))
	s.timeLimit = 3 * timekeeper.Second
	sendStream(t, s)
	s.requireStalls(t, messenger.ServerUnresponsive)
}

// Guards against a paused server that counts as unreachable, as other connections fill its queue.
func TestPausedServerWithFullQueueIsNotUnreachable(t *testing.T) {
	const backlog = 2
	address := startStoppedServer(t, backlog)
	s := newFakeDecider(address)
	s.timeLimit = 3 * timekeeper.Second
	s.onStall = func(int) {
		for range 2 * backlog {
			go func() {
				c, err := net.DialTimeout("tcp", address, time.Second)
				if err == nil {
					t.Cleanup(func() { _ = c.Close() })
				}
			}()
		}
	}
	sendStream(t, s)
	s.requireStalls(t, messenger.ServerUnresponsive)
}

// requireStalls requires that the checks of all stalls have found the same.
func (s *fakeDecider) requireStalls(t *testing.T, want messenger.ServerActivity) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.NotEmpty(t, s.stalls)
	for _, e := range s.stalls {
		require.Equal(t, want, e.Activity)
	}
}

// Guards against a stream at a second server while the first, which sent another answer, begins it.
func TestNextServerWaitsAfterForeignAnswer(t *testing.T) {
	const pause = 300 * time.Millisecond
	for _, test := range []struct {
		name, id string
		status   int
	}{
		{
			name:   "another request's answer",
			id:     "another",
			status: http.StatusGatewayTimeout,
		},
		{
			name:   "success that is not signed",
			id:     "r-1",
			status: http.StatusOK,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var paused atomic.Bool
			first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == statusPath {
					if paused.Load() {
						<-time.After(pause)
						paused.Store(false)
					}
					return
				}
				paused.Store(true)
				w.Header().Set("Id", test.id)
				w.WriteHeader(test.status)
			})
			second, pausedAtSecond := startNextServer(t, &paused, "id: 1\ndata: a\n\n")
			got := sendStream(t, newFakeDecider(first, second))
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\ndata: a\n\n", got.body)
			require.False(t, pausedAtSecond.Load())
		})
	}
}

// Guards against exhausted memory by a silent server that answers its check without end.
func TestChecksWithoutEndAreBounded(t *testing.T) {
	// A check that ends without an answer is sent three times.
	const maxCheckBytes = 3 * maxEndlessBytes
	for _, test := range []struct {
		name       string
		head, part string
	}{
		{
			name: "status line",
			head: "HTTP/1.1 200 ",
			part: "x",
		},
		{
			name: "bytes that are no answer",
			part: "x",
		},
		{
			name: "header line",
			head: "HTTP/1.1 200 OK\r\nA: ",
			part: "x",
		},
		{
			name: "header lines",
			head: "HTTP/1.1 200 OK\r\n",
			part: "A: b\r\n",
		},
		{
			name: "informational answers",
			part: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		},
		{
			name: "body",
			head: "HTTP/1.1 200 OK\r\n\r\n",
			part: "x",
		},
		{
			name: "trailers",
			head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
			part: "A: b\r\n",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			silent := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != statusPath {
					<-r.Context().Done()
					return
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				writeEndless(c, test.head, test.part)
			})
			s := newFakeDecider(silent, startWholeServer(t, "id: 1\ndata: a\n\n"))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := sendStream(t, s)
			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxCheckBytes))
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\ndata: a\n\n", got.body)
		})
	}
}
