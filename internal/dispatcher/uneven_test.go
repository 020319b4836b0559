package dispatcher_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	unevenNodes   = 82
	unevenEngines = 60
	// unevenTarget is the time owed to the first event.
	unevenTarget = 1 * timekeeper.Second
	// longPrompt is the size from which a prompt counts as long.
	longPrompt identifier.Tokens = 5000
	// meanPrefill is the mean time to read a prompt at an engine whose factor is 1.
	meanPrefill = 125.0
)

// unevenCluster is a cluster whose engines differ in speed: two thirds of them need 0.7 of
// the time of a mean engine, and one third needs 1.7 of it.
type unevenCluster struct {
	*promptCluster
	relayNode *node
	// room is the number of mean engines that read as fast as all together.
	room float64
	// times are the times to the first event, by whether the prompt is long.
	times map[bool][]timekeeper.Duration
	// longSent counts the long prompts that were sent, by engine.
	longSent map[string]int
}

func newUnevenCluster(t *testing.T, seed uint64, sharedRates bool) *unevenCluster {
	newSharing := func() *node {
		return newNodeOf(dispatcher.Config{
			Self:        "entry-1",
			Zone:        "zone-0",
			SharedRates: sharedRates,
		}, unevenEngines)
	}
	c := &unevenCluster{
		promptCluster: newPromptClusterWith(t, unevenNodes, newSharing),
		relayNode:     newSharing(),
		times:         map[bool][]timekeeper.Duration{},
		longSent:      map[string]int{},
	}
	c.rng = rand.New(rand.NewPCG(seed, 1))
	for i, n := range c.nodes {
		n.env.Rand = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	for i := range unevenEngines {
		factor := []float64{0.7, 0.7, 1.7}[c.rng.IntN(3)]
		c.engine(engineAddress(i)).factor = factor
		c.room += 1 / factor
	}
	c.relayed = true
	c.decode = 1500 * timekeeper.Millisecond
	c.sharedTokens = func(identifier.PrefixHash) identifier.Tokens { return 200 }
	c.drawUnsharedTokens = func() identifier.Tokens {
		if c.rng.IntN(4) > 0 {
			return identifier.Tokens(200 + 1400*c.rng.ExpFloat64())
		}
		return min(identifier.Tokens(11_000*math.Exp(0.6*c.rng.NormFloat64())), 54_000)
	}
	c.onSent = func(tokens identifier.Tokens, address string) {
		if tokens >= longPrompt {
			c.longSent[address]++
		}
	}
	c.onBegan = func(tokens identifier.Tokens, elapsed timekeeper.Duration) {
		c.times[tokens >= longPrompt] = append(c.times[tokens >= longPrompt], elapsed)
	}
	if sharedRates {
		c.shareFactors = c.relayFactors
	}
	return c
}

func engineAddress(i int) string { return string(serverID(i)) + ":80" }

// relayFactors adds the evidence of the other nodes to each node's sum.
func (c *unevenCluster) relayFactors(updates, sums []messenger.StateUpdate) {
	var ids []identifier.VMID
	for i, n := range c.nodes {
		ids = append(ids, identifier.VMID(fmt.Sprintf("node-%d", i)))
		updates[i].Factors = n.OwnFactors(c.now, updates[i].InFlight)
		c.relayNode.StorePeerLoad(c.now, ids[i], updates[i])
	}
	all := c.relayNode.ZoneSum(c.now, ids)
	for i := range c.nodes {
		sums[i].Factors = c.relayNode.WithoutNode(c.now, all, ids[i]).Factors
	}
}

// play sends prompts that occupy a part of the engines for a time.
func (c *unevenCluster) play(part float64, span timekeeper.Duration) {
	end := c.now.Add(span)
	rate := part * c.room / meanPrefill
	for at := c.rng.ExpFloat64() / rate; at < float64(span); at += c.rng.ExpFloat64() / rate {
		c.after(timekeeper.Duration(at), c.sendPrompt)
	}
	c.run(end.Sub(c.now), span)
}

// lateShare returns the share of prompts whose first event missed its target.
func (c *unevenCluster) lateShare(long bool) float64 {
	late := 0
	for _, elapsed := range c.times[long] {
		if elapsed > unevenTarget {
			late++
		}
	}
	return float64(late) / float64(len(c.times[long]))
}

func (c *unevenCluster) quantile(long bool, q float64) timekeeper.Duration {
	times := slices.Sorted(slices.Values(c.times[long]))
	return times[int(q*float64(len(times)-1))]
}

// playUneven plays prompts for some seconds, and counts them from when nodes have learned
// the engines' speeds.
func playUneven(t *testing.T, part float64, sharedRates bool) *unevenCluster {
	c := newUnevenCluster(t, 1, sharedRates)
	c.play(part, 5*timekeeper.Second)
	c.countFrom = c.now
	c.play(part, 10*timekeeper.Second)
	for _, long := range []bool{true, false} {
		t.Logf("%.1f occupied, shared %t, long %t: %d prompts, p50 %d ms, p99 %d ms, late %.4f", part, sharedRates, long,
			len(c.times[long]), c.quantile(long, 0.5), c.quantile(long, 0.99), c.lateShare(long))
	}
	return c
}

// Guards against long prompts at slow servers, and short ones that pay for it.
func TestUnevenServers(t *testing.T) {
	tests := []struct {
		part float64
		// maxLate bounds the late share of long prompts, relative to that of nodes that do
		// not share.
		maxLate float64
	}{
		{
			part:    0.5,
			maxLate: 0.75,
		},
		{
			part:    0.7,
			maxLate: 0.9,
		},
		{
			part:    0.9,
			maxLate: 1,
		},
	}
	for _, tc := range tests {
		t.Run(fmt.Sprint(tc.part), func(t *testing.T) {
			alone, shared := playUneven(t, tc.part, false), playUneven(t, tc.part, true)
			require.LessOrEqual(t, shared.lateShare(true), tc.maxLate*alone.lateShare(true))
			require.LessOrEqual(t, shared.lateShare(false), alone.lateShare(false))
		})
	}
}

// Guards against long prompts at slow servers, and recovered servers that get none.
func TestSlowServersLoseLongPrompts(t *testing.T) {
	const part = 0.5
	c := newUnevenCluster(t, 1, true)
	c.play(part, 8*timekeeper.Second)
	var slow []string
	for i := range unevenEngines {
		if address := engineAddress(i); c.engine(address).factor < 1 && len(slow) < 8 {
			slow = append(slow, address)
		}
	}
	setFactor := func(by float64) {
		for _, address := range slow {
			c.engine(address).factor *= by
		}
	}
	// sent returns the number of long prompts a second that the engines get in a time.
	sent := func(span timekeeper.Duration) float64 {
		clear(c.longSent)
		c.play(part, span)
		sum := 0.0
		for _, address := range slow {
			sum += float64(c.longSent[address])
		}
		return sum * float64(timekeeper.Second) / float64(span)
	}
	before := sent(5 * timekeeper.Second)
	setFactor(3)
	c.play(part, 2*timekeeper.Second)
	during := sent(3 * timekeeper.Second)
	setFactor(1.0 / 3)
	c.play(part, 5*timekeeper.Second)
	after := sent(5 * timekeeper.Second)
	t.Logf("long prompts a second: %.1f before, %.1f from 2 s on, %.1f after", before, during, after)
	require.Less(t, during, before*2/3)
	require.Greater(t, after, before*3/4)
}

// Guards against calls that all go to the plain server that seems fastest.
func TestPlainServersKeepOwnFactors(t *testing.T) {
	for _, model := range []bool{false, true} {
		n := newNodeOf(dispatcher.Config{
			Self:        "entry-1",
			Zone:        "zone-0",
			SharedRates: true,
		}, 4)
		backend := n.env.Catalog.Routing.Backends["reader"]
		backend.Model = model
		n.env.Catalog.Routing.Backends["reader"] = backend
		n.StorePeerLoad(n.env.Now, "relay", messenger.StateUpdate{
			Scope: messenger.ScopeOthers,
			Factors: map[identifier.VMID]messenger.FactorEvidence{
				serverID(0): {
					Weight: 50,
					Sum:    -50,
				},
				serverID(1): {
					Weight: 50,
					Sum:    50,
				},
			},
		})
		send := n.sendPath(t, "/report/1")
		require.Equal(t, model, send.Inputs.ServerFactor < 0.9)
		n.env.Now = n.env.Now.Add(100)
		n.Began(n.env, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		require.Equal(t, model, len(n.OwnFactors(n.env.Now, nil)) > 0)
	}
}
