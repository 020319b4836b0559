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
	exchangeStart timekeeper.Time = 1_000_000_000
	exchangeDay                   = 24 * timekeeper.Second
	exchangeNodes                 = 4
	exchangeEvery                 = 60 * timekeeper.Millisecond
	// leaveBound is how long after its notice a server may get new work, and
	// revisionBound how long a configuration may take to be in force.
	leaveBound    = 2 * timekeeper.Second
	revisionBound = 2 * timekeeper.Second
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
	frozen      timekeeper.Time
	// cut tells that it reaches no peer, offStore that it does not reach the
	// store.
	cut      bool
	offStore bool
	read     map[identifier.LogStream]int
	servers  int
	// era is that of the store as the node knows it.
	era      identifier.StoreGeneration
	revision identifier.Revision
	began    timekeeper.Time
	// troubled is when the node or its ways were last harmed.
	troubled timekeeper.Time
}

// exchangeWorld is the nodes and the fakes around them.
type exchangeWorld struct {
	t     testing.TB
	now   timekeeper.Time
	seq   int
	queue tasks
	rng   *rand.Rand
	nodes map[identifier.VMID]*gatewayNode

	streams   map[identifier.LogStream][]messenger.Record
	entries   []messenger.PublishedServer
	catalogs  []*catalog.Catalog
	published timekeeper.Time
	storeDown bool
	// era is the store's, entered when each entry was written, and shown the last
	// state of each server by itself.
	era     identifier.StoreGeneration
	entered []timekeeper.Time
	// eraIgnored keeps nodes from hearing of it.
	eraIgnored bool
	shown      map[identifier.VMID]messenger.PublishedServer
	// waiting are the entries that servers could not write yet.
	waiting   []func()
	lateWrite timekeeper.Duration

	// ran holds where each request ran.
	ran      map[identifier.RequestID][]identifier.VMID
	kinds    map[identifier.RequestID]catalog.Repetition
	requests map[identifier.ExchangeID]identifier.RequestID
	left     map[identifier.VMID]timekeeper.Time
	fences   map[string]identifier.Fence
	holders  map[identifier.Fence]process
	reports  map[identifier.UsageWindow]map[identifier.AccountID]int
	answered int
	refused  int
	faults   []string
	// serverFault is how servers answer; empty means well.
	serverFault messenger.AttemptResult
	// alwaysFails lets each attempt end so, not every other one.
	alwaysFails bool
	repeats     repeats
	// work is how long a server needs for a request.
	work timekeeper.Duration
	endings
	rollouts rollouts
	limits   limits
	size     worldSize
	next     identifier.ExchangeID
}

type process struct {
	vm          identifier.VMID
	incarnation identifier.Incarnation
}

// worldSize is how much there is in a world.
type worldSize struct {
	nodes   int
	servers int
	// every is the spacing of requests, and tokens what their account may have in a
	// second.
	every  timekeeper.Duration
	tokens float64
	// listed tells nodes from the start on which others there are.
	listed bool
}

func newExchangeWorld(t testing.TB, seed uint64) *exchangeWorld {
	return newSizedWorld(t, seed, worldSize{
		nodes:   exchangeNodes,
		servers: 6,
		every:   exchangeEvery,
		tokens:  10_000,
	})
}

func newSizedWorld(t testing.TB, seed uint64, size worldSize) *exchangeWorld {
	w := &exchangeWorld{
		size:     size,
		limits:   newLimits(),
		t:        t,
		now:      exchangeStart,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		nodes:    map[identifier.VMID]*gatewayNode{},
		streams:  map[identifier.LogStream][]messenger.Record{},
		ran:      map[identifier.RequestID][]identifier.VMID{},
		kinds:    map[identifier.RequestID]catalog.Repetition{},
		requests: map[identifier.ExchangeID]identifier.RequestID{},
		left:     map[identifier.VMID]timekeeper.Time{},
		shown:    map[identifier.VMID]messenger.PublishedServer{},
		fences:   map[string]identifier.Fence{},
		holders:  map[identifier.Fence]process{},
		reports:  map[identifier.UsageWindow]map[identifier.AccountID]int{},
		work:     20,
		endings:  newEndings(),
	}
	w.publish(1)
	for i := range size.servers {
		w.enter(exchangeServer(i), messenger.ServerReady)
	}
	for i := range size.nodes {
		w.start(exchangeNode(i))
	}
	for at := timekeeper.Duration(3000); at < exchangeDay; at += size.every {
		w.at(at, w.ask)
	}
	return w
}

func exchangeServer(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("i-%d", i)) }
func exchangeNode(i int) identifier.VMID   { return identifier.VMID(fmt.Sprintf("entry-%d", i)) }

func (w *exchangeWorld) at(after timekeeper.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, task{
		at:  exchangeStart.Add(after),
		seq: w.seq,
		do:  do,
	})
}

func (w *exchangeWorld) after(d timekeeper.Duration, do func()) {
	w.at(w.now.Sub(exchangeStart)+d, do)
}

func (w *exchangeWorld) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%6d: ", w.now.Sub(exchangeStart))+fmt.Sprintf(format, args...))
}

// publish puts a new configuration into the store.
func (w *exchangeWorld) publish(revision identifier.Revision) {
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
	w.published = w.now
	w.catalogs = append(w.catalogs, &catalog.Catalog{
		Revision: revision,
		Accounts: map[identifier.AccountID]catalog.Account{
			"agency": {
				ID:              "agency",
				TokensPerSecond: w.size.tokens,
				TokenBurst:      w.size.tokens,
			},
		},
		Routing: routing,
	})
}

// enter puts a server's entry into the store, or where that is down, as soon as it
// is back: nothing is acknowledged before, and the time in which nodes have to hear
// of it counts from there.
func (w *exchangeWorld) enter(vm identifier.VMID, state messenger.ServerState) {
	w.enterVersion(vm, state, "v1")
}

func (w *exchangeWorld) enterVersion(vm identifier.VMID, state messenger.ServerState, v identifier.Version) {
	if w.storeDown {
		w.waiting = append(w.waiting, func() { w.enterVersion(vm, state, v) })
		return
	}
	if state != messenger.ServerReady {
		w.left[vm] = w.now
	}
	w.shown[vm] = messenger.PublishedServer{
		Server:  vm,
		Service: "reader",
		Address: string(vm),
		Zone:    "boston-a",
		Slots:   16,
		Version: v,
		State:   state,
		Market:  catalog.Reclaimable,
	}
	w.entries = append(w.entries, w.shown[vm])
	w.entered = append(w.entered, w.now)
}

// storeBack lets the store serve again. It takes the entries that waited in order.
func (w *exchangeWorld) storeBack() {
	w.storeDown = false
	waiting := w.waiting
	w.waiting = nil
	for _, enter := range waiting {
		enter()
	}
}

// restart lets a server leave and start again under its id. The entry of its
// earlier start is written once more after that of its later one.
func (w *exchangeWorld) restart(vm identifier.VMID) {
	again := identifier.ServerStart(vm.Instance(), identifier.Incarnation(w.now))
	w.enter(vm, messenger.ServerLeaving)
	w.after(900, func() { w.enter(again, messenger.ServerReady) })
	w.after(1500, func() { w.enter(vm, messenger.ServerLeaving) })
}

// start starts a node's process.
func (w *exchangeWorld) start(vm identifier.VMID) {
	incarnation := identifier.Incarnation(w.now)
	var seeds []string
	for i := range exchangeNodes {
		seeds = append(seeds, string(exchangeNode(i)))
	}
	n := &gatewayNode{
		vm:          vm,
		incarnation: incarnation,
		alive:       true,
		began:       w.now,
		read:        map[identifier.LogStream]int{},
		era:         w.era,
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
	w.nodes[vm] = n
	w.every(n, messenger.TickInterval, func() { w.apply(n, messenger.Tick{}) })
	w.every(n, 400, func() { w.readServers(n) })
	w.every(n, 200, func() { w.readConfiguration(n) })
	w.every(n, 100, func() { w.readStreams(n) })
	if w.size.listed {
		w.list(n)
	}
}

// every does something again and again while the process lives.
func (w *exchangeWorld) every(n *gatewayNode, d timekeeper.Duration, do func()) {
	w.after(d, func() {
		if !n.alive {
			return
		}
		if !w.now.Before(n.frozen) {
			do()
		}
		w.every(n, d, do)
	})
}

func (w *exchangeWorld) readServers(n *gatewayNode) {
	first := n.servers == 0
	if !first && !n.r.Following(w.now).Servers {
		return
	}
	if w.storeDown || n.offStore {
		return
	}
	if w.noteEra(n); n.servers == 0 {
		first = true
	}
	n.servers = min(n.servers, len(w.entries))
	entries := slices.Clone(w.entries[n.servers:])
	for i := range entries {
		entries[i].Offset = identifier.OffsetAt(w.era, uint64(n.servers+i))
	}
	n.servers = len(w.entries)
	w.apply(n, messenger.ServersPublished{
		Servers: entries,
		All:     first,
	})
}

func (w *exchangeWorld) readConfiguration(n *gatewayNode) {
	if n.r.Catalog() != nil && !n.r.Following(w.now).Configuration {
		return
	}
	if w.storeDown || n.offStore {
		return
	}
	w.noteEra(n)
	w.apply(n, messenger.CatalogPublished{
		Catalog:   w.catalogs[len(w.catalogs)-1],
		Data:      []byte{byte(len(w.catalogs) - 1)},
		FromStore: true,
		Orders:    w.orders(),
	})
}

func (w *exchangeWorld) readStreams(n *gatewayNode) {
	if w.storeDown || n.offStore {
		return
	}
	w.noteEra(n)
	for _, s := range n.r.Streams() {
		records := w.streams[s][min(n.read[s], len(w.streams[s])):]
		n.read[s] = len(w.streams[s])
		w.apply(n, messenger.LogRead{
			Stream:  s,
			First:   1,
			Records: slices.Clone(records),
			End:     true,
		})
	}
}

// apply gives a node an event and carries its effects out.
func (w *exchangeWorld) apply(n *gatewayNode, body messenger.EventBody) {
	if !n.alive {
		return
	}
	effects := n.r.Apply(messenger.Event{
		At:   w.now,
		Body: body,
	})
	if c := n.r.Catalog(); c != nil {
		if c.Revision < n.revision {
			w.fault("%s goes back from revision %d to %d", n.vm, n.revision, c.Revision)
		}
		n.revision = c.Revision
	}
	for _, e := range effects {
		w.carryOut(n, e)
	}
}

// deliver gives a peer an event, unless one of both is cut off or gone.
func (w *exchangeWorld) deliver(n *gatewayNode, address string, event func(to *gatewayNode) messenger.EventBody) {
	w.after(1, func() {
		to := w.nodes[identifier.VMID(address)]
		if n.cut || to == nil || to.cut || !to.alive || w.now.Before(to.frozen) {
			return
		}
		w.apply(to, event(to))
	})
}

func (w *exchangeWorld) carryOut(n *gatewayNode, effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.SendStateUpdate:
		w.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody {
			return messenger.StateUpdateReceived{
				From:   n.vm,
				Update: e.Update,
			}
		})
	case messenger.SendGossip:
		w.deliver(n, e.Address, func(*gatewayNode) messenger.EventBody {
			return messenger.GossipReceived{
				From: n.vm,
				Data: e.Data,
			}
		})
	case messenger.FetchConfiguration:
		w.deliver(n, e.Address, func(to *gatewayNode) messenger.EventBody {
			if data, ok := to.r.ExportConfiguration(); ok {
				w.deliver(to, string(n.vm), func(*gatewayNode) messenger.EventBody {
					return messenger.CatalogPublished{
						Catalog: w.catalogs[data[0]],
						Data:    data,
					}
				})
			}
			return messenger.Tick{}
		})
	case messenger.RequestLimit:
		w.askLimit(n, e)
	case messenger.RequestPermit:
		w.askPermit(n, e)
	case messenger.AppendRecord:
		w.append(n, e)
	case messenger.OrderServers:
		w.duty(n, "scale/"+string(e.Order.Zone), e.Fence, e.NotAfter)
	case messenger.ReportUsage:
		if w.duty(n, "usage", e.Fence, e.NotAfter) {
			w.report(e)
		}
	case messenger.ClaimRollouts:
		w.claimRollouts(n, e)
	case messenger.StoreRollout:
		w.keepRollout(n, e)
	case messenger.SendExchange:
		w.serve(n, e)
	case messenger.RefuseExchange:
		w.refuse(e)
	case messenger.EndExchange:
		w.askAgain(w.requests[e.Exchange])
	}
}

// question is what a node asks a peer, which answers with one effect.
type question struct {
	address string
	asked   messenger.EventBody
	// answer returns the event that the effect of the peer is to the node that asked,
	// or nil where it is another effect.
	answer func(messenger.Effect) messenger.EventBody
	// silence is the event where the peer does not answer.
	silence messenger.EventBody
}

func (w *exchangeWorld) askPeer(n *gatewayNode, q question) {
	answered := false
	answer := func(body messenger.EventBody) {
		if !answered {
			answered = true
			w.apply(n, body)
		}
	}
	w.deliver(n, q.address, func(to *gatewayNode) messenger.EventBody {
		for _, effect := range to.r.Apply(messenger.Event{
			At:   w.now,
			Body: q.asked,
		}) {
			if body := q.answer(effect); body != nil {
				w.after(1, func() { answer(body) })
			}
		}
		return messenger.Tick{}
	})
	w.after(150, func() { answer(q.silence) })
}

func (w *exchangeWorld) askLimit(n *gatewayNode, e messenger.RequestLimit) {
	w.askPeer(n, question{
		address: e.Address,
		asked: messenger.LimitRequested{
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
		silence: messenger.LimitAnswered{
			Exchange: e.Exchange,
			Unknown:  true,
		},
	})
}

// append appends a record, late where appends are; while the store is down
// nothing is.
func (w *exchangeWorld) append(n *gatewayNode, e messenger.AppendRecord) {
	w.after(4+w.lateWrite, func() {
		if w.storeDown || n.offStore {
			return
		}
		era, place := n.era, len(w.streams[e.Stream])
		if place > 0 {
			era = max(era, w.streams[e.Stream][place-1].Offset.Generation())
		}
		w.streams[e.Stream] = append(w.streams[e.Stream], messenger.Record{
			Offset:   identifier.OffsetAt(era, uint64(place)),
			Appended: w.now,
			Data:     e.Data,
		})
		w.after(1, func() {
			w.apply(n, messenger.AppendEnded{
				Ticket: e.Ticket,
				Stream: e.Stream,
				OK:     true,
			})
		})
	})
}

// duty is a call under a fence, as the cloud takes it.
func (w *exchangeWorld) duty(n *gatewayNode, subject string, fence identifier.Fence, notAfter timekeeper.Time) bool {
	if !w.now.Before(notAfter) || n.offStore && n.cut {
		return false
	}
	holder := process{
		vm:          n.vm,
		incarnation: n.incarnation,
	}
	if other, used := w.holders[fence]; used && other != holder {
		w.fault("fence %d used by %v and %v", fence, other, holder)
	}
	w.holders[fence] = holder
	if fence < w.fences[subject] {
		return false
	}
	w.fences[subject] = fence
	return true
}

func (w *exchangeWorld) report(e messenger.ReportUsage) {
	if before, ok := w.reports[e.Window]; ok && !maps.Equal(before, e.Counts) {
		w.fault("window %d reported as %v and %v", e.Window, before, e.Counts)
	}
	w.reports[e.Window] = e.Counts
}

// anyReady returns a node that callers would be sent to, or nil.
func (w *exchangeWorld) anyReady() *gatewayNode {
	var ready []*gatewayNode
	for _, vm := range slices.Sorted(maps.Keys(w.nodes)) {
		if n := w.nodes[vm]; n.alive && n.r.Ready() && !w.now.Before(n.frozen) {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.rng.IntN(len(ready))]
}

// ask sends a request to a node that callers would be sent to.
func (w *exchangeWorld) ask() {
	n := w.anyReady()
	if n == nil {
		return
	}
	kinds := []catalog.Repetition{catalog.AtMostOnce, catalog.Repeatable, catalog.Resumable}
	kind := kinds[w.rng.IntN(len(kinds))]
	w.next++
	id := identifier.RequestID(fmt.Sprintf("r-%d", w.next))
	w.kinds[id] = kind
	w.requests[w.next] = id
	w.receive(n, id, kind, contentOf(id))
}

// receive gives a node a request.
func (w *exchangeWorld) receive(n *gatewayNode, id identifier.RequestID, kind catalog.Repetition, content identifier.ContentHash) {
	w.contents[id] = content
	w.repeats.asked = append(w.repeats.asked, w.now)
	w.apply(n, messenger.ExchangeReceived{
		Spec: messenger.ExchangeSpec{
			Exchange:     w.next,
			Request:      id,
			Host:         "api.example",
			Path:         "/" + string(kind) + "/1",
			Key:          "secret",
			Received:     w.now,
			TimeLimit:    5 * timekeeper.Second,
			PromptTokens: 100,
			MaxTokens:    20,
			Content:      content,
		},
	})
}

// serve is a backend server with an attempt.
func (w *exchangeWorld) serve(n *gatewayNode, e messenger.SendExchange) {
	if w.refusedByEnded(n, e) {
		return
	}
	id := w.requests[e.Exchange]
	if left, leaving := w.left[e.Server]; leaving && w.now.Sub(left) > leaveBound && !n.cut && !n.offStore {
		w.fault("%s sends %s to %s, which left %d ms ago", n.vm, id, e.Server, w.now.Sub(left))
	}
	if e.Attempt > 1 {
		w.repeats.again = append(w.repeats.again, w.now)
	}
	result := messenger.AttemptComplete
	if w.serverFault != "" && (w.alwaysFails || w.rng.IntN(2) == 0) {
		result = w.serverFault
	}
	if w.rollouts.arrives(e.Server) {
		result = messenger.AttemptFailed
	}
	if result != messenger.AttemptNotSent && result != messenger.AttemptRefused {
		w.ran[id] = append(w.ran[id], e.Server)
		if w.kinds[id] == catalog.AtMostOnce && len(w.ran[id]) > 1 {
			w.fault("%s ran at %v", id, w.ran[id])
		}
	}
	f := w.begin(n, e)
	sent := w.now
	if result != messenger.AttemptNotSent {
		w.limitArrival(n, e.Server)
	}
	w.after(w.work, func() {
		if f.over {
			return
		}
		f.over = true
		w.stateLimit(n, e.Server, sent, result)
		if result == messenger.AttemptComplete {
			w.answered++
			w.apply(n, messenger.ExchangeBegan{
				Exchange: e.Exchange,
				Attempt:  e.Attempt,
			})
			w.apply(n, messenger.ExchangeEnded{
				Exchange: e.Exchange,
				Result:   result,
			})
			return
		}
		w.apply(n, messenger.ExchangeAttemptEnded{
			Exchange: e.Exchange,
			Attempt:  e.Attempt,
			Result:   result,
		})
	})
}

func (w *exchangeWorld) refuse(e messenger.RefuseExchange) {
	w.refused++
	w.noteRefusal(e)
	if id := w.requests[e.Exchange]; len(w.ran[id]) > 0 {
		w.fault("%s was refused and ran at %v", id, w.ran[id])
	}
}

// holder returns the node that gave the last order, or some node.
func (w *exchangeWorld) holder() *gatewayNode {
	var last identifier.Fence
	for fence := range w.holders {
		last = max(last, fence)
	}
	if n := w.nodes[w.holders[last].vm]; n != nil {
		return n
	}
	return w.nodes[exchangeNode(0)]
}

func (w *exchangeWorld) kill(n *gatewayNode, down timekeeper.Duration) {
	n.alive = false
	w.after(down, func() { w.start(n.vm) })
}

// run plays the day and looks at its end.
func (w *exchangeWorld) run() {
	for w.queue.Len() > 0 && w.queue[0].at.Before(exchangeStart.Add(exchangeDay)) {
		next := heap.Pop(&w.queue).(task)
		w.now = max(w.now, next.at)
		next.do()
	}
	for _, n := range w.nodes {
		behind := n.alive && n.revision < w.catalogs[len(w.catalogs)-1].Revision
		if behind && w.now.Sub(w.published) > revisionBound && w.now.Sub(n.began) > revisionBound && !w.now.Before(n.frozen) {
			w.fault("%s has revision %d long after %d", n.vm, n.revision, w.catalogs[len(w.catalogs)-1].Revision)
		}
	}
	if w.answered < 200 {
		w.fault("only %d requests answered, %d refused", w.answered, w.refused)
	}
	if len(w.reports) < 4 {
		w.fault("only %d windows reported", len(w.reports))
	}
}
