package relayer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func manyEntries(count int) []messenger.PublishedServer {
	entries := make([]messenger.PublishedServer, count)
	for i := range entries {
		entries[i] = messenger.PublishedServer{
			Server:  identifier.VMID(fmt.Sprintf("reader-%012x#1", i)),
			Offset:  identifier.Offset(i + 1),
			Service: "reader",
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Zone:    "zone-1",
			Slots:   32,
			State:   messenger.ServerReady,
			Market:  "on-demand",
			Version: "v1",
		}
	}
	return entries
}

func newTestClient(t *testing.T) *Client {
	client := NewClient(ClientConfig{
		Self:    "client",
		Now:     timekeeper.NewManual(clientNow),
		Clock:   newTimeline("client", clientNow),
		Timeout: timekeeper.Minute,
	})
	t.Cleanup(client.Close)
	return client
}

func liveHeap() identifier.Bytes {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return identifier.Bytes(m.HeapAlloc)
}

// sendToSlowPeers sends the same entries to peers that do not read them, and returns by how
// much the heap grew while the calls were in progress.
func sendToSlowPeers(t *testing.T, peers, count int) identifier.Bytes {
	t.Helper()
	arrived, release := make(chan struct{}), make(chan struct{})
	slow := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	var addresses []string
	for range peers {
		server := httptest.NewServer(slow)
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	client := newTestClient(t)
	entries := manyEntries(count)
	ctx, cancel := context.WithCancel(t.Context())
	ends := make(chan error)
	before := liveHeap()
	for _, address := range addresses {
		go func() {
			ends <- client.SendStateUpdate(ctx, address, messenger.StateUpdate{
				Servers:    entries,
				AllServers: true,
			})
		}()
	}
	for range peers {
		<-arrived
	}
	grown := liveHeap() - before
	cancel()
	close(release)
	for range peers {
		require.Error(t, <-ends)
	}
	require.Empty(t, client.entries.lists, "no encoding is kept after its last call")
	return grown
}

// Guards against exhausted memory by one encoding of all servers' entries for each peer.
func TestPeersShareEncodedEntries(t *testing.T) {
	const (
		servers = 3000
		// perPeer is the memory of a call without its entries, at both ends.
		perPeer = 64 << 10
	)
	size := UpdateSize(messenger.StateUpdate{Servers: manyEntries(servers)})
	for _, peers := range []int{4, 64} {
		grown := sendToSlowPeers(t, peers, servers)
		t.Logf("%d peers: %d bytes for entries of %d bytes", peers, grown, size)
		require.Less(t, grown, 2*size+identifier.Bytes(peers*perPeer), "%d peers", peers)
	}
}

// Guards against calls that mix up their entries, as they send different lists at once.
func TestConcurrentUpdatesKeepTheirEntries(t *testing.T) {
	const calls = 16
	entries := manyEntries(calls)
	client := newTestClient(t)
	type arrival struct{ sent, received []messenger.PublishedServer }
	arrivals := make(chan arrival)
	for i := range calls {
		p := &fakePeer{}
		server := httptest.NewServer(NewHandler(HandlerConfig{
			Self:  "server",
			Peer:  p,
			Now:   timekeeper.NewManual(serverNow),
			Clock: newTimeline("server", serverNow),
		}))
		t.Cleanup(server.Close)
		// Lists of the same beginning and of the same length differ.
		sent := entries[i/2 : i/2+1+i%2]
		go func() {
			_ = client.SendStateUpdate(t.Context(), server.Listener.Addr().String(), messenger.StateUpdate{Servers: sent})
			arrivals <- arrival{
				sent:     sent,
				received: p.update.Servers,
			}
		}()
	}
	for range calls {
		a := <-arrivals
		require.Equal(t, a.sent, a.received)
	}
}

// Guards against a request that is repeated on a new connection without its entries.
func TestRepeatedRequestHasItsSuffix(t *testing.T) {
	ctx := withSuffix(t.Context(), []byte("entries"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry-1", bytes.NewBufferString("update "))
	require.NoError(t, err)
	request = appendSuffix(request)
	repeated, err := request.GetBody()
	require.NoError(t, err)
	for _, body := range []io.Reader{request.Body, repeated} {
		data, err := io.ReadAll(body)
		require.NoError(t, err)
		require.Equal(t, "update entries", string(data))
		require.EqualValues(t, len(data), request.ContentLength)
	}
}
