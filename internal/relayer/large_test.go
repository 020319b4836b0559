package relayer

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// blockingPeer reports the state updates that arrive, and blocks in those with entries until
// release is closed.
type blockingPeer struct {
	fakePeer

	small   chan struct{}
	entered chan struct{}
	release chan struct{}
}

func (p *blockingPeer) ReceiveStateUpdate(_ identifier.VMID, s messenger.StateUpdate) {
	if len(s.Servers) == 0 {
		p.small <- struct{}{}
		return
	}
	p.entered <- struct{}{}
	<-p.release
}

// newHandlerOf returns the handler of the peer port for p.
func newHandlerOf(p Peer) http.Handler {
	return NewHandler(HandlerConfig{
		Self:  "server",
		Peer:  p,
		Now:   timekeeper.NewManual(serverNow),
		Clock: newTimeline("server", serverNow),
	})
}

// Guards against exhausted memory by the tables of many peers that are decoded at once.
func TestLargeUpdatesAreDecodedFewAtOnce(t *testing.T) {
	const peers = 64
	p := &blockingPeer{
		small:   make(chan struct{}, 1),
		entered: make(chan struct{}, peers),
		release: make(chan struct{}),
	}
	server := httptest.NewServer(newHandlerOf(p))
	defer server.Close()
	release := sync.OnceFunc(func() { close(p.release) })
	defer release()
	address := server.Listener.Addr().String()
	ends := make(chan error, peers)
	entries := manyEntries(3000)
	for range peers {
		go func() {
			client := newTestClient(t)
			ends <- client.SendStateUpdate(t.Context(), address, messenger.StateUpdate{Servers: entries})
		}()
	}
	for range maxLargeUpdates {
		<-p.entered
	}
	require.NoError(t, newTestClient(t).SendStateUpdate(t.Context(), address, messenger.StateUpdate{}))
	<-p.small
	for range peers - maxLargeUpdates {
		select {
		case err := <-ends:
			require.Error(t, err)
		case <-p.entered:
			require.Fail(t, "too many large updates were decoded at once")
		}
	}
	release()
	for range maxLargeUpdates {
		require.NoError(t, <-ends)
	}
	require.NoError(t, newTestClient(t).SendStateUpdate(t.Context(), address, messenger.StateUpdate{Servers: entries}))
}

// Guards against peers that stall within large updates and keep out those of others.
func TestStalledLargeUpdatesEnd(t *testing.T) {
	p := &fakePeer{}
	server := httptest.NewServer(newHandlerOf(p))
	defer server.Close()
	address := server.Listener.Addr().String()
	header := "POST " + updatePath + " HTTP/1.1\r\nHost: entry-1\r\nContent-Type: application/protobuf\r\nContent-Length: " +
		strconv.Itoa(int(largeUpdate)) + "\r\n\r\n"
	for range maxLargeUpdates {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.Copy(conn, bytes.NewBufferString(header))
		require.NoError(t, err)
	}
	entries := manyEntries(3000)
	client := newTestClient(t)
	require.Eventually(t, func() bool {
		return client.SendStateUpdate(t.Context(), address, messenger.StateUpdate{Servers: entries}) == nil
	}, 5*largeUpdateTimeout, largeUpdateTimeout/10)
	require.Equal(t, entries, p.update.Servers)
}
