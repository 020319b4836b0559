package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against cutting an answer that begins while it is decided whether another server takes over.
func TestAnswerThatBeginsDuringDecisionIsNotCut(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	asked := make(chan struct{})
	first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		<-asked
		_, _ = io.WriteString(w, long)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	s := newFakeDecider(first, startWholeServer(t, "second"))
	s.firstEventTimeout = stallTimeout
	s.onStall = func(int) {
		close(asked)
		<-time.After(decisionTime)
	}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "second", answer.body)
	require.EqualValues(t, 2, (<-s.ended).Attempt)
}

// Guards against streams of two runs, as one begins while another version is chosen for it.
func TestStreamDoesNotBeginDuringDecision(t *testing.T) {
	asked := make(chan struct{})
	first := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		<-asked
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	s := newFakeDecider(first, startWholeServer(t, "id: 1\ndata: A\n\nid: 2\ndata: B\n\n"))
	s.route.Stream = true
	s.firstEventTimeout = stallTimeout
	s.nextEventTimeout = 5 * timekeeper.Second
	s.onStall = func(int) {
		close(asked)
		<-time.After(decisionTime)
	}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "id: 1\ndata: A\n\nid: 2\ndata: B\n\n", answer.body)
	require.False(t, s.stalls[0].Streaming)
}

// Guards against requests that use up retries although nothing was sent to their servers.
func TestUnsentAttemptDoesNotCountAsStalled(t *testing.T) {
	unreachable := "192.0.2.1:80"
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "second")
	})
	s := newFakeDecider(unreachable, second)
	s.firstEventTimeout = stallTimeout
	dialer := &net.Dialer{}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarderWith(t, s, func(ctx context.Context, network, address string) (net.Conn, error) {
		if address == unreachable {
			return hang(ctx, network, address)
		}
		return dialer.DialContext(ctx, network, address)
	})+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "second", answer.body)
	require.Equal(t, []messenger.AttemptResult{messenger.AttemptNotSent}, s.results())
	require.Empty(t, s.stalls)
}
