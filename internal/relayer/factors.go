package relayer

import (
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	pb "github.com/dotterelhollow/dotterelhollow/internal/relayer/relayerpb"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// factorBytes is the size of a server's evidence.
	factorBytes = 2
	// minFactorWeight is the weight with the code 1, and weightSteps the number of codes
	// by which the weight doubles.
	minFactorWeight = 0.02
	weightSteps     = 14
	// maxFactorLog is the mean logarithm with the code 127.
	maxFactorLog = 2.0
)

// reportedServers returns the servers of which an update states load or evidence.
func reportedServers(s messenger.StateUpdate) []identifier.VMID {
	ids := slices.Collect(maps.Keys(s.InFlight))
	for id := range s.Factors {
		if _, listed := s.InFlight[id]; !listed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// encodeFactors returns the evidence of the given servers, or nil if there is none.
func encodeFactors(servers []identifier.VMID, factors map[identifier.VMID]messenger.FactorEvidence) []byte {
	if len(factors) == 0 {
		return nil
	}
	out := make([]byte, 0, factorBytes*len(servers))
	for _, id := range servers {
		e := factors[id]
		if !(e.Weight >= minFactorWeight) || math.IsNaN(e.Sum/e.Weight) {
			out = append(out, 0, 0)
			continue
		}
		weight := math.Round(1 + weightSteps*math.Log2(e.Weight/minFactorWeight))
		mean := math.Round(e.Sum / e.Weight / maxFactorLog * math.MaxInt8)
		out = append(out, byte(min(weight, math.MaxUint8)), byte(int8(min(max(mean, -math.MaxInt8), math.MaxInt8))))
	}
	return out
}

// decodeFactors returns the evidence of the listed servers, or nil if its size does not
// match.
func decodeFactors(servers []*pb.ServerLoad, data []byte) map[identifier.VMID]messenger.FactorEvidence {
	if len(data) == 0 || len(data) != factorBytes*len(servers) {
		return nil
	}
	out := make(map[identifier.VMID]messenger.FactorEvidence, len(servers))
	for i, l := range servers {
		weightCode, mean := data[factorBytes*i], int8(data[factorBytes*i+1])
		if weightCode == 0 {
			continue
		}
		weight := minFactorWeight * math.Exp2(float64(weightCode-1)/weightSteps)
		out[identifier.VMID(l.GetServer())] = messenger.FactorEvidence{
			Weight: weight,
			Sum:    weight * max(float64(mean)/math.MaxInt8, -1) * maxFactorLog,
		}
	}
	return out
}
