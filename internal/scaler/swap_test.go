package scaler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against a loss of serving capacity when reclaimable servers, made more expensive by
// repeated reclaims, are swapped for on-demand ones.
func TestSwapAfterReclaims(t *testing.T) {
	c := &cloud{byToken: make(map[string]identifier.VMID)}
	const load = 60 * timekeeper.Second
	config := Config{
		Pool:     "p",
		Rules:    AllRules(),
		LoadTime: load,
	}
	s, next := New(config), New(config)
	boughtAt := make(map[identifier.VMID]timekeeper.Time)
	fence := identifier.Fence(1)
	for i := range 400 {
		now := start.Add(timekeeper.Duration(i) * 5 * timekeeper.Second)
		if i == 200 {
			// The new holder has only observed.
			s, fence = next, 2
		}
		c.listed = len(c.vms)
		in := c.input(fence, 0, now)
		in.Demand.Arrivals = 50
		if i%60 == 30 && i < 200 {
			reclaimOne(c)
		}
		next.Observe(now, in)
		for _, a := range s.Plan(now, in, testRand()) {
			if a.Kind == Release {
				c.markLeaving(a.VM)
				continue
			}
			vm := c.buy(a)
			boughtAt[vm] = now
			s.PurchaseEnded(now, a.ClientToken, PurchaseResult{VM: vm})
		}
		if i > 100 {
			// A server is released only after its replacement has had time to load.
			require.GreaterOrEqual(t, c.servingSince(now.Add(-load), boughtAt), 4, "at step %d", i)
		}
	}
	for _, v := range c.vms {
		require.True(t, v.Leaving || v.Market == catalog.OnDemand, "%s", v.VM)
	}
}

func reclaimOne(c *cloud) {
	for i, v := range c.vms {
		if !v.Leaving && v.Market == catalog.Reclaimable {
			c.vms[i].Leaving = true
			return
		}
	}
}

func (c *cloud) markLeaving(vm identifier.VMID) {
	for i, v := range c.vms {
		if v.VM == vm {
			c.vms[i].Leaving = true
		}
	}
}

func (c *cloud) servingSince(since timekeeper.Time, boughtAt map[identifier.VMID]timekeeper.Time) int {
	n := 0
	for _, v := range c.vms {
		if !v.Leaving && !boughtAt[v.VM].After(since) {
			n++
		}
	}
	return n
}
