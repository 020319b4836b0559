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
	// stallTimeout is the time after which an attempt counts as stalled, and silence the time for
	// which a sound server is silent.
	stallTimeout timekeeper.Duration = 50
	silence                          = 180 * time.Millisecond
)

// silentServer starts a server that is silent for a while after it has sent before.
func silentServer(t *testing.T, before, after string) string {
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		if before != "" {
			_, _ = io.WriteString(w, before)
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
			_, _ = io.WriteString(w, after)
		}
	})
}

// Guards against answers that are given up, although their silent server goes on and no other
// one can take over.
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
			s := newFakeDecider(silentServer(t, test.before, test.after))
			s.route.Stream = test.stream
			s.firstEventTimeout = stallTimeout
			s.nextEventTimeout = stallTimeout
			answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
			require.NoError(t, answer.err)
			require.Equal(t, http.StatusOK, answer.status)
			require.Equal(t, test.before+test.after, answer.body)
			require.Equal(t, messenger.AttemptComplete, (<-s.ended).Result)
			require.Greater(t, len(s.stalls), 1, "the decision is asked for again")
			require.Empty(t, s.results())
		})
	}
}

// Guards against a second answer, or none, if a stalled server goes on while the decision on it is
// made.
func TestServerGoesOnDuringDecision(t *testing.T) {
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "second")
	})
	s := newFakeDecider(silentServer(t, "", "first"), second)
	s.firstEventTimeout = stallTimeout
	s.delay = []time.Duration{0, 2 * silence}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "first", answer.body)
	ended := <-s.ended
	require.Equal(t, messenger.AttemptComplete, ended.Result)
	require.EqualValues(t, 1, ended.Attempt)
}

// Guards against a request without an answer if its server breaks off while the decision on its
// stall is made.
func TestServerBreaksDuringDecision(t *testing.T) {
	broken := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(silence):
		}
		panic(http.ErrAbortHandler)
	})
	second := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "second")
	})
	s := newFakeDecider(broken, second)
	s.firstEventTimeout = stallTimeout
	s.delay = []time.Duration{0, 2 * silence}
	answer := do(t, newRequest(t, http.MethodGet, "http://"+startForwarder(t, s)+"/", nil))
	require.NoError(t, answer.err)
	require.Equal(t, "second", answer.body)
	require.EqualValues(t, 2, (<-s.ended).Attempt)
}
