package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// A retry with another id, remaining time and last event must have the same content
// hash, or what the nodes know about the request is lost.
func TestContentHashIgnoresRequestID(t *testing.T) {
	s := newFakeDecider()
	forwarderAddress := startForwarder(t, s)
	content := func(method, target, body, id string) identifier.ContentHash {
		r := newRequest(t, method, "http://"+forwarderAddress+target, strings.NewReader(body))
		r.Header.Set("Id", id)
		r.Header.Set("After", id)
		do(t, r)
		return s.specs[len(s.specs)-1].Content
	}
	want := content(http.MethodPost, "/report/1?try=1", "prompt", "r-1")
	require.NotZero(t, want)
	require.Equal(t, want, content(http.MethodPost, "/report/1?try=2", "prompt", "r-2"))
	require.NotEqual(t, want, content(http.MethodPost, "/report/2?try=1", "prompt", "r-3"))
	require.NotEqual(t, want, content(http.MethodPost, "/report/1?try=1", "other", "r-4"))
	require.NotEqual(t, content(http.MethodGet, "/stock?item=1", "", "r-5"),
		content(http.MethodGet, "/stock?item=2", "", "r-6"), "without a body the query identifies the request")
}

// startEndingServer starts a server that writes answer and closes the connection. If
// ends is set, it closes its listener first.
func startEndingServer(t *testing.T, ends bool, answer string) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = fmt.Fprint(c, answer)
			}
			if ends {
				_ = l.Close()
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// The node must detect that a server's process ended, and not only its connection, or
// it keeps choosing the server until its entry expires.
func TestServerEnded(t *testing.T) {
	stream := "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name   string
		ends   bool
		answer string
	}{
		{
			name: "before an answer",
			ends: true,
		},
		{
			name:   "in its answer",
			ends:   true,
			answer: stream,
		},
		{
			name: "the connection alone broke",
		},
		{
			name:   "the connection alone broke, in the answer",
			answer: stream,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFakeDecider(startEndingServer(t, test.ends, test.answer))
			s.route.Stream = true
			do(t, newRequest(t, http.MethodPost, "http://"+startForwarder(t, s)+"/", strings.NewReader("prompt")))
			require.Len(t, s.attemptEnds, 1)
			require.Equal(t, messenger.AttemptBroken, s.attemptEnds[0].Result)
			require.Equal(t, test.ends, s.attemptEnds[0].ServerEnded)
		})
	}
}
