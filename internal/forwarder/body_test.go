package forwarder

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// bodyProtocol reads heads with a fixed time limit. Requests that are rejected need no more.
type bodyProtocol struct {
	Protocol
	timeLimit timekeeper.Duration
}

func (p bodyProtocol) ReadHead(*http.Request) (Head, error) {
	return Head{
		Request:   "r-1",
		TimeLimit: p.timeLimit,
	}, nil
}

func (bodyProtocol) WriteRetryAfter(h http.Header, _ timekeeper.Duration) { h.Set("Again", "1") }

// sendBody sends a request whose body is shorter than its length to f, and returns the answer.
func sendBody(t *testing.T, f *Forwarder, body string, length int) *http.Response {
	t.Helper()
	server := httptest.NewUnstartedServer(f)
	server.Config = f.Server()
	server.Start()
	t.Cleanup(server.Close)
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = answer.Body.Close() })
	return answer
}

// Guards against requests that are held without end because their callers don't send them whole.
func TestBodyThatStopsIsRejected(t *testing.T) {
	f := New(Config{
		Protocol: bodyProtocol{timeLimit: 100},
		Clock:    timekeeper.System{},
	})
	answer := sendBody(t, f, "half", 8)
	require.Equal(t, http.StatusRequestTimeout, answer.StatusCode)
	require.True(t, answer.Close)
	require.Zero(t, f.bufferedBytes.Load())
}

// Guards against exhausted memory by many large bodies that are still being read.
func TestBodiesCountWhileTheyAreRead(t *testing.T) {
	f := New(Config{
		Protocol: bodyProtocol{timeLimit: timekeeper.Minute},
		Clock:    timekeeper.System{},
	})
	others := int64(maxBufferedBodies) - 100
	f.bufferedBytes.Store(others)
	answer := sendBody(t, f, strings.Repeat("x", 200), 1000)
	require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	require.NotEmpty(t, answer.Header.Get("Again"))
	require.True(t, answer.Close)
	require.Equal(t, others, f.bufferedBytes.Load())
}
