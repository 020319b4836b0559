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

// busyPerRequest is the part of a server that a request keeps busy while it
// runs: ten of them take one server at rest. A hundred keep 6.5 servers busy,
// which nine are enough for while zones are out: they are busy for 72 in 100 of
// the time.
const busyPerRequest = 0.065

var zones = []identifier.Zone{"boston-a", "boston-b", "portland-me", "providence"}

// cloud is a platform that carries out orders after a boot time, and that has
// no reclaimable servers in some zones.
type cloud struct {
	t     *testing.T
	now   timekeeper.Time
	fleet *catalog.Fleet
	sizer *sizer.Sizer
	out   map[identifier.Zone]bool
	have  map[key]int
	boots []boot
	// silent makes the cloud carry out nothing and answer nothing.
	silent bool
	// watcher is a node that does not hold the lease; nil where there is none.
	watcher *sizer.Sizer
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
		out:   map[identifier.Zone]bool{},
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
		in := sizer.Input{
			Now:     c.now,
			Service: "reader",
			Fleet:   c.fleet,
			Servers: c.servers(),
			Demand: messenger.ServiceDemand{
				Running:     running,
				OfferedLoad: float64(running) * busyPerRequest,
			},
		}
		if c.watcher != nil {
			c.watcher.Observe(in)
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
		c.have[b.key] = b.count
	}
	c.boots = rest
}

func (c *cloud) order(o messenger.ServerOrder) messenger.LeaderTaskResult {
	k := key{
		zone:   o.Zone,
		market: o.Market,
	}
	if c.silent {
		return messenger.LeaderTaskUnknown
	}
	require.GreaterOrEqual(c.t, o.Count, 0)
	require.LessOrEqual(c.t, o.Count, c.fleet.Max)
	if o.Market == catalog.Reclaimable && c.out[o.Zone] && o.Count > c.have[k] {
		return messenger.LeaderTaskRefused
	}
	if o.Count < c.have[k] {
		c.have[k] = o.Count
		return messenger.LeaderTaskDone
	}
	c.boots = append(c.boots, boot{
		at:    c.now.Add(c.fleet.BootTime),
		key:   k,
		count: o.Count,
	})
	return messenger.LeaderTaskDone
}

// reclaim takes all reclaimable servers of a zone away, those that boot too,
// with none to be had.
func (c *cloud) reclaim(zone identifier.Zone) {
	k := key{
		zone:   zone,
		market: catalog.Reclaimable,
	}
	c.out[zone] = true
	c.have[k] = 0
	c.boots = slices.DeleteFunc(c.boots, func(b boot) bool { return b.key == k })
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
// reclaimable ones, spread over the zones, once the demand is known.
func TestReclaimableServersTakeOver(t *testing.T) {
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
// without an on-demand server.
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

// Three zones of four are reclaimed, four and two seconds apart. Once two are
// out, the others are raised to carry the demand each alone: callers had a third
// of the servers they needed for ten seconds, until on-demand ones had booted.
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

// All four zones are reclaimed in turn, and nothing reclaimable is to be had
// anywhere. Callers were refused for 14 seconds, since orders for reclaimable
// servers took all the room that the zones have. Others take that room, and
// give it back once the reclaimable ones serve again.
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
	clear(c.out)
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

// Ninety servers publish themselves one after the other while the system starts.
// A fleet sized by the first sixteen would be a quarter of what callers need. It
// is sized by what operators allow, and before anyone asks for anything those
// that have not published themselves are given up too.
func TestFirstSizeIsNotThatOfTheFirstServers(t *testing.T) {
	c := newCloud(t, 16)
	c.fleet.Max = 46
	c.run(timekeeper.Second, 0)
	require.Zero(t, c.total(catalog.OnDemand))
	c.run(4*timekeeper.Second, 0)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 60)
}

// The same with callers that ask already: the servers that the demand takes stay
// until others have booted, also those that publish themselves only then.
func TestServersThatAppearUnderLoadAreKept(t *testing.T) {
	c := newCloud(t, 16)
	c.fleet.Max = 46
	for found := 16; found < 70; found += 18 {
		c.run(timekeeper.Second, 480)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand), min(found, 42))
		c.have[key{
			zone:   "boston-a",
			market: catalog.OnDemand,
		}] += 18
	}
	c.run(10*timekeeper.Second, 480)
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 60)
}

// All nodes lose power, and the first holder afterwards has watched nothing. It
// finds the servers that were ordered before, spare ones for lost zones among
// them, and goes on with them: sized for all that it finds, a fleet would grow by
// as much again with each restart.
func TestRestartKeepsTheFleet(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	c.sizer = sizer.New()
	c.run(10*timekeeper.Second, 60)
	require.Equal(t, size, c.total(catalog.Reclaimable))
	require.Zero(t, c.total(catalog.OnDemand))
}

// The system takes over a fleet that is serving callers. The servers that the
// operators started go only as reclaimable ones serve, not when those are ordered.
func TestServersUnderLoadAreKept(t *testing.T) {
	c := newCloud(t, 9)
	c.run(3*timekeeper.Second, 60)
	require.NotEmpty(t, c.boots)
	require.Equal(t, 6, c.total(catalog.OnDemand))
	c.run(10*timekeeper.Second, 60)
	require.Zero(t, c.total(catalog.OnDemand))
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 6)
}

// A service whose servers can't be ordered gets no orders.
func TestFixedService(t *testing.T) {
	require.Empty(t, sizer.New().Plan(sizer.Input{
		Now:     start,
		Service: "portal",
		Demand:  messenger.ServiceDemand{Running: 50},
	}))
}

// The holder of the lease dies under load, and another node takes over that has
// watched the service. It goes on with the size that the demand takes, where
// sizing anew would go by the servers that it finds.
func TestNewHolderKeepsTheSize(t *testing.T) {
	c := newCloud(t, 9)
	next := sizer.New()
	c.watcher = next
	c.run(60*timekeeper.Second, 40)
	size := c.total(catalog.Reclaimable)
	c.sizer = next
	c.run(20*timekeeper.Second, 40)
	require.Equal(t, size, c.total(catalog.Reclaimable))
	require.Equal(t, 8, size)
}

// All zones were reclaimed, and on-demand servers serve. Reclaimable ones are to be
// had again in one zone only, which can be reclaimed within seconds: the on-demand
// ones stay until another zone has some, and none that serves makes way for one
// that has yet to boot.
func TestOnDemandServersStayUntilTwoZonesServe(t *testing.T) {
	c := newCloud(t, 9)
	c.fleet.Max = 12
	c.run(40*timekeeper.Second, 100)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.run(20*timekeeper.Second, 100)
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 9)

	delete(c.out, "providence")
	for range 40 {
		c.run(500, 100)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand), 9)
	}
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 9)

	clear(c.out)
	for range 40 {
		c.run(500, 100)
		require.GreaterOrEqual(t, c.total(catalog.OnDemand)+c.total(catalog.Reclaimable), 9)
	}
	require.Zero(t, c.total(catalog.OnDemand))
}

// All servers were lost while callers kept asking, and requests piled up at the
// first on-demand ones. Once the pile is worked off and reclaimable servers are to be
// had, on-demand ones go as those serve, not when the size at the pile's time lapses.
func TestPileUpGivesOnDemandServersBack(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 80)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.run(10*timekeeper.Second, 200)
	require.GreaterOrEqual(t, c.total(catalog.OnDemand), 18)
	clear(c.out)
	c.run(6*timekeeper.Second, 80)
	require.LessOrEqual(t, c.total(catalog.OnDemand), 8)
	c.run(8*timekeeper.Second, 80)
	require.Zero(t, c.total(catalog.OnDemand))
	require.GreaterOrEqual(t, c.total(catalog.Reclaimable), 16)
}

// Requests pile up while the cloud answers no order, and the pile is worked off
// before it does. The on-demand servers that are ordered then are for the callers of
// now, not for the pile.
func TestNoOnDemandServersForAPileThatIsGone(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 80)
	for _, zone := range zones {
		c.reclaim(zone)
	}
	c.silent = true
	c.run(6*timekeeper.Second, 250)
	c.run(2*timekeeper.Second, 100)
	c.silent = false
	c.run(8*timekeeper.Second, 100)
	require.InDelta(t, 10, c.total(catalog.OnDemand), 1)
}

// All zones are reclaimed while orders for more servers than a zone takes were
// given. No order asks for fewer servers than none: the cloud refused it, and
// with it the zone's on-demand servers.
func TestNoOrderBelowZero(t *testing.T) {
	c := newCloud(t, 9)
	c.run(30*timekeeper.Second, 60)
	c.have[key{
		zone:   "boston-a",
		market: catalog.Reclaimable,
	}] = 9
	c.reclaim("boston-b")
	c.run(20*timekeeper.Second, 200)
}

// All nodes die while two zones are out and nothing reclaimable is to be had. The
// next holder finds servers in two zones only. It keeps them all: two of three in
// each were given up, and callers waited ten seconds for others.
func TestNewHolderInAWave(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	c.reclaim("boston-a")
	c.reclaim("boston-b")
	c.out["providence"] = true
	c.out["portland-me"] = true
	c.run(3*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	require.Positive(t, size)
	c.sizer = sizer.New()
	c.run(10*timekeeper.Second, 60)
	require.Equal(t, size, c.total(catalog.Reclaimable))
}

// A wave takes one zone after the other. When two are left, on-demand servers are
// ordered for the loss of the next, so that they serve when it comes: ordered
// after the third notice they served a boot time too late, and callers of a calm
// day were served by a third for ten seconds.
func TestOnDemandServersAheadOfTheWave(t *testing.T) {
	c := newCloud(t, 9)
	c.run(60*timekeeper.Second, 60)
	c.reclaim("boston-a")
	c.run(5*timekeeper.Second, 60)
	require.Zero(t, c.total(catalog.OnDemand))
	for _, zone := range zones {
		c.out[zone] = true
	}
	c.reclaim("boston-b")
	c.run(5*timekeeper.Second, 60)
	c.reclaim("providence")
	require.GreaterOrEqual(t, c.total(catalog.OnDemand)+c.total(catalog.Reclaimable), 6)
}

// One long prompt more makes the demand seem larger for a second. Nothing is
// ordered for it, and on-demand servers that were are not given up and ordered
// again as the measure goes up and down.
func TestNoOrderForASecond(t *testing.T) {
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
	most := c.total(catalog.OnDemand)
	for range 4 {
		c.run(timekeeper.Second, 50)
		c.run(timekeeper.Second, 60)
	}
	require.Equal(t, most, c.total(catalog.OnDemand))
}

// Callers come in a crowd that grows for seconds. Servers for it were ordered after more had
// been needed for three, and served when two zones were being reclaimed. While the need goes
// on rising they are ordered after one.
func TestServersForACrowdThatGrows(t *testing.T) {
	c := newCloud(t, 9)
	c.run(40*timekeeper.Second, 60)
	size := c.total(catalog.Reclaimable)
	for _, running := range []int{70, 80, 90} {
		c.run(500, running)
	}
	c.run(c.fleet.BootTime+500, 90)
	require.Greater(t, c.total(catalog.Reclaimable), size)
}
