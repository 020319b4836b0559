package calibrator_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// sums feeds a node with sums over the other nodes.
type sums struct {
	now     timekeeper.Time
	node    *calibrator.Calibrator
	factors *calibrator.Factors
}

func newSums() *sums {
	node := calibrator.New()
	return &sums{
		now:     start,
		node:    node,
		factors: node.Service(service),
	}
}

// receive stores a sum of evidence of all servers, of which all but the first are of mean
// speed.
func (s *sums) receive(weight, mean float64) {
	factors := map[identifier.VMID]messenger.FactorEvidence{}
	for server := range s.servers {
		factors[server] = messenger.FactorEvidence{Weight: 10}
	}
	factors["i-0"] = messenger.FactorEvidence{
		Weight: weight,
		Sum:    weight * mean,
	}
	s.node.StoreReport(s.now, "relay", messenger.StateUpdate{
		Scope:   messenger.ScopeOthers,
		Factors: factors,
	})
}

func (s *sums) servers(yield func(identifier.VMID) bool) {
	for i := range 10 {
		if !yield(identifier.VMID(fmt.Sprintf("i-%d", i))) {
			return
		}
	}
}

// wait lets time pass in which the factors are used.
func (s *sums) wait(span timekeeper.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.now = s.now.Add(step)
		s.factors.Refresh(s.now, s.servers)
	}
}

// turnSlow makes the first server known as fast, and then as slow.
func (s *sums) turnSlow() {
	for range 10 {
		s.receive(20, -0.5)
		s.wait(200 * timekeeper.Millisecond)
	}
	s.receive(22, -0.2)
	s.wait(200 * timekeeper.Millisecond)
}

// Guards against evidence from before a change of speed that counts again.
func TestOutdatedEvidenceStaysOutdated(t *testing.T) {
	s := newSums()
	s.turnSlow()
	require.Greater(t, s.factors.Factor("i-0"), 1.2)
	s.receive(14, -0.5)
	s.wait(200 * timekeeper.Millisecond)
	require.GreaterOrEqual(t, s.factors.Factor("i-0"), 1.0)
}

// Guards against an unbounded mean of what is left of two sums that differ little.
func TestDifferenceOfSumsIsBounded(t *testing.T) {
	s := newSums()
	s.turnSlow()
	for weight := 22.0; weight > 5; weight *= 0.98 {
		s.receive(weight, -0.2)
		s.wait(100 * timekeeper.Millisecond)
		require.Less(t, math.Abs(math.Log(s.factors.Factor("i-1"))), 0.25)
	}
}

// Guards against the loss of all evidence while one of two relays knows of none.
func TestRelayWithoutEvidence(t *testing.T) {
	s := newSums()
	s.receive(20, -0.5)
	s.wait(200 * timekeeper.Millisecond)
	known := s.factors.Factor("i-0")
	require.Less(t, known, 0.9)
	s.node.StoreReport(s.now, "relay-2", messenger.StateUpdate{Scope: messenger.ScopeOthers})
	s.wait(200 * timekeeper.Millisecond)
	require.InEpsilon(t, known, s.factors.Factor("i-0"), 0.05)
}
