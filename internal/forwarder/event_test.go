package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// heldAnswers is more than the long answers that are held in memory at once.
const heldAnswers = 20

// longEvent is an event over the size up to which any event is held.
var longEvent = "data: " + strings.Repeat("x", 20<<10) + "\n\n"

// openStream sends a request whose answer is ended with the test.
func openStream(t *testing.T, address string) *bufio.Reader {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	response, err := http.DefaultClient.Do(newRequest(t, http.MethodGet, "http://"+address+"/", nil).WithContext(ctx))
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	require.Equal(t, http.StatusOK, response.StatusCode)
	return bufio.NewReader(response.Body)
}

// Guards against streams that are cut at a long event because others have sent one before.
func TestLongEventsOfManyStreamsArePassed(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, longEvent)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	var servers []string
	for range heldAnswers {
		servers = append(servers, server)
	}
	s := newFakeDecider(servers...)
	s.route.Stream = true
	s.ended = make(chan messenger.ExchangeEnded, heldAnswers)
	address := startForwarder(t, s)
	for range heldAnswers {
		event := make([]byte, len(longEvent))
		_, err := io.ReadFull(openStream(t, address), event)
		require.NoError(t, err)
		require.Equal(t, longEvent, string(event))
	}
}

// Guards against streams that are cut within a long event because many servers send one at once.
func TestLongEventsAtOnceArePassed(t *testing.T) {
	const half = 18 << 10
	rest := make(chan struct{})
	var servers []string
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		sign(w, r)
		_, _ = io.WriteString(w, "data: a\n\n"+longEvent[:half])
		_ = http.NewResponseController(w).Flush()
		select {
		case <-rest:
			_, _ = io.WriteString(w, longEvent[half:])
		case <-r.Context().Done():
		}
	})
	for range heldAnswers {
		servers = append(servers, server)
	}
	s := newFakeDecider(servers...)
	s.route.Stream = true
	s.timeLimit = 10 * timekeeper.Second
	s.ended = make(chan messenger.ExchangeEnded, heldAnswers)
	address := startForwarder(t, s)
	var streams []*bufio.Reader
	for range heldAnswers {
		stream := openStream(t, address)
		first, err := stream.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "data: a\n", first)
		streams = append(streams, stream)
	}
	<-time.After(decisionTime)
	close(rest)
	for _, stream := range streams {
		body, err := io.ReadAll(stream)
		require.NoError(t, err)
		require.Equal(t, "\n"+longEvent, string(body))
	}
}
