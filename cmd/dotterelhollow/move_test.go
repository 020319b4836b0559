package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// singleRoute is a streaming route whose requests may run once.
const singleRoute = `,{"name":"draft","host":"api.example","path_prefix":"/drafts/","kind":"streaming","timeout_ms":15000,
   "target_latency_ms":1000,"service":"reader","attempts":1,"resumable":false,"max_gap_ms":400}`

// newMovingInstallation returns an installation with one node that moves running streams between
// two engines.
func newMovingInstallation(t *testing.T) *installation {
	t.Helper()
	in := newInstallationWith(t, 0, 2, (*installation).listen)
	configuration := fmt.Sprintf(gatewayConfiguration, 2, singleRoute)
	configuration = strings.Replace(configuration, `"slots":64`, `"slots":64,"moves":true`, 1)
	in.store.Put("keyed.op", "config", []byte(configuration))
	in.moveStreams = true
	in.start(0, netip.AddrPort{})
	require.Eventually(t, func() bool {
		_, body, err := in.send(in.nodes[0], fmt.Sprintf("warm-%d", time.Now().UnixNano()), "/drafts/1", "secret")
		return err == nil && body == completeStream(30)
	}, waitTimeout, 20*time.Millisecond)
	return in
}

type streamAnswer struct {
	response *http.Response
	body     string
	err      error
}

// leaveDuring sends a request and publishes its engine as leaving while its stream runs. It
// returns the answer, that engine and the other one.
func (in *installation) leaveDuring(id, path string) (answer streamAnswer, source, destination *standin.Server) {
	in.t.Helper()
	answers := make(chan streamAnswer, 1)
	go func() {
		response, body, err := in.send(in.nodes[0], id, path, "secret")
		answers <- streamAnswer{
			response: response,
			body:     body,
			err:      err,
		}
	}()
	source, destination = in.engines[0], in.engines[1]
	require.Eventually(in.t, func() bool {
		if destination.Executions()[id] > 0 {
			source, destination = destination, source
		}
		return source.Executions()[id] > 0
	}, waitTimeout, time.Millisecond)
	<-time.After(50 * time.Millisecond)
	require.NoError(in.t, source.Publish(in.store, in.address[source.ID], "draining"))
	return <-answers, source, destination
}

// Guards against events lost, sent twice or run again when a stream goes on at another engine.
func TestStreamsAreMoved(t *testing.T) {
	for _, path := range []string{"/reports/1", "/drafts/1"} {
		t.Run(path, func(t *testing.T) {
			in := newMovingInstallation(t)
			for _, s := range in.engines {
				s.Events = 200
			}
			answer, source, destination := in.leaveDuring("r-1", path)
			require.NoError(t, answer.err)
			require.Equal(t, completeStream(200), answer.body)
			require.Equal(t, source.ID+".r-1", answer.response.Header.Get("Dotterelhollow-Response-Signature"))
			require.Equal(t, map[string]int{"r-1": 1}, onlyOf(source, "r-1"))
			require.Empty(t, onlyOf(destination, "r-1"), "the run was not continued but begun anew")
			require.Empty(t, destination.Handles())
			require.Contains(t, in.nodes[0].runner.Metrics().Var().String(), `"stream_moves": {"continued": 1}`)
		})
	}
}

// onlyOf returns the runs of one request at an engine.
func onlyOf(s *standin.Server, id string) map[string]int {
	out := map[string]int{}
	if n := s.Executions()[id]; n > 0 {
		out[id] = n
	}
	return out
}

// If the destination has no room for a run that has stopped, it must go on at its source.
func TestStreamReturnsWithoutRoom(t *testing.T) {
	in := newMovingInstallation(t)
	for _, s := range in.engines {
		s.Events = 100
		s.RefuseCopies.Store(true)
	}
	answer, source, destination := in.leaveDuring("r-1", "/drafts/1")
	require.NoError(t, answer.err)
	require.Equal(t, completeStream(100), answer.body)
	require.Equal(t, map[string]int{"r-1": 1}, onlyOf(source, "r-1"))
	require.Empty(t, onlyOf(destination, "r-1"))
}

// Guards against a stream that looks complete or runs again after a lost answer to a move.
func TestLostMoveAnswers(t *testing.T) {
	for path, resumable := range map[string]bool{
		"/reports/1": true,
		"/drafts/1":  false,
	} {
		t.Run(path, func(t *testing.T) {
			in := newMovingInstallation(t)
			for _, s := range in.engines {
				s.Events = 100
				s.DropMoveAnswers.Store(10)
			}
			answer, _, destination := in.leaveDuring("r-1", path)
			if resumable {
				require.NoError(t, answer.err)
				require.Equal(t, completeStream(100), answer.body)
				require.Equal(t, map[string]int{"r-1": 1}, onlyOf(destination, "r-1"))
				return
			}
			require.Error(t, answer.err)
			require.True(t, strings.HasPrefix(completeStream(100), answer.body))
			require.Empty(t, onlyOf(destination, "r-1"))
		})
	}
}
