package main

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/platform/standin"
)

const (
	// rolloutDuration is the configured duration of a rollout. Meanwhile
	// rolloutCallers callers each send a request every rolloutRequestInterval.
	rolloutDuration        = 8 * time.Second
	rolloutCallers         = 8
	rolloutRequestInterval = 40 * time.Millisecond
)

// runRollout orders a new version of the portal, publishes two servers with it,
// and sends requests until the rollout has ended. It returns the final state and
// the new servers.
func runRollout(t *testing.T, in *installation, failing bool) (state string, servers []*standin.Server) {
	t.Helper()
	in.store.Put("keyed.op", "rollout/portal", fmt.Appendf(nil, `{"service":"portal","to":"v2","duration_s":%g}`, rolloutDuration.Seconds()))
	for i := range 2 {
		s := &standin.Server{
			ID:      fmt.Sprintf("i-2%d", i),
			Service: "portal",
			Zone:    "boston-a",
			Version: "v2",
		}
		s.FailAlternate.Store(failing)
		require.NoError(t, s.Publish(in.store, in.listen(s), "ready"))
		servers = append(servers, s)
	}
	status := func() string { return string(in.store.Newest("keyed.status", "rollout/portal")) }
	done := make(chan struct{})
	var callers sync.WaitGroup
	for c := range rolloutCallers {
		callers.Go(func() {
			for n := 0; ; n++ {
				response, _, err := in.send(in.nodes[(c+n)%len(in.nodes)], fmt.Sprintf("r-%d-%d", c, n), "/slots/1", "secret")
				if err == nil && !failing && response.StatusCode != http.StatusOK {
					t.Errorf("status %d", response.StatusCode)
				}
				select {
				case <-done:
					return
				case <-time.After(rolloutRequestInterval):
				}
			}
		})
	}
	require.Eventually(t, func() bool {
		state = status()
		return state != "" && state != `{"state":"running","to":"v2"}`
	}, rolloutDuration+2*time.Second, 50*time.Millisecond)
	close(done)
	callers.Wait()
	return state, servers
}

// A version that fails every other request must be rolled back after receiving
// at most about a tenth of the requests.
func TestGatewayRollsBackBadVersion(t *testing.T) {
	in := newInstallation(t, 2)
	state, servers := runRollout(t, in, true)
	require.JSONEq(t, `{"state":"rolled_back","to":"v2"}`, state)
	ran := 0
	for _, s := range servers {
		ran += len(s.Executions())
	}
	require.Less(t, ran, len(in.portal.Executions())/10+50)
}

// A rollout of a healthy version must complete in time, and the version must
// then receive all requests.
func TestGatewayCompletesGoodVersion(t *testing.T) {
	in := newInstallation(t, 2)
	state, _ := runRollout(t, in, false)
	require.JSONEq(t, `{"state":"completed","to":"v2"}`, state)
	before := len(in.portal.Executions())
	for i := range 10 {
		_, _, err := in.send(in.nodes[i%2], fmt.Sprintf("r-after-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
	}
	require.Len(t, in.portal.Executions(), before)
}
