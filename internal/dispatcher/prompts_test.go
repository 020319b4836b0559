package dispatcher_test

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The engines of the simulated cluster have the rates of slow hardware, in
// milliseconds: readPerToken for a token read, copyPerToken for a token copied from
// another engine.
const (
	readPerToken     = 0.016
	copyPerToken     = 0.0024
	attentionPerM    = 0.37
	readChunk        = 1024
	stepTime         = 3.0
	stepPerAnswer    = 0.12
	firstEventTarget = 800 * timekeeper.Millisecond
	promptNodes      = 4
	promptEngines    = 12
	promptSubjects   = 90
	// relaySpacing is the interval and the delay of a relay's sums.
	relaySpacing = 250 * timekeeper.Millisecond
)

// engine reads prompts one after the other and caches their shared prefixes.
type engine struct {
	freeAt  timekeeper.Time
	running int
	cached  map[identifier.PrefixHash]bool
	// factor is the engine's time for the same work against the others.
	factor float64
}

// event is a scheduled action of the simulation.
type event struct {
	at  timekeeper.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// promptCluster is a simulated cluster of nodes that send prompts with shared prefixes
// to engines.
type promptCluster struct {
	t       *testing.T
	now     timekeeper.Time
	queue   eventQueue
	rng     *rand.Rand
	nodes   []*node
	engines map[string]*engine
	// relayed is set if nodes receive a delayed sum over all other nodes in place of
	// each other's reports.
	relayed bool
	// decode is the time from an answer's first event to its end.
	decode timekeeper.Duration
	// drawUnsharedTokens returns the size of the part of a prompt that no other prompt
	// shares.
	drawUnsharedTokens func() identifier.Tokens
	// sharedTokens returns the size of the prefix that the prompts of a subject share.
	sharedTokens func(subject identifier.PrefixHash) identifier.Tokens
	// shareFactors adds the evidence of servers' speeds to the relay's sums, and onSent and
	// onBegan are called when a prompt is sent and its answer begins, if they are set.
	shareFactors func(updates []messenger.StateUpdate, sums []messenger.StateUpdate)
	onSent       func(tokens identifier.Tokens, address string)
	onBegan      func(tokens identifier.Tokens, elapsed timekeeper.Duration)
	// countFrom is the start of the measurement. onTimeTokens counts the tokens of
	// prompts whose first event met its target, and promptTokens those of all.
	countFrom                  timekeeper.Time
	onTimeTokens, promptTokens identifier.Tokens
	// lateAnswers counts the answers whose first event missed its target.
	answers, lateAnswers int
	// sharedTokensRead counts the shared tokens that engines read instead of using
	// their cache or a copy.
	sharedTokensRead identifier.Tokens
}

func newPromptCluster(t *testing.T) *promptCluster {
	return newPromptClusterOf(t, promptNodes, promptEngines)
}

func newPromptClusterOf(t *testing.T, nodes, engines int) *promptCluster {
	return newPromptClusterWith(t, nodes, func() *node { return newNode(engines) })
}

func newPromptClusterWith(t *testing.T, nodes int, newNode func() *node) *promptCluster {
	c := &promptCluster{
		t:       t,
		now:     start,
		rng:     rand.New(rand.NewPCG(3, 4)),
		engines: map[string]*engine{},
	}
	c.drawUnsharedTokens = func() identifier.Tokens { return identifier.Tokens(1000 + c.rng.ExpFloat64()*2700) }
	c.sharedTokens = func(subject identifier.PrefixHash) identifier.Tokens { return 4000 + 200*identifier.Tokens(subject) }
	for range nodes {
		n := newNode()
		n.env.Catalog.Accounts = map[identifier.AccountID]catalog.Account{}
		backend := n.env.Catalog.Routing.Backends["reader"]
		backend.KVTokens = 580_000
		backend.CopyTokensPerMS = 1 / copyPerToken
		n.env.Catalog.Routing.Backends["reader"] = backend
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *promptCluster) after(d timekeeper.Duration, run func()) {
	heap.Push(&c.queue, event{
		at:  c.now.Add(d),
		run: run,
	})
}

// sendPrompt sends a prompt about a random subject to a random node.
func (c *promptCluster) sendPrompt() {
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	subject := identifier.PrefixHash(c.rng.IntN(promptSubjects))
	spec := n.spec("/draft/1")
	spec.Received = c.now
	unshared := c.drawUnsharedTokens()
	shared := c.sharedTokens(subject)
	spec.PromptTokens = shared + unshared
	spec.Prefix = []messenger.PromptPart{
		{
			Hash:   subject,
			Tokens: shared,
		},
		{
			Hash:   identifier.PrefixHash(1_000_000 + c.rng.IntN(1_000_000)),
			Tokens: unshared,
		},
	}
	c.promptTokens += spec.PromptTokens
	n.env.Now = c.now
	send, ok := n.Receive(n.env, spec).(messenger.SendExchange)
	if !ok {
		return
	}
	c.serve(n, spec, send)
	if n.NotifyPeers() {
		c.report(n)
	}
}

// serve runs a prompt at its engine after those that are queued there.
func (c *promptCluster) serve(n *node, spec messenger.ExchangeSpec, send messenger.SendExchange) {
	e := c.engine(send.Address)
	if c.onSent != nil {
		c.onSent(spec.PromptTokens, send.Address)
	}
	subject := spec.Prefix[0]
	prefill := 20.0
	uncached, cached := float64(spec.PromptTokens), 0.0
	switch {
	case e.cached[subject.Hash]:
		cached = float64(subject.Tokens)
	case send.CopyFrom != "" && c.engine(send.CopyFrom).cached[subject.Hash]:
		cached = float64(subject.Tokens)
		prefill += cached * copyPerToken
	default:
		c.sharedTokensRead += subject.Tokens
	}
	uncached -= cached
	prefill += uncached*readPerToken + uncached*(cached+uncached/2)/1e6*attentionPerM
	e.cached[subject.Hash] = true
	if c.decode > 0 {
		// Each chunk waits for a decode step of the running answers.
		prefill += math.Ceil(uncached/readChunk) * (stepTime + stepPerAnswer*float64(e.running))
	}
	prefill *= e.factor
	e.running++
	e.freeAt = max(e.freeAt, c.now).Add(timekeeper.Duration(prefill))
	sent := c.now
	c.after(e.freeAt.Sub(c.now), func() {
		n.env.Now = c.now
		n.Began(n.env, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		c.began(spec, sent)
		if c.decode == 0 {
			e.running--
			n.finish(send)
		} else {
			c.after(c.decode, func() {
				n.env.Now = c.now
				e.running--
				n.finish(send)
			})
		}
		if n.NotifyPeers() {
			c.report(n)
		}
	})
}

// finish completes an answer that has begun.
func (n *node) finish(send messenger.SendExchange) {
	n.Ended(n.env, messenger.ExchangeEnded{
		Exchange: send.Exchange,
		Result:   messenger.AttemptComplete,
	})
}

// began counts an answer that begins now.
func (c *promptCluster) began(spec messenger.ExchangeSpec, sent timekeeper.Time) {
	if sent.Before(c.countFrom) {
		return
	}
	c.answers++
	if c.onBegan != nil {
		c.onBegan(spec.PromptTokens, c.now.Sub(sent))
	}
	if c.now.Sub(sent) > firstEventTarget {
		c.lateAnswers++
		return
	}
	c.onTimeTokens += spec.PromptTokens
}

func (c *promptCluster) engine(address string) *engine {
	e := c.engines[address]
	if e == nil {
		e = &engine{
			cached: map[identifier.PrefixHash]bool{},
			factor: 1,
		}
		c.engines[address] = e
	}
	return e
}

// report sends a node's load and cached prefixes to its peers, which receive them a
// millisecond later.
func (c *promptCluster) report(n *node) {
	if c.relayed {
		return
	}
	inFlight, demand := n.OwnLoad(c.now)
	update := messenger.StateUpdate{
		InFlight:       inFlight,
		Demand:         demand,
		CachedPrefixes: n.CachedPrefixUpdates(c.now),
	}
	from := identifier.VMID(rune('a' + slices.Index(c.nodes, n)))
	for _, peer := range c.nodes {
		if peer == n {
			continue
		}
		c.after(1, func() {
			peer.env.Now = c.now
			peer.StorePeerLoad(c.now, from, update)
			peer.MergeCachedPrefixes(peer.env, update.CachedPrefixes, false)
		})
	}
}

// loseZone gives notice for a zone's engines, removes them later and starts
// replacements.
func (c *promptCluster) loseZone(zone int) {
	publish := func(i int, state messenger.ServerState) {
		for _, n := range c.nodes {
			n.env.Now = c.now
			n.publish(i, state)
		}
	}
	for i := zone; i < promptEngines; i += 4 {
		publish(i, messenger.ServerLeaving)
		c.after(2500, func() { publish(i, messenger.ServerRemoved) })
		c.after(6000, func() { publish(promptEngines+i, messenger.ServerReady) })
	}
}

// relay sends each node the current sum over all other nodes, after a delay.
func (c *promptCluster) relay(delay timekeeper.Duration) {
	all := make([]messenger.StateUpdate, len(c.nodes))
	sum := messenger.StateUpdate{
		InFlight: map[identifier.VMID]messenger.InFlight{},
		Demand:   map[identifier.ServiceName]messenger.ServiceDemand{},
	}
	add := func(to, from messenger.StateUpdate, sign int) {
		for server, load := range from.InFlight {
			total := to.InFlight[server]
			total.Running += sign * load.Running
			total.Prefill += timekeeper.Duration(sign) * load.Prefill
			to.InFlight[server] = total
		}
		for service, demand := range from.Demand {
			total := to.Demand[service]
			total.Running += sign * demand.Running
			total.OfferedLoad += float64(sign) * demand.OfferedLoad
			to.Demand[service] = total
		}
	}
	var prefixes []messenger.CachedPrefix
	for i, n := range c.nodes {
		all[i].InFlight, all[i].Demand = n.OwnLoad(c.now)
		add(sum, all[i], 1)
		prefixes = append(prefixes, n.CachedPrefixUpdates(c.now)...)
	}
	sums := make([]messenger.StateUpdate, len(c.nodes))
	for i := range c.nodes {
		sums[i] = messenger.StateUpdate{
			Scope:    messenger.ScopeOthers,
			InFlight: maps.Clone(sum.InFlight),
			Demand:   maps.Clone(sum.Demand),
		}
		add(sums[i], all[i], -1)
	}
	if c.shareFactors != nil {
		c.shareFactors(all, sums)
	}
	for i, n := range c.nodes {
		update := sums[i]
		c.after(delay, func() {
			n.env.Now = c.now
			n.StorePeerLoad(c.now, "relay", update)
			n.MergeCachedPrefixes(n.env, prefixes, false)
		})
	}
}

func (c *promptCluster) run(span timekeeper.Duration, every timekeeper.Duration) {
	end := c.now.Add(span)
	for at := every; at < span; at += every {
		c.after(at, c.sendPrompt)
	}
	for at := timekeeper.Duration(0); c.relayed && at < span; at += relaySpacing {
		c.after(at, func() { c.relay(relaySpacing) })
	}
	for at := timekeeper.Duration(100); at < span; at += 500 {
		for _, n := range c.nodes {
			c.after(at, func() { c.report(n) })
		}
	}
	for c.queue.Len() > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = max(c.now, next.at)
		next.run()
	}
	c.now = end
}

// Guards against prefilling shared prefixes again, instead of copying them from leaving engines,
// when two zones of engines are lost in sequence.
func TestSharedPrefixesArePrefilledOnce(t *testing.T) {
	const (
		every  = 40 * timekeeper.Millisecond
		warmUp = 20 * timekeeper.Second
	)
	c := newPromptCluster(t)
	c.run(warmUp, every)
	c.countFrom = c.now
	c.onTimeTokens, c.promptTokens, c.sharedTokensRead = 0, 0, 0
	c.run(5*timekeeper.Second, every)
	c.loseZone(1)
	c.run(6*timekeeper.Second, every)
	c.loseZone(2)
	c.run(25*timekeeper.Second, every)
	require.LessOrEqual(t, c.sharedTokensRead, identifier.Tokens(250_000))
	require.GreaterOrEqual(t, float64(c.onTimeTokens)/float64(c.promptTokens), 0.99)
}

// Guards against 100 nodes that all choose the same few engines because they know each other's load
// a quarter to half a second late.
func TestStaleReportsSpreadPrompts(t *testing.T) {
	const (
		nodes   = 100
		engines = 60
		every   = 3 * timekeeper.Millisecond
	)
	c := newPromptClusterOf(t, nodes, engines)
	c.relayed = true
	c.decode = 2 * timekeeper.Second
	c.sharedTokens = func(identifier.PrefixHash) identifier.Tokens { return 300 }
	c.drawUnsharedTokens = func() identifier.Tokens {
		// Half of the prompts have fewer than 500 tokens, one in twenty more than
		// 9,000.
		return min(identifier.Tokens(500*math.Exp(1.75*c.rng.NormFloat64())), 50_000)
	}
	c.run(10*timekeeper.Second, every)
	c.countFrom = c.now
	c.run(20*timekeeper.Second, every)
	t.Logf("%d of %d answers began late", c.lateAnswers, c.answers)
	require.Greater(t, c.answers, 9000)
	require.Less(t, float64(c.lateAnswers)/float64(c.answers), 0.08)
}
