package relayer

import (
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// newBenchmarkPair returns a client and the address of a peer that accepts
// all calls.
func newBenchmarkPair(b *testing.B) (*Client, string) {
	server := httptest.NewServer(NewHandler(HandlerConfig{
		Self:  "server",
		Peer:  &fakePeer{},
		Now:   timekeeper.NewManual(serverNow),
		Clock: newTimeline("server", serverNow),
	}))
	b.Cleanup(server.Close)
	client := NewClient(ClientConfig{
		Self:  "client",
		Now:   timekeeper.NewManual(clientNow),
		Clock: newTimeline("client", clientNow),
	})
	b.Cleanup(client.Close)
	return client, server.Listener.Addr().String()
}

// BenchmarkStateUpdate measures the cost of a state update at both ends
// together, by the number of servers with requests.
func BenchmarkStateUpdate(b *testing.B) {
	for _, servers := range []int{2, 84, 600} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			client, address := newBenchmarkPair(b)
			s := messenger.StateUpdate{
				InFlight: map[identifier.VMID]messenger.InFlight{},
				Demand: map[identifier.ServiceName]messenger.ServiceDemand{
					"reader": {
						Running: servers,
					},
				},
			}
			for i := range servers {
				s.InFlight[identifier.VMID(fmt.Sprintf("i-%012x", i))] = messenger.InFlight{
					Running: 3,
					Prefill: 120,
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				require.NoError(b, client.SendStateUpdate(b.Context(), address, s))
			}
		})
	}
}

// BenchmarkGossip measures the cost of a gossip message at both ends
// together.
func BenchmarkGossip(b *testing.B) {
	client, address := newBenchmarkPair(b)
	data := make([]byte, 1200)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, client.Gossip(b.Context(), address, data))
	}
}
