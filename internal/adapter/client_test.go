package adapter

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// startDroppingServer starts a server that answers the first request of each connection
// and cuts the connection at the second, as if it closed an idle connection while a
// request arrived. It counts the requests.
func startDroppingServer(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	var seen atomic.Value
	seen.Store("")
	requests = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if seen.Swap(r.RemoteAddr) == r.RemoteAddr {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

// Guards against net/http repeating a call with an effect that arrives while the server closes the
// connection.
func TestUnpooledRequestsAreNotReplayed(t *testing.T) {
	cases := []struct {
		name     string
		client   *client
		requests int64
	}{
		{
			name:     "fresh",
			client:   newUnpooledClient(Timeouts{}),
			requests: 2,
		},
		{
			// A pooled connection shows the repeat.
			name:     "control: pooled",
			client:   newClient(Timeouts{}),
			requests: 3,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, requests := startDroppingServer(t)
			for range 2 {
				require.NoError(t, c.client.callJSONWithTimeout(context.Background(), call{
					method:  http.MethodGet,
					address: address,
					path:    "/",
				}, nil, 0))
			}
			require.Equal(t, c.requests, requests.Load())
		})
	}
}
