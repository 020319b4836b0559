package commander

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const orderTime = 5 * timekeeper.Second

func input(checks bool, servers ...Server) Input {
	return Input{
		Pool: catalog.Pool{
			ChecksFence: checks,
			OrderTime:   orderTime,
		},
		Lease: Lease{
			Held:      true,
			Fence:     7,
			NotAfter:  100_000,
			SafeAfter: 10_000,
		},
		Servers: servers,
	}
}

func engine(wanted, reported identifier.ModelName, asOf timekeeper.Time, fence identifier.Fence) Server {
	return Server{
		VM:      "vm-1",
		Wanted:  wanted,
		HasLoad: true,
		Load: messenger.ServerLoad{
			AsOf:  asOf,
			Model: reported,
			Fence: fence,
		},
	}
}

func TestPlan(t *testing.T) {
	leaving := engine("b", "a", 1, 7)
	leaving.Leaving = true
	lapsed, without := input(true, engine("b", "a", 1, 7)), input(true, engine("b", "a", 1, 7))
	lapsed.Lease.NotAfter = 20_000
	without.Lease.Held = false
	for name, c := range map[string]struct {
		now    timekeeper.Time
		in     Input
		orders int
	}{
		"another model": {
			now:    20_000,
			in:     input(true, engine("b", "a", 1, 7)),
			orders: 1,
		},
		"never reported": {
			now: 20_000,
			in: input(true, Server{
				VM:     "vm-1",
				Wanted: "b",
			}),
			orders: 1,
		},
		"settled": {
			now: 20_000,
			in:  input(true, engine("b", "b", 1, 7)),
		},
		"old fence": {
			now:    20_000,
			in:     input(true, engine("b", "b", 1, 6)),
			orders: 1,
		},
		"old fence, ignored": {
			now: 20_000,
			in:  input(false, engine("b", "b", 1, 0)),
		},
		"nothing wanted": {
			now: 20_000,
			in:  input(true, engine("", "a", 1, 7)),
		},
		"leaving": {
			now: 20_000,
			in:  input(true, leaving),
		},
		"lease over": {
			now: 20_000,
			in:  lapsed,
		},
		"no lease": {
			now: 20_000,
			in:  without,
		},
		"earlier order may land": {
			now: 14_999,
			in:  input(false, engine("b", "a", 1, 0)),
		},
		"earlier order has landed": {
			now:    15_000,
			in:     input(false, engine("b", "a", 1, 0)),
			orders: 1,
		},
		"earlier order, checked": {
			now:    1,
			in:     input(true, engine("b", "a", 1, 0)),
			orders: 1,
		},
		"more servers than may load": {
			now:    20_000,
			in:     input(true, unreported(9)...),
			orders: DefaultMaxInFlight,
		},
	} {
		t.Run(name, func(t *testing.T) {
			orders := New(Config{}).Plan(c.now, c.in)
			require.Len(t, orders, c.orders)
			for _, o := range orders {
				require.Equal(t, c.in.Lease.Fence, o.Order.Fence)
				require.Equal(t, c.in.Lease.NotAfter, o.NotAfter)
			}
		})
	}
}

func unreported(n int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{
			VM:     identifier.VMID(rune('a' + i)),
			Wanted: "m",
		})
	}
	return out
}

// Guards against orders that are never repeated, are repeated without backoff, or are sent after
// their fence has become stale.
func TestRepeatsUntilReported(t *testing.T) {
	c := New(Config{})
	in := input(true, engine("b", "a", 1, 7))
	require.Len(t, c.Plan(20_000, in), 1)
	// Without an answer, the order is repeated after its maximum duration.
	require.Empty(t, c.Plan(24_999, in))
	require.Len(t, c.Plan(25_000, in), 1)
	c.OrderEnded(25_010, "vm-1", 7, false, false)
	require.Empty(t, c.Plan(27_009, in))
	require.Len(t, c.Plan(27_010, in), 1)
	c.OrderEnded(27_020, "vm-1", 7, true, false)
	require.Empty(t, c.Plan(40_000, input(true, engine("b", "b", 39_000, 7))))
	require.Len(t, c.Plan(41_000, input(true, engine("b", "a", 40_500, 7))), 1, "changed again")
	// A stale fence ends all orders until the next tenure.
	c.OrderEnded(41_010, "vm-1", 7, false, true)
	require.Empty(t, c.Plan(99_000, in))
	in.Lease.Fence = 8
	require.Len(t, c.Plan(99_000, in), 1)
}

// simulate runs a takeover at an engine that ignores fences. The old holder's order is
// sent at the end of its term and takes effect within orderTime; reports and orders of
// the new holder are late or lost. It returns the engine's last model, and whether the
// old order took effect after the new model was reported.
func simulate(draw func(n int) int, off safeguards) (model identifier.ModelName, undone bool) {
	c := New(Config{MaxBackoff: 4 * timekeeper.Second})
	c.off = off
	type landing struct {
		at    timekeeper.Time
		model identifier.ModelName
	}
	landings := []landing{{
		at:    timekeeper.Time(10_000 + draw(int(orderTime))),
		model: "old",
	}}
	model = "other"
	report := engine("new", model, 1, 0)
	settled := false
	for now := timekeeper.Time(2000); now < 60_000; now += 250 {
		var later []landing
		for _, l := range landings {
			if l.at.After(now) {
				later = append(later, l)
				continue
			}
			undone = undone || settled && l.model == "old"
			model = l.model
		}
		landings = later
		if draw(4) == 0 {
			report = engine("new", model, now, 0)
			settled = settled || model == "new"
		}
		for _, o := range c.Plan(now, input(false, report)) {
			if draw(3) > 0 || now > 50_000 {
				landings = append(landings, landing{
					at:    now.Add(timekeeper.Duration(draw(int(orderTime)))),
					model: o.Order.Model,
				})
			}
		}
	}
	return model, undone
}

// The engine ends with the new holder's model, and no order of the old holder undoes it
// after it was reported.
func TestDeposedHolderHasNoLastingEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model, undone := simulate(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }, safeguards{})
		require.Equal(t, identifier.ModelName("new"), model)
		require.False(t, undone)
	})
	objects := func(off safeguards) bool {
		for seed := range uint64(500) {
			model, undone := simulate(rand.New(rand.NewPCG(seed, 1)).IntN, off)
			if model != "new" || undone {
				t.Logf("%+v: seed %d: model %s, undone %v", off, seed, model, undone)
				return true
			}
		}
		return false
	}
	require.False(t, objects(safeguards{}))
	require.True(t, objects(safeguards{noWait: true}))
	require.True(t, objects(safeguards{noRepeat: true}))
}
