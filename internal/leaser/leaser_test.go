package leaser

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	testTTL       = 10 * timekeeper.Second
	testRetention = 150 * timekeeper.Second
	pool          = Name("pool-a")
)

type drawFunc func(n int) int

func seeded(seed uint64) drawFunc { return rand.New(rand.NewPCG(seed, 1)).IntN }

// fakeLog is a log with one stream that keeps records for testRetention.
type fakeLog struct {
	now     timekeeper.Time
	records []messenger.Record
}

func (l *fakeLog) append(data []byte) {
	l.records = append(l.records, messenger.Record{
		Offset:   identifier.Offset(len(l.records) + 1),
		Appended: l.now,
		Data:     data,
	})
}

func (l *fakeLog) read(from identifier.Offset, limit int) messenger.LogRead {
	out := messenger.LogRead{
		Stream: Stream,
		First:  identifier.Offset(len(l.records) + 1),
		End:    true,
	}
	for _, r := range l.records {
		if l.now.Sub(r.Appended) >= testRetention {
			continue
		}
		out.First = min(out.First, r.Offset)
		if r.Offset < from {
			continue
		}
		if len(out.Records) == limit {
			out.End = false
			break
		}
		out.Records = append(out.Records, r)
	}
	return out
}

// process is one start of the program on a VM, with its own clock.
type process struct {
	id     identifier.VMID
	start  identifier.Incarnation
	offset timekeeper.Time
	// ratePercent is the rate of the clock, in percent of true time.
	ratePercent timekeeper.Time
	table       *Table
	nextOffset  identifier.Offset
	// orderDeadlines holds the latest true time at which an order may be sent, by
	// fence.
	orderDeadlines map[identifier.Fence]timekeeper.Time
}

func (p *process) clock(now timekeeper.Time) timekeeper.Time { return p.offset + now*p.ratePercent/100 }

func (p *process) trueTime(local timekeeper.Time) timekeeper.Time {
	return (local - p.offset) * 100 / p.ratePercent
}

type simulation struct {
	draw      drawFunc
	off       safeguards
	log       fakeLog
	processes []*process
	inFlight  [][]byte
	starts    identifier.Incarnation
	holding   map[*process]bool
	history   []porcupine.Operation
	tenures   int
	violation string
}

func newSimulation(draw drawFunc, off safeguards) *simulation {
	s := &simulation{
		draw:    draw,
		off:     off,
		log:     fakeLog{now: 1000},
		holding: make(map[*process]bool),
	}
	for i := range 3 {
		s.processes = append(s.processes, s.start(identifier.VMID(fmt.Sprintf("vm-%d", i))))
	}
	return s
}

func (s *simulation) start(id identifier.VMID) *process {
	s.starts++
	p := &process{
		id:             id,
		start:          s.starts,
		offset:         timekeeper.Time(s.draw(20_000)),
		ratePercent:    timekeeper.Time(97 + s.draw(7)),
		orderDeadlines: make(map[identifier.Fence]timekeeper.Time),
	}
	p.table = New(Config{
		Self:        id,
		Incarnation: p.start,
		TTL:         testTTL,
		Retention:   testRetention,
	})
	p.table.off = s.off
	p.table.Want(p.clock(s.log.now), pool)
	return p
}

func (s *simulation) run(steps int) string {
	for range steps {
		s.step(s.draw(len(s.processes)))
		s.recordBeliefs()
		if s.violation != "" {
			return s.violation
		}
	}
	if !porcupine.CheckOperations(lock, s.history) {
		return "two processes held the lease at one instant"
	}
	return ""
}

func (s *simulation) step(i int) {
	p := s.processes[i]
	now := p.clock(s.log.now)
	switch s.draw(16) {
	case 0, 1, 2:
		s.read(p, 1+s.draw(3))
	case 3, 4, 5:
		s.read(p, math.MaxInt)
	case 6, 7, 8:
		for _, a := range p.table.Tick(now, rand.New(rand.NewPCG(uint64(s.draw(100)), 1))) {
			s.inFlight = append(s.inFlight, a.Data)
		}
	case 9, 10, 11, 12:
		s.deliver()
	case 13:
		s.log.now = s.log.now.Add([]timekeeper.Duration{10, 300, 1000, 2500, 4000, 13_000, 45_000}[s.draw(7)])
	case 14:
		if s.draw(4) == 0 {
			p.table.Release(pool)
		} else {
			p.table.Want(now, pool)
		}
	case 15:
		if s.draw(8) == 0 {
			s.processes[i] = s.start(p.id)
			s.recordBelief(p, false)
		}
	}
}

func (s *simulation) read(p *process, limit int) {
	read := s.log.read(p.nextOffset, limit)
	p.table.ApplyRecords(p.clock(s.log.now), read)
	if len(read.Records) > 0 {
		p.nextOffset = read.Records[len(read.Records)-1].Offset + 1
	}
}

// deliver applies an append in flight, in any order, twice or never.
func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	i := s.draw(len(s.inFlight))
	data := s.inFlight[i]
	outcome := s.draw(8)
	if outcome != 0 {
		s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	}
	if outcome != 1 {
		s.log.append(data)
	}
}

// recordBeliefs records which processes believe to hold the lease, first those that no
// longer do.
func (s *simulation) recordBeliefs() {
	for _, belief := range []bool{false, true} {
		for _, p := range s.processes {
			fence, notAfter, ok := p.table.Held(pool, p.clock(s.log.now))
			if ok == belief {
				s.recordBelief(p, ok)
			}
			if ok && belief {
				p.orderDeadlines[fence] = max(p.orderDeadlines[fence], p.trueTime(notAfter))
				s.checkSafeAfter(p, fence)
			}
		}
	}
}

// checkSafeAfter reports a violation if an order of an earlier tenure may be sent after
// the holder's SafeAfter.
func (s *simulation) checkSafeAfter(holder *process, fence identifier.Fence) {
	if holder.clock(s.log.now).Before(holder.table.SafeAfter(pool)) {
		return
	}
	for _, p := range s.processes {
		for f, until := range p.orderDeadlines {
			if p != holder && f < fence && s.log.now.Before(until) {
				s.violation = fmt.Sprintf("%s stops waiting before the last order under fence %d may be sent", holder.id, f)
			}
		}
	}
}

func (s *simulation) recordBelief(p *process, holds bool) {
	if s.holding[p] == holds {
		return
	}
	s.holding[p] = holds
	if holds {
		s.tenures++
	}
	moment := int64(2 * len(s.history))
	s.history = append(s.history, porcupine.Operation{
		ClientId: int(p.start),
		Input:    holds,
		Call:     moment,
		Output:   p.start,
		Return:   moment + 1,
	})
}

// lock is the model of a lease: one holder at a time.
var lock = porcupine.Model{
	Init: func() any { return identifier.Incarnation(0) },
	Step: func(state, input, output any) (bool, any) {
		if input.(bool) {
			return state == identifier.Incarnation(0), output
		}
		return state == output, identifier.Incarnation(0)
	},
}

// Guards against two processes that hold the lease at the same time, although clock rates differ,
// appends are late, repeated or lost, and processes pause past their terms and the log's retention.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		require.Empty(t, newSimulation(draw, safeguards{}).run(300))
	})
}

func TestManySeedsOneHolder(t *testing.T) {
	tenures := 0
	for seed := range uint64(1500) {
		s := newSimulation(seeded(seed), safeguards{})
		require.Empty(t, s.run(500), "seed %d", seed)
		tenures += s.tenures
	}
	require.Greater(t, tenures, 1500, "the simulation hardly ever grants the lease")
}

// Without any one of the safeguards, the same check finds a violation.
func TestSafeguardsOfLeases(t *testing.T) {
	for name, off := range map[string]safeguards{
		"count the own term from the read-back": {countFromRead: true},
		"grant without naming the last record":  {ignoreFollows: true},
		"hold without a look at the clock":      {ignoreClock: true},
		"count others' terms without margin":    {noMargin: true},
		"believe in what follows the unread":    {trustHidden: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20000) {
				if fault := newSimulation(seeded(seed), off).run(500); fault != "" {
					t.Logf("seed %d: %s", seed, fault)
					return
				}
			}
			require.Fail(t, "the check did not object")
		})
	}
}

// After any history, once the network works again, some process holds the lease within
// a few terms.
func TestLeaseIsReacquired(t *testing.T) {
	for seed := range uint64(300) {
		s := newSimulation(seeded(seed), safeguards{})
		require.Empty(t, s.run(300), "seed %d", seed)
		for range 120 {
			s.log.now = s.log.now.Add(timekeeper.Second)
			for _, p := range s.processes {
				p.table.Want(p.clock(s.log.now), pool)
				s.read(p, math.MaxInt)
				for _, a := range p.table.Tick(p.clock(s.log.now), rand.New(rand.NewPCG(seed, 2))) {
					s.log.append(a.Data)
				}
			}
			s.recordBeliefs()
		}
		holders := 0
		for _, p := range s.processes {
			if _, _, ok := p.table.Held(pool, p.clock(s.log.now)); ok {
				holders++
			}
		}
		require.Equal(t, 1, holders, "seed %d", seed)
	}
}

// If another process starts on the holder's VM, as after a restart of all nodes, no
// node waits for the end of the old term. If the VM is only unresponsive, all nodes do.
func TestHolderRestarted(t *testing.T) {
	tests := []struct {
		name    string
		started map[identifier.VMID]identifier.Incarnation
		taken   bool
	}{
		{
			name: "silent",
		},
		{
			name: "the same process reports again",
			started: map[identifier.VMID]identifier.Incarnation{
				"entry-1": 5,
			},
		},
		{
			name: "a new process on its VM",
			started: map[identifier.VMID]identifier.Incarnation{
				"entry-1": 6,
			},
			taken: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := &fakeLog{now: 1_000_000}
			rng := rand.New(rand.NewPCG(1, 1))
			hold := func(vm identifier.VMID, i identifier.Incarnation, span timekeeper.Duration) *Table {
				table := New(Config{
					Self:        vm,
					Incarnation: i,
					TTL:         testTTL,
					Retention:   testRetention,
				})
				for id, started := range test.started {
					if vm != "entry-1" {
						table.ProcessStarted(id, started)
					}
				}
				for end := log.now.Add(span); log.now.Before(end); log.now = log.now.Add(100) {
					table.ApplyRecords(log.now, log.read(0, math.MaxInt))
					table.Want(log.now, pool)
					for _, a := range table.Tick(log.now, rng) {
						log.append(a.Data)
					}
				}
				return table
			}
			first := hold("entry-1", 5, 8*timekeeper.Second)
			_, _, held := first.Held(pool, log.now)
			require.True(t, held)
			second := hold("entry-2", 9, 4*timekeeper.Second)
			_, _, held = second.Held(pool, log.now)
			require.Equal(t, test.taken, held)
		})
	}
}

// Guards against renewals without end by a process that no longer reads the log.
func TestForgoneLeaseIsNotRenewed(t *testing.T) {
	log := &fakeLog{now: 1_000_000}
	rng := rand.New(rand.NewPCG(1, 1))
	table := New(Config{
		Self:        "entry-1",
		Incarnation: 1,
		TTL:         testTTL,
		Retention:   testRetention,
	})
	appends := func(span timekeeper.Duration) int {
		before := len(log.records)
		for end := log.now.Add(span); log.now.Before(end); log.now = log.now.Add(100) {
			for _, a := range table.Tick(log.now, rng) {
				log.append(a.Data)
			}
		}
		return len(log.records) - before
	}
	table.Want(log.now, pool)
	table.ApplyRecords(log.now, log.read(0, math.MaxInt))
	require.Positive(t, appends(testTTL))
	table.ApplyRecords(log.now, log.read(0, math.MaxInt))
	require.Positive(t, appends(testTTL))

	_, _, held := table.Held(pool, log.now)
	require.False(t, held)
	table.Forgo(log.now, pool)
	require.Zero(t, appends(testTTL))
}
