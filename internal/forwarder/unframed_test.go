package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

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
