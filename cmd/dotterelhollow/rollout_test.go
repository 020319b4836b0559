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
	// rolloutTime is what the operators give a roll-out, and rolloutCallers how many
	// ask meanwhile, again and again.
	rolloutTime    = 8 * time.Second
	rolloutCallers = 8
	rolloutPause   = 40 * time.Millisecond
)

// rollOut orders a version of the portal, whose servers publish themselves, and lets
// callers ask until operators read how it ended. It returns that, and the servers.
func rollOut(t *testing.T, in *installation, fails bool) (state string, servers []*standin.Server) {
	t.Helper()
	in.store.Put("keyed.op", "rollout/portal", fmt.Appendf(nil, `{"service":"portal","to":"v2","duration_s":%g}`, rolloutTime.Seconds()))
	for i := range 2 {
		s := &standin.Server{
			ID:      fmt.Sprintf("i-2%d", i),
			Service: "portal",
			Zone:    "boston-a",
			Version: "v2",
		}
		s.FailAlternate.Store(fails)
		require.NoError(t, s.Publish(in.store, in.listen(s), "ready"))
		servers = append(servers, s)
	}
	status := func() string { return string(in.store.Newest("keyed.status", "rollout/portal")) }
	over := make(chan struct{})
	var callers sync.WaitGroup
	for c := range rolloutCallers {
		callers.Go(func() {
			for n := 0; ; n++ {
				response, _, err := in.ask(in.nodes[(c+n)%len(in.nodes)], fmt.Sprintf("r-%d-%d", c, n), "/slots/1", "secret")
				if err == nil && !fails && response.StatusCode != http.StatusOK {
					t.Errorf("status %d", response.StatusCode)
				}
				select {
				case <-over:
					return
				case <-time.After(rolloutPause):
				}
			}
		})
	}
	require.Eventually(t, func() bool {
		state = status()
		return state != "" && state != `{"state":"running","to":"v2"}`
	}, rolloutTime+2*time.Second, 50*time.Millisecond)
	close(over)
	callers.Wait()
	return state, servers
}

// Operators order a version that fails every other request. Callers hardly notice, and
// operators read that it was rolled back.
func TestGatewayTurnsBadVersionBack(t *testing.T) {
	in := newInstallation(t, 2)
	state, servers := rollOut(t, in, true)
	require.JSONEq(t, `{"state":"rolled_back","to":"v2"}`, state)
	ran := 0
	for _, s := range servers {
		ran += len(s.Executions())
	}
	require.Less(t, ran, len(in.portal.Executions())/10+50)
}

// Operators order a version that is as good as the old one. It is completed in time, and
// gets all requests.
func TestGatewayCompletesGoodVersion(t *testing.T) {
	in := newInstallation(t, 2)
	state, _ := rollOut(t, in, false)
	require.JSONEq(t, `{"state":"completed","to":"v2"}`, state)
	before := len(in.portal.Executions())
	for i := range 10 {
		_, _, err := in.ask(in.nodes[i%2], fmt.Sprintf("r-after-%d", i), "/slots/1", "secret")
		require.NoError(t, err)
	}
	require.Len(t, in.portal.Executions(), before)
}
