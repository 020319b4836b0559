package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silence is longer than the time after which a stream of the test's configuration has stalled.
const silence = 2500 * time.Millisecond

// Guards against streams that are cut because all engines are silent for a moment beside a change.
func TestSilenceOfAllEnginesCutsNoStream(t *testing.T) {
	const streams = 40
	in := newInstallation(t, 2)
	for _, s := range in.engines {
		s.Events = 60
	}
	type result struct {
		status int
		body   string
		err    error
	}
	results := make(chan result, streams)
	for i := range streams {
		go func() {
			response, body, err := in.send(in.nodes[i%2], fmt.Sprintf("r-%d", i), "/reports/1", "secret")
			got := result{
				body: body,
				err:  err,
			}
			if err == nil {
				got.status = response.StatusCode
			}
			results <- got
		}()
	}
	require.Eventually(t, func() bool {
		began := 0
		for _, s := range in.engines {
			began += len(s.Executions())
		}
		return began == streams
	}, waitTimeout, time.Millisecond)
	<-time.After(100 * time.Millisecond)
	for _, s := range in.engines {
		s.FallSilent(silence)
	}
	in.configure(2, "")
	for range streams {
		got := <-results
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, completeStream(60), got.body)
	}
	for _, n := range in.nodes {
		require.NotContains(t, n.metrics.Var().String(), `"stalls": 0`)
	}
}
