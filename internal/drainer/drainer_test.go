package drainer_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/drainer"
)

const (
	testTimeout = 10 * time.Second
	request     = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	// upload lacks the last two bytes of its body.
	upload = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo"
)

// fixture is a server that answers each request once its body is read.
type fixture struct {
	drainer *drainer.Drainer
	address string
	// received has an element for each request whose head was read.
	received chan struct{}
	served   chan error
}

// newFixture returns a fixture whose callers have a time to begin their first request, or the default.
func newFixture(t *testing.T, firstRequestTime time.Duration) *fixture {
	t.Helper()
	f := &fixture{
		received: make(chan struct{}, 1<<20),
		served:   make(chan error, 1),
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.received <- struct{}{}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, "answer")
		}),
		ReadHeaderTimeout: testTimeout,
	}
	f.drainer = drainer.New(drainer.Config{
		Server:           server,
		FirstRequestTime: firstRequestTime,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = l.Addr().String()
	l = f.drainer.Listen(l)
	go func() { f.served <- server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

// drain begins a drain, and returns a channel that is closed at its end. The listener is closed.
func (f *fixture) drain(t *testing.T) <-chan struct{} {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.drainer.Drain(t.Context())
	}()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	return ended
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return &caller{
		Conn: c,
		in:   bufio.NewReader(c),
	}
}

func (c *caller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// requireAnswer reads a whole answer.
func (c *caller) requireAnswer(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "answer", string(body))
}

func await(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		require.Fail(t, "the drain goes on")
	}
}

// Guards against requests that are read during a planned stop and cut without an answer.
func TestRequestsDuringDrainAreAnswered(t *testing.T) {
	for _, test := range []struct{ name, before, during string }{
		{
			name:   "not begun",
			during: request,
		},
		{
			name:   "begun",
			before: request[:5],
			during: request[5:],
		},
		{
			name:   "body left",
			before: upload,
			during: "dy",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testTimeout)
			c := f.dial(t)
			c.send(t, test.before)
			// A later connection that is answered shows that the first one is accepted.
			later := f.dial(t)
			later.send(t, request)
			later.requireAnswer(t)
			ended := f.drain(t)
			c.send(t, test.during)
			c.requireAnswer(t)
			await(t, ended)
		})
	}
}

// Guards against requests that run and lose their answer at the end of a planned stop.
func TestRunningRequestOutlivesDrain(t *testing.T) {
	f := newFixture(t, 0)
	c := f.dial(t)
	c.send(t, upload)
	<-f.received
	ended := f.drain(t)
	<-time.After(100 * time.Millisecond)
	c.send(t, "dy")
	c.requireAnswer(t)
	await(t, ended)
}

// Guards against a planned stop that waits for callers that send nothing.
func TestUnusedConnectionsEndWithDrain(t *testing.T) {
	f := newFixture(t, 0)
	unused := f.dial(t)
	// A later connection that is answered shows that the first one is accepted.
	kept := f.dial(t)
	kept.send(t, request)
	kept.requireAnswer(t)
	ended := f.drain(t)
	for _, c := range []*caller{kept, unused} {
		_, err := c.in.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	}
	await(t, ended)
}

// Guards against a planned stop without end because of a request that is never whole.
func TestDrainEndsWithItsContext(t *testing.T) {
	f := newFixture(t, 0)
	c := f.dial(t)
	c.send(t, upload)
	<-f.received
	ctx, done := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer done()
	f.drainer.Drain(ctx)
	require.Error(t, ctx.Err())
}

// Guards against requests that are cut as a planned stop begins, on connections in use.
func TestDrainUnderLoadCutsNothing(t *testing.T) {
	const callers = 16
	for range 20 {
		f := newFixture(t, testTimeout)
		results := make(chan error, callers)
		for range callers {
			go func() { results <- f.sendUntilClosed() }()
		}
		<-time.After(10 * time.Millisecond)
		await(t, f.drain(t))
		for range callers {
			require.NoError(t, <-results)
		}
	}
}

// sendUntilClosed sends requests, each on the connection of the one before if that is kept, until no
// connection is taken. A reset is a request that was not read.
func (f *fixture) sendUntilClosed() error {
	for {
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			return nil //nolint:nilerr // The server takes no more connections.
		}
		in := bufio.NewReader(conn)
		for requests := 0; ; requests++ {
			if _, err := io.WriteString(conn, request); err != nil {
				break
			}
			response, err := http.ReadResponse(in, nil)
			if errors.Is(err, io.ErrUnexpectedEOF) && requests == 0 {
				return err
			}
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err != nil {
				return err
			}
			if response.Close {
				break
			}
		}
		_ = conn.Close()
	}
}
