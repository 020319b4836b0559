package forwarder_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkStreamEvent measures passing on one event of a stream that the server
// flushes event by event.
func BenchmarkStreamEvent(b *testing.B) {
	event := []byte("id: 1\ndata: a few tokens of an answer, as one event\n\n")
	server := startServer(b, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		flush := http.NewResponseController(w)
		for range b.N {
			if _, err := w.Write(event); err != nil {
				return
			}
			if err := flush.Flush(); err != nil {
				return
			}
		}
	})
	s := newFakeDecider(server)
	s.route.Stream = true
	s.timeLimit = 600_000
	r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://"+startForwarder(b, s)+"/", nil)
	require.NoError(b, err)
	r.Header.Set("Id", "r-1")
	b.ResetTimer()
	response, err := http.DefaultClient.Do(r)
	require.NoError(b, err)
	defer func() { _ = response.Body.Close() }()
	n, err := io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.Equal(b, int64(b.N*len(event)), n)
}
