package forwarder_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// stallTimeout is the time after which an attempt counts as stalled.
	stallTimeout timekeeper.Duration = 50
	// decisionTime is the time that a decision takes beyond the events that it waits for.
	decisionTime = 100 * time.Millisecond
)

// startSilentServer starts a server that sends before, and after once goOn is closed.
func startSilentServer(t *testing.T, before, after string, goOn <-chan struct{}) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if before != "" {
			_, _ = io.WriteString(w, before)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-goOn:
			_, _ = io.WriteString(w, after)
		}
	})
}

// startWholeServer starts a server that sends a whole answer.
func startWholeServer(t *testing.T, body string) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, body)
	})
}

// Guards against giving up an answer whose silent server goes on and that no other can replace.
func TestSilentServerIsKeptWithoutReplacement(t *testing.T) {
	tests := []struct {
		name          string
		stream        bool
		before, after string
	}{
		{
			name:  "plain answer",
			after: "answer",
		},
		{
			name:   "plain answer that has begun",
			before: "an",
			after:  "swer",
		},
		{
			name:   "stream before its first event",
			stream: true,
			after:  "id: 1\ndata: a\n\n",
		},
		{
			name:   "stream between events",
			stream: true,
			before: "id: 1\ndata: a\n\n",
			after:  "id: 2\ndata: b\n\n",
		},
		{
			name:   "stream within an event",
			stream: true,
			before: "id: 1\ndata: a\n\nid: 2\nda",
			after:  "ta: b\n\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			goOn := make(chan struct{})
			s := newFakeDecider(startSilentServer(t, test.before, test.after, goOn))
			s.onStall = func(count int) {
				if count == 2 {
					close(goOn)
				}
			}
			s.route.Stream = test.stream
			s.firstEventTimeout = stallTimeout
			s.nextEventTimeout = stallTimeout
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.NoError(t, answer.err)
			require.Equal(t, http.StatusOK, answer.status)
			require.Equal(t, test.before+test.after, answer.body)
			require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
			require.Empty(t, s.results())
		})
	}
}

// Guards against two answers, or none, if a stalled server goes on during the decision on it.
func TestServerGoesOnDuringDecision(t *testing.T) {
	asked, decide := make(chan struct{}), make(chan struct{})
	s := newFakeDecider(startSilentServer(t, "", "first", asked), startWholeServer(t, "second"))
	s.firstEventTimeout = stallTimeout
	s.onStall = func(int) {
		close(asked)
		<-decide
	}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	close(decide)
	require.NoError(t, answer.err)
	require.Equal(t, "first", answer.body)
	ended := <-s.ended
	require.Equal(t, messenger.AttemptComplete, ended.Result)
	require.EqualValues(t, 1, ended.Attempt)
}

// Guards against no answer if a stalled server breaks off during the decision on it.
func TestServerBreaksDuringDecision(t *testing.T) {
	asked := make(chan struct{})
	broken := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-asked:
		}
		panic(http.ErrAbortHandler)
	})
	s := newFakeDecider(broken, startWholeServer(t, "second"))
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
