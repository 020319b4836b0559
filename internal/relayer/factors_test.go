package relayer

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	serversOfSum = 144
	// serversOfNode is the number of servers that have requests of one node, and
	// othersOfNode of those that have none and answered it since its last update.
	serversOfNode = 12
	othersOfNode  = 2
)

func testServer(i int) identifier.VMID {
	return identifier.ServerStart(identifier.InstanceID(fmt.Sprintf("i-%012x", i)), 1_787_197_202_508)
}

// testUpdate returns an update with load of the first servers and evidence of all.
func testUpdate(inFlight, servers int) messenger.StateUpdate {
	s := messenger.StateUpdate{
		Scope:    messenger.ScopeOthers,
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand: map[identifier.ServiceName]messenger.ServiceDemand{
			"reader": {
				Running:     900,
				OfferedLoad: 40.5,
			},
		},
		Factors: map[identifier.VMID]messenger.FactorEvidence{},
	}
	for i := range servers {
		id := testServer(i)
		if i < inFlight {
			s.InFlight[id] = messenger.InFlight{
				Running: 6,
				Prefill: 140,
			}
		}
		s.Factors[id] = messenger.FactorEvidence{
			Weight: 0.5 + float64(i)/7,
			Sum:    (0.5 + float64(i)/7) * 0.5 * math.Sin(float64(i)),
		}
	}
	return s
}

// withPrefixes adds what servers have cached of the prompts that a node sent in two
// seconds.
func withPrefixes(s messenger.StateUpdate) messenger.StateUpdate {
	for i := range serversOfNode {
		for part := range 2 {
			s.CachedPrefixes = append(s.CachedPrefixes, messenger.CachedPrefix{
				Server: testServer(i),
				Part: messenger.PromptPart{
					Hash:   identifier.PrefixHash(i<<32 + part),
					Tokens: 5400,
				},
			})
		}
	}
	return s
}

// Evidence adds at most a tenth to the size of an update.
func TestFactorsAreSmall(t *testing.T) {
	tests := map[string]messenger.StateUpdate{
		"sum of a relay": testUpdate(serversOfSum, serversOfSum),
		"own of a node":  withPrefixes(testUpdate(serversOfNode, serversOfNode+othersOfNode)),
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			with := UpdateSize(s)
			s.Factors = nil
			without := UpdateSize(s)
			t.Logf("%d bytes, %d without", with, without)
			require.LessOrEqual(t, float64(with), 1.1*float64(without))
		})
	}
}

// Guards against evidence that is lost or changed on the way to peers.
func TestFactorsArrive(t *testing.T) {
	s := testUpdate(serversOfNode, serversOfSum)
	s.Factors["tiny"] = messenger.FactorEvidence{
		Weight: 1e-6,
		Sum:    1e-6,
	}
	s.Factors["broken"] = messenger.FactorEvidence{
		Weight: 1,
		Sum:    math.NaN(),
	}
	got := decodeStateUpdate(encodeStateUpdate(s))
	require.Equal(t, s.InFlight, maps.Collect(func(yield func(identifier.VMID, messenger.InFlight) bool) {
		for id, load := range got.InFlight {
			if load != (messenger.InFlight{}) && !yield(id, load) {
				return
			}
		}
	}))
	require.Len(t, got.Factors, serversOfSum)
	for i := range serversOfSum {
		want, arrived := s.Factors[testServer(i)], got.Factors[testServer(i)]
		require.InEpsilon(t, want.Weight, arrived.Weight, 0.03)
		require.InDelta(t, want.Sum/want.Weight, arrived.Sum/arrived.Weight, 0.01)
	}
}

// Guards against evidence of the wrong servers if a message holds more or less than it names.
func TestFactorsOfAnotherSize(t *testing.T) {
	servers := []*pb.ServerLoad{
		{Server: "i-1"},
		{Server: "i-2"},
	}
	for _, size := range []int{1, 2, 3, 5, 6} {
		require.Empty(t, decodeFactors(servers, bytes.Repeat([]byte{1}, size)))
	}
	for _, code := range []byte{1, 127, 128, 255} {
		for _, e := range decodeFactors(servers, []byte{code, code, code, code}) {
			require.Positive(t, e.Weight)
			require.LessOrEqual(t, math.Abs(e.Sum), maxFactorLog*e.Weight)
		}
	}
}
