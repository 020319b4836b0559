package estimator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// engine is a simulated model engine.
type engine struct {
	base    float64
	read    float64 // per 1,000 tokens
	pairs   float64 // per million pairs
	running float64
}

func (e engine) firstEventTime(w estimator.Work) float64 {
	uncached := float64(w.Uncached)
	return e.base + e.read*uncached/1e3 + e.pairs*uncached*(float64(w.Cached)+uncached/2)/1e6 + e.running*float64(w.Running)
}

func randomWork(rng *rand.Rand) estimator.Work {
	return estimator.Work{
		Uncached: identifier.Tokens(200 + rng.ExpFloat64()*4000),
		Cached:   identifier.Tokens(rng.ExpFloat64() * 10_000),
		Running:  rng.IntN(20),
	}
}

// The estimates must converge for engines of any speed within some seconds of answers,
// although a tenth of the answers are outliers.
func TestConvergesForAnyEngine(t *testing.T) {
	tests := []engine{
		{
			base:    30,
			read:    16.2,
			pairs:   0.37,
			running: 0.5,
		},
		{
			base:    5,
			read:    4,
			pairs:   0.05,
			running: 0.3,
		},
		{
			base:    80,
			read:    60,
			pairs:   1.5,
			running: 4,
		},
	}
	for _, actual := range tests {
		t.Run(fmt.Sprint(actual.read), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			e := estimator.New()
			for range 150 {
				w := randomWork(rng)
				took := actual.firstEventTime(w) * (0.8 + 0.4*rng.Float64())
				if rng.IntN(10) == 0 {
					took *= 8
				}
				e.Observe("i-1", w, timekeeper.Duration(took))
			}
			for range 50 {
				w := randomWork(rng)
				require.InEpsilon(t, actual.firstEventTime(w), float64(e.FirstEventTime("i-1", w)), 0.4)
			}
		})
	}
}

// A server that is slower than the others must get longer predictions for the same
// work.
func TestSlowServerHasItsOwnFactor(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	actual := engine{
		base:    20,
		read:    16,
		pairs:   0.4,
		running: 1,
	}
	e := estimator.New()
	factors := map[identifier.VMID]float64{
		"i-1": 1,
		"i-2": 1,
		"i-3": 1.4,
	}
	for range 200 {
		for server, f := range factors {
			w := randomWork(rng)
			e.Observe(server, w, timekeeper.Duration(f*actual.firstEventTime(w)))
		}
	}
	w := estimator.Work{Uncached: 10_000}
	require.InDelta(t, 1.4, float64(e.FirstEventTime("i-3", w))/float64(e.FirstEventTime("i-1", w)), 0.15)
	e.Forget("i-3")
	require.InDelta(t, float64(e.FirstEventTime("i-1", w)), float64(e.FirstEventTime("i-3", w)), 0.3*float64(e.FirstEventTime("i-1", w)))
}

// Implausible observations must not move the predictions out of their bounds, and
// plausible ones must correct them again.
func TestImplausibleObservations(t *testing.T) {
	actual := engine{
		base:    20,
		read:    16,
		pairs:   0.4,
		running: 1,
	}
	for _, took := range []timekeeper.Duration{-5, 0, 1, 50_000, 1 << 60} {
		rng := rand.New(rand.NewPCG(1, 2))
		e := estimator.New()
		for range 2000 {
			e.Observe("i-1", randomWork(rng), took)
			wait := e.FirstEventTime("i-1", estimator.Work{Uncached: 1000})
			require.Positive(t, wait)
			require.Less(t, wait, 10*timekeeper.Second)
		}
		e.Observe("i-1", estimator.Work{
			Uncached: -7,
			Cached:   1 << 60,
			Running:  -1,
		}, took)
		for range 600 {
			w := randomWork(rng)
			e.Observe("i-1", w, timekeeper.Duration(actual.firstEventTime(w)))
		}
		w := estimator.Work{Uncached: 5000}
		require.InEpsilon(t, actual.firstEventTime(w), float64(e.FirstEventTime("i-1", w)), 0.3, "after %d", took)
	}
}

// The prefill is a part of the time to the first event.
func TestPrefillTime(t *testing.T) {
	e := estimator.New()
	w := estimator.Work{
		Uncached: 4000,
		Cached:   10_000,
		Running:  3,
	}
	require.Less(t, e.PrefillTime("i-1", w), e.FirstEventTime("i-1", w))
	require.Zero(t, e.PrefillTime("i-1", estimator.Work{Running: 5}))
	w.Uncached = 8000
	require.Greater(t, e.PrefillTime("i-1", w), 2*e.PrefillTime("i-1", estimator.Work{
		Uncached: 4000,
		Cached:   10_000,
	}))
}
