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
	start   = timekeeper.Time(1_000_000)
	reading = identifier.PoolName("reading")
	every   = 100 * timekeeper.Millisecond
)

// fixture is a provisioner that follows a log of leases. Its pool has one
// engine, with another model than the one wanted, and needs two more.
type fixture struct {
	p       *Provisioner
	in      Input
	records []messenger.Record
	// cut keeps the log from the provisioner.
	cut bool
	// asked counts the questions for the demand.
	asked int
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
			f.asked++
			return Demand{Arrivals: f.asked}
		},
		Rand: rand.New(rand.NewPCG(1, 1)),
	}
	f.in.Members.MergeList(start, start, []messenger.VMState{
		{
			VM:     "e1",
			Zone:   "a",
			Class:  "engine",
			Market: catalog.OnDemand,
			Pool:   reading,
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
				Pool:  reading,
				Model: "reader",
			},
		},
		Pools: map[identifier.PoolName]catalog.Pool{
			reading: {
				Name:        reading,
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
						catalog.Reclaimable: identifier.Coin,
						catalog.OnDemand:    3 * identifier.Coin,
					},
				},
			},
		},
		Zones: map[identifier.Zone]catalog.ZoneSpec{"a": {Name: "a"}},
	}
}

// run lets time pass, with each append read back at once, and returns the
// purchases, releases and orders.
func (f *fixture) run(d timekeeper.Duration) []messenger.Effect {
	var out []messenger.Effect
	for end := f.in.Now.Add(d); f.in.Now.Before(end); f.in.Now = f.in.Now.Add(every) {
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
	if f.cut {
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

// Two nodes that both took themselves for the holder would buy the same VMs
// twice and order engines to and fro. A node that never had the lease, whose
// lease lapsed while the log is out, or that is leaving, does nothing.
func TestOnlyTheHolderActs(t *testing.T) {
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
			name:    "log not read yet",
			prepare: func(f *fixture) { f.cut = true },
		},
		{
			name: "another holds it",
			prepare: func(f *fixture) {
				other := newFixture("n2")
				other.run(5 * timekeeper.Second)
				f.records = other.records
				f.in.Now = other.in.Now
			},
		},
		{
			name: "lapsed while the log is out",
			prepare: func(f *fixture) {
				f.run(5 * timekeeper.Second)
				f.cut = true
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

// The process may be paused between a plan and its effect. Each effect names
// the instant past which the lease does not cover it, and none is past it
// when it is planned.
func TestEffectsCarryTheEndOfTheLease(t *testing.T) {
	f := newFixture("n1")
	f.run(4 * timekeeper.Second)
	f.cut = true
	seen := 0
	for range 200 {
		at := f.in.Now
		for _, e := range f.run(every) {
			seen++
			switch e := e.(type) {
			case messenger.BuyVM:
				require.Greater(t, e.NotAfter, at)
			case messenger.GiveOrder:
				require.Greater(t, e.NotAfter, at)
				require.NotZero(t, e.Order.Fence)
			}
		}
	}
	require.Positive(t, seen)
}

// A node that leaves gives its leases up, so that another need not wait for
// the end of the term.
func TestStopReleases(t *testing.T) {
	f := newFixture("n1")
	f.run(5 * timekeeper.Second)
	require.True(t, f.p.View(f.in.Now)[0].HeldHere)
	f.p.Stop()
	require.False(t, f.p.View(f.in.Now)[0].HeldHere)
	f.run(timekeeper.Second)
	f.read()
	require.Empty(t, f.p.View(f.in.Now), "the release was read back")
}

// The holder dies and this node takes the lease. It has watched the demand all
// the time: its first plan counts what came since the last look, and not all
// that ever came.
func TestWatchWithoutTheLease(t *testing.T) {
	f := newFixture("n1")
	f.cut = true
	f.run(3 * timekeeper.Second)
	require.Equal(t, 3, f.asked, "once for each planEvery")
	require.Equal(t, f.asked, f.p.pool(reading).arrivals)
}

// The ends of purchases are lost for good. The node remembers a bounded number
// of them; the end of a forgotten or an ended one changes nothing.
func TestTicketsAreBounded(t *testing.T) {
	p := New(Config{Self: "n1"})
	const more = 10
	for range maxTickets + more {
		p.ticketFor(ticket{pool: reading})
	}
	require.Len(t, p.tickets, maxTickets)
	require.Empty(t, p.BuyEnded(start, messenger.BuyEnded{Ticket: more}))
	last := messenger.BuyEnded{Ticket: maxTickets + more}
	require.NotEmpty(t, p.BuyEnded(start, last))
	require.Empty(t, p.BuyEnded(start, last))
}
