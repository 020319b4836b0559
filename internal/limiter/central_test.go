package limiter_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const startTime timekeeper.Time = 1_000_000

const (
	defaultNodes = 9
	// The limit may be exceeded by a tenth and 140,000 tokens in each window of 8 s.
	judgedWindow    = 8 * timekeeper.Second
	toleratedPart   = 1.1
	toleratedTokens = 140_000
)

var heavyAccount = catalog.Account{
	ID:              "agency",
	TokensPerSecond: 150_000,
	TokenBurst:      150_000,
}

// grantSimulation simulates nodes that grant one account as much as they may.
type grantSimulation struct {
	now     timekeeper.Time
	account catalog.Account
	// request is the number of tokens of each request.
	request       identifier.Tokens
	central       *limiter.Buckets
	local         []*limiter.Buckets
	grantedByTick []float64
	// window is that of the central node's buckets.
	window timekeeper.Duration
	// allReachable makes the central node treat partitioned nodes as reachable.
	allReachable bool
}

const tickTime = 50 * timekeeper.Millisecond

// limitWindows are the windows of central buckets with which limits are tested.
var limitWindows = []timekeeper.Duration{0, judgedWindow}

func newGrantSimulation(window timekeeper.Duration) *grantSimulation {
	return grantSimulationOf(defaultNodes, heavyAccount, 6000, window)
}

func grantSimulationOf(nodes int, account catalog.Account, request identifier.Tokens, window timekeeper.Duration) *grantSimulation {
	g := &grantSimulation{
		now:     startTime,
		account: account,
		request: request,
		window:  window,
	}
	g.takeOver()
	for range nodes {
		g.local = append(g.local, limiter.NewLocal())
	}
	return g
}

// takeOver replaces the central node by one that does not know what was granted.
func (g *grantSimulation) takeOver() {
	g.central = limiter.NewCentral(limiter.CentralConfig{Window: g.window})
}

// restartAll replaces the local buckets of all nodes by new ones.
func (g *grantSimulation) restartAll() {
	for i := range g.local {
		g.local[i] = limiter.NewLocal()
	}
}

// run simulates the time span, while every node receives far more requests than it may
// grant. The first nodes, as many as partitioned states, can't reach the central node,
// nor it them. Without hasCentral no node grants centrally.
func (g *grantSimulation) run(span timekeeper.Duration, partitioned int, hasCentral bool) {
	nodes := len(g.local)
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(tickTime) {
		sum := 0.0
		reachable := nodes - partitioned
		if g.allReachable {
			reachable = nodes
		}
		g.central.SetReachable(reachable, nodes)
		for i, local := range g.local {
			standalone := i < partitioned || !hasCentral
			local.SetNodes(nodes, standalone)
			for range 4 {
				_, ok := local.Take(g.now, g.account, g.request)
				if !ok && !standalone {
					_, ok = g.central.Take(g.now, g.account, g.request)
				}
				if ok {
					sum += float64(g.request)
				}
			}
		}
		g.grantedByTick = append(g.grantedByTick, sum)
	}
}

// maxGranted returns the largest number of tokens granted in any judged window.
func (g *grantSimulation) maxGranted() float64 {
	ticks := int(judgedWindow / tickTime)
	maxGranted := 0.0
	for from := range g.grantedByTick {
		sum := 0.0
		for _, n := range g.grantedByTick[from:min(from+ticks, len(g.grantedByTick))] {
			sum += n
		}
		maxGranted = max(maxGranted, sum)
	}
	return maxGranted
}

func (g *grantSimulation) tolerated() float64 {
	limit := g.account.TokensPerSecond*judgedWindow.Seconds() + g.account.TokenBurst
	return limit*toleratedPart + toleratedTokens
}

// Guards against nodes that together grant more than is tolerated, or less than about the limit,
// after partitions, a takeover of the lease, or a restart of all nodes.
func TestSumOfGrants(t *testing.T) {
	tests := []struct {
		name string
		run  func(*grantSimulation)
	}{
		{
			name: "no failure",
			run:  func(g *grantSimulation) { g.run(30*timekeeper.Second, 0, true) },
		},
		{
			name: "a third partitioned temporarily",
			run: func(g *grantSimulation) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(10*timekeeper.Second, 3, true)
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "all but one partitioned",
			run: func(g *grantSimulation) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(10*timekeeper.Second, defaultNodes-1, true)
			},
		},
		{
			name: "another node takes over",
			run: func(g *grantSimulation) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(3*timekeeper.Second, 0, false)
				g.takeOver()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "taken over without a gap",
			run: func(g *grantSimulation) {
				g.run(10*timekeeper.Second, 0, true)
				g.takeOver()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "all killed at once",
			run: func(g *grantSimulation) {
				g.run(10*timekeeper.Second, 0, true)
				g.restartAll()
				g.run(4*timekeeper.Second, 0, false)
				g.takeOver()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
	}
	for _, test := range tests {
		for _, window := range limitWindows {
			t.Run(fmt.Sprintf("%s, window %s", test.name, window), func(t *testing.T) {
				g := newGrantSimulation(window)
				test.run(g)
				require.LessOrEqual(t, g.maxGranted(), g.tolerated())
				require.GreaterOrEqual(t, g.maxGranted(), heavyAccount.TokensPerSecond*judgedWindow.Seconds())
			})
		}
	}
}

// Guards against debts that, after all nodes were killed at once, sum over the nodes until one of
// them holds the lease.
func TestSumOfGrantsOfManyNodes(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 680_000,
		TokenBurst:      680_000,
	}
	for _, nodes := range []int{9, 61, 400} {
		for _, request := range []identifier.Tokens{2_000, 17_000, 60_000} {
			for _, down := range []timekeeper.Duration{1 * timekeeper.Second, 4 * timekeeper.Second} {
				for _, window := range limitWindows {
					t.Run(fmt.Sprintf("%d nodes, %d tokens, %s, window %s", nodes, request, down, window), func(t *testing.T) {
						g := grantSimulationOf(nodes, account, request, window)
						g.run(10*timekeeper.Second, 0, true)
						g.restartAll()
						g.run(down, 0, false)
						if nodes > defaultNodes {
							g.restartAll()
							g.run(down, 0, false)
						}
						g.takeOver()
						g.run(10*timekeeper.Second, 0, true)
						require.LessOrEqual(t, g.maxGranted(), g.tolerated())
					})
				}
			}
		}
	}
}

// If the central node does not deduct the parts of unreachable nodes, the sum exceeds
// what is tolerated. So TestSumOfGrants detects a missing deduction.
func TestSumOfGrantsWithoutDeduction(t *testing.T) {
	g := newGrantSimulation(0)
	g.allReachable = true
	g.run(10*timekeeper.Second, 0, true)
	g.run(10*timekeeper.Second, 5, true)
	require.Greater(t, g.maxGranted(), g.tolerated())
}

// An account within its limit sends requests that are larger than one node's equal
// share of a second. None may be refused.
func TestAccountWithinItsLimit(t *testing.T) {
	small := catalog.Account{
		ID:              "ferry",
		TokensPerSecond: 36_000,
		TokenBurst:      36_000,
	}
	central := limiter.NewCentral(limiter.CentralConfig{})
	local := limiter.NewLocal()
	local.SetNodes(defaultNodes, false)
	now := startTime
	for range 40 {
		_, ok := local.Take(now, small, 12_000)
		if !ok {
			_, ok = central.Take(now, small, 12_000)
		}
		require.True(t, ok)
		now = now.Add(500) // two thirds of the limit
	}
}

// A refusal states a retry time at which the request is granted, and accounts that the
// catalog does not contain are dropped.
func TestRefusalAndForget(t *testing.T) {
	local := limiter.NewLocal()
	local.SetNodes(1, true)
	_, ok := local.Take(startTime, heavyAccount, 400_000)
	require.True(t, ok, "a bucket that is not empty goes into debt")
	after, ok := local.Take(startTime, heavyAccount, 6_000)
	require.False(t, ok)
	require.Positive(t, after)
	_, ok = local.Take(startTime.Add(after), heavyAccount, 6_000)
	require.True(t, ok)
	local.Forget(&catalog.Catalog{})
	_, ok = local.Take(startTime.Add(after), heavyAccount, 6_000)
	require.True(t, ok)
}

// Guards against refusals of an account's few lookups while its long prompts exceed the limit.
func TestLightRequestsAreNotRefusedForHeavyOnes(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 22_000,
		TokenBurst:      86_000,
	}
	const (
		prompt = identifier.Tokens(44_000)
		lookup = identifier.Tokens(200)
		span   = 60
	)
	central := limiter.NewCentral(limiter.CentralConfig{})
	central.SetReachable(1, 1)
	lookups, refused, tokens := 0, 0, identifier.Tokens(0)
	for now := startTime; now.Before(startTime.Add(span * timekeeper.Second)); now = now.Add(500) {
		if _, ok := central.Take(now, account, prompt); ok {
			tokens += prompt
		}
		lookups++
		if _, ok := central.Take(now, account, lookup); !ok {
			refused++
			continue
		}
		tokens += lookup
	}
	require.Zero(t, refused, "of %d lookups", lookups)
	// The prompts get no more than the rest of the limit.
	require.InDelta(t, 0.95*22_000*span, float64(tokens), 2*float64(prompt))
}

// The central node dies while an account stays within its limit. Guards against
// standalone nodes that start without tokens and refuse the account's prompts.
func TestAccountWithinItsLimitWithoutCentralNode(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 60_000,
		TokenBurst:      86_000,
	}
	const prompt = identifier.Tokens(9_000)
	central := limiter.NewCentral(limiter.CentralConfig{})
	central.SetReachable(defaultNodes, defaultNodes)
	var nodes []*limiter.Buckets
	for range defaultNodes {
		nodes = append(nodes, limiter.NewLocal())
	}
	now, requests := startTime, 0
	refused := func(span timekeeper.Duration, standalone bool) int {
		n := 0
		for end := now.Add(span); now.Before(end); now = now.Add(250) {
			node := nodes[requests%defaultNodes]
			requests++
			node.SetNodes(defaultNodes, standalone)
			_, ok := node.Take(now, account, prompt)
			if !ok && !standalone {
				_, ok = central.Take(now, account, prompt)
			}
			if !ok {
				n++
			}
		}
		return n
	}
	require.Zero(t, refused(20*timekeeper.Second, false))
	require.LessOrEqual(t, refused(4*timekeeper.Second, true), 2, "of 16")
}
