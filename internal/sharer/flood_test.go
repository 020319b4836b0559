package sharer

import (
	"cmp"
	"flag"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var seeds = flag.Int("seeds", 2, "floods of each kind")

const (
	floodNodes    = 80
	floodAccounts = 16
	floodServers  = 16
	floodSlots    = 4 * floodServers
	floodStep     = 10 * timekeeper.Millisecond
	// floodPatience is the time after which a request that no server has begun fails.
	floodPatience = 2 * timekeeper.Second
	// The accounts' usual load in servers, of which the first largeAccounts have four
	// times as much as the others.
	usualLoad     = 0.8 * floodServers
	largeAccounts = 4
	floodStart    = 4 * timekeeper.Second
	floodEnd      = 10 * timekeeper.Second
	divideTime    = 100 * timekeeper.Millisecond
	reportTime    = 500 * timekeeper.Millisecond
	relayDelay    = 300 * timekeeper.Millisecond
	maxAge        = 2 * timekeeper.Second
)

// caller describes the callers of one account.
type caller struct {
	claim Claim
	work  timekeeper.Duration
	// factor multiplies the usual load during the flood.
	factor float64
	// start is the time of its first request, and oneNode whether all go to the same node.
	start   timekeeper.Duration
	oneNode bool
}

func usualCallers() []caller {
	out := make([]caller, floodAccounts)
	weights := 4.0*largeAccounts + floodAccounts - largeAccounts
	for i := range out {
		weight := 1.0
		if i < largeAccounts {
			weight = 4
		}
		out[i] = caller{
			claim: Claim{
				Account: identifier.AccountHash(i),
				Weight:  weight,
				Load:    usualLoad * weight / weights,
			},
			work:   40 * timekeeper.Millisecond,
			factor: 1,
		}
	}
	return out
}

type floodNode struct {
	meter   *Meter
	served  *Meter
	running int
	sharer  *Sharer
}

type floodReport struct {
	at      timekeeper.Time
	running int
	served  float64
	loads   map[identifier.AccountHash]float64
}

func newFloodNode() *floodNode {
	return &floodNode{
		meter:  NewMeter(),
		served: NewMeter(),
		sharer: New(),
	}
}

func (n *floodNode) report(now timekeeper.Time) floodReport {
	return floodReport{
		at:      now,
		running: n.running,
		served:  n.served.Loads(now)[0],
		loads:   n.meter.Loads(now),
	}
}

// add adds a report, or subtracts it if sign is -1.
func (r *floodReport) add(other floodReport, sign int) {
	r.running += sign * other.running
	r.served += float64(sign) * other.served
	for account, load := range other.loads {
		r.loads[account] += float64(sign) * load
	}
}

// update divides the service by what the node knows of all nodes.
func (n *floodNode) update(sum floodReport, callers []caller) {
	s := Service{
		Servers: floodServers,
		Slots:   floodSlots,
		Running: sum.running,
		Served:  sum.served,
	}
	for _, c := range callers {
		claim := c.claim
		claim.Load = sum.loads[claim.Account]
		s.Claims = append(s.Claims, claim)
	}
	n.sharer.Update("reader", s)
}

type floodRequest struct {
	at      timekeeper.Time
	account int
	node    int
	work    timekeeper.Duration
}

// flood plays requests of callers at nodes that share reports, before servers that take
// requests by urgency.
type flood struct {
	callers []caller
	rng     *rand.Rand
	now     timekeeper.Time
	nodes   []*floodNode
	// reports are the newest that have arrived, of each node.
	reports map[int]floodReport
	// queues hold the requests by urgency: within the share, and beyond it.
	queues [2][]floodRequest
	room   timekeeper.Duration
	// reportDelay delays reports. If lost is set, none arrives.
	reportDelay timekeeper.Duration
	lost        bool
	enabled     bool
	// restart is the time at which the first restarted nodes lose their state.
	restart   timekeeper.Duration
	restarted int
	// offered and served is the work by account during the flood.
	offered, served map[int]timekeeper.Duration
	// used is the time of servers that was used during the flood.
	used timekeeper.Duration
}

func newFlood(seed uint64, callers []caller) *flood {
	f := &flood{
		callers:     callers,
		rng:         rand.New(rand.NewPCG(seed, 3)),
		now:         1_000_000,
		reportDelay: relayDelay,
		enabled:     true,
		reports:     map[int]floodReport{},
		offered:     map[int]timekeeper.Duration{},
		served:      map[int]timekeeper.Duration{},
	}
	for range floodNodes {
		f.nodes = append(f.nodes, newFloodNode())
	}
	return f
}

// play plays to the end of the flood and returns the served part of each account's work.
func (f *flood) play() []float64 {
	arrivals := map[timekeeper.Duration][]func(){}
	for elapsed := timekeeper.Duration(0); elapsed < floodEnd+floodPatience; elapsed += floodStep {
		if elapsed == f.restart {
			for i := range f.restarted {
				f.nodes[i] = newFloodNode()
			}
		}
		for _, deliver := range arrivals[elapsed] {
			deliver()
		}
		if elapsed%divideTime == 0 && f.enabled {
			f.divide()
		}
		for i, n := range f.nodes {
			if (elapsed+timekeeper.Duration(i)*floodStep)%reportTime != 0 || f.lost {
				continue
			}
			r := n.report(f.now)
			at := elapsed + f.reportDelay
			arrivals[at] = append(arrivals[at], func() { f.reports[i] = r })
		}
		f.arrive(elapsed)
		f.serve(elapsed)
		f.now = f.now.Add(floodStep)
	}
	parts := make([]float64, len(f.callers))
	for i := range parts {
		parts[i] = float64(f.served[i]) / float64(max(f.offered[i], 1))
	}
	return parts
}

// divide lets each node divide the service by the reports of the others and its own work.
func (f *flood) divide() {
	sum := floodReport{loads: map[identifier.AccountHash]float64{}}
	for _, r := range f.reports {
		if f.now.Sub(r.at) <= maxAge {
			sum.add(r, 1)
		}
	}
	for i, n := range f.nodes {
		known := sum
		known.loads = maps.Clone(sum.loads)
		if r := f.reports[i]; f.now.Sub(r.at) <= maxAge {
			known.add(r, -1)
		}
		known.add(n.report(f.now), 1)
		n.update(known, f.callers)
	}
}

func (f *flood) arrive(elapsed timekeeper.Duration) {
	flooded := elapsed >= floodStart && elapsed < floodEnd
	for i, c := range f.callers {
		if elapsed < c.start || elapsed >= floodEnd {
			continue
		}
		rate := c.claim.Load * float64(floodStep) / float64(c.work)
		if flooded {
			rate *= c.factor
		}
		for count := f.rng.ExpFloat64(); count < rate; count += f.rng.ExpFloat64() {
			node := f.rng.IntN(len(f.nodes))
			if c.oneNode {
				node = 7
			}
			f.receive(i, node, flooded)
		}
	}
}

func (f *flood) receive(account, node int, flooded bool) {
	c, n := f.callers[account], f.nodes[node]
	n.meter.Add(f.now, c.claim.Account, c.work)
	n.running++
	if flooded {
		f.offered[account] += c.work
	}
	urgency := 0
	if f.rng.Float64() < n.sharer.Excess("reader", c.claim.Account) {
		urgency = 1
	}
	f.queues[urgency] = append(f.queues[urgency], floodRequest{
		at:      f.now,
		account: account,
		node:    node,
		work:    c.work,
	})
}

// serve takes requests in the order of their urgency while the servers have time.
func (f *flood) serve(elapsed timekeeper.Duration) {
	f.room += floodServers * floodStep
	for u, queue := range f.queues {
		for len(queue) > 0 && (f.room > 0 || f.now.Sub(queue[0].at) > floodPatience) {
			r := queue[0]
			queue = queue[1:]
			n := f.nodes[r.node]
			n.running = max(n.running-1, 0)
			if f.now.Sub(r.at) > floodPatience {
				continue
			}
			f.room -= r.work
			if elapsed >= floodStart && elapsed < floodEnd {
				f.used += r.work
			}
			n.served.Add(f.now, 0, r.work)
			if at := r.at.Sub(1_000_000); at >= floodStart && at < floodEnd {
				f.served[r.account] += r.work
			}
		}
		f.queues[u] = queue
	}
	f.room = min(f.room, 0)
}

// An account within its share must get at least minKept of what it gets without the flood.
const minKept = 0.95

func TestAccountsWithinTheirSharesAreServed(t *testing.T) {
	tests := []struct {
		name string
		// flooding are the accounts that offer factor times their usual load, or 7.5 times
		// if it is zero.
		flooding []int
		factor   float64
		change   func([]caller)
	}{
		{
			name:     "one large account",
			flooding: []int{0},
		},
		{
			name:     "one small account's flood is below the headroom",
			flooding: []int{9},
		},
		{
			name:     "three at once",
			flooding: []int{0, 1, 9},
		},
		{
			name:     "little more than its share",
			flooding: []int{0},
			factor:   2.6,
		},
		{
			name:     "long prompts only",
			flooding: []int{0},
			change:   func(c []caller) { c[0].work = 400 * timekeeper.Millisecond },
		},
		{
			name:     "an account that is within its share starts amid the flood",
			flooding: []int{0},
			change:   func(c []caller) { c[2].start = floodStart + 2*timekeeper.Second },
		},
		{
			name:     "all others start while it has the whole capacity",
			flooding: []int{0},
			factor:   12,
			change: func(c []caller) {
				for i := range c[1:] {
					c[i+1].start = floodStart + 2*timekeeper.Second
				}
			},
		},
		{
			name:     "all callers of the account use one node",
			flooding: []int{0},
			change:   func(c []caller) { c[0].oneNode = true },
		},
		{
			name:     "all callers of an account within its share use one node",
			flooding: []int{0},
			change:   func(c []caller) { c[3].oneNode = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			calm := usualCallers()
			if tt.change != nil {
				tt.change(calm)
			}
			flooded := slices.Clone(calm)
			for _, i := range tt.flooding {
				flooded[i].factor = cmp.Or(tt.factor, 7.5)
			}
			without, with := make([]float64, floodAccounts), make([]float64, floodAccounts)
			for seed := range uint64(*seeds) {
				f := newFlood(seed, flooded)
				addTo(with, f.play())
				addTo(without, newFlood(seed, calm).play())
				unfair := newFlood(seed, flooded)
				unfair.enabled = false
				unfair.play()
				require.GreaterOrEqual(t, float64(f.used), minKept*float64(unfair.used), "no capacity is left unused")
			}
			for i := range with {
				if slices.Contains(tt.flooding, i) {
					require.Greater(t, with[i]*flooded[i].factor, minKept*without[i], "the usual load of %d", i)
					continue
				}
				require.GreaterOrEqual(t, with[i], minKept*without[i], "account %d", i)
			}
		})
	}
}

// addTo adds the parts of one flood to those of others.
func addTo(sum, parts []float64) {
	for i, part := range parts {
		sum[i] += part
	}
}

// Without shares the flood of one account takes the others' capacity: the control.
func TestFloodTakesCapacityWithoutShares(t *testing.T) {
	callers := usualCallers()
	callers[0].factor = 7.5
	f := newFlood(1, callers)
	f.enabled = false
	require.Less(t, f.play()[9], 0.8)
}

// Guards against accounts of equal load that are served unequally.
func TestEqualAccountsAreServedAlike(t *testing.T) {
	callers := usualCallers()
	for i := range callers {
		callers[i].claim.Weight = 1
		callers[i].claim.Load = usualLoad / floodAccounts
		callers[i].factor = 2
	}
	mean := make([]float64, floodAccounts)
	all := 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		for i, part := range newFlood(seed, callers).play() {
			mean[i] += part / seeds
			all += part / seeds / floodAccounts
		}
	}
	require.InDelta(t, all, slices.Min(mean), 0.1)
	require.InDelta(t, all, slices.Max(mean), 0.1)
}

// Guards against accounts limited by shares that are not known.
func TestLostStateErrsTowardsServing(t *testing.T) {
	tests := []struct {
		name  string
		fault func(*flood)
	}{
		{
			name:  "reports are late",
			fault: func(f *flood) { f.reportDelay = 1500 * timekeeper.Millisecond },
		},
		{
			name:  "reports are too old",
			fault: func(f *flood) { f.reportDelay = 2100 * timekeeper.Millisecond },
		},
		{
			name:  "reports are lost",
			fault: func(f *flood) { f.lost = true },
		},
		{
			name: "a node restarts",
			fault: func(f *flood) {
				f.restart = floodStart + 2*timekeeper.Second
				f.restarted = 1
			},
		},
		{
			name: "all nodes restart",
			fault: func(f *flood) {
				f.restart = floodStart + 2*timekeeper.Second
				f.restarted = floodNodes
			},
		},
	}
	callers := usualCallers()
	callers[0].factor = 7.5
	without := newFlood(1, callers)
	without.enabled = false
	least := slices.Min(without.play()[1:])
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFlood(1, callers)
			tt.fault(f)
			require.GreaterOrEqual(t, slices.Min(f.play()[1:]), least)
			require.GreaterOrEqual(t, float64(f.used), minKept*float64(without.used))
		})
	}
}

// Guards against sharing by a node's own requests only.
func TestNodeWithoutReportsLimitsNothing(t *testing.T) {
	callers := usualCallers()
	callers[0].factor = 7.5
	f := newFlood(1, callers)
	f.lost = true
	f.play()
	for _, n := range f.nodes {
		require.False(t, n.sharer.Short("reader"))
	}
}
