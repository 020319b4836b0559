package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

// silence is longer than the time after which a stream of the test's configuration has stalled.
const silence = 2500 * time.Millisecond

// awaitStreams waits until the engines run some streams, and some time longer.
func (in *installation) awaitStreams(count int) {
	require.Eventually(in.t, func() bool {
		began := 0
		for _, s := range in.engines {
			began += len(s.Executions())
		}
		return began == count
	}, waitTimeout, time.Millisecond)
	<-time.After(100 * time.Millisecond)
}

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
	in.awaitStreams(streams)
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

// maxOverlap is the time for which two engines may work on one request.
const maxOverlap = 400 * time.Millisecond

// Guards against streams that run at two engines, as the first one is paused when its connection is closed.
func TestStreamOfPausedEngineRunsAtOneEngine(t *testing.T) {
	tests := []struct {
		name string
		// firstEvent is the time that an engine takes for the first event.
		firstEvent time.Duration
	}{
		{
			name:       "before the first event",
			firstEvent: 500 * time.Millisecond,
		},
		{
			name: "between events",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const streams = 12
			in := newInstallation(t, 2)
			for _, s := range in.engines {
				s.Events = 60
				s.FirstEventDelay = test.firstEvent
			}
			results := make(chan string, streams)
			for i := range streams {
				go func() {
					_, body, err := in.send(in.nodes[i%2], fmt.Sprintf("r-%d", i), "/reports/1", "secret")
					if err != nil {
						body = err.Error()
					}
					results <- body
				}()
			}
			in.awaitStreams(streams)
			for _, s := range in.engines[:2] {
				s.Pause(silence)
			}
			for range streams {
				require.Equal(t, completeStream(60), <-results)
			}
			work := map[string][]standin.Work{}
			for _, s := range in.engines {
				for _, w := range s.Work() {
					work[w.Request] = append(work[w.Request], w)
				}
			}
			for id, runs := range work {
				slices.SortFunc(runs, func(a, b standin.Work) int { return a.Began.Compare(b.Began) })
				for i, later := range runs[1:] {
					require.LessOrEqual(t, runs[i].Ended.Sub(later.Began), maxOverlap, "%s at %s and %s", id, runs[i].Server, later.Server)
				}
			}
		})
	}
}
