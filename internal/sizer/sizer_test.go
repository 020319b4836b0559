package sizer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/sizer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

var zones = []identifier.Zone{"boston-a", "boston-b", "portland-me", "providence"}

// cloud is a platform that carries out orders after a boot time, and that has
// no reclaimable servers in some zones.
type cloud struct {
	t     *testing.T
	now   timekeeper.Time
	fleet *catalog.Fleet
	sizer *sizer.Sizer
	dry   map[identifier.Zone]bool
	have  map[key]int
	boots []boot
}

type key struct {
	zone   identifier.Zone
	market catalog.Market
}

type boot struct {
	at    timekeeper.Time
	key   key
	count int
}

func newCloud(t *testing.T, found int) *cloud {
	c := &cloud{
		t:     t,
		now:   start,
		sizer: sizer.New(),
		dry:   map[identifier.Zone]bool{},
		have:  map[key]int{},
		fleet: &catalog.Fleet{
			Min:      1,
			Max:      6,
			BootTime: 4 * timekeeper.Second,
			ZonePrices: map[identifier.Zone]float64{
				"boston-a":    1,
				"boston-b":    0.8,
				"providence":  1.25,
				"portland-me": 0.9,
			},
		},
	}
	for i := range found {
		c.have[key{
			zone:   zones[i%len(zones)],
			market: catalog.OnDemand,
		}]++
	}
	return c
}

func (c *cloud) servers() []*registrar.Server {
	var out []*registrar.Server
	for k, n := range c.have {
		for i := range n {
			out = append(out, &registrar.Server{
				PublishedServer: messenger.PublishedServer{
					Server: identifier.VMID(fmt.Sprintf("%s-%s-%d", k.zone, k.market, i)),
					Zone:   k.zone,
					Market: k.market,
					State:  messenger.ServerReady,
				},
			})
		}
	}
	return out
}

// run lets time pass with so many requests in flight.
func (c *cloud) run(span timekeeper.Duration, running int) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(500) {
		c.finishBoots()
		orders := c.sizer.Plan(sizer.Input{
			Now:     c.now,
			Service: "reader",
			Fleet:   c.fleet,
			Servers: c.servers(),
			Demand:  messenger.ServiceDemand{Running: running},
		})
		for _, o := range orders {
			c.sizer.Ordered(c.now, o, c.order(o))
		}
	}
}

func (c *cloud) finishBoots() {
	var rest []boot
	for _, b := range c.boots {
		if c.now.Before(b.at) {
			rest = append(rest, b)
			continue
		}
		c.have[b.key] = b.count
	}
	c.boots = rest
}

func (c *cloud) order(o messenger.ServerOrder) messenger.DutyResult {
	k := key{
		zone:   o.Zone,
		market: o.Market,
	}
	require.GreaterOrEqual(c.t, o.Count, 0)
	require.LessOrEqual(c.t, o.Count, c.fleet.Max)
	if o.Market == catalog.Reclaimable && c.dry[o.Zone] && o.Count > c.have[k] {
		return messenger.DutyRefused
	}
	if o.Count < c.have[k] {
		c.have[k] = o.Count
		return messenger.DutyDone
	}
	c.boots = append(c.boots, boot{
		at:    c.now.Add(c.fleet.BootTime),
		key:   k,
		count: o.Count,
	})
	return messenger.DutyDone
}

// reclaim takes all reclaimable servers of a zone away, with none to be had.
func (c *cloud) reclaim(zone identifier.Zone) {
	c.dry[zone] = true
	c.have[key{
		zone:   zone,
		market: catalog.Reclaimable,
	}] = 0
}

func (c *cloud) total(market catalog.Market) int {
	n := 0
	for k, have := range c.have {
		if k.market == market {
			n += have
		}
	}
	return n
}

// The operators start servers that can't be taken away. They give way to
// cheaper ones, spread over the zones, once the demand is known.
func TestCheapServersTakeOver(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 40)
	require.Zero(t, c.total(catalog.OnDemand))
	require.Equal(t, 8, c.total(catalog.Reclaimable))
	for _, zone := range zones {
		require.Equal(t, 2, c.have[key{
			zone:   zone,
			market: catalog.Reclaimable,
		}])
	}
}

// Two zones are reclaimed within seconds. What is left covers the demand
// without a dear server.
func TestTwoZonesLost(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 60)
	c.reclaim("boston-a")
	c.run(3*timekeeper.Second, 60)
	c.reclaim("providence")
	c.run(8*timekeeper.Second, 60)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 6)
	require.Zero(t, c.total(catalog.OnDemand))
}

// All four zones are reclaimed in turn, and nothing reclaimable is to be had
// anywhere. Callers were refused for 14 seconds, since orders for reclaimable
// servers took all the room that the zones have. Others take that room, and
// give it back once the cheap ones serve again.
func TestAllZonesLost(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 100)
	for _, zone := range zones {
		c.reclaim(zone)
		c.run(3*timekeeper.Second, 100)
	}
	c.run(10*timekeeper.Second, 100)
	require.Zero(t, c.total(catalog.Reclaimable))
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 10)
	clear(c.dry)
	c.run(30*timekeeper.Second, 100)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 10)
	require.Zero(t, c.total(catalog.OnDemand))
}

// A clump of requests has passed. Servers are given up only after a while: one
// that is ordered again takes seconds to serve.
func TestShrinksSlowly(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 100)
	most := c.total(catalog.Reclaimable)
	c.run(10*timekeeper.Second, 10)
	require.Equal(t, most, c.total(catalog.Reclaimable))
	c.run(10*timekeeper.Second, 10)
	require.Equal(t, 8, c.total(catalog.Reclaimable))
}

// Before a service's servers are known its size can't be judged: an order then
// would replace the operators' fleet by the smallest one.
func TestNoOrderBeforeTheFirstServers(t *testing.T) {
	c := newCloud(t, 0)
	c.run(5*timekeeper.Second, 0)
	require.Empty(t, c.boots)
	require.Empty(t, c.have)
}

// A service whose servers can't be ordered gets no orders.
func TestFixedService(t *testing.T) {
	require.Empty(t, sizer.New().Plan(sizer.Input{
		Now:     start,
		Service: "portal",
		Demand:  messenger.ServiceDemand{Running: 50},
	}))
}
