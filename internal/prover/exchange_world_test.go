package prover

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The world of opaque exchanges: the reducers of a few nodes, and fakes of the
// store, the cloud and the backend servers, in virtual time and one goroutine. A
// checker sees what callers, servers and the platform could see.

const (
	exchangeStart     timekeeper.Time = 1_000_000_000
	exchangeRunTime                   = 24 * timekeeper.Second
	exchangeNodeCount                 = 4
	exchangeInterval                  = 60 * timekeeper.Millisecond
	// leaveBound is how long after its notice a server may get new work, and
	// revisionBound how long a configuration may take to be in force.
	maxLeaveDelay    = 2 * timekeeper.Second
	maxRevisionDelay = 2 * timekeeper.Second
)

// task is something that happens at an instant.
type task struct {
	at  timekeeper.Time
	seq int
	do  func()
}

type tasks []task

func (q tasks) Len() int { return len(q) }
func (q tasks) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q tasks) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tasks) Push(x any)   { *q = append(*q, x.(task)) }
func (q *tasks) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// gatewayNode is one node's process.
type gatewayNode struct {
	vm          identifier.VMID
	r           *reducer.Reducer
	incarnation identifier.Incarnation
	alive       bool
	frozenUntil timekeeper.Time
	// cut tells that it reaches no peer, offStore that it does not reach the
	// store.
	cutFromPeers bool
	cutFromStore bool
	readOffsets  map[identifier.LogStream]int
	entriesRead  int
	// era is that of the store as the node knows it.
	generation identifier.StoreGeneration
	revision   identifier.Revision
	startedAt  timekeeper.Time
	// troubled is when the node or its ways were last harmed.
	lastDisturbed timekeeper.Time
}

// exchangeWorld is the nodes and the fakes around them.
type exchangeCluster struct {
	t     testing.TB
	now   timekeeper.Time
	seq   int
	queue tasks
	rng   *rand.Rand
	nodes map[identifier.VMID]*gatewayNode

	streams     map[identifier.LogStream][]messenger.Record
	entries     []messenger.PublishedServer
	catalogs    []*catalog.Catalog
	publishedAt timekeeper.Time
	storeDown   bool
	// era is the store's, entered when each entry was written, and shown the last
	// state of each server by itself.
	generation identifier.StoreGeneration
	entryTimes []timekeeper.Time
	// eraIgnored keeps nodes from hearing of it.
	generationIgnored bool
	lastEntries       map[identifier.VMID]messenger.PublishedServer
	// waiting are the entries that servers could not write yet.
	pendingEntries []func()
	appendDelay    timekeeper.Duration

	// ran holds where each request ran.
	ranAt        map[identifier.RequestID][]identifier.VMID
	repetitions  map[identifier.RequestID]catalog.Repetition
	requests     map[identifier.ExchangeID]identifier.RequestID
	leftAt       map[identifier.VMID]timekeeper.Time
	fences       map[string]identifier.Fence
	fenceHolders map[identifier.Fence]process
	reports      map[identifier.UsageWindow]map[identifier.AccountID]int
	answered     int
	refused      int
	violations   []string
	// serverFault is how servers answer; empty means well.
	serverFault messenger.AttemptResult
	// alwaysFails lets each attempt end so, not every other one.
	alwaysFails bool
	repeats     repeats
	// work is how long a server needs for a request.
	serviceTime timekeeper.Duration
	endings
	rollouts     rollouts
	limits       limits
	size         clusterSize
	lastExchange identifier.ExchangeID
}

type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// worldSize is how much there is in a world.
type clusterSize struct {
	nodes   int
	servers int
	// every is the spacing of requests, and tokens what their account may have in a
	// second.
	requestInterval timekeeper.Duration
	tokensPerSecond float64
	// listed tells nodes from the start on which others there are.
	nodesListed bool
}

func newExchangeCluster(t testing.TB, seed uint64) *exchangeCluster {
	return newSizedCluster(t, seed, clusterSize{
		nodes:           exchangeNodeCount,
		servers:         6,
		requestInterval: exchangeInterval,
		tokensPerSecond: 10_000,
	})
}

func newSizedCluster(t testing.TB, seed uint64, size clusterSize) *exchangeCluster {
	cl := &exchangeCluster{
		size:         size,
		limits:       newLimits(),
		t:            t,
		now:          exchangeStart,
		rng:          rand.New(rand.NewPCG(seed, 7)),
		nodes:        map[identifier.VMID]*gatewayNode{},
		streams:      map[identifier.LogStream][]messenger.Record{},
		ranAt:        map[identifier.RequestID][]identifier.VMID{},
		repetitions:  map[identifier.RequestID]catalog.Repetition{},
		requests:     map[identifier.ExchangeID]identifier.RequestID{},
		leftAt:       map[identifier.VMID]timekeeper.Time{},
		lastEntries:  map[identifier.VMID]messenger.PublishedServer{},
		fences:       map[string]identifier.Fence{},
		fenceHolders: map[identifier.Fence]process{},
		reports:      map[identifier.UsageWindow]map[identifier.AccountID]int{},
		serviceTime:  20,
		endings:      newEndings(),
	}
	cl.publish(1)
	for i := range size.servers {
		cl.writeEntry(exchangeServer(i), messenger.ServerReady)
	}
	for i := range size.nodes {
		cl.start(exchangeNode(i))
	}
	for at := timekeeper.Duration(3000); at < exchangeRunTime; at += size.requestInterval {
		cl.at(at, cl.sendRequest)
	}
	return cl
}

func exchangeServer(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("i-%d", i)) }
func exchangeNode(i int) identifier.VMID   { return identifier.VMID(fmt.Sprintf("entry-%d", i)) }

func (cl *exchangeCluster) at(after timekeeper.Duration, do func()) {
	cl.seq++
	heap.Push(&cl.queue, task{
		at:  exchangeStart.Add(after),
		seq: cl.seq,
		do:  do,
	})
}

func (cl *exchangeCluster) after(d timekeeper.Duration, do func()) {
	cl.at(cl.now.Sub(exchangeStart)+d, do)
}

func (cl *exchangeCluster) violate(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%6d: ", cl.now.Sub(exchangeStart))+fmt.Sprintf(format, args...))
}

// publish puts a new configuration into the store.
func (cl *exchangeCluster) publish(revision identifier.Revision) {
	var routes []*catalog.Route
	for _, r := range []catalog.Repetition{catalog.AtMostOnce, catalog.Repeatable, catalog.Resumable} {
		routes = append(routes, &catalog.Route{
			Name:       identifier.RouteName(r),
			Host:       "api.example",
			PathPrefix: "/" + string(r) + "/",
			Repetition: r,
			Stream:     r == catalog.Resumable,
			Timeout:    5 * timekeeper.Second,
			Target:     timekeeper.Second,
			MaxGap:     400,
			Attempts:   2,
			Split: []catalog.Split{
				{
					Service: "reader",
					Weight:  1,
				},
			},
		})
	}
	routing := catalog.NewRouting(routes, map[string]identifier.AccountID{"secret": "agency"})
	routing.AccountRanks["agency"] = 0
	routing.DefaultTokens["agency"] = 1
	routing.Backends["reader"] = catalog.Backend{
		Model: true,
		Slots: 16,
		Fleet: &catalog.Fleet{
			Min:        1,
			Max:        6,
			BootTime:   4 * timekeeper.Second,
			ZonePrices: map[identifier.Zone]float64{"boston-a": 1},
		},
	}
	cl.publishedAt = cl.now
	cl.catalogs = append(cl.catalogs, &catalog.Catalog{
		Revision: revision,
		Accounts: map[identifier.AccountID]catalog.Account{
			"agency": {
				ID:              "agency",
				TokensPerSecond: cl.size.tokensPerSecond,
				TokenBurst:      cl.size.tokensPerSecond,
			},
		},
		Routing: routing,
	})
}

// enter puts a server's entry into the store, or where that is down, as soon as it
// is back: nothing is acknowledged before, and the time in which nodes have to hear
// of it counts from there.
func (cl *exchangeCluster) writeEntry(vm identifier.VMID, state messenger.ServerState) {
	cl.writeVersionEntry(vm, state, "v1")
}

func (cl *exchangeCluster) writeVersionEntry(vm identifier.VMID, state messenger.ServerState, v identifier.Version) {
	if cl.storeDown {
		cl.pendingEntries = append(cl.pendingEntries, func() { cl.writeVersionEntry(vm, state, v) })
		return
	}
	if state != messenger.ServerReady {
		cl.leftAt[vm] = cl.now
	}
	cl.lastEntries[vm] = messenger.PublishedServer{
		Server:  vm,
		Service: "reader",
		Address: string(vm),
		Zone:    "boston-a",
		Slots:   16,
		Version: v,
		State:   state,
		Market:  catalog.Reclaimable,
	}
	cl.entries = append(cl.entries, cl.lastEntries[vm])
	cl.entryTimes = append(cl.entryTimes, cl.now)
}

// storeBack lets the store serve again. It takes the entries that waited in order.
func (cl *exchangeCluster) endStoreOutage() {
	cl.storeDown = false
	pending := cl.pendingEntries
	cl.pendingEntries = nil
	for _, enter := range pending {
		enter()
	}
}

// restart lets a server leave and start again under its id. The entry of its
// earlier start is written once more after that of its later one.
func (cl *exchangeCluster) restart(vm identifier.VMID) {
	again := identifier.ServerStart(vm.Instance(), identifier.Incarnation(cl.now))
	cl.writeEntry(vm, messenger.ServerLeaving)
	cl.after(900, func() { cl.writeEntry(again, messenger.ServerReady) })
	cl.after(1500, func() { cl.writeEntry(vm, messenger.ServerLeaving) })
}

// start starts a node's process.
func (cl *exchangeCluster) start(vm identifier.VMID) {
	incarnation := identifier.Incarnation(cl.now)
	var seeds []string
	for i := range exchangeNodeCount {
		seeds = append(seeds, string(exchangeNode(i)))
	}
	n := &gatewayNode{
		vm:          vm,
		incarnation: incarnation,
		alive:       true,
		startedAt:   cl.now,
		readOffsets: map[identifier.LogStream]int{},
		generation:  cl.generation,
		r: reducer.New(reducer.Config{
			Self:          vm,
			Incarnation:   incarnation,
			Zone:          "boston-a",
			Region:        "new-england",
			PeerAddress:   string(vm),
			CallerAddress: string(vm),
			Seed:          uint64(incarnation) + uint64(len(vm)),
			Seeds:         seeds,
			LogRetention:  20 * timekeeper.Second,
			Safeguards:    conductor.AllSafeguards(),
			Gateway: &reducer.GatewayConfig{
				LeaderTasks: true,
				UsageWindow: 2 * timekeeper.Second,
				UsageLate:   8 * timekeeper.Second,
				Share:       exposureShare,
				Slack:       exposureSlack,
			},
		}),
	}
	cl.nodes[vm] = n
	cl.every(n, messenger.TickInterval, func() { cl.apply(n, messenger.Tick{}) })
	cl.every(n, 400, func() { cl.readServers(n) })
	cl.every(n, 200, func() { cl.readConfiguration(n) })
	cl.every(n, 100, func() { cl.readStreams(n) })
	if cl.size.nodesListed {
		cl.list(n)
	}
}

// every does something again and again while the process lives.
func (cl *exchangeCluster) every(n *gatewayNode, d timekeeper.Duration, do func()) {
	cl.after(d, func() {
		if !n.alive {
			return
		}
		if !cl.now.Before(n.frozenUntil) {
			do()
		}
		cl.every(n, d, do)
	})
}

func (cl *exchangeCluster) readServers(n *gatewayNode) {
	first := n.entriesRead == 0
	if !first && !n.r.Following(cl.now).Servers {
		return
	}
	if cl.storeDown || n.cutFromStore {
		return
	}
	if cl.applyGeneration(n); n.entriesRead == 0 {
		first = true
	}
	n.entriesRead = min(n.entriesRead, len(cl.entries))
	entries := slices.Clone(cl.entries[n.entriesRead:])
	for i := range entries {
		entries[i].Offset = identifier.OffsetAt(cl.generation, uint64(n.entriesRead+i))
	}
	n.entriesRead = len(cl.entries)
	cl.apply(n, messenger.ServersPublished{
		Servers: entries,
		All:     first,
	})
}

func (cl *exchangeCluster) readConfiguration(n *gatewayNode) {
	if n.r.Catalog() != nil && !n.r.Following(cl.now).Configuration {
		return
	}
	if cl.storeDown || n.cutFromStore {
		return
	}
	cl.applyGeneration(n)
	cl.apply(n, messenger.CatalogPublished{
		Catalog:   cl.catalogs[len(cl.catalogs)-1],
		Data:      []byte{byte(len(cl.catalogs) - 1)},
		FromStore: true,
		Orders:    cl.orders(),
	})
}

func (cl *exchangeCluster) readStreams(n *gatewayNode) {
	if cl.storeDown || n.cutFromStore {
		return
	}
	cl.applyGeneration(n)
	for _, s := range n.r.Streams() {
		records := cl.streams[s][min(n.readOffsets[s], len(cl.streams[s])):]
		n.readOffsets[s] = len(cl.streams[s])
		cl.apply(n, messenger.LogRead{
			Stream:  s,
			First:   1,
			Records: slices.Clone(records),
			End:     true,
		})
	}
}

// apply gives a node an event and carries its effects out.
func (cl *exchangeCluster) apply(n *gatewayNode, body messenger.EventBody) {
	if !n.alive {
		return
	}
	effects := n.r.Apply(messenger.Event{
		At:   cl.now,
		Body: body,
	})
	if c := n.r.Catalog(); c != nil {
		if c.Revision < n.revision {
			cl.violate("%s goes back from revision %d to %d", n.vm, n.revision, c.Revision)
		}
		n.revision = c.Revision
	}
	for _, e := range effects {
		cl.execute(n, e)
	}
}

// deliver gives a peer an event, unless one of both is cut off or gone.
func (cl *exchangeCluster) deliver(n *gatewayNode, address string, event func(to *gatewayNode) messenger.EventBody) {
	cl.after(1, func() {
		to := cl.nodes[identifier.VMID(address)]
		if n.cutFromPeers || to == nil || to.cutFromPeers || !to.alive || cl.now.Before(to.frozenUntil) {
			return
		}
		cl.apply(to, event(to))
	})
}

func (cl *exchangeCluster) execute(n *gatewayNode, effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.SendStateUpdate:
		cl.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody {
			return messenger.StateUpdateReceived{
				From:   n.vm,
				Update: e.Update,
			}
		})
	case messenger.SendGossip:
		cl.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody {
			return messenger.GossipReceived{
				From: n.vm,
				Data: e.Data,
			}
		})
	case messenger.FetchConfiguration:
		cl.deliver(n, e.Address, func(to *gatewayNode) messenger.EventBody {
			if data, ok := to.r.ExportConfiguration(); ok {
				cl.deliver(to, string(n.vm), func(*gatewayNode) messenger.EventBody {
					return messenger.CatalogPublished{
						Catalog: cl.catalogs[data[0]],
						Data:    data,
					}
				})
			}
			return messenger.Tick{}
		})
	case messenger.RequestLimit:
		cl.requestLimit(n, e)
	case messenger.RequestPermit:
		cl.requestPermit(n, e)
	case messenger.AppendRecord:
		cl.append(n, e)
	case messenger.OrderServers:
		cl.callLeaderTask(n, "scale/"+string(e.Order.Zone), e.Fence, e.NotAfter)
	case messenger.ReportUsage:
		if cl.callLeaderTask(n, "usage", e.Fence, e.NotAfter) {
			cl.report(e)
		}
	case messenger.ClaimRollouts:
		cl.claimRollouts(n, e)
	case messenger.StoreRollout:
		cl.storeRollout(n, e)
	case messenger.SendExchange:
		cl.serve(n, e)
	case messenger.RefuseExchange:
		cl.refuse(e)
	case messenger.EndExchange:
		cl.repeatRequest(cl.requests[e.Exchange])
	}
}

// question is what a node asks a peer, which answers with one effect.
type peerQuery struct {
	address string
	request messenger.EventBody
	// answer returns the event that the effect of the peer is to the node that asked,
	// or nil where it is another effect.
	answer func(messenger.Effect) messenger.EventBody
	// silence is the event where the peer does not answer.
	timeoutEvent messenger.EventBody
}

func (cl *exchangeCluster) queryPeer(n *gatewayNode, q peerQuery) {
	answered := false
	answer := func(body messenger.EventBody) {
		if !answered {
			answered = true
			cl.apply(n, body)
		}
	}
	cl.deliver(n, q.address, func(to *gatewayNode) messenger.EventBody {
		for _, effect := range to.r.Apply(messenger.Event{
			At:   cl.now,
			Body: q.request,
		}) {
			if body := q.answer(effect); body != nil {
				cl.after(1, func() { answer(body) })
			}
		}
		return messenger.Tick{}
	})
	cl.after(150, func() { answer(q.timeoutEvent) })
}

func (cl *exchangeCluster) requestLimit(n *gatewayNode, e messenger.RequestLimit) {
	cl.queryPeer(n, peerQuery{
		address: e.Address,
		request: messenger.LimitRequested{
			Account: e.Account,
			Tokens:  e.Tokens,
		},
		answer: func(effect messenger.Effect) messenger.EventBody {
			a, ok := effect.(messenger.AnswerLimit)
			if !ok {
				return nil
			}
			a.Answer.Exchange = e.Exchange
			return a.Answer
		},
		timeoutEvent: messenger.LimitAnswered{
			Exchange: e.Exchange,
			Unknown:  true,
		},
	})
}

// append appends a record, late where appends are; while the store is down
// nothing is.
func (cl *exchangeCluster) append(n *gatewayNode, e messenger.AppendRecord) {
	cl.after(4+cl.appendDelay, func() {
		if cl.storeDown || n.cutFromStore {
			return
		}
		generation, place := n.generation, len(cl.streams[e.Stream])
		if place > 0 {
			generation = max(generation, cl.streams[e.Stream][place-1].Offset.Generation())
		}
		cl.streams[e.Stream] = append(cl.streams[e.Stream], messenger.Record{
			Offset:   identifier.OffsetAt(generation, uint64(place)),
			Appended: cl.now,
			Data:     e.Data,
		})
		cl.after(1, func() {
			cl.apply(n, messenger.AppendEnded{
				Ticket: e.Ticket,
				Stream: e.Stream,
				OK:     true,
			})
		})
	})
}

// duty is a call under a fence, as the cloud takes it.
func (cl *exchangeCluster) callLeaderTask(n *gatewayNode, subject string, fence identifier.Fence, notAfter timekeeper.Time) bool {
	if !cl.now.Before(notAfter) || n.cutFromStore && n.cutFromPeers {
		return false
	}
	holder := process{
		vm:          n.vm,
		incarnation: n.incarnation,
	}
	if other, used := cl.fenceHolders[fence]; used && other != holder {
		cl.violate("fence %d used by %v and %v", fence, other, holder)
	}
	cl.fenceHolders[fence] = holder
	if fence < cl.fences[subject] {
		return false
	}
	cl.fences[subject] = fence
	return true
}

func (cl *exchangeCluster) report(e messenger.ReportUsage) {
	if before, ok := cl.reports[e.Window]; ok && !maps.Equal(before, e.Counts) {
		cl.violate("window %d reported as %v and %v", e.Window, before, e.Counts)
	}
	cl.reports[e.Window] = e.Counts
}

// anyReady returns a node that callers would be sent to, or nil.
func (cl *exchangeCluster) anyReady() *gatewayNode {
	var ready []*gatewayNode
	for _, vm := range slices.Sorted(maps.Keys(cl.nodes)) {
		if n := cl.nodes[vm]; n.alive && n.r.Ready() && !cl.now.Before(n.frozenUntil) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[cl.rng.IntN(len(ready))]
}

// ask sends a request to a node that callers would be sent to.
func (cl *exchangeCluster) sendRequest() {
	n := cl.anyReady()
	if n == nil {
		return
	}
	kinds := []catalog.Repetition{catalog.AtMostOnce, catalog.Repeatable, catalog.Resumable}
	kind := kinds[cl.rng.IntN(len(kinds))]
	cl.lastExchange++
	id := identifier.RequestID(fmt.Sprintf("r-%d", cl.lastExchange))
	cl.repetitions[id] = kind
	cl.requests[cl.lastExchange] = id
	cl.receive(n, id, kind, contentOf(id))
}

// receive gives a node a request.
func (cl *exchangeCluster) receive(n *gatewayNode, id identifier.RequestID, kind catalog.Repetition, content identifier.ContentHash) {
	cl.contents[id] = content
	cl.repeats.requests = append(cl.repeats.requests, cl.now)
	cl.apply(n, messenger.ExchangeReceived{
		Spec: messenger.ExchangeSpec{
			Exchange:     cl.lastExchange,
			Request:      id,
			Host:         "api.example",
			Path:         "/" + string(kind) + "/1",
			Key:          "secret",
			Received:     cl.now,
			TimeLimit:    5 * timekeeper.Second,
			PromptTokens: 100,
			MaxTokens:    20,
			Content:      content,
		},
	})
}

// serve is a backend server with an attempt.
func (cl *exchangeCluster) serve(n *gatewayNode, e messenger.SendExchange) {
	if cl.refuseAtEnded(n, e) {
		return
	}
	id := cl.requests[e.Exchange]
	if left, leaving := cl.leftAt[e.Server]; leaving && cl.now.Sub(left) > maxLeaveDelay && !n.cutFromPeers && !n.cutFromStore {
		cl.violate("%s sends %s to %s, which left %d ms ago", n.vm, id, e.Server, cl.now.Sub(left))
	}
	if e.Attempt > 1 {
		cl.repeats.repeated = append(cl.repeats.repeated, cl.now)
	}
	result := messenger.AttemptComplete
	if cl.serverFault != "" && (cl.alwaysFails || cl.rng.IntN(2) == 0) {
		result = cl.serverFault
	}
	if cl.rollouts.recordArrival(e.Server) {
		result = messenger.AttemptFailed
	}
	if result != messenger.AttemptNotSent && result != messenger.AttemptRefused {
		cl.ranAt[id] = append(cl.ranAt[id], e.Server)
		if cl.repetitions[id] == catalog.AtMostOnce && len(cl.ranAt[id]) > 1 {
			cl.violate("%s ran at %v", id, cl.ranAt[id])
		}
	}
	f := cl.begin(n, e)
	sent := cl.now
	if result != messenger.AttemptNotSent {
		cl.limitArrival(n, e.Server)
	}
	cl.after(cl.serviceTime, func() {
		if f.ended {
			return
		}
		f.ended = true
		cl.stateLimit(n, e.Server, sent, result)
		if result == messenger.AttemptComplete {
			cl.answered++
			cl.apply(n, messenger.ExchangeBegan{
				Exchange: e.Exchange,
				Attempt:  e.Attempt,
			})
			cl.apply(n, messenger.ExchangeEnded{
				Exchange: e.Exchange,
				Result:   result,
			})
			return
		}
		cl.apply(n, messenger.ExchangeAttemptEnded{
			Exchange: e.Exchange,
			Attempt:  e.Attempt,
			Result:   result,
		})
	})
}

func (cl *exchangeCluster) refuse(e messenger.RefuseExchange) {
	cl.refused++
	cl.recordRefusal(e)
	if id := cl.requests[e.Exchange]; len(cl.ranAt[id]) > 0 {
		cl.violate("%s was refused and ran at %v", id, cl.ranAt[id])
	}
}

// holder returns the node that gave the last order, or some node.
func (cl *exchangeCluster) leader() *gatewayNode {
	var last identifier.Fence
	for fence := range cl.fenceHolders {
		last = max(last, fence)
	}
	if n := cl.nodes[cl.fenceHolders[last].vm]; n != nil {
		return n
	}
	return cl.nodes[exchangeNode(0)]
}

func (cl *exchangeCluster) kill(n *gatewayNode, down timekeeper.Duration) {
	n.alive = false
	cl.after(down, func() { cl.start(n.vm) })
}

// run plays the day and looks at its end.
func (cl *exchangeCluster) run() {
	for cl.queue.Len() > 0 && cl.queue[0].at.Before(exchangeStart.Add(exchangeRunTime)) {
		next := heap.Pop(&cl.queue).(task)
		cl.now = max(cl.now, next.at)
		next.do()
	}
	for _, n := range cl.nodes {
		behind := n.alive && n.revision < cl.catalogs[len(cl.catalogs)-1].Revision
		if behind && cl.now.Sub(cl.publishedAt) > maxRevisionDelay && cl.now.Sub(n.startedAt) > maxRevisionDelay && !cl.now.Before(n.frozenUntil) {
			cl.violate("%s has revision %d long after %d", n.vm, n.revision, cl.catalogs[len(cl.catalogs)-1].Revision)
		}
	}
	if cl.answered < 200 {
		cl.violate("only %d requests answered, %d refused", cl.answered, cl.refused)
	}
	if len(cl.reports) < 4 {
		cl.violate("only %d windows reported", len(cl.reports))
	}
}
