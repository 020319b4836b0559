package router

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testNow = timekeeper.Time(1_000_000)

// engine returns an idle on-demand engine in this node's zone with a report
// of this instant, changed by edit.
func engine(id identifier.VMID, edit func(*Candidate)) Candidate {
	c := Candidate{
		Server:           id,
		Zone:             "boston-a",
		Market:           catalog.OnDemand,
		Load:             messenger.ServerLoad{AsOf: testNow},
		Slots:            8,
		TokensPerSecond:  50,
		PrefillPerSecond: 4000,
		SameZone:         true,
	}
	if edit != nil {
		edit(&c)
	}
	return c
}

func lookup() Job {
	return Job{
		PromptTokens: 800,
		MaxTokens:    50,
		Priority:     catalog.Interactive,
		Deadline:     testNow.Add(10 * timekeeper.Second),
	}
}

func report() Job {
	return Job{
		PromptTokens: 8000,
		MaxTokens:    4000,
		Priority:     catalog.Batch,
		Deadline:     testNow.Add(timekeeper.Hour),
	}
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// Each rule makes the better server win, and with the rule off the other one
// does: the table is the negative control of every rule.
func TestEachRuleDecides(t *testing.T) {
	strict := func(c *Candidate) { c.OwnInFlight = 7 }
	cases := []struct {
		name string
		job  Job
		off  func(*Rules)
		// better wins with all rules, worse without the one.
		worse  Candidate
		better Candidate
	}{
		{
			name:   "own requests",
			job:    lookup(),
			off:    func(r *Rules) { r.OwnInFlight = false },
			worse:  engine("a", func(c *Candidate) { c.OwnInFlight = 12 }),
			better: engine("b", func(c *Candidate) { c.OwnInFlight = 1 }),
		},
		{
			name:   "prefix",
			job:    lookup(),
			off:    func(r *Rules) { r.Prefix = false },
			worse:  engine("a", nil),
			better: engine("b", func(c *Candidate) { c.PrefixHit, c.SameZone = 768, false }),
		},
		{
			name:   "slow-down of the batch",
			job:    report(),
			off:    func(r *Rules) { r.Slowdown = false },
			worse:  engine("a", strict),
			better: engine("b", func(c *Candidate) { c.SameZone = false }),
		},
		{
			name:   "avoided zone",
			job:    Job{AvoidZones: map[identifier.Zone]bool{"boston-a": true}},
			off:    func(r *Rules) { r.Avoid = false },
			worse:  engine("a", nil),
			better: engine("b", func(c *Candidate) { c.Zone, c.SameZone = "boston-b", false }),
		},
		{
			name:   "avoided server",
			job:    Job{AvoidServers: map[identifier.VMID]bool{"a": true}},
			off:    func(r *Rules) { r.Avoid = false },
			worse:  engine("a", nil),
			better: engine("b", strict),
		},
		{
			name:   "suspicion",
			job:    lookup(),
			off:    func(r *Rules) { r.Suspicion = false },
			worse:  engine("a", func(c *Candidate) { c.Suspect = true }),
			better: engine("b", strict),
		},
		{
			name:   "completion",
			job:    report(),
			off:    func(r *Rules) { r.Completion = false },
			worse:  engine("a", func(c *Candidate) { c.PrefixHit, c.TokensPerSecond = 1000, 40 }),
			better: engine("b", nil),
		},
		{
			name: "target",
			job: Job{
				PromptTokens: 800,
				MaxTokens:    1000,
				Target:       catalog.Target{FirstToken: 300},
			},
			off:    func(r *Rules) { r.Target = false },
			worse:  engine("a", func(c *Candidate) { c.OwnPrefill, c.TokensPerSecond = 1600, 53 }),
			better: engine("b", nil),
		},
		{
			name: "deadline",
			job: Job{
				PromptTokens: 800,
				MaxTokens:    100,
				Priority:     catalog.Interactive,
				Deadline:     testNow.Add(2400 * timekeeper.Millisecond),
			},
			off:    func(r *Rules) { r.Target = false },
			worse:  engine("a", func(c *Candidate) { c.PrefixHit, c.TokensPerSecond = 800, 40 }),
			better: engine("b", nil),
		},
		{
			name:   "zone hop",
			job:    Job{},
			off:    func(r *Rules) { r.ZoneHop = false },
			worse:  engine("a", func(c *Candidate) { c.SameZone, c.TokensPerSecond = false, 0 }),
			better: engine("b", func(c *Candidate) { c.TokensPerSecond = 0 }),
		},
		{
			name:   "risk of a reclaim",
			job:    report(),
			off:    func(r *Rules) { r.ReclaimRisk = false },
			worse:  engine("a", func(c *Candidate) { c.Market = catalog.Reclaimable }),
			better: engine("b", nil),
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rules := AllRules()
			rules.Spread = false
			cs := []Candidate{tc.worse, tc.better}
			chosen, ok := Choose(testNow, tc.job, cs, rules, seeded(1))
			require.True(t, ok)
			require.Equal(t, tc.better.Server, chosen.Server, chosen.Explanation)
			tc.off(&rules)
			chosen, ok = Choose(testNow, tc.job, cs, rules, seeded(1))
			require.True(t, ok)
			require.Equal(t, tc.worse.Server, chosen.Server, chosen.Explanation)
		})
	}
}

func TestDoubtfulServersAreTheLastResort(t *testing.T) {
	leaving := engine("a", func(c *Candidate) { c.Leaving = true })
	suspect := engine("b", func(c *Candidate) { c.Suspect = true })
	_, ok := Choose(testNow, lookup(), []Candidate{leaving}, Rules{}, seeded(1))
	require.False(t, ok, "a leaving server gets no work, whatever the rules")
	chosen, ok := Choose(testNow, lookup(), []Candidate{leaving, suspect}, AllRules(), seeded(1))
	require.True(t, ok)
	require.Equal(t, identifier.VMID("b"), chosen.Server)
	require.Contains(t, chosen.Explanation, "only=doubtful")
}

// Callers see first tokens come late in bursts. Each of eight nodes finds ten
// servers alike, and all send their next request to the one that sorts first.
func TestNodesWithOnePictureDoNotHerd(t *testing.T) {
	cs := make([]Candidate, 10)
	for i := range cs {
		cs[i] = engine(identifier.VMID(fmt.Sprint(i)), nil)
	}
	// most counts the choices of the most chosen server in a hundred rounds.
	most := func(r Rules) int {
		count := make(map[identifier.VMID]int)
		for seed := range uint64(8 * 100) {
			chosen, _ := Choose(testNow, lookup(), cs, r, seeded(seed))
			count[chosen.Server]++
		}
		return slices.Max(slices.Collect(maps.Values(count)))
	}
	rules := AllRules()
	require.Less(t, most(rules), 8*100/7, "a tenth each")
	rules.Spread = false
	require.Equal(t, 8*100, most(rules), "without the rule all eight choose the same each time")
}

// Callers see first tokens come late. A server that lies, or whose report is
// old, looks idle to all nodes and draws the requests of all: so what servers
// report moves no choice, and this node's own requests do.
func TestReportsMoveNoChoice(t *testing.T) {
	liar := engine("a", func(c *Candidate) { c.OwnInFlight = 2 })
	honest := engine("b", func(c *Candidate) { c.OwnInFlight, c.Load.Running, c.Load.Waiting = 1, 8, 20 })
	for seed := range uint64(20) {
		chosen, _ := Choose(testNow, lookup(), []Candidate{liar, honest}, AllRules(), seeded(seed))
		require.Equal(t, identifier.VMID("b"), chosen.Server)
	}
}

// The server that holds the prompt's prefix is chosen whichever server the
// comparison begins with, and loses when it is busier than another.
func TestPrefixHolderIsChosen(t *testing.T) {
	cs := make([]Candidate, 10)
	for i := range cs {
		cs[i] = engine(identifier.VMID(fmt.Sprint(i)), nil)
	}
	job := report()
	job.MaxTokens = 100
	cs[7].PrefixHit = 7900
	for seed := range uint64(50) {
		chosen, _ := Choose(testNow, job, cs, AllRules(), seeded(seed))
		require.Equal(t, identifier.VMID("7"), chosen.Server)
	}
	cs[7].OwnInFlight = 1
	chosen, _ := Choose(testNow, job, cs, AllRules(), seeded(1))
	require.NotEqual(t, identifier.VMID("7"), chosen.Server)
}

func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "candidates")
		cs := make([]Candidate, n)
		clean := false
		for i := range cs {
			cs[i] = engine(identifier.VMID(fmt.Sprint(i)), func(c *Candidate) {
				c.Leaving = rapid.Bool().Draw(t, "leaving")
				c.Suspect = rapid.Bool().Draw(t, "suspect")
				c.Slots = rapid.IntRange(0, 16).Draw(t, "slots")
				c.Load.Running = rapid.IntRange(0, 100).Draw(t, "running")
				c.Load.AsOf = testNow.Add(timekeeper.Duration(rapid.IntRange(-100_000, 1000).Draw(t, "age")))
				c.OwnInFlight = rapid.IntRange(0, 100).Draw(t, "own")
				c.TokensPerSecond = float64(rapid.IntRange(0, 50).Draw(t, "pace"))
			})
			clean = clean || !cs[i].Leaving && !cs[i].Suspect
		}
		seed := rapid.Uint64().Draw(t, "seed")
		first, ok := Choose(testNow, lookup(), cs, AllRules(), seeded(seed))
		again, _ := Choose(testNow, lookup(), cs, AllRules(), seeded(seed))
		require.Equal(t, first, again, "the choice follows from its arguments")
		for _, c := range cs {
			if ok && c.Server == first.Server {
				require.False(t, c.Leaving)
				require.False(t, clean && c.Suspect)
				require.GreaterOrEqual(t, first.Predicted.Completion, first.Predicted.FirstToken)
			}
		}
		require.True(t, ok || !clean)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 14, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cs := make([]Candidate, n)
			for i := range cs {
				cs[i] = engine(identifier.VMID(fmt.Sprintf("server-%d", i)), func(c *Candidate) {
					c.OwnInFlight = i % 9
					c.Load.AsOf = testNow.Add(-timekeeper.Duration(i % 1000))
					c.PrefixHit = identifier.Tokens(i % 5 * 64)
				})
			}
			rng := seeded(1)
			b.ReportAllocs()
			for b.Loop() {
				Choose(testNow, lookup(), cs, AllRules(), rng)
			}
		})
	}
}
