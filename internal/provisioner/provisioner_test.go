package provisioner

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start        = timekeeper.Time(1_000_000)
	readingPool  = identifier.PoolName("reading")
	tickInterval = 100 * timekeeper.Millisecond
)

// fixture is a provisioner that follows a log of leases. Its pool has one
// engine, which runs a model that is not wanted, and needs two more.
type fixture struct {
	p       *Provisioner
	in      Input
	records []messenger.Record
	// logUnavailable stops the provisioner from reading the log.
	logUnavailable bool
	// demandCalls counts the calls of Input.Demand.
	demandCalls int
}

func newFixture(self identifier.VMID) *fixture {
	f := &fixture{
		p: New(Config{
			Self:      self,
			Retention: timekeeper.Hour,
		}),
	}
	f.in = Input{
		Now:     start,
		Catalog: newCatalog(),
		Members: gossiper.New(gossiper.Config{Self: self}),
		Loads: map[identifier.VMID]messenger.ServerLoad{
			"e1": {
				AsOf:  start,
				Model: "other",
			},
		},
		Demand: func(identifier.PoolName) Demand {
			f.demandCalls++
			return Demand{Arrivals: f.demandCalls}
		},
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	f.in.Members.MergeList(start, start, []messenger.VMState{
		{
			VM:     "e1",
			Zone:   "a",
			Class:  "engine",
			Market: catalog.OnDemand,
			Pool:   readingPool,
		},
	})
	f.p.ListRead(start)
	return f
}

func newCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Services: map[identifier.ServiceName]catalog.Service{
			"tag": {
				Name:  "tag",
				Kind:  catalog.ModelService,
				Pool:  readingPool,
				Model: "reader",
			},
		},
		Pools: map[identifier.PoolName]catalog.Pool{
			readingPool: {
				Name:        readingPool,
				Kind:        catalog.ModelService,
				Class:       "engine",
				ChecksFence: true,
				Slots:       4,
				Min:         3,
				Max:         4,
			},
		},
		Classes: map[identifier.VMClass]catalog.Class{
			"engine": {
				Name: "engine",
				Prices: map[identifier.Zone]map[catalog.Market]identifier.Money{
					"a": {
						catalog.Reclaimable: identifier.CurrencyUnit,
						catalog.OnDemand:    3 * identifier.CurrencyUnit,
					},
				},
			},
		},
		Zones: map[identifier.Zone]catalog.ZoneSpec{"a": {Name: "a"}},
	}
}

// run ticks for the duration d, reads back each append at once, and returns the
// purchases, releases and orders.
func (f *fixture) run(d timekeeper.Duration) []messenger.Effect {
	var out []messenger.Effect
	for end := f.in.Now.Add(d); f.in.Now.Before(end); f.in.Now = f.in.Now.Add(tickInterval) {
		f.read()
		for _, e := range f.p.Tick(f.in) {
			switch e := e.(type) {
			case messenger.AppendRecord:
				f.append(e.Data)
			case messenger.BuyVM, messenger.ReleaseVM, messenger.GiveOrder:
				out = append(out, e)
			}
		}
	}
	return out
}

func (f *fixture) append(data []byte) {
	f.records = append(f.records, messenger.Record{
		Offset:   identifier.Offset(len(f.records) + 1),
		Appended: f.in.Now,
		Data:     data,
	})
}

func (f *fixture) read() {
	if f.logUnavailable {
		return
	}
	f.p.LogRead(f.in.Now, messenger.LogRead{
		Stream:  leaser.Stream,
		First:   1,
		Records: f.records,
		End:     true,
	})
}

func count[E messenger.Effect](effects []messenger.Effect) int {
	n := 0
	for _, e := range effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

// A node that does not hold the lease must not act: two holders would buy the
// same VMs twice and give engines conflicting orders.
func TestOnlyHolderActs(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*fixture)
		acts    bool
	}{
		{
			name:    "holder",
			prepare: func(*fixture) {},
			acts:    true,
		},
		{
			name:    "log not yet read",
			prepare: func(f *fixture) { f.logUnavailable = true },
		},
		{
			name: "held by another node",
			prepare: func(f *fixture) {
				other := newFixture("n2")
				other.run(5 * timekeeper.Second)
				f.records = other.records
				f.in.Now = other.in.Now
			},
		},
		{
			name: "lease expired while the log is unavailable",
			prepare: func(f *fixture) {
				f.run(5 * timekeeper.Second)
				f.logUnavailable = true
				f.run(leaser.DefaultTTL)
			},
		},
		{
			name: "leaving",
			prepare: func(f *fixture) {
				f.run(5 * timekeeper.Second)
				f.p.Stop()
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture("n1")
			test.prepare(f)
			out := f.run(8 * timekeeper.Second)
			if !test.acts {
				require.Empty(t, out)
				return
			}
			require.Positive(t, count[messenger.BuyVM](out))
			require.Positive(t, count[messenger.GiveOrder](out))
		})
	}
}

// The process may be paused between a plan and its effect, so each effect
// carries the end of the lease, which has not passed when it is planned.
func TestEffectsCarryLeaseEnd(t *testing.T) {
	f := newFixture("n1")
	f.run(4 * timekeeper.Second)
	f.logUnavailable = true
	effects := 0
	for range 200 {
		at := f.in.Now
		for _, e := range f.run(tickInterval) {
			effects++
			switch e := e.(type) {
			case messenger.BuyVM:
				require.Greater(t, e.NotAfter, at)
			case messenger.GiveOrder:
				require.Greater(t, e.NotAfter, at)
				require.NotZero(t, e.Order.Fence)
			}
		}
	}
	require.Positive(t, effects)
}

// A node that leaves releases its leases, so that other nodes need not wait for
// them to expire.
func TestStopReleasesLeases(t *testing.T) {
	f := newFixture("n1")
	f.run(5 * timekeeper.Second)
	require.True(t, f.p.View(f.in.Now)[0].HeldHere)
	f.p.Stop()
	require.False(t, f.p.View(f.in.Now)[0].HeldHere)
	f.run(timekeeper.Second)
	f.read()
	require.Empty(t, f.p.View(f.in.Now), "the release was read back")
}

// A node without the lease observes the demand, so that its first plan as
// holder counts only the arrivals since the last tick.
func TestObserveWithoutLease(t *testing.T) {
	f := newFixture("n1")
	f.logUnavailable = true
	f.run(3 * timekeeper.Second)
	require.Equal(t, 3, f.demandCalls, "once for each planInterval")
	require.Equal(t, f.demandCalls, f.p.stateOf(readingPool).lastArrivals)
}

// The number of pending effects is bounded; results of dropped or finished ones
// are ignored.
func TestTicketsAreBounded(t *testing.T) {
	p := New(Config{Self: "n1"})
	const extra = 10
	for range maxTickets + extra {
		p.newTicket(pendingEffect{pool: readingPool})
	}
	require.Len(t, p.pending, maxTickets)
	require.Empty(t, p.BuyEnded(start, messenger.BuyEnded{Ticket: extra}))
	last := messenger.BuyEnded{Ticket: maxTickets + extra}
	require.NotEmpty(t, p.BuyEnded(start, last))
	require.Empty(t, p.BuyEnded(start, last))
}
