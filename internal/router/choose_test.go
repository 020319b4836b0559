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

// engine returns an idle on-demand engine in this node's zone with a current report,
// modified by edit.
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

func lookupJob() Job {
	return Job{
		PromptTokens: 800,
		MaxTokens:    50,
		Priority:     catalog.Interactive,
		Deadline:     testNow.Add(10 * timekeeper.Second),
	}
}

func reportJob() Job {
	return Job{
		PromptTokens: 8000,
		MaxTokens:    4000,
		Priority:     catalog.Batch,
		Deadline:     testNow.Add(timekeeper.Hour),
	}
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// Each rule must make the better server win; with the rule off, the worse one wins.
func TestEachRuleDecides(t *testing.T) {
	loaded := func(c *Candidate) { c.OwnInFlight = 7 }
	cases := []struct {
		name string
		job  Job
		off  func(*Rules)
		// better wins with all rules on, and worse without the rule under test.
		worse  Candidate
		better Candidate
	}{
		{
			name:   "own requests",
			job:    lookupJob(),
			off:    func(r *Rules) { r.OwnInFlight = false },
			worse:  engine("a", func(c *Candidate) { c.OwnInFlight = 12 }),
			better: engine("b", func(c *Candidate) { c.OwnInFlight = 1 }),
		},
		{
			name:   "prefix",
			job:    lookupJob(),
			off:    func(r *Rules) { r.Prefix = false },
			worse:  engine("a", nil),
			better: engine("b", func(c *Candidate) { c.PrefixHit, c.SameZone = 768, false }),
		},
		{
			name:   "batch slowdown",
			job:    reportJob(),
			off:    func(r *Rules) { r.Slowdown = false },
			worse:  engine("a", loaded),
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
			better: engine("b", loaded),
		},
		{
			name:   "suspicion",
			job:    lookupJob(),
			off:    func(r *Rules) { r.Suspicion = false },
			worse:  engine("a", func(c *Candidate) { c.Suspect = true }),
			better: engine("b", loaded),
		},
		{
			name:   "completion",
			job:    reportJob(),
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
			name:   "reclaim risk",
			job:    reportJob(),
			off:    func(r *Rules) { r.ReclaimRisk = false },
			worse:  engine("a", func(c *Candidate) { c.Market = catalog.Reclaimable }),
			better: engine("b", nil),
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			rules := AllRules()
			rules.Spread = false
			candidates := []Candidate{tc.worse, tc.better}
			chosen, ok := Choose(testNow, tc.job, candidates, rules, seeded(1))
			require.True(t, ok)
			require.Equal(t, tc.better.Server, chosen.Server, chosen.Explanation)
			tc.off(&rules)
			chosen, ok = Choose(testNow, tc.job, candidates, rules, seeded(1))
			require.True(t, ok)
			require.Equal(t, tc.worse.Server, chosen.Server, chosen.Explanation)
		})
	}
}

func TestDoubtfulServersAreTheLastResort(t *testing.T) {
	leaving := engine("a", func(c *Candidate) { c.Leaving = true })
	suspect := engine("b", func(c *Candidate) { c.Suspect = true })
	_, ok := Choose(testNow, lookupJob(), []Candidate{leaving}, Rules{}, seeded(1))
	require.False(t, ok, "a leaving server is never chosen")
	chosen, ok := Choose(testNow, lookupJob(), []Candidate{leaving, suspect}, AllRules(), seeded(1))
	require.True(t, ok)
	require.Equal(t, identifier.VMID("b"), chosen.Server)
	require.Contains(t, chosen.Explanation, "only=doubtful")
}

// Nodes with the same view of equal servers must not all choose the same one.
func TestEqualCandidatesAreChosenAtRandom(t *testing.T) {
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = engine(identifier.VMID(fmt.Sprint(i)), nil)
	}
	// maxChoices returns how often the most chosen server is chosen in a hundred
	// rounds.
	maxChoices := func(r Rules) int {
		count := make(map[identifier.VMID]int)
		for seed := range uint64(8 * 100) {
			chosen, _ := Choose(testNow, lookupJob(), candidates, r, seeded(seed))
			count[chosen.Server]++
		}
		return slices.Max(slices.Collect(maps.Values(count)))
	}
	rules := AllRules()
	require.Less(t, maxChoices(rules), 8*100/7, "expect about a tenth each")
	rules.Spread = false
	require.Equal(t, 8*100, maxChoices(rules), "without the rule all choose the same server")
}

// A server's report may be false or stale and is the same for all nodes. It must not
// affect the choice, or all nodes would choose the same server.
func TestServerReportsDoNotAffectChoice(t *testing.T) {
	underreporting := engine("a", func(c *Candidate) { c.OwnInFlight = 2 })
	idler := engine("b", func(c *Candidate) { c.OwnInFlight, c.Load.Running, c.Load.Waiting = 1, 8, 20 })
	for seed := range uint64(20) {
		chosen, _ := Choose(testNow, lookupJob(), []Candidate{underreporting, idler}, AllRules(), seeded(seed))
		require.Equal(t, identifier.VMID("b"), chosen.Server)
	}
}

// The server that has the prefix cached must win whichever server the comparison starts
// with, unless it is busier than another.
func TestPrefixHolderIsChosen(t *testing.T) {
	candidates := make([]Candidate, 10)
	for i := range candidates {
		candidates[i] = engine(identifier.VMID(fmt.Sprint(i)), nil)
	}
	job := reportJob()
	job.MaxTokens = 100
	candidates[7].PrefixHit = 7900
	for seed := range uint64(50) {
		chosen, _ := Choose(testNow, job, candidates, AllRules(), seeded(seed))
		require.Equal(t, identifier.VMID("7"), chosen.Server)
	}
	candidates[7].OwnInFlight = 1
	chosen, _ := Choose(testNow, job, candidates, AllRules(), seeded(1))
	require.NotEqual(t, identifier.VMID("7"), chosen.Server)
}

func TestChooseProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "candidates")
		candidates := make([]Candidate, n)
		trusted := false
		for i := range candidates {
			candidates[i] = engine(identifier.VMID(fmt.Sprint(i)), func(c *Candidate) {
				c.Leaving = rapid.Bool().Draw(t, "leaving")
				c.Suspect = rapid.Bool().Draw(t, "suspect")
				c.Slots = rapid.IntRange(0, 16).Draw(t, "slots")
				c.Load.Running = rapid.IntRange(0, 100).Draw(t, "running")
				c.Load.AsOf = testNow.Add(timekeeper.Duration(rapid.IntRange(-100_000, 1000).Draw(t, "age")))
				c.OwnInFlight = rapid.IntRange(0, 100).Draw(t, "own")
				c.TokensPerSecond = float64(rapid.IntRange(0, 50).Draw(t, "pace"))
			})
			trusted = trusted || !candidates[i].Leaving && !candidates[i].Suspect
		}
		seed := rapid.Uint64().Draw(t, "seed")
		first, ok := Choose(testNow, lookupJob(), candidates, AllRules(), seeded(seed))
		again, _ := Choose(testNow, lookupJob(), candidates, AllRules(), seeded(seed))
		require.Equal(t, first, again, "the choice must be deterministic")
		for _, c := range candidates {
			if ok && c.Server == first.Server {
				require.False(t, c.Leaving)
				require.False(t, trusted && c.Suspect)
				require.GreaterOrEqual(t, first.Predicted.Completion, first.Predicted.FirstToken)
			}
		}
		require.True(t, ok || !trusted)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 14, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = engine(identifier.VMID(fmt.Sprintf("server-%d", i)), func(c *Candidate) {
					c.OwnInFlight = i % 9
					c.Load.AsOf = testNow.Add(-timekeeper.Duration(i % 1000))
					c.PrefixHit = identifier.Tokens(i % 5 * 64)
				})
			}
			rng := seeded(1)
			b.ReportAllocs()
			for b.Loop() {
				Choose(testNow, lookupJob(), candidates, AllRules(), rng)
			}
		})
	}
}
