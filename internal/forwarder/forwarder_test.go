package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/forwarder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// fakeDecider sends an exchange to the given servers in turn and records the calls.
type fakeDecider struct {
	servers           []string
	route             catalog.Route
	firstEventTimeout timekeeper.Duration
	nextEventTimeout  timekeeper.Duration
	timeLimit         timekeeper.Duration
	refusal           *messenger.Refusal
	// onStall is called before each decision on a stalled attempt, with the number of these so far.
	onStall func(count int)
	// delay is the time that the first decisions take, one after the other.
	delay []time.Duration

	mu          sync.Mutex
	specs       []messenger.ExchangeSpec
	attemptEnds []messenger.ExchangeAttemptEnded
	stalls      []messenger.ExchangeStalled
	ended       chan messenger.ExchangeEnded
	began       int
	attempt     int
	limits      []messenger.ServerLimitReceived
	leaving     []messenger.ServerLeavingReceived
	tried       []messenger.PathTried
	path        messenger.Path
	brittle     []messenger.ServerBrittleReceived
	// beganVia are the peers through which attempts began.
	beganVia []identifier.VMID
	// from is the memory from which attempts after the first one continue. moving counts the
	// questions whether a stream is being moved.
	from   messenger.Continuation
	moving int
}

func (s *fakeDecider) Moving(context.Context, identifier.ExchangeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moving++
	return s.from.Given()
}

func newFakeDecider(servers ...string) *fakeDecider {
	return &fakeDecider{
		servers:   servers,
		timeLimit: 5 * timekeeper.Second,
		ended:     make(chan messenger.ExchangeEnded, 16),
	}
}

func (s *fakeDecider) Receive(_ context.Context, spec messenger.ExchangeSpec) messenger.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.specs = append(s.specs, spec)
	if s.refusal != nil {
		return messenger.RefuseExchange{
			Exchange: spec.Exchange,
			Refusal:  *s.refusal,
		}
	}
	return s.nextAttempt(spec.Exchange)
}

func (s *fakeDecider) nextAttempt(id identifier.ExchangeID) messenger.Effect {
	if len(s.delay) > 0 {
		<-time.After(s.delay[0])
		s.delay = s.delay[1:]
	}
	if s.attempt >= len(s.servers) {
		return messenger.EndExchange{
			Exchange: id,
			Reason:   messenger.ReasonServerFailed,
		}
	}
	s.attempt++
	var from messenger.Continuation
	if s.attempt > 1 {
		from = s.from
	}
	return messenger.SendExchange{
		From:              from,
		Decided:           timekeeper.System{}.Now(),
		Movable:           s.from.Given(),
		Exchange:          id,
		Attempt:           identifier.AttemptNumber(s.attempt),
		Server:            "i-1",
		Address:           s.servers[s.attempt-1],
		Path:              s.path,
		Account:           "agency",
		Route:             &s.route,
		Deadline:          timekeeper.System{}.Now().Add(s.timeLimit),
		FirstEventTimeout: s.firstEventTimeout,
		NextEventTimeout:  s.nextEventTimeout,
	}
}

func (s *fakeDecider) Began(_ context.Context, e messenger.ExchangeBegan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began++
	s.beganVia = append(s.beganVia, e.Peer)
}

func (s *fakeDecider) AttemptEnded(_ context.Context, e messenger.ExchangeAttemptEnded) messenger.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptEnds = append(s.attemptEnds, e)
	return s.nextAttempt(e.Exchange)
}

// Stalled lets the next server take over, if there is one.
func (s *fakeDecider) Stalled(_ context.Context, e messenger.ExchangeStalled) messenger.Effect {
	s.mu.Lock()
	s.stalls = append(s.stalls, e)
	count := len(s.stalls)
	s.mu.Unlock()
	if s.onStall != nil {
		s.onStall(count)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempt >= len(s.servers) {
		return messenger.KeepWaiting{Exchange: e.Exchange}
	}
	return s.nextAttempt(e.Exchange)
}

func (s *fakeDecider) LimitReceived(_ context.Context, e messenger.ServerLimitReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = append(s.limits, e)
}

func (s *fakeDecider) LeavingReceived(_ context.Context, e messenger.ServerLeavingReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = append(s.leaving, e)
}

func (s *fakeDecider) BrittleReceived(_ context.Context, e messenger.ServerBrittleReceived) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.brittle = append(s.brittle, e)
}

func (s *fakeDecider) PathTried(_ context.Context, e messenger.PathTried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tried = append(s.tried, e)
}

func (s *fakeDecider) Ended(e messenger.ExchangeEnded) { s.ended <- e }

func (s *fakeDecider) results() []messenger.AttemptResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []messenger.AttemptResult
	for _, e := range s.attemptEnds {
		out = append(out, e.Result)
	}
	return out
}

type noIDError struct{}

func (*noIDError) Error() string { return "no id" }

// testProtocol uses its own header names, to show that the forwarder depends on none.
type testProtocol struct{}

func (testProtocol) ReadHead(r *http.Request) (forwarder.Head, error) {
	if r.Header.Get("Id") == "" {
		return forwarder.Head{}, &noIDError{}
	}
	return forwarder.Head{
		Request:   identifier.RequestID(r.Header.Get("Id")),
		LastEvent: r.Header.Get("After"),
		Resumes:   r.Header.Get("After") != "",
	}, nil
}

func (testProtocol) WriteHead(h http.Header, s messenger.SendExchange, _ timekeeper.Duration, lastEvent string) {
	h.Set("Account", string(s.Account))
	if s.From.Given() {
		h.Set("From", s.From.Source+"/"+string(s.From.Handle))
	}
	if lastEvent != "" {
		h.Set("After", lastEvent)
	}
}

func (testProtocol) ReadReply(status int, h http.Header) forwarder.Reply {
	return forwarder.Reply{
		Request: identifier.RequestID(h.Get("Id")),
		NotRun:  h.Get("Not-Run") != "",
		Signed:  h.Get("Signature") != "",
		Limit:   messenger.StatedLimit{Stated: h.Get("Limit") != ""},
		Leaving: h.Get("Leaving") != "",
		Backoff: timekeeper.Duration(len(h.Get("Backoff"))),
		// The status of an answer from another server.
		Misdirected: status == http.StatusMisdirectedRequest,
	}
}

func (testProtocol) WriteRetryAfter(h http.Header, d timekeeper.Duration) {
	h.Set("Again", strconv.FormatInt(int64(d), 10))
}

// startForwarder starts a forwarder that uses s and returns its address.
func startForwarder(t testing.TB, s *fakeDecider) string {
	t.Helper()
	return startForwarderWith(t, s, nil)
}

// startForwarderWith starts a forwarder whose direct connections are opened by dial.
func startForwarderWith(t testing.TB, s *fakeDecider, dial func(ctx context.Context, network, address string) (net.Conn, error)) string {
	t.Helper()
	return startForwarderOf(t, s, dial)
}

// startForwarderOf starts a forwarder that uses any decider.
func startForwarderOf(t testing.TB, d forwarder.Decider, dial func(ctx context.Context, network, address string) (net.Conn, error)) string {
	t.Helper()
	return startForwarderWithConfig(t, forwarder.Config{
		Self:     "entry-1",
		Decider:  d,
		Protocol: testProtocol{},
		Clock:    timekeeper.System{},
		Dial:     dial,
		MaxBody:  func() identifier.Bytes { return 1 << 10 },
	})
}

// startForwarderWithConfig starts a forwarder and returns its address.
func startForwarderWithConfig(t testing.TB, c forwarder.Config) string {
	t.Helper()
	f := forwarder.New(c)
	server := httptest.NewUnstartedServer(f)
	server.Config = f.Server()
	server.Start()
	t.Cleanup(server.Close)
	t.Cleanup(f.Close)
	return server.Listener.Addr().String()
}

// startServer starts a server with the given handler and returns its address.
func startServer(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startRawServer starts a server that calls answer on the connection after it has read
// a request, and returns its address.
func startRawServer(t *testing.T, answer func(net.Conn)) string {
	t.Helper()
	return startHeadServer(t, func(c net.Conn, _ *bufio.Reader) { answer(c) })
}

// startHeadServer starts a server that calls answer with the connection and the rest of its bytes
// after it has read the head of a request, and returns its address.
func startHeadServer(t *testing.T, answer func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				if _, err := http.ReadRequest(in); err == nil {
					answer(c, in)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Signature", "s")
	w.Header().Set("Id", r.Header.Get("Id"))
}

func newRequest(t *testing.T, method, target string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, target, body)
	require.NoError(t, err)
	r.Header.Set("Id", "r-1")
	return r
}

// reply is an answer, or the error that ended it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func do(t *testing.T, r *http.Request) reply {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode,
		header: response.Header,
		body:   string(body),
		err:    err,
	}
}

// Requests and answers must be passed on byte for byte, except for hop-by-hop headers.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	var seen *http.Request
	var seenBody []byte
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r
		seenBody, _ = io.ReadAll(r.Body)
		sign(w, r)
		w.Header().Set("X-Own", "kept")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("answer"))
	})
	s := newFakeDecider(server)
	r := newRequest(t, http.MethodPut, "http://"+startForwarder(t, s)+"/a%2Fb/../c?x=1&y=%20", strings.NewReader("body"))
	r.Host = "api.example"
	r.Header.Set("X-Caller", "kept")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	answer := do(t, r)
	require.NoError(t, answer.err)
	require.Equal(t, http.StatusCreated, answer.status)
	require.Equal(t, "answer", answer.body)
	require.Equal(t, "kept", answer.header.Get("X-Own"))
	require.Equal(t, "s", answer.header.Get("Signature"))
	require.Equal(t, http.MethodPut, seen.Method)
	require.Equal(t, "/a%2Fb/../c?x=1&y=%20", seen.RequestURI)
	require.Equal(t, "api.example", seen.Host)
	require.Equal(t, "body", string(seenBody))
	require.Equal(t, "kept", seen.Header.Get("X-Caller"))
	require.Equal(t, "agency", seen.Header.Get("Account"))
	require.NotContains(t, seen.Header, "X-Hop")
	require.NotContains(t, seen.Header, "Accept-Encoding")
	require.Equal(t, "/a%2Fb/../c", s.specs[0].Path)
	require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
	require.Equal(t, 1, s.began)
}

// Attempts must be classified correctly: an attempt that is reported as not run is
// retried, so a wrong result runs a request twice.
func TestAttemptResults(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	type attemptTest struct {
		name   string
		server func(t *testing.T) string
		want   messenger.AttemptResult
		status int
	}
	tests := []attemptTest{
		{
			name:   "nothing listens",
			server: func(*testing.T) string { return closed.Addr().String() },
			want:   messenger.AttemptNotSent,
			status: http.StatusBadGateway,
		},
		{
			name: "the server says that it did not run it",
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Id", r.Header.Get("Id"))
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
			},
			want:   messenger.AttemptRefused,
			status: http.StatusBadGateway,
		},
		{
			name: "a rejection that names no request",
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusBadRequest)
				})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "another server's answer that names no request",
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(http.StatusMisdirectedRequest)
				})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "the connection closes without an answer",
			server: func(t *testing.T) string {
				return startRawServer(t, func(net.Conn) {})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "bytes that are no answer",
			server: func(t *testing.T) string {
				return startRawServer(t, func(c net.Conn) { _, _ = c.Write([]byte("garbage\r\n\r\n")) })
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "a body shorter than it says",
			server: func(t *testing.T) string {
				return startRawServer(t, func(c net.Conn) {
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 100\r\n\r\nshort"))
				})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "the answer of another request",
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					w.Header().Set("Id", "r-0")
				})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "a success without a signature",
			server: func(t *testing.T) string {
				return startServer(t, func(http.ResponseWriter, *http.Request) {})
			},
			want:   messenger.AttemptBroken,
			status: http.StatusBadGateway,
		},
		{
			name: "the server failed, and its answer is passed on",
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					w.WriteHeader(http.StatusInsufficientStorage)
				})
			},
			want:   messenger.AttemptFailed,
			status: http.StatusInsufficientStorage,
		},
	}
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		tests = append(tests, attemptTest{
			name: fmt.Sprintf("%d of a server that may have run it", status),
			server: func(t *testing.T) string {
				return startServer(t, func(w http.ResponseWriter, r *http.Request) {
					sign(w, r)
					w.WriteHeader(status)
				})
			},
			want:   messenger.AttemptFailed,
			status: http.StatusBadGateway,
		})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newFakeDecider(test.server(t))
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.NoError(t, answer.err)
			require.Equal(t, test.status, answer.status)
			require.Equal(t, []messenger.AttemptResult{test.want}, s.results())
		})
	}
}

// A reused connection closes while a request is sent on it. net/http would retry a
// request without a body by itself, which would run a non-idempotent request twice.
func TestTransportDoesNotRetry(t *testing.T) {
	var mu sync.Mutex
	requests := 0
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					mu.Lock()
					requests++
					mu.Unlock()
					if n > 0 {
						return
					}
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
		}
	}()
	address := l.Addr().String()
	s := newFakeDecider(address, address)
	forwarderAddress := startForwarder(t, s)
	require.Equal(t, http.StatusOK, do(t, newRequest(t, http.MethodGet, "http://"+forwarderAddress+"/", nil)).status)
	s.servers = s.servers[:2]
	require.Equal(t, http.StatusBadGateway, do(t, newRequest(t, http.MethodGet, "http://"+forwarderAddress+"/", nil)).status)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, s.results())
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, 2, requests)
}

// A model engine fails in the middle of an event. The caller must receive each event
// once, complete and in order, although the second server repeats an event.
func TestStreamResumesOnAnotherServer(t *testing.T) {
	first := startRawServer(t, func(c net.Conn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nSignature: first\r\nContent-Type: text/event-stream\r\n\r\n"+
			"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
	})
	var after string
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		after = r.Header.Get("After")
		sign(w, r)
		_, _ = fmt.Fprint(w, "id: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n")
	})
	s := newFakeDecider(first, second)
	s.route.Stream = true
	answer := do(t, newRequest(t, http.MethodPost, "http://"+startForwarder(t, s)+"/", strings.NewReader("prompt")))
	require.NoError(t, answer.err)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", answer.body)
	require.Equal(t, "first", answer.header.Get("Signature"), "the answer keeps the head of its first server")
	require.Equal(t, "2", after)
	require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
	require.True(t, s.attemptEnds[0].Streaming)
}

// A truncated stream that no server can resume must be aborted, so that it does not
// look complete to the caller.
func TestTruncatedStreamIsAborted(t *testing.T) {
	first := startRawServer(t, func(c net.Conn) {
		_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda")
	})
	s := newFakeDecider(first)
	s.route.Stream = true
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.Equal(t, http.StatusOK, answer.status)
	require.Equal(t, "id: 1\ndata: a\n\n", answer.body)
	require.Error(t, answer.err)
}

// A server that stops sending while its connection stays open must be replaced after
// the timeout.
func TestServerTimeout(t *testing.T) {
	tests := []struct {
		name   string
		before string
	}{
		{
			name: "before the first event",
		},
		{
			name:   "between events",
			before: "id: 1\ndata: a\n\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			unresponsive := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = io.WriteString(w, test.before)
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done()
			})
			second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
			})
			s := newFakeDecider(unresponsive, second)
			s.route.Stream = true
			s.firstEventTimeout = 100
			s.nextEventTimeout = 100
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.NoError(t, answer.err)
			require.Equal(t, test.before+"id: 2\ndata: b\n\n", answer.body)
			require.Len(t, s.stalls, 1)
			require.EqualValues(t, 1, s.stalls[0].Attempt)
			require.Equal(t, test.before != "", s.stalls[0].Streaming)
			require.Empty(t, s.results(), "the decision on the stalled attempt is the only one")
			ended := <-s.ended
			require.Equal(t, messenger.AttemptComplete, ended.Result)
			require.EqualValues(t, 2, ended.Attempt)
		})
	}
}

// A caller whose deadline has passed must be answered at once, and the server's work
// cancelled.
func TestDeadline(t *testing.T) {
	stopped := make(chan struct{})
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(stopped)
	})
	s := newFakeDecider(server)
	s.timeLimit = 100
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.Equal(t, http.StatusGatewayTimeout, answer.status)
	<-stopped
	require.Equal(t, messenger.AttemptTimedOut, (<-s.ended).Result)
}

// The server's work must be cancelled if the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	arrived, stopped := make(chan struct{}), make(chan struct{})
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		close(stopped)
	})
	s := newFakeDecider(server)
	ctx, leave := context.WithCancel(t.Context())
	r := newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil).WithContext(ctx)
	go func() {
		<-arrived
		leave()
	}()
	require.Error(t, do(t, r).err)
	<-stopped
	require.Empty(t, (<-s.ended).Result)
}

// Malformed requests must be rejected before the decider sees them, and refusals mapped
// to their statuses.
func TestRefusedRequests(t *testing.T) {
	tests := []struct {
		name    string
		refusal *messenger.Refusal
		raw     string
		status  string
		again   string
	}{
		{
			name:   "no id",
			raw:    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
			status: "400",
		},
		{
			name:   "a body that is too long",
			raw:    "POST / HTTP/1.1\r\nHost: a\r\nId: r\r\nContent-Length: 2000\r\n\r\n",
			status: "413",
		},
		{
			name: "a body in pieces that is too long",
			raw: "POST / HTTP/1.1\r\nHost: a\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\n" +
				"800\r\n" + strings.Repeat("x", 0x800) + "\r\n0\r\n\r\n",
			status: "413",
		},
		{
			name:   "half a body",
			raw:    "POST / HTTP/1.1\r\nHost: a\r\nId: r\r\nContent-Length: 20\r\n\r\nhalf",
			status: "400",
		},
		{
			name:   "two lengths",
			raw:    "POST / HTTP/1.1\r\nHost: a\r\nId: r\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
			status: "400",
		},
		{
			name:    "unknown route",
			refusal: &messenger.Refusal{Reason: messenger.ReasonUnknownRoute},
			raw:     "GET / HTTP/1.1\r\nHost: a\r\nId: r\r\n\r\n",
			status:  "404",
		},
		{
			name:    "unknown key",
			refusal: &messenger.Refusal{Reason: messenger.ReasonUnknownKey},
			raw:     "GET / HTTP/1.1\r\nHost: a\r\nId: r\r\n\r\n",
			status:  "401",
		},
		{
			name: "over the limit",
			refusal: &messenger.Refusal{
				Reason:     messenger.ReasonAccountLimit,
				RetryAfter: 300,
			},
			raw:    "GET / HTTP/1.1\r\nHost: a\r\nId: r\r\n\r\n",
			status: "429",
			again:  "300",
		},
		{
			name: "no server",
			refusal: &messenger.Refusal{
				Reason:     messenger.ReasonNoServer,
				RetryAfter: 700,
			},
			raw:    "GET / HTTP/1.1\r\nHost: a\r\nId: r\r\n\r\n",
			status: "503",
			again:  "700",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reached := false
			server := startServer(t, func(http.ResponseWriter, *http.Request) { reached = true })
			s := newFakeDecider(server)
			s.refusal = test.refusal
			c, err := net.Dial("tcp", startForwarder(t, s))
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, test.raw)
			require.NoError(t, err)
			require.NoError(t, c.(*net.TCPConn).CloseWrite())
			require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, strconv.Itoa(response.StatusCode))
			require.Equal(t, test.again, response.Header.Get("Again"))
			require.False(t, reached)
		})
	}
}

// A second request is hidden behind the body of the first by contradicting lengths.
// Only one request, with one body, may reach a server.
func TestRequestSmuggling(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		ids = append(ids, r.Header.Get("Id")+":"+string(body))
		mu.Unlock()
		sign(w, r)
	})
	s := newFakeDecider(server, server)
	c, err := net.Dial("tcp", startForwarder(t, s))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	hidden := "GET /hidden HTTP/1.1\r\nHost: a\r\nId: hidden\r\n\r\n"
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nId: r\r\nContent-Length: %d\r\n"+
		"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n%s", 13+len(hidden), hidden)
	require.NoError(t, err)
	_, _ = io.ReadAll(c)
	mu.Lock()
	defer mu.Unlock()
	for _, id := range ids {
		require.Equal(t, "r:abc", id)
	}
}

// requireServed sends a request with the id "r" and requires that it is answered.
func requireServed(t *testing.T, s *fakeDecider) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+startForwarder(t, s)+"/", nil)
	require.NoError(t, err)
	request.Header.Set("Id", "r")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// The limit that a server states in any of its answers must be reported, but not one in
// an answer to another request.
func TestStatedLimitIsReported(t *testing.T) {
	foreign := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.Header().Set("Limit", "1")
	})
	full := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", "1")
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	complete := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", "1")
		sign(w, r)
	})
	s := newFakeDecider(foreign, full, complete)
	requireServed(t, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.limits, 2)
}

// Each answer that states its server to be leaving must be reported, but no other's answer.
func TestLeavingServerIsReported(t *testing.T) {
	foreign := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.Header().Set("Leaving", "1")
	})
	misdirected := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	full := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	failed := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		w.WriteHeader(http.StatusInternalServerError)
	})
	complete := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		sign(w, r)
	})
	torn := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		sign(w, r)
		tear(w)
	})
	s := newFakeDecider(foreign, misdirected, full, failed, torn, complete)
	requireServed(t, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Len(t, s.leaving, 4)
	for _, stated := range s.leaving {
		require.NotZero(t, stated.Sent)
	}
}

// tear sends the head of an answer and closes the connection before its body.
func tear(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "100")
	w.WriteHeader(http.StatusOK)
	if err := http.NewResponseController(w).Flush(); err != nil {
		panic(err)
	}
	panic(http.ErrAbortHandler)
}

// Each pause that a server asks for must be reported, but not one in another's answer.
func TestBackoffIsReported(t *testing.T) {
	foreign := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.Header().Set("Backoff", "four")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	full := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Backoff", "four")
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	unclear := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Backoff", "three")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := newFakeDecider(foreign, full, unclear, startServer(t, sign))
	requireServed(t, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	var backoffs []timekeeper.Duration
	for _, e := range s.attemptEnds {
		backoffs = append(backoffs, e.Backoff)
	}
	require.Equal(t, []timekeeper.Duration{0, 4, 5}, backoffs)
}

// A node that is leaving must make callers use other connections.
func TestLeavingClosesConnections(t *testing.T) {
	server := startServer(t, sign)
	s := newFakeDecider(server)
	f := forwarder.New(forwarder.Config{
		Decider:  s,
		Protocol: testProtocol{},
		Clock:    timekeeper.System{},
	})
	f.Leave()
	recorder := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Id", "r-1")
	f.ServeHTTP(recorder, r)
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Equal(t, "close", recorder.Header().Get("Connection"))
}

// Guards against requests that a node sends half a second after a server asked it for a pause.
func TestLateDecisionIsNotCarriedOut(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		sign(w, r)
	})
	for _, test := range []struct {
		name  string
		delay []time.Duration
		want  []messenger.AttemptResult
	}{
		{
			name: "in time",
		},
		{
			name:  "late once",
			delay: []time.Duration{600 * time.Millisecond},
			want:  []messenger.AttemptResult{messenger.AttemptNotSent},
		},
		{
			name:  "always late",
			delay: []time.Duration{600 * time.Millisecond, 600 * time.Millisecond},
			want:  []messenger.AttemptResult{messenger.AttemptNotSent},
		},
	} {
		requests.Store(0)
		decider := newFakeDecider(server, server)
		decider.delay = test.delay
		r := newRequest(t, http.MethodGet, "http://"+startForwarder(t, decider)+"/x", nil)
		require.Equal(t, http.StatusOK, do(t, r).status, test.name)
		require.Equal(t, test.want, decider.results(), test.name)
		for _, e := range decider.attemptEnds {
			require.True(t, e.Stale, test.name)
		}
		require.EqualValues(t, 1, requests.Load(), test.name)
	}
}

// Guards against a continuation that repeats events or goes to a closed connection.
func TestContinuedStream(t *testing.T) {
	var connections, continued atomic.Int64
	source := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	source.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	source.Start()
	t.Cleanup(source.Close)
	destination := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("From") == "10.0.0.1:80/h-1" && r.Header.Get("After") == "2" {
			continued.Add(1)
		}
		sign(w, r)
		_, _ = io.WriteString(w, "id: 3\ndata: c\n\n")
	})
	decider := newFakeDecider(source.Listener.Addr().String(), destination)
	decider.route = catalog.Route{Stream: true}
	decider.delay = []time.Duration{0, 600 * time.Millisecond}
	decider.from = messenger.Continuation{
		Source: "10.0.0.1:80",
		Handle: "h-1",
	}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, decider)+"/x", nil))
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", answer.body)
	require.EqualValues(t, 1, continued.Load())
	require.EqualValues(t, 1, connections.Load())
	require.Equal(t, 1, decider.moving)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptBroken}, decider.results())
	require.Equal(t, 2, decider.attemptEnds[0].Events)
}
