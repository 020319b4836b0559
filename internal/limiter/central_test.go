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

const grantStart timekeeper.Time = 1_000_000

const (
	grantNodes = 9
	// The users judge windows of eight seconds, and tolerate a tenth and
	// 140,000 tokens more than the limit.
	judgedWindow    = 8 * timekeeper.Second
	toleratedPart   = 1.1
	toleratedTokens = 140_000
)

var heavyAccount = catalog.Account{
	ID:              "agency",
	TokensPerSecond: 150_000,
	TokenBurst:      150_000,
}

// grants is nodes that grant one account as much as they may, over time.
type grants struct {
	now     timekeeper.Time
	account catalog.Account
	// request is the tokens that each request asks for.
	request identifier.Tokens
	central *limiter.Buckets
	local   []*limiter.Buckets
	granted []float64 // by tick of 50 ms
	// heardAll makes the central node take all nodes for heard.
	heardAll bool
}

const grantTick = 50 * timekeeper.Millisecond

func newGrants() *grants { return grantsOf(grantNodes, heavyAccount, 6000) }

func grantsOf(nodes int, account catalog.Account, request identifier.Tokens) *grants {
	g := &grants{
		now:     grantStart,
		account: account,
		request: request,
		central: limiter.NewCentral(),
	}
	for range nodes {
		g.local = append(g.local, limiter.NewLocal())
	}
	return g
}

// killAll starts all nodes anew.
func (g *grants) killAll() {
	for i := range g.local {
		g.local[i] = limiter.NewLocal()
	}
}

// run lets time pass while every node is asked for far more than there is. The
// first cut nodes neither hear the central node nor are heard by it; with
// central false nobody grants centrally.
func (g *grants) run(span timekeeper.Duration, cut int, central bool) {
	nodes := len(g.local)
	for end := g.now.Add(span); g.now.Before(end); g.now = g.now.Add(grantTick) {
		sum := 0.0
		heard := nodes - cut
		if g.heardAll {
			heard = nodes
		}
		g.central.SetReachable(heard, nodes)
		for i, local := range g.local {
			alone := i < cut || !central
			local.SetNodes(nodes, alone)
			for range 4 {
				_, ok := local.Take(g.now, g.account, g.request)
				if !ok && !alone {
					_, ok = g.central.Take(g.now, g.account, g.request)
				}
				if ok {
					sum += float64(g.request)
				}
			}
		}
		g.granted = append(g.granted, sum)
	}
}

// most returns the most that was granted in any judged window.
func (g *grants) most() float64 {
	ticks := int(judgedWindow / grantTick)
	most := 0.0
	for from := range g.granted {
		sum := 0.0
		for _, n := range g.granted[from:min(from+ticks, len(g.granted))] {
			sum += n
		}
		most = max(most, sum)
	}
	return most
}

func (g *grants) tolerated() float64 {
	limit := g.account.TokensPerSecond*judgedWindow.Seconds() + g.account.TokenBurst
	return limit*toleratedPart + toleratedTokens
}

// An account asks for many times its limit, while nodes are cut off from the
// node that grants centrally, that node dies and another takes over, and all
// nodes are killed at once. In no window may the nodes together grant more than
// the users tolerate, and an account that asks must get about its limit.
func TestSumOfGrants(t *testing.T) {
	tests := []struct {
		name string
		play func(*grants)
	}{
		{
			name: "all calm",
			play: func(g *grants) { g.run(30*timekeeper.Second, 0, true) },
		},
		{
			name: "a third cut off and back",
			play: func(g *grants) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(10*timekeeper.Second, 3, true)
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "all but one cut off",
			play: func(g *grants) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(10*timekeeper.Second, grantNodes-1, true)
			},
		},
		{
			name: "another node takes over",
			play: func(g *grants) {
				g.run(10*timekeeper.Second, 0, true)
				g.run(3*timekeeper.Second, 0, false)
				g.central = limiter.NewCentral()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "handed on at once",
			play: func(g *grants) {
				g.run(10*timekeeper.Second, 0, true)
				g.central = limiter.NewCentral()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
		{
			name: "all killed at once",
			play: func(g *grants) {
				g.run(10*timekeeper.Second, 0, true)
				g.killAll()
				g.run(4*timekeeper.Second, 0, false)
				g.central = limiter.NewCentral()
				g.run(10*timekeeper.Second, 0, true)
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGrants()
			test.play(g)
			require.LessOrEqual(t, g.most(), g.tolerated())
			require.GreaterOrEqual(t, g.most(), heavyAccount.TokensPerSecond*judgedWindow.Seconds())
		})
	}
}

// All nodes are killed at once while an account asks for many times its limit, in
// prompts that are larger than any node's part, and where nodes are many they are
// killed once more. Until one has the lease each grants alone. The debt of one
// prompt a node must not sum with the nodes: at 61 an account got a tenth more
// than is tolerated.
func TestSumOfGrantsOfManyNodes(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 680_000,
		TokenBurst:      680_000,
	}
	for _, nodes := range []int{9, 61, 400} {
		for _, request := range []identifier.Tokens{2_000, 17_000, 60_000} {
			for _, down := range []timekeeper.Duration{1 * timekeeper.Second, 4 * timekeeper.Second} {
				t.Run(fmt.Sprintf("%d nodes, %d tokens, %s", nodes, request, down), func(t *testing.T) {
					g := grantsOf(nodes, account, request)
					g.run(10*timekeeper.Second, 0, true)
					g.killAll()
					g.run(down, 0, false)
					if nodes > grantNodes {
						g.killAll()
						g.run(down, 0, false)
					}
					g.central = limiter.NewCentral()
					g.run(10*timekeeper.Second, 0, true)
					require.LessOrEqual(t, g.most(), g.tolerated())
				})
			}
		}
	}
}

// The central node grants its whole part while nodes that it does not hear of
// grant alone. The sum is then above what the users tolerate, so that the test
// above would notice.
func TestSumOfGrantsWithoutTakingOff(t *testing.T) {
	g := newGrants()
	g.heardAll = true
	g.run(10*timekeeper.Second, 0, true)
	g.run(10*timekeeper.Second, 5, true)
	require.Greater(t, g.most(), g.tolerated())
}

// An account within its limit sends requests that are larger than any node's
// equal share of a second. None of them may be refused.
func TestAccountWithinItsLimit(t *testing.T) {
	small := catalog.Account{
		ID:              "ferry",
		TokensPerSecond: 36_000,
		TokenBurst:      36_000,
	}
	central := limiter.NewCentral()
	local := limiter.NewLocal()
	local.SetNodes(grantNodes, false)
	now := grantStart
	for range 40 {
		_, ok := local.Take(now, small, 12_000)
		if !ok {
			_, ok = central.Take(now, small, 12_000)
		}
		require.True(t, ok)
		now = now.Add(500) // two thirds of the limit
	}
}

// What a catalog no longer names is forgotten, and a refusal says when coming
// back makes sense.
func TestRefusedGrant(t *testing.T) {
	local := limiter.NewLocal()
	local.SetNodes(1, true)
	_, ok := local.Take(grantStart, heavyAccount, 400_000)
	require.True(t, ok, "a bucket that is not empty goes into debt")
	after, ok := local.Take(grantStart, heavyAccount, 6_000)
	require.False(t, ok)
	require.Positive(t, after)
	_, ok = local.Take(grantStart.Add(after), heavyAccount, 6_000)
	require.True(t, ok)
	local.Forget(&catalog.Catalog{})
	_, ok = local.Take(grantStart.Add(after), heavyAccount, 6_000)
	require.True(t, ok)
}

// An account asks for a third more than its limit, in long prompts, and for a
// few lookups between them. A prompt of twice the burst takes the bucket into
// debt for two seconds. Lookups, which weigh a hundredth of the limit, are
// granted meanwhile; prompts get the rest of the limit, and not more.
func TestLightRequestsPassBesideHeavyOnes(t *testing.T) {
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
	central := limiter.NewCentral()
	central.SetReachable(1, 1)
	lookups, refused, tokens := 0, 0, identifier.Tokens(0)
	for now := grantStart; now.Before(grantStart.Add(span * timekeeper.Second)); now = now.Add(500) {
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
	require.InDelta(t, 0.95*22_000*span, float64(tokens), 2*float64(prompt))
}

// An account stays within its limit, in long prompts. The node that grants
// centrally dies with what the account had saved up. Until another has the lease
// each node grants an equal part alone, and begins with a part of the burst: with
// nothing, 9 of the 16 prompts of the first four seconds were refused.
func TestWithinTheLimitWhileNobodyGrants(t *testing.T) {
	account := catalog.Account{
		ID:              "agency",
		TokensPerSecond: 60_000,
		TokenBurst:      86_000,
	}
	const prompt = identifier.Tokens(9_000)
	central := limiter.NewCentral()
	central.SetReachable(grantNodes, grantNodes)
	var nodes []*limiter.Buckets
	for range grantNodes {
		nodes = append(nodes, limiter.NewLocal())
	}
	now, asked := grantStart, 0
	refused := func(span timekeeper.Duration, alone bool) int {
		n := 0
		for end := now.Add(span); now.Before(end); now = now.Add(250) {
			node := nodes[asked%grantNodes]
			asked++
			node.SetNodes(grantNodes, alone)
			_, ok := node.Take(now, account, prompt)
			if !ok && !alone {
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
