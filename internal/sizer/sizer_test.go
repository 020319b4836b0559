package sizer_test

import (
	"fmt"
	"slices"
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

// loadPerRequest is the offered load of one running request: at
// targetUtilization, ten requests need one server. A hundred requests need nine
// servers at degradedUtilization.
const loadPerRequest = 0.065

var zones = []identifier.Zone{"boston-a", "boston-b", "portland-me", "providence"}

// cloud simulates a platform that carries out orders after a boot time and has
// zones that are out of reclaimable capacity.
type cloud struct {
	t             *testing.T
	now           timekeeper.Time
	fleet         *catalog.Fleet
	sizer         *sizer.Sizer
	outOfCapacity map[identifier.Zone]bool
	running       map[orderKey]int
	boots         []boot
	// unresponsive makes the cloud ignore all orders.
	unresponsive bool
	// observer belongs to a node that does not hold the lease, or is nil.
	observer *sizer.Sizer
}

type orderKey struct {
	zone   identifier.Zone
	market catalog.Market
}

type boot struct {
	at    timekeeper.Time
	key   orderKey
	count int
}

func newCloud(t *testing.T, initial int) *cloud {
	c := &cloud{
		t:             t,
		now:           start,
		sizer:         sizer.New(),
		outOfCapacity: map[identifier.Zone]bool{},
		running:       map[orderKey]int{},
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
	for i := range initial {
		c.running[orderKey{
			zone:   zones[i%len(zones)],
			market: catalog.OnDemand,
		}]++
	}
	return c
}

func (c *cloud) servers() []*registrar.Server {
	var out []*registrar.Server
	for k, n := range c.running {
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

// run advances the time by span with a constant number of running requests.
func (c *cloud) run(span timekeeper.Duration, running int) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(500) {
		c.finishBoots()
		in := sizer.Input{
			Now:     c.now,
			Service: "reader",
			Fleet:   c.fleet,
			Servers: c.servers(),
			Demand: messenger.ServiceDemand{
				Running:     running,
				OfferedLoad: float64(running) * loadPerRequest,
			},
		}
		if c.observer != nil {
			c.observer.Observe(in)
		}
		orders := c.sizer.Plan(in)
		for _, o := range orders {
			c.sizer.OrderEnded(c.now, o, c.order(o))
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
		c.running[b.key] = b.count
	}
	c.boots = rest
}

func (c *cloud) order(o messenger.ServerOrder) messenger.LeaderTaskResult {
	k := orderKey{
		zone:   o.Zone,
		market: o.Market,
	}
	if c.unresponsive {
		return messenger.LeaderTaskUnknown
	}
	require.GreaterOrEqual(c.t, o.Count, 0)
	require.LessOrEqual(c.t, o.Count, c.fleet.Max)
	if o.Market == catalog.Reclaimable && c.outOfCapacity[o.Zone] && o.Count > c.running[k] {
		return messenger.LeaderTaskRefused
	}
	if o.Count < c.running[k] {
		c.running[k] = o.Count
		return messenger.LeaderTaskDone
	}
	c.boots = append(c.boots, boot{
		at:    c.now.Add(c.fleet.BootTime),
		key:   k,
		count: o.Count,
	})
	return messenger.LeaderTaskDone
}

// reclaim removes all reclaimable servers of a zone, booting ones included, and
// leaves the zone out of capacity.
func (c *cloud) reclaim(zone identifier.Zone) {
	k := orderKey{
		zone:   zone,
		market: catalog.Reclaimable,
	}
	c.outOfCapacity[zone] = true
	c.running[k] = 0
	c.boots = slices.DeleteFunc(c.boots, func(b boot) bool { return b.key == k })
}

func (c *cloud) total(market catalog.Market) int {
	n := 0
	for k, have := range c.running {
		if k.market == market {
			n += have
		}
	}
	return n
}

// The operators' on-demand servers are replaced by reclaimable ones, spread
// over the zones, once the demand is known.
func TestReclaimableServersReplaceOnDemand(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 40)
	require.Zero(t, c.total(catalog.OnDemand))
	require.Equal(t, 8, c.total(catalog.Reclaimable))
	for _, zone := range zones {
		require.Equal(t, 2, c.running[orderKey{
			zone:   zone,
			market: catalog.Reclaimable,
		}])
	}
}

// After two zones are reclaimed, the remaining servers cover the demand without
// on-demand servers.
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

// Once two of four zones are unavailable, each of the others grows to carry the
// whole demand, so that the loss of a third leaves enough servers.
func TestThirdZoneLost(t *testing.T) {
	c := newCloud(t, 9)
	c.fleet.Max = 46
	c.run(40*timekeeper.Second, 480)
	c.reclaim("portland-me")
	c.run(4*timekeeper.Second, 480)
	c.reclaim("providence")
	c.run(5*timekeeper.Second, 480)
	c.reclaim("boston-a")
	c.run(500, 480)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 46)
}

// Guards against orders for reclaimable servers that use up the zones' limits while no zone has
// reclaimable capacity, so that on-demand servers can't be ordered.
func TestAllZonesLost(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 100)
	for _, zone := range zones {
		c.reclaim(zone)
		c.run(3*timekeeper.Second, 100)
	}
	c.run(10*timekeeper.Second, 100)
	require.Zero(t, c.total(catalog.Reclaimable))
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 9)
	clear(c.outOfCapacity)
	c.run(30*timekeeper.Second, 100)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 10)
	require.Zero(t, c.total(catalog.OnDemand))
}

// The size shrinks only after a delay, because a replacement takes seconds to
// serve.
func TestShrinksAfterDelay(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 100)
	before := c.total(catalog.Reclaimable)
	c.run(10*timekeeper.Second, 10)
	require.Equal(t, before, c.total(catalog.Reclaimable))
	c.run(10*timekeeper.Second, 10)
	require.Equal(t, 8, c.total(catalog.Reclaimable))
}

// An order before the first servers are published would replace the operators'
// fleet by a minimal one.
func TestNoOrderBeforeFirstServers(t *testing.T) {
	c := newCloud(t, 0)
	c.run(5*timekeeper.Second, 0)
	require.Empty(t, c.boots)
	require.Empty(t, c.running)
}

// Guards against sizing a starting fleet by the servers published so far instead of by the
// operators' limit.
func TestInitialSizeIgnoresPublishedServers(t *testing.T) {
	c := newCloud(t, 16)
	c.fleet.Max = 46
	// Without demand, on-demand servers that are not published yet are released too.
	c.run(timekeeper.Second, 0)
	require.Zero(t, c.total(catalog.OnDemand))
	c.run(4*timekeeper.Second, 0)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 60)
}

// Under load, the on-demand servers that the demand needs stay until others
// have booted, including those that are published later.
func TestServersPublishedUnderLoadAreKept(t *testing.T) {
	c := newCloud(t, 16)
	c.fleet.Max = 46
	for published := 16; published < 70; published += 18 {
		c.run(timekeeper.Second, 480)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand), min(published, 42))
		c.running[orderKey{
			zone:   "boston-a",
			market: catalog.OnDemand,
		}] += 18
	}
	c.run(10*timekeeper.Second, 480)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 60)
}

// After a restart of all nodes, the fleet must not grow by counting the spare
// servers for lost zones as demand.
func TestRestartKeepsFleet(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	c.sizer = sizer.New()
	c.run(10*timekeeper.Second, 60)
	require.Equal(t, size, c.total(catalog.Reclaimable))
	require.Zero(t, c.total(catalog.OnDemand))
}

// When the system takes over a fleet under load, the operators' servers are
// released only once reclaimable ones serve.
func TestServersUnderLoadAreKept(t *testing.T) {
	c := newCloud(t, 9)
	c.run(3*timekeeper.Second, 60)
	require.NotEmpty(t, c.boots)
	require.Equal(t, 6, c.total(catalog.OnDemand))
	c.run(10*timekeeper.Second, 60)
	require.Zero(t, c.total(catalog.OnDemand))
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 6)
}

// A service without a fleet gets no orders.
func TestFixedService(t *testing.T) {
	require.Empty(t, sizer.New().Plan(sizer.Input{
		Now:     start,
		Service: "portal",
		Demand:  messenger.ServiceDemand{Running: 50},
	}))
}

// A new holder that has observed the service keeps the size instead of
// estimating it from the servers.
func TestNewHolderKeepsSize(t *testing.T) {
	c := newCloud(t, 9)
	next := sizer.New()
	c.observer = next
	c.run(60*timekeeper.Second, 40)
	size := c.total(catalog.Reclaimable)
	c.sizer = next
	c.run(20*timekeeper.Second, 40)
	require.Equal(t, size, c.total(catalog.Reclaimable))
	require.Equal(t, 8, size)
}

// Guards against releasing on-demand servers while only one zone has reclaimable servers, or in
// favor of servers that still boot.
func TestOnDemandServersStayUntilTwoZonesServe(t *testing.T) {
	c := newCloud(t, 9)
	c.fleet.Max = 12
	c.run(40*timekeeper.Second, 100)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.run(20*timekeeper.Second, 100)
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 9)

	delete(c.outOfCapacity, "providence")
	for range 40 {
		c.run(500, 100)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand), 9)
	}
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 9)

	clear(c.outOfCapacity)
	for range 40 {
		c.run(500, 100)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand)+c.total(catalog.Reclaimable), 9)
	}
	require.Zero(t, c.total(catalog.OnDemand))
}

// The on-demand servers for a backlog are released as reclaimable ones serve,
// not when the size shrinks.
func TestOnDemandServersReleasedAfterBacklog(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 80)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.run(10*timekeeper.Second, 200)
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 18)
	clear(c.outOfCapacity)
	c.run(6*timekeeper.Second, 80)
	require.LessOrEqual(t, c.total(catalog.OnDemand), 8)
	c.run(8*timekeeper.Second, 80)
	require.Zero(t, c.total(catalog.OnDemand))
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 16)
}

// If a backlog clears before the cloud answers orders, the on-demand servers
// are ordered for the current demand, not for the backlog.
func TestNoOnDemandServersForClearedBacklog(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 80)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.unresponsive = true
	c.run(6*timekeeper.Second, 250)
	c.run(2*timekeeper.Second, 100)
	c.unresponsive = false
	c.run(8*timekeeper.Second, 100)
	require.InDelta(t, 10, c.total(catalog.OnDemand), 1)
}

// No order has a negative count while all zones are reclaimed and a zone
// exceeds its limit: the cloud would refuse it.
func TestNoOrderBelowZero(t *testing.T) {
	c := newCloud(t, 9)
	c.run(30*timekeeper.Second, 60)
	c.running[orderKey{
		zone:   "boston-a",
		market: catalog.Reclaimable,
	}] = 9
	c.reclaim("boston-b")
	c.run(20*timekeeper.Second, 200)
}

// A new holder that starts while all zones are out of capacity releases no
// servers.
func TestNewHolderDuringWave(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	c.reclaim("boston-a")
	c.reclaim("boston-b")
	c.outOfCapacity["providence"] = true
	c.outOfCapacity["portland-me"] = true
	c.run(3*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	require.Positive(t, size)
	c.sizer = sizer.New()
	c.run(10*timekeeper.Second, 60)
	require.Equal(t, size, c.total(catalog.Reclaimable))
}

// When only two zones are available, on-demand servers are ordered in advance
// for the loss of another.
func TestOnDemandServersBeforeThirdZoneLoss(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	c.reclaim("boston-a")
	c.run(5*timekeeper.Second, 60)
	require.Zero(t, c.total(catalog.OnDemand))
	for _, zone := range zones {
		c.outOfCapacity[zone] = true
	}
	c.reclaim("boston-b")
	c.run(5*timekeeper.Second, 60)
	c.reclaim("providence")
	require.GreaterOrEqual(t, c.total(catalog.OnDemand)+c.total(catalog.Reclaimable), 6)
}

// A change of the demand for a second causes no orders, in either direction.
func TestBriefDemandChangeIsIgnored(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	c.run(2*timekeeper.Second, 75)
	c.run(10*timekeeper.Second, 60)
	require.Equal(t, size, c.total(catalog.Reclaimable))
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.run(8*timekeeper.Second, 60)
	before := c.total(catalog.OnDemand)
	for range 4 {
		c.run(timekeeper.Second, 50)
		c.run(timekeeper.Second, 60)
	}
	require.Equal(t, before, c.total(catalog.OnDemand))
}

// While the demand keeps rising, servers are ordered after the shorter delay.
func TestRisingDemandIsServedSooner(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	for _, running := range []int{70, 80, 90} {
		c.run(500, running)
	}
	c.run(c.fleet.BootTime+500, 90)
	require.Greater(t, c.total(catalog.Reclaimable), size)
}
