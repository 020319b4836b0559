package sharer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func claims(loads ...float64) []Claim {
	out := make([]Claim, 0, len(loads))
	for i, load := range loads {
		out = append(out, Claim{
			Account: identifier.AccountHash(i),
			Weight:  1,
			Load:    load,
		})
	}
	return out
}

func TestDivide(t *testing.T) {
	weighted := claims(10, 10)
	weighted[1].Weight = 3
	unlimited := claims(10, 10)
	unlimited[0].Weight = 0
	unlimited[1].Weight = 3
	ranked := claims(6, 6, 6)
	ranked[0].Rank, ranked[2].Rank = 1, 1
	tests := []struct {
		name     string
		capacity float64
		claims   []Claim
		shares   []float64
	}{
		{
			name:     "no claims",
			capacity: 8,
			shares:   []float64{},
		},
		{
			name:     "enough for all",
			capacity: 8,
			claims:   claims(1, 2, 3),
			shares:   []float64{1, 2, 3},
		},
		{
			name:     "what a small claim leaves goes to the others",
			capacity: 9,
			claims:   claims(1, 10, 10),
			shares:   []float64{1, 4, 4},
		},
		{
			name:     "several rounds",
			capacity: 12,
			claims:   claims(1, 4, 20, 20),
			shares:   []float64{1, 3 + 2.0/3, 3 + 2.0/3, 3 + 2.0/3},
		},
		{
			name:     "by weight",
			capacity: 8,
			claims:   weighted,
			shares:   []float64{2, 6},
		},
		{
			name:     "an account without limit has the largest weight",
			capacity: 8,
			claims:   unlimited,
			shares:   []float64{4, 4},
		},
		{
			name:     "ranks in order",
			capacity: 8,
			claims:   ranked,
			shares:   []float64{1, 6, 1},
		},
		{
			name:     "no capacity",
			capacity: 0,
			claims:   claims(1, 2),
			shares:   []float64{0, 0},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.InDeltaSlice(t, tt.shares, Divide(tt.capacity, tt.claims), 1e-9)
		})
	}
}

// A service near its capacity must not change between short and not short with each request.
func TestShortageHasHysteresis(t *testing.T) {
	s := New()
	short := []bool{false, true, true, true, false, false}
	for i, load := range []float64{7, 7.7, 7, 6.5, 6.3, 7} {
		s.Update("reader", Service{
			Servers: 8,
			Claims:  claims(load),
		})
		require.Equal(t, short[i], s.Short("reader"), load)
	}
	s.Update("reader", Service{
		Servers: 8,
		Slots:   32,
		Running: 32,
		Served:  2,
		Claims:  claims(1, 3),
	})
	require.True(t, s.Short("reader"), "all slots are taken")
	require.InDelta(t, 2.0/3, s.Excess("reader", 1), 1e-9)
	s.Update("reader", Service{Claims: claims(1, 3)})
	require.Zero(t, s.Excess("reader", 1), "without servers nothing is divided")
}

// Guards against reports that grow with the number of accounts.
func TestMeterReportsTheLargestAccounts(t *testing.T) {
	m := NewMeter()
	for i := range 2 * MaxAccounts {
		m.Add(1000, identifier.AccountHash(i), timekeeper.Duration(i+1))
	}
	loads := m.Loads(1000)
	require.Len(t, loads, MaxAccounts)
	require.NotContains(t, loads, identifier.AccountHash(31))
	require.Contains(t, loads, identifier.AccountHash(32))
	require.Empty(t, m.Loads(1000+60*timekeeper.Time(timekeeper.Second)))
}
