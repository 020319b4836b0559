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

const (
	exchangeStart     timekeeper.Time = 1_000_000_000
	exchangeRunTime                   = 24 * timekeeper.Second
	exchangeNodeCount                 = 4
	serverSlots                       = 16
	exchangeInterval                  = 60 * timekeeper.Millisecond
	// maxLeaveDelay is the time after its leaving mark within which a server may
	// still receive new work.
	// maxRevisionDelay is the time within which nodes must apply a configuration.
	maxLeaveDelay    = 2 * timekeeper.Second
	maxRevisionDelay = 2 * timekeeper.Second
)

// task is an action scheduled at a time.
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

// gatewayNode is the process of a node.
type gatewayNode struct {
	vm          identifier.VMID
	r           *reducer.Reducer
	incarnation identifier.Incarnation
	alive       bool
	frozenUntil timekeeper.Time
	// buffered is the number of messages that have arrived while the process stood still.
	buffered timekeeper.Duration
	// cutFromPeers and cutFromStore simulate network partitions.
	cutFromPeers bool
	cutFromStore bool
	readOffsets  map[identifier.LogStream]int
	entriesRead  int
	// reading is set while a read of the servers' entries is on its way.
	reading bool
	// generation is the store generation that the node last read.
	generation identifier.StoreGeneration
	revision   identifier.Revision
	startedAt  timekeeper.Time
	// lastDisturbed is the last time at which the node, its network or the store was
	// affected by a fault.
	lastDisturbed timekeeper.Time
}

// exchangeCluster simulates a cluster that serves opaque exchanges: the reducers of
// the nodes, and fakes of the store, the cloud and the backend servers, in virtual
// time and in one goroutine. It verifies only what callers, servers and the platform
// can observe.
type exchangeCluster struct {
	t     testing.TB
	now   timekeeper.Time
	seq   int
	queue tasks
	rng   *rand.Rand
	nodes map[identifier.VMID]*gatewayNode

	streams map[identifier.LogStream][]messenger.Record
	entries []messenger.PublishedServer
	// deletedTo is the number of entries whose records the store has deleted.
	deletedTo   int
	catalogs    []*catalog.Catalog
	publishedAt timekeeper.Time
	storeDown   bool
	// generation is that of the store. entryTimes holds the time at which each entry
	// was written, and lastEntries the last entry of each server.
	generation identifier.StoreGeneration
	entryTimes []timekeeper.Time
	// generationIgnored suppresses the events that report a restored store.
	generationIgnored bool
	lastEntries       map[identifier.VMID]messenger.PublishedServer
	// unpublished are the starts of servers that run before their entries are written.
	unpublished map[identifier.InstanceID]identifier.VMID
	// pendingEntries are the writes of entries that wait for the store to recover.
	pendingEntries []func()
	appendDelay    timekeeper.Duration

	// ranAt holds the servers at which each request ran.
	ranAt        map[identifier.RequestID][]identifier.VMID
	repetitions  map[identifier.RequestID]catalog.Repetition
	requests     map[identifier.ExchangeID]identifier.RequestID
	requestedAt  map[identifier.ExchangeID]timekeeper.Time
	leftAt       map[identifier.VMID]timekeeper.Time
	fences       map[string]identifier.Fence
	fenceHolders map[identifier.Fence]process
	reports      map[identifier.UsageWindow]map[identifier.AccountID]int
	answered     int
	refused      int
	violations   []string
	// serverFault is the result of failing attempts; if empty, none fail.
	serverFault messenger.AttemptResult
	// alwaysFails makes all attempts fail instead of about half of them.
	alwaysFails bool
	repeats     repeats
	// serviceTime is the time for which a server processes a request.
	serviceTime timekeeper.Duration
	crashes
	rollouts   rollouts
	limits     limits
	leaving    leavingServers
	rejections rejections
	partition  partition
	brittle    brittleServers
	// resumptions are the streams that break and go on.
	resumptions resumptions
	// moving are the moves of running streams.
	moving movedStreams
	// parts are the prompts of requests and the parts that crash servers.
	parts promptParts
	// disorder has messages between nodes lost, and what nodes take for known checked.
	disorder disorder
	// overlapping reports that faults overlap at random, so that bounds apply to nodes that no
	// fault has affected for quarantineDelay.
	overlapping bool
	// buffered has messages to a process that stands still arrive when it goes on, one each
	// bufferedInterval.
	buffered     bool
	size         clusterSize
	lastExchange identifier.ExchangeID
}

// bufferedInterval is the time between two messages that a process receives when it goes on.
const bufferedInterval = 5 * timekeeper.Millisecond

type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// clusterSize holds the numbers of nodes and servers and the request load.
type clusterSize struct {
	nodes   int
	servers int
	// requestInterval is the time between requests, and tokensPerSecond the limit of
	// their account.
	requestInterval timekeeper.Duration
	tokensPerSecond float64
	// nodesListed makes the platform's list of nodes available from the start.
	nodesListed bool
	// moves makes nodes move running streams.
	moves bool
	// strong is the number of nodes whose capacity is many times that of the others. If it is
	// zero, all have the same.
	strong int
	// zones is the number of availability zones, one if it is zero.
	zones int
	// usageWindow is the length of the windows of usage, and usageLate the time after its end within
	// which a window has to be reported, if they are not zero.
	usageWindow timekeeper.Duration
	usageLate   timekeeper.Duration
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
		leaving:      newLeavingServers(),
		rejections:   newRejections(),
		partition:    newPartition(),
		brittle:      newBrittleServers(),
		t:            t,
		now:          exchangeStart,
		rng:          rand.New(rand.NewPCG(seed, 7)),
		nodes:        map[identifier.VMID]*gatewayNode{},
		streams:      map[identifier.LogStream][]messenger.Record{},
		ranAt:        map[identifier.RequestID][]identifier.VMID{},
		repetitions:  map[identifier.RequestID]catalog.Repetition{},
		requests:     map[identifier.ExchangeID]identifier.RequestID{},
		requestedAt:  map[identifier.ExchangeID]timekeeper.Time{},
		leftAt:       map[identifier.VMID]timekeeper.Time{},
		lastEntries:  map[identifier.VMID]messenger.PublishedServer{},
		unpublished:  map[identifier.InstanceID]identifier.VMID{},
		fences:       map[string]identifier.Fence{},
		fenceHolders: map[identifier.Fence]process{},
		reports:      map[identifier.UsageWindow]map[identifier.AccountID]int{},
		serviceTime:  20,
		crashes:      newCrashes(),
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

func nodeNumber(vm identifier.VMID) int {
	var i int
	if _, err := fmt.Sscanf(string(vm), "entry-%d", &i); err != nil {
		return -1
	}
	return i
}

// capacity returns the capacity of a node.
func (cl *exchangeCluster) capacity(vm identifier.VMID) uint32 {
	const strong, weak = 800, 40
	if nodeNumber(vm) < cl.size.strong {
		return strong
	}
	return weak
}

func (cl *exchangeCluster) nodeZone(vm identifier.VMID) identifier.Zone {
	if cl.size.zones == 0 {
		return "boston-a"
	}
	return identifier.Zone(fmt.Sprintf("zone-%d", nodeNumber(vm)%cl.size.zones))
}

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

func (cl *exchangeCluster) violatef(format string, args ...any) {
	cl.violations = append(cl.violations, fmt.Sprintf("%6d: ", cl.now.Sub(exchangeStart))+fmt.Sprintf(format, args...))
}

// publish writes a new configuration to the store.
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
	if cl.size.moves {
		routes = append(routes, onceRoute())
	}
	routing := catalog.NewRouting(routes, map[string]identifier.AccountID{"secret": "agency"})
	routing.AccountRanks["agency"] = 0
	routing.DefaultTokens["agency"] = 1
	routing.Backends["reader"] = catalog.Backend{
		Model: true,
		Slots: serverSlots,
		Fleet: &catalog.Fleet{
			Min:        1,
			Max:        6,
			BootTime:   4 * timekeeper.Second,
			ZonePrices: map[identifier.Zone]float64{"boston-a": 1},
		},
	}
	cl.addMoves(routing)
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

// writeEntry writes a server's entry to the store. If the store is down, the entry is
// written when it recovers, and the delays allowed to nodes count from then.
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
		Zone:    cl.serverZone(vm),
		Slots:   serverSlots,
		Version: v,
		State:   state,
		Market:  catalog.Reclaimable,
	}
	cl.entries = append(cl.entries, cl.lastEntries[vm])
	cl.entryTimes = append(cl.entryTimes, cl.now)
}

// spoilEntry makes the entry of a server that runs on unreadable for faultTime, as another
// writer may.
func (cl *exchangeCluster) spoilEntry(vm identifier.VMID) {
	last, ok := cl.lastEntries[vm]
	if !ok || last.State != messenger.ServerReady || cl.storeDown {
		return
	}
	cl.entries = append(cl.entries, messenger.PublishedServer{
		Server: vm,
		State:  messenger.ServerUnreadable,
	})
	cl.entryTimes = append(cl.entryTimes, cl.now)
	cl.after(faultTime, func() { cl.writeEntry(vm, messenger.ServerReady) })
}

// endStoreOutage makes the store available and writes the pending entries in order.
func (cl *exchangeCluster) endStoreOutage() {
	cl.storeDown = false
	pending := cl.pendingEntries
	cl.pendingEntries = nil
	for _, enter := range pending {
		enter()
	}
}

// restart makes a server leave and start again under the same instance id. The entry
// of the earlier start is repeated after that of the later one.
func (cl *exchangeCluster) restart(vm identifier.VMID) {
	newStart := identifier.ServerStart(vm.Instance(), identifier.Incarnation(cl.now))
	cl.writeEntry(vm, messenger.ServerLeaving)
	cl.after(900, func() { cl.writeEntry(newStart, messenger.ServerReady) })
	cl.after(1500, func() { cl.writeEntry(vm, messenger.ServerLeaving) })
}

// start starts the process of a node with its periodic reads.
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
			Zone:          cl.nodeZone(vm),
			Region:        "new-england",
			PeerAddress:   string(vm),
			CallerAddress: string(vm),
			Capacity:      cl.capacity(vm),
			Seed:          uint64(incarnation) + uint64(len(vm)),
			Seeds:         seeds,
			LogRetention:  20 * timekeeper.Second,
			Safeguards:    conductor.AllSafeguards(),
			Gateway: &reducer.GatewayConfig{
				LeaderTasks: true,
				UsageWindow: cmp.Or(cl.size.usageWindow, 2*timekeeper.Second),
				UsageLate:   cmp.Or(cl.size.usageLate, 8*timekeeper.Second),
				Share:       exposureShare,
				Slack:       exposureSlack,
				MoveStreams: cl.size.moves,
				FairShares:  true,
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

// every schedules do with period d while the process is alive, and skips it while the
// process is frozen.
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
	if !n.r.Following(cl.now).Servers {
		return
	}
	if cl.storeDown || n.cutFromStore {
		cl.apply(n, messenger.ServersUnavailable{})
		return
	}
	if n.reading {
		return
	}
	cl.applyGeneration(n)
	n.entriesRead = min(n.entriesRead, len(cl.entries))
	read := messenger.ServersPublished{
		All: n.entriesRead == 0 || n.entriesRead < cl.deletedTo,
		End: identifier.OffsetAt(cl.generation, uint64(len(cl.entries))),
	}
	if n.entriesRead < cl.deletedTo {
		read.Servers = cl.newestEntries()
	} else {
		read.Servers = readable(cl.entriesFrom(n.entriesRead), read.All)
	}
	cl.deliverRead(n, read, len(cl.entries))
}

// readable returns what a read of the store yields of entries. A read of changes omits
// unreadable ones. In a read of all, they replace the earlier entries of their servers.
func readable(entries []messenger.PublishedServer, all bool) []messenger.PublishedServer {
	newest := map[identifier.VMID]messenger.ServerState{}
	for _, e := range entries {
		newest[e.Server] = e.State
	}
	return slices.DeleteFunc(entries, func(e messenger.PublishedServer) bool {
		if all && newest[e.Server] == messenger.ServerUnreadable {
			return e.State != messenger.ServerUnreadable
		}
		return e.State == messenger.ServerUnreadable
	})
}

// entriesFrom returns the entries from a position on, with their offsets.
func (cl *exchangeCluster) entriesFrom(position int) []messenger.PublishedServer {
	entries := slices.Clone(cl.entries[position:])
	for i := range entries {
		entries[i].Offset = identifier.OffsetAt(cl.generation, uint64(position+i))
	}
	return entries
}

// newestEntries returns the newest entry of each server that is not removed.
func (cl *exchangeCluster) newestEntries() []messenger.PublishedServer {
	newest := map[identifier.InstanceID]messenger.PublishedServer{}
	for _, e := range cl.entriesFrom(0) {
		newest[e.Server.Instance()] = e
	}
	var out []messenger.PublishedServer
	for _, id := range slices.Sorted(maps.Keys(newest)) {
		if newest[id].State != messenger.ServerRemoved {
			out = append(out, newest[id])
		}
	}
	return out
}

func (cl *exchangeCluster) readConfiguration(n *gatewayNode) {
	if !n.r.Following(cl.now).Configuration {
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

// apply applies an event to a node's reducer and executes the effects.
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
			cl.violatef("%s goes back from revision %d to %d", n.vm, n.revision, c.Revision)
		}
		n.revision = c.Revision
	}
	for _, e := range effects {
		cl.execute(n, e)
	}
}

// deliver delivers an event to a peer, unless one of the two is partitioned or the
// peer is frozen or dead.
func (cl *exchangeCluster) deliver(n *gatewayNode, address string, event func(to *gatewayNode) messenger.EventBody) {
	cl.after(1, func() {
		to := cl.nodes[identifier.VMID(address)]
		if n.cutFromPeers || to == nil || to.cutFromPeers || !to.alive {
			return
		}
		if cl.now.Before(to.frozenUntil) {
			if cl.buffered {
				body := event(to)
				to.buffered++
				cl.after(to.frozenUntil.Sub(cl.now)+to.buffered*bufferedInterval, func() { cl.apply(to, body) })
			}
			return
		}
		if cl.disorder != "" && cl.rng.Float64() < lostMessages {
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
	case messenger.RequestSlot:
		cl.requestSlot(n, e)
	case messenger.ReportStreams:
		cl.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody { return messenger.StreamsReported{Streams: e.Streams} })
	case messenger.LocateStream:
		cl.locateStream(n, e)
	case messenger.ReportSlots:
		cl.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody { return messenger.SlotsReported{Report: e.Report} })
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
		cl.checkKnown(n, e)
		cl.connect(n, e, func(peer identifier.VMID) { cl.serve(n, e, peer) })
	case messenger.MoveExchange:
		cl.after(1+e.Delay, func() { cl.moveRun(n, e) })
	case messenger.RecordMove:
		cl.moving.outcomes[e.Outcome]++
	case messenger.ProbeServer:
		cl.probe(n, e)
	case messenger.TimelineEntry:
		if e.Kind == "servers_lost" {
			cl.partition.lost++
		}
	case messenger.RefuseExchange:
		cl.refuse(e)
	case messenger.EndExchange:
		cl.repeatRequest(cl.requests[e.Exchange])
		cl.streamEnded(e.Exchange)
	}
}

// peerQuery is a call to a peer, which answers with an effect.
type peerQuery struct {
	address string
	request messenger.EventBody
	// answer converts an effect of the peer to the event for the calling node. It
	// returns nil for unrelated effects.
	answer func(messenger.Effect) messenger.EventBody
	// timeoutEvent is applied if the peer does not answer.
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

// append appends a record with the current delay. The record is lost if the store is
// unreachable.
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

// callLeaderTask simulates a call of the cloud API with a fence, and reports whether
// it is accepted.
func (cl *exchangeCluster) callLeaderTask(n *gatewayNode, subject string, fence identifier.Fence, notAfter timekeeper.Time) bool {
	if !cl.now.Before(notAfter) || n.cutFromStore && n.cutFromPeers {
		return false
	}
	caller := process{
		vm:          n.vm,
		incarnation: n.incarnation,
	}
	if other, used := cl.fenceHolders[fence]; used && other != caller {
		cl.violatef("fence %d used by %v and %v", fence, other, caller)
	}
	cl.fenceHolders[fence] = caller
	if fence < cl.fences[subject] {
		return false
	}
	cl.fences[subject] = fence
	return true
}

func (cl *exchangeCluster) report(e messenger.ReportUsage) {
	if earlier, ok := cl.reports[e.Window]; ok && !maps.Equal(earlier, e.Counts) {
		cl.violatef("window %d reported as %v and %v", e.Window, earlier, e.Counts)
	}
	cl.reports[e.Window] = e.Counts
}

// anyReady returns a random ready node, or nil if there is none.
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

// sendRequest sends a new request of random repetition to a ready node.
func (cl *exchangeCluster) sendRequest() {
	if cl.resumptions.enabled {
		cl.requestStream(&callerStream{
			parts: cl.soundParts(),
			once:  cl.size.moves && cl.rng.IntN(2) == 0,
		})
		return
	}
	if cl.parts.enabled {
		cl.sendSoundPrompt()
		return
	}
	n := cl.anyReady()
	if n == nil {
		return
	}
	repetitions := []catalog.Repetition{catalog.AtMostOnce, catalog.Repeatable, catalog.Resumable}
	repetition := repetitions[cl.rng.IntN(len(repetitions))]
	cl.lastExchange++
	id := identifier.RequestID(fmt.Sprintf("r-%d", cl.lastExchange))
	cl.repetitions[id] = repetition
	cl.requests[cl.lastExchange] = id
	cl.receive(n, id, repetition, contentOf(id))
}

// receive applies the arrival of a request to a node.
func (cl *exchangeCluster) receive(n *gatewayNode, id identifier.RequestID, repetition catalog.Repetition, content identifier.ContentHash) {
	cl.contents[id] = content
	cl.requestedAt[cl.lastExchange] = cl.now
	cl.repeats.requests = append(cl.repeats.requests, cl.now)
	cl.partition.recordReceived(cl.lastExchange, n, cl.now.Sub(exchangeStart))
	cl.apply(n, messenger.ExchangeReceived{
		Spec: messenger.ExchangeSpec{
			Exchange:     cl.lastExchange,
			Request:      id,
			Host:         "api.example",
			Path:         "/" + string(repetition) + "/1",
			Key:          "secret",
			Received:     cl.now,
			TimeLimit:    5 * timekeeper.Second,
			PromptTokens: 100,
			MaxTokens:    20,
			Content:      content,
		},
	})
}

// serve simulates an attempt at a backend server, to which it is connected directly or
// through a peer.
func (cl *exchangeCluster) serve(n *gatewayNode, e messenger.SendExchange, peer identifier.VMID) {
	id := cl.requests[e.Exchange]
	if leftAt, leaving := cl.leftAt[e.Server]; leaving && cl.now.Sub(leftAt) > maxLeaveDelay && !n.cutFromPeers && !n.cutFromStore && (!cl.overlapping || cl.undisturbed(n)) {
		cl.violatef("%s sends %s to %s, which left %d ms ago", n.vm, id, e.Server, cl.now.Sub(leftAt))
	}
	if e.Attempt > 1 {
		cl.repeats.repeated = append(cl.repeats.repeated, cl.now)
	}
	if cl.rejects(n, e) || cl.lacksRoom(n, e) {
		return
	}
	if cl.resumptions.enabled {
		if !cl.refusesHandle(n, e) {
			cl.serveStream(n, e, peer)
		}
		return
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
			cl.violatef("%s ran at %v", id, cl.ranAt[id])
		}
	}
	f := cl.begin(n, e)
	sent := cl.now
	if result != messenger.AttemptNotSent {
		cl.limitArrival(n, e.Server)
		cl.leavingArrival(n, e)
	}
	cl.after(cl.serviceTime, func() {
		if f.ended {
			return
		}
		f.ended = true
		cl.brittle.running[e.Server]--
		if isAnswer(result) {
			cl.stateBrittle(n, e.Server, sent)
			cl.stateLimit(n, e.Server, sent)
			cl.reportLeaving(n, e.Server, sent)
		}
		if result == messenger.AttemptComplete {
			cl.answered++
			cl.partition.served[e.Exchange] = true
			cl.apply(n, messenger.ExchangeBegan{
				Exchange: e.Exchange,
				Attempt:  e.Attempt,
				Peer:     peer,
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
	cl.recordRefused(e.Exchange)
	cl.recordRefusal(e)
	cl.streamEnded(e.Exchange)
	if id := cl.requests[e.Exchange]; len(cl.ranAt[id]) > 0 {
		cl.violatef("%s was refused and ran at %v", id, cl.ranAt[id])
	}
}

// leader returns the node that used the largest fence, or the first node.
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

// run executes the scheduled tasks up to exchangeRunTime and verifies the final
// state.
func (cl *exchangeCluster) run() {
	for cl.queue.Len() > 0 && cl.queue[0].at.Before(exchangeStart.Add(exchangeRunTime)) {
		next := heap.Pop(&cl.queue).(task)
		cl.now = max(cl.now, next.at)
		next.do()
	}
	for _, n := range cl.nodes {
		outdated := n.alive && n.revision < cl.catalogs[len(cl.catalogs)-1].Revision
		if outdated && cl.now.Sub(cl.publishedAt) > maxRevisionDelay && cl.now.Sub(n.startedAt) > maxRevisionDelay && !cl.now.Before(n.frozenUntil) {
			cl.violatef("%s has revision %d long after %d", n.vm, n.revision, cl.catalogs[len(cl.catalogs)-1].Revision)
		}
	}
	cl.reportExcesses()
	cl.checkResumptions()
	if cl.answered < 200 {
		cl.violatef("only %d requests answered, %d refused", cl.answered, cl.refused)
	}
	if len(cl.reports) < 4 {
		cl.violatef("only %d windows reported", len(cl.reports))
	}
}
