package promoter

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The simulated cluster: the Promoters of some nodes that exchange state updates, one
// of them the leader, callers, servers of two versions, and a store for the states. All
// of it runs in virtual time and one goroutine.

const (
	startTime            timekeeper.Time = 1_000_000
	tickTime                             = 10 * timekeeper.Millisecond
	updateInterval                       = 500 * timekeeper.Millisecond
	urgentUpdateInterval                 = 200 * timekeeper.Millisecond
	peerLatency                          = 20 * timekeeper.Millisecond
	storeLatency                         = 8 * timekeeper.Millisecond
	maxExposedShare                      = 0.1
	maxExposedSlack                      = 50.0
	maxRollbackTime                      = 5 * timekeeper.Second
	shortWindow                          = 300.0 // milliseconds
	longWindow                           = 1000.0
	typicalLatency                       = 60 * timekeeper.Millisecond
)

// routeSpec describes a route and its fraction of the requests.
type routeSpec struct {
	name        identifier.RouteName
	fraction    float64
	failureRate float64
	stream      bool
}

// workload describes a service and its callers.
type workload struct {
	name    string
	nodes   int
	rate    float64 // requests per second
	servers int
	routes  []routeSpec
	// sparse is set if too few requests are exposed to show each good version to be
	// good.
	sparse bool
	// latency is the typical time to the first event in milliseconds, or zero for
	// typicalLatency.
	latency float64
}

// versionKind describes how the responses of the new version's servers are degraded.
type versionKind struct {
	name string
	good bool
	// verdictOptional is set if no verdict in time is required: the fault lasts as long
	// as the watch time, or shows only under the full load.
	verdictOptional bool
	// bothVersions is set if the old version's responses are degraded too.
	bothVersions bool
	// latencyFactor scales the latency of the new version; zero stands for one.
	latencyFactor float64
	degrade       func(r routeSpec, s *serverState, since timekeeper.Duration) (fails, slow float64)
}

type serverState struct {
	*registrar.Server
	index int
	// shortRate and longRate are the requests per second over a short and a longer
	// window, and fullRate the rate if the service had this version only.
	shortRate float64
	longRate  float64
	fullRate  float64
}

type clusterNode struct {
	*Promoter
	incarnation identifier.Incarnation
	nextUpdate  timekeeper.Time
	lastUpdate  timekeeper.Time
	// isolated is set if the node exchanges no messages with others.
	isolated bool
}

// event is an action at a time.
type event struct {
	at  timekeeper.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

type cluster struct {
	now      timekeeper.Time
	seq      int
	queue    eventQueue
	rng      *rand.Rand
	workload workload
	kind     versionKind
	limit    timekeeper.Duration
	bootTime timekeeper.Duration
	nodes    []*clusterNode
	leader   int
	fence    identifier.Fence
	servers  []*serverState
	// published are the servers as the nodes know them.
	published []*registrar.Server
	states    map[*registrar.Server]*serverState
	// store holds the last state written for each service, and storedStates all that
	// operators read.
	store        map[identifier.ServiceName]messenger.Rollout
	claimedFence identifier.Fence
	storeDown    bool
	// acceptStaleFence makes the store accept late writes of earlier holders.
	acceptStaleFence bool
	storedStates     []messenger.Rollout
	// Counts of what servers received and how they answered.
	arrivals      int
	exposed       int
	badAnswers    int
	fiftiethBadAt timekeeper.Time
	lastExposedAt timekeeper.Time
	cutOff        int
	violations    []string
	// why is the reason of the leader's last decision.
	why string
}

func newCluster(seed uint64, load workload, kind versionKind, limit timekeeper.Duration) *cluster {
	c := &cluster{
		now:      startTime,
		rng:      rand.New(rand.NewPCG(seed, 11)),
		workload: load,
		kind:     kind,
		limit:    limit,
		bootTime: 3 * timekeeper.Second,
		fence:    7,
		store:    map[identifier.ServiceName]messenger.Rollout{},
		states:   map[*registrar.Server]*serverState{},
	}
	for i := range load.nodes {
		c.nodes = append(c.nodes, c.newNode(i))
	}
	for i := range load.servers {
		c.addServer("v1", i)
	}
	return c
}

func (c *cluster) newNode(i int) *clusterNode {
	n := &clusterNode{
		incarnation: identifier.Incarnation(c.now),
		nextUpdate:  c.now.Add(timekeeper.Duration(c.rng.Int64N(int64(updateInterval)))),
		Promoter: New(Config{
			Self:        nodeID(i),
			Incarnation: identifier.Incarnation(c.now),
			Share:       maxExposedShare,
			Slack:       maxExposedSlack,
		}),
	}
	n.SetNodes(c.workload.nodes)
	return n
}

func nodeID(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("entry-%d", i)) }

func (c *cluster) addServer(v identifier.Version, i int) {
	s := &serverState{
		index: i,
		Server: &registrar.Server{
			ChangedAt: c.now,
			WarmAt:    c.now,
			PublishedServer: messenger.PublishedServer{
				Server:  identifier.VMID(fmt.Sprintf("i-%s-%d", v, i)),
				Service: "reader",
				Version: v,
				State:   messenger.ServerReady,
			},
		},
	}
	c.servers = append(c.servers, s)
	c.published = append(c.published, s.Server)
	c.states[s.Server] = s
	for _, n := range c.nodes {
		n.ObserveVersion(c.now, "reader", v)
	}
}

func (c *cluster) after(d timekeeper.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{
		at:  c.now.Add(d),
		seq: c.seq,
		do:  do,
	})
}

// order gives the order, and the platform starts servers of the version after bootTime.
func (c *cluster) order(to identifier.Version, offset identifier.Offset) {
	c.applyOrder(messenger.RolloutOrder{
		Service:   "reader",
		Offset:    offset,
		To:        to,
		TimeLimit: c.limit,
	})
	c.after(c.bootTime, func() {
		for i := range c.workload.servers {
			c.addServer(to, i)
		}
	})
}

func (c *cluster) applyOrder(o messenger.RolloutOrder) {
	for i, n := range c.nodes {
		if i < 4 { // The others learn of it from updates.
			n.ApplyOrders(c.now, []messenger.RolloutOrder{o})
		}
	}
}

func (c *cluster) run(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(tickTime) {
		for c.queue.Len() > 0 && !c.now.Before(c.queue[0].at) {
			heap.Pop(&c.queue).(event).do()
		}
		c.lead()
		for i, n := range c.nodes {
			changes := n.Changes()
			for _, change := range changes {
				if change.Rollout.Phase.Final() && change.Why != "" {
					c.why = change.Why
				}
			}
			if n.Urgent() {
				n.nextUpdate = min(n.nextUpdate, n.lastUpdate.Add(urgentUpdateInterval))
			}
			if !c.now.Before(n.nextUpdate) || len(changes) > 0 {
				n.nextUpdate = c.now.Add(updateInterval)
				n.lastUpdate = c.now
				c.sendUpdate(i, n)
			}
		}
		for range c.poisson(c.workload.rate * float64(tickTime) / float64(timekeeper.Second)) {
			c.sendRequest()
		}
		for _, s := range c.servers {
			s.shortRate *= math.Exp(-float64(tickTime) / shortWindow)
			s.longRate *= math.Exp(-float64(tickTime) / longWindow)
		}
	}
}

func (c *cluster) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := c.rng.Float64(); p > limit; p *= c.rng.Float64() {
		n++
	}
	return n
}

// sendUpdate sends a node's rollouts and counts to the others.
func (c *cluster) sendUpdate(from int, n *clusterNode) {
	s := messenger.StateUpdate{
		Rollouts: n.Updates(c.now),
		Versions: n.Counts(),
	}
	sent := c.now
	for i := range c.nodes {
		if i == from {
			continue
		}
		c.after(peerLatency, func() {
			to := c.nodes[i]
			if to.isolated || n.isolated {
				return
			}
			to.Merge(c.now.Add(sent.Sub(c.now)), s.Rollouts)
			to.MergePeerCounts(c.now, nodeID(from), n.incarnation, s)
		})
	}
}

func (c *cluster) followerIDs() []identifier.VMID {
	var out []identifier.VMID
	for i := range c.nodes {
		if i != c.leader {
			out = append(out, nodeID(i))
		}
	}
	return out
}

func (c *cluster) serversOf(identifier.ServiceName) []*registrar.Server {
	return c.published
}

func (c *cluster) lead() {
	if c.leader < 0 {
		return
	}
	n := c.nodes[c.leader]
	for _, e := range n.Lead(Input{
		Now:      c.now,
		Fence:    c.fence,
		NotAfter: c.now.Add(timekeeper.Second),
		Nodes:    c.followerIDs(),
		Servers:  c.serversOf,
	}) {
		c.after(storeLatency, func() { c.execute(n, e) })
	}
}

func (c *cluster) execute(n *clusterNode, effect messenger.Effect) {
	if c.storeDown {
		return
	}
	switch e := effect.(type) {
	case messenger.ClaimRollouts:
		if e.Fence < c.claimedFence {
			n.Claimed(c.now, messenger.RolloutsClaimed{Fence: e.Fence, Result: messenger.LeaderTaskFenced})
			return
		}
		c.claimedFence = e.Fence
		done := messenger.RolloutsClaimed{
			Fence:  e.Fence,
			Result: messenger.LeaderTaskDone,
		}
		for _, r := range c.store {
			done.Rollouts = append(done.Rollouts, r)
		}
		n.Claimed(c.now, done)
	case messenger.StoreRollout:
		if e.Fence < c.claimedFence && !c.acceptStaleFence {
			return
		}
		c.storeState(e.Rollout)
		n.Stored(c.now, messenger.RolloutStored{
			Service: e.Rollout.Order.Service,
			Order:   e.Rollout.Order.Offset,
			Phase:   e.Rollout.Phase,
			Fence:   e.Fence,
			Result:  messenger.LeaderTaskDone,
		})
	}
}

// storeState stores a state and acts on it as the platform does.
func (c *cluster) storeState(r messenger.Rollout) {
	for _, before := range c.storedStates {
		if before.Order.Offset == r.Order.Offset && before.Phase.Final() && before.Phase != r.Phase {
			c.violations = append(c.violations, fmt.Sprintf("%s after %s", r.Phase, before.Phase))
		}
	}
	if len(c.storedStates) == 0 || c.storedStates[len(c.storedStates)-1].Phase != r.Phase || c.storedStates[len(c.storedStates)-1].Order != r.Order {
		c.storedStates = append(c.storedStates, r)
	}
	r.LeaderAge = -1
	c.store[r.Order.Service] = r
	for _, s := range c.servers {
		if r.Phase == messenger.RolloutCompleted && s.Version != r.Order.To {
			s.State = messenger.ServerRemoved
		}
	}
}

// sendRequest sends a request through a random node.
func (c *cluster) sendRequest() {
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	route := c.workload.routes[len(c.workload.routes)-1]
	at := c.rng.Float64()
	for _, r := range c.workload.routes {
		if at -= r.fraction; at < 0 {
			route = r
			break
		}
	}
	g := n.Candidates(Request{
		Now:          c.now,
		Service:      "reader",
		Route:        route.name,
		Servers:      c.serversOf("reader"),
		FirstAttempt: true,
		OrdersAsOf:   c.now,
		Rand:         c.rng,
	})
	s := c.pick(g.Preferred)
	if s == nil {
		s = c.pick(g.Fallback)
	}
	if s != nil {
		c.serve(n, route, s)
	}
}

func (c *cluster) pick(servers []*registrar.Server) *serverState {
	ready := slices.DeleteFunc(slices.Clone(servers), func(s *registrar.Server) bool {
		return s.State != messenger.ServerReady
	})
	if len(ready) == 0 {
		return nil
	}
	return c.states[ready[c.rng.IntN(len(ready))]]
}

func (c *cluster) serve(n *clusterNode, route routeSpec, s *serverState) {
	c.arrivals++
	s.shortRate += float64(timekeeper.Second) / shortWindow
	s.longRate += float64(timekeeper.Second) / longWindow
	s.fullRate = c.workload.rate / float64(c.workload.servers)
	failureRate, slowRate := route.failureRate, 0.0
	newVersion := s.Version != "v1"
	if c.kind.degrade != nil && (newVersion || c.kind.bothVersions) {
		f, l := c.kind.degrade(route, s, c.now.Sub(startTime))
		failureRate, slowRate = max(failureRate, f), l
	}
	failed, late := c.rng.Float64() < failureRate, c.rng.Float64() < slowRate
	if newVersion {
		c.exposed++
		c.lastExposedAt = c.now
		if !c.kind.good && (failed || late) {
			if c.badAnswers++; c.badAnswers == 50 {
				c.fiftiethBadAt = c.now
			}
		}
	}
	factor := math.Exp(0.4 * c.rng.NormFloat64())
	if c.rng.Float64() < 0.03 {
		factor *= 4
	}
	if late {
		factor *= 4
	}
	t := n.RecordSent("reader", route.name, s.Server)
	if newVersion && c.kind.latencyFactor > 0 {
		factor *= c.kind.latencyFactor
	}
	took := timekeeper.Duration(factor * c.workload.typicalLatency())
	c.after(took, func() { c.answer(n, t, route, s, took, failed, late) })
}

func (w workload) typicalLatency() float64 {
	if w.latency > 0 {
		return w.latency
	}
	return float64(typicalLatency)
}

func (c *cluster) answer(n *clusterNode, t TrackedAttempt, route routeSpec, s *serverState, took timekeeper.Duration, failed, late bool) {
	end := AttemptEnd{Result: messenger.AttemptComplete}
	switch {
	case s.State == messenger.ServerRemoved:
		c.cutOff++
		end.Result = messenger.AttemptBroken
		end.ServerEnded = true
	case failed:
		end.Result = messenger.AttemptFailed
	default:
		n.RecordResponseStart(t, took, timekeeper.Duration(c.workload.typicalLatency()))
		if route.stream {
			end.Events = 12
			gap := 30 * math.Exp(0.25*c.rng.NormFloat64())
			if late {
				gap *= 4
			}
			end.EventsDuration = timekeeper.Duration(11 * gap)
			c.after(end.EventsDuration, func() { n.RecordEnd(t, end) })
			return
		}
	}
	n.RecordEnd(t, end)
}

// final returns the last state that operators read.
func (c *cluster) final() messenger.RolloutPhase {
	if len(c.storedStates) == 0 {
		return messenger.RolloutOrdered
	}
	return c.storedStates[len(c.storedStates)-1].Phase
}

// check returns the violations of the limits on exposure and of the order of states.
func (c *cluster) check() []string {
	faults := c.violations
	if c.kind.good {
		return faults
	}
	if allowed := maxExposedShare*float64(c.arrivals) + maxExposedSlack; float64(c.exposed) > allowed {
		faults = append(faults, fmt.Sprintf("%d of %d requests exposed", c.exposed, c.arrivals))
	}
	if c.fiftiethBadAt != 0 && c.lastExposedAt.Sub(c.fiftiethBadAt) > maxRollbackTime {
		faults = append(faults, fmt.Sprintf("exposed %s after the fiftieth bad answer", c.lastExposedAt.Sub(c.fiftiethBadAt)))
	}
	return faults
}
