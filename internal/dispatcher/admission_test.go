package dispatcher_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// kind is a kind of request in the simulation of servers with queues.
type kind struct {
	name       string
	service    identifier.ServiceName
	stream     bool
	repetition catalog.Repetition
	attempts   int
	rank       int
	target     timekeeper.Duration
	deadline   timekeeper.Duration
	// share is the part of its service's requests, prompt the mean size of their prompts, and answer
	// the mean time for which an answer takes a slot after its prompt was read.
	share  float64
	prompt float64
	answer float64
}

var kinds = []kind{
	{
		name:       "draft",
		service:    "reader",
		stream:     true,
		repetition: catalog.Resumable,
		attempts:   2,
		target:     1000,
		deadline:   15_000,
		share:      0.2,
		prompt:     6600,
		answer:     1900,
	},
	{
		name:       "summary",
		service:    "reader",
		stream:     true,
		repetition: catalog.AtMostOnce,
		attempts:   1,
		rank:       1,
		target:     1000,
		deadline:   12_000,
		share:      0.4,
		prompt:     630,
		answer:     1450,
	},
	{
		name:       "tag",
		service:    "reader",
		stream:     true,
		repetition: catalog.Resumable,
		attempts:   2,
		rank:       2,
		target:     1500,
		deadline:   3000,
		share:      0.4,
		prompt:     1800,
		answer:     110,
	},
	{
		name:       "lookup",
		service:    "ledger",
		repetition: catalog.Repeatable,
		attempts:   2,
		rank:       2,
		target:     120,
		deadline:   600,
		share:      1,
		answer:     20,
	},
}

// service is the shape of the servers of a service.
type service struct {
	slots, queue int
}

var services = map[identifier.ServiceName]service{
	"reader": {
		slots: 32,
		queue: 67,
	},
	"ledger": {
		slots: 6,
		queue: 24,
	},
}

const (
	// ledgers is the number of servers of the service ledger.
	ledgers     = 2
	tokensPerMS = 66.0
	// readingShare is the time that a prompt takes a slot, as a multiple of the time to read it.
	readingShare = 4
	maxGap       = 500 * timekeeper.Millisecond
	clumpSize    = 3
	maxRetryPart = 3
)

// slotServer runs requests in its slots and queues others by rank.
type slotServer struct {
	service
	running int
	readAt  timekeeper.Time
	queue   []*job
}

// job is a request at a server.
type job struct {
	urgency int
	run     func()
}

// outcome counts what became of the requests of one kind.
type outcome struct {
	asked, inTime, late int
	// refused counts requests whose last attempt was refused, expired those that waited in
	// a queue until their caller left, and failed the others without an answer.
	refused, expired, failed int
	// tries counts the attempts of callers.
	tries int
	// largeAsked and largeServed count the requests in the largest tenth.
	largeAsked, largeServed int
}

func (o outcome) served() int { return o.inTime + o.late }

func (o outcome) servedPart() float64 { return float64(o.served()) / float64(o.asked) }

// queueCluster is a simulated cluster of nodes before servers with slots and queues.
type queueCluster struct {
	*promptCluster
	// requests draws the requests, so that they are the same whatever is done with them.
	requests *rand.Rand
	servers  map[string]*slotServer
	outcomes map[string]*outcome
	// readers is the number of servers of the service reader.
	readers int
	// retries is the number of times that callers return after a refusal.
	retries int
	// reports is set if relays' sums arrive.
	reports bool
	nextID  identifier.ExchangeID
}

func queueCatalog() *catalog.Catalog {
	var routes []*catalog.Route
	for _, k := range kinds {
		r := route(k.name, k.repetition, k.stream, k.attempts)
		r.Rank = k.rank
		r.Target = k.target
		r.Timeout = k.deadline
		r.MaxGap = maxGap
		r.Split[0].Service = k.service
		routes = append(routes, r)
	}
	routing := catalog.NewRouting(routes, map[string]identifier.AccountID{"secret": "agency"})
	routing.Backends["reader"] = catalog.Backend{
		Model: true,
		Slots: services["reader"].slots,
		Fleet: &catalog.Fleet{
			Max:      30,
			BootTime: 4 * timekeeper.Second,
		},
	}
	routing.AccountRanks["agency"] = 0
	return &catalog.Catalog{
		Revision: 1,
		Routing:  routing,
	}
}

func newQueueCluster(t *testing.T, nodes, servers int, admission bool) *queueCluster {
	c := &queueCluster{
		promptCluster: &promptCluster{
			t:       t,
			now:     start,
			rng:     rand.New(rand.NewPCG(5, 6)),
			relayed: true,
		},
		requests: rand.New(rand.NewPCG(8, 9)),
		servers:  map[string]*slotServer{},
		outcomes: map[string]*outcome{},
		readers:  servers,
		retries:  1,
		reports:  true,
	}
	c.reset()
	for i := range nodes {
		c.nodes = append(c.nodes, newAdmittingNode(i, servers, admission))
	}
	return c
}

// reset starts new counts. Requests that were sent before stay out of them.
func (c *queueCluster) reset() {
	for _, k := range kinds {
		c.outcomes[k.name] = &outcome{}
	}
}

func newAdmittingNode(i, servers int, admission bool) *node {
	n := newNode(servers)
	n.Dispatcher = dispatcher.New(dispatcher.Config{
		Self:      identifier.VMID(fmt.Sprintf("entry-%d", i)),
		Zone:      "zone-0",
		Admission: admission,
	})
	n.env.Catalog = queueCatalog()
	for l := range ledgers {
		n.publishLedger(l)
	}
	n.env.Rand = rand.New(rand.NewPCG(7, uint64(i)))
	return n
}

// publishSlots publishes the number of slots of a known server.
func (n *node) publishSlots(vm identifier.VMID, slots int) {
	known, _ := n.env.Servers.Server(vm)
	n.offset++
	entry := known.PublishedServer
	entry.Offset = n.offset
	entry.Slots = slots
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry}})
}

// publishLedger publishes a server of the service ledger.
func (n *node) publishLedger(i int) {
	n.offset++
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{
		{
			Server:  identifier.VMID(fmt.Sprintf("l-%d", i)),
			Offset:  n.offset,
			Service: "ledger",
			Address: fmt.Sprintf("l-%d:80", i),
			Zone:    "zone-0",
			Slots:   services["ledger"].slots,
			State:   messenger.ServerReady,
		},
	}})
}

// play runs requests for a span, at a part of the rate that the servers can answer.
func (c *queueCluster) play(span timekeeper.Duration, load float64) {
	for _, name := range []identifier.ServiceName{"ledger", "reader"} {
		every := clumpSize * 1000 / (c.capacity(name) * load)
		for at := 0.0; at < float64(span); at += every {
			c.after(timekeeper.Duration(at), func() {
				k := c.drawKind(name)
				for range clumpSize {
					c.call(k)
				}
			})
		}
	}
	c.advance(span)
}

// advance runs the events of a span.
func (c *queueCluster) advance(span timekeeper.Duration) {
	end := c.now.Add(span)
	for at := timekeeper.Duration(0); c.reports && at < span; at += relaySpacing {
		c.after(at, func() { c.relay(relaySpacing) })
	}
	for c.queue.Len() > 0 && c.queue[0].at.Before(end) {
		next := heap.Pop(&c.queue).(event)
		c.now = max(c.now, next.at)
		next.run()
	}
	c.now = end
}

func (c *queueCluster) drawKind(name identifier.ServiceName) kind {
	at := c.requests.Float64()
	for _, k := range kinds {
		if k.service != name {
			continue
		}
		if at -= k.share; at < 0 {
			return k
		}
	}
	return kinds[0]
}

// caller is one request of a caller, with its attempts.
type caller struct {
	kind     kind
	prompt   identifier.Tokens
	answer   timekeeper.Duration
	large    bool
	began    timekeeper.Time
	deadline timekeeper.Time
	retries  int
	outcome  *outcome
}

func (c *queueCluster) call(k kind) {
	size := c.requests.ExpFloat64()
	u := &caller{
		kind:     k,
		prompt:   identifier.Tokens(k.prompt * size),
		answer:   timekeeper.Duration(k.answer * c.requests.ExpFloat64()),
		large:    size > 2.3,
		began:    c.now,
		deadline: c.now.Add(k.deadline),
		retries:  c.retries,
		outcome:  c.outcomes[k.name],
	}
	u.outcome.asked++
	if u.large {
		u.outcome.largeAsked++
	}
	c.try(u)
}

// try sends a caller's request to a random node.
func (c *queueCluster) try(u *caller) {
	u.outcome.tries++
	n := c.nodes[c.rng.IntN(len(c.nodes))]
	c.nextID++
	spec := n.spec("/" + u.kind.name + "/1")
	spec.Exchange = c.nextID
	spec.Received = c.now
	spec.TimeLimit = u.deadline.Sub(c.now)
	spec.PromptTokens = u.prompt
	n.env.Now = c.now
	c.handle(n, u, spec, n.Receive(n.env, spec))
}

// handle carries out what a node decided on a request.
func (c *queueCluster) handle(n *node, u *caller, spec messenger.ExchangeSpec, effect messenger.Effect) {
	switch e := effect.(type) {
	case messenger.SendExchange:
		c.serve(n, u, spec, e)
	case messenger.RefuseExchange:
		delay := min(e.Refusal.RetryAfter, u.deadline.Sub(c.now)/maxRetryPart)
		if u.retries == 0 || e.Refusal.RetryAfter == 0 {
			u.outcome.refused++
			return
		}
		u.retries--
		c.after(delay, func() { c.try(u) })
	default:
		u.outcome.failed++
	}
}

// serve runs an attempt at its server.
func (c *queueCluster) serve(n *node, u *caller, spec messenger.ExchangeSpec, send messenger.SendExchange) {
	server := c.server(send.Address)
	open := true
	leave := send.Deadline
	if u.kind.stream {
		leave = min(leave, spec.Received.Add(max(2*timekeeper.Second, 4*u.kind.target, 8*maxGap)))
	}
	end := func(j *job) {
		open = false
		server.remove(j)
		n.env.Now = c.now
	}
	j := &job{urgency: send.Urgency}
	j.run = func() {
		server.running++
		reading := timekeeper.Duration(float64(u.prompt) / tokensPerMS)
		server.readAt = max(server.readAt, c.now).Add(reading)
		first := max(server.readAt.Sub(c.now), 0) + 12
		answer := u.answer
		if !u.kind.stream {
			first, answer = first+answer, 0
		}
		c.after(first, func() {
			if open {
				open = false
				n.env.Now = c.now
				c.answered(n, u, send)
				c.after(answer, func() {
					n.env.Now = c.now
					n.finish(send)
					c.free(server)
				})
				return
			}
			c.free(server)
		})
	}
	if !server.accept(j) {
		open = false
		n.env.Now = c.now
		c.handle(n, u, spec, n.endAttempt(send, messenger.AttemptRefused, false))
		return
	}
	c.after(leave.Sub(c.now), func() {
		if !open {
			return
		}
		end(j)
		u.outcome.expired++
		n.Ended(n.env, messenger.ExchangeEnded{Exchange: send.Exchange})
	})
	if send.FirstEventTimeout > 0 {
		c.after(send.FirstEventTimeout, func() {
			if !open {
				return
			}
			end(j)
			c.handle(n, u, spec, n.endAttempt(send, messenger.AttemptTimedOut, false))
		})
	}
}

func (c *queueCluster) answered(n *node, u *caller, send messenger.SendExchange) {
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	o := u.outcome
	if u.large {
		o.largeServed++
	}
	if c.now.Sub(u.began) <= u.kind.target {
		o.inTime++
		return
	}
	o.late++
}

func (c *queueCluster) server(address string) *slotServer {
	s := c.servers[address]
	if s == nil {
		name := identifier.ServiceName("reader")
		if address[0] == 'l' {
			name = "ledger"
		}
		s = &slotServer{service: services[name]}
		c.servers[address] = s
	}
	return s
}

// accept starts or queues a job, or rejects it.
func (s *slotServer) accept(j *job) bool {
	if s.running < s.slots {
		j.run()
		return true
	}
	if len(s.queue) >= s.service.queue {
		return false
	}
	i, _ := slices.BinarySearchFunc(s.queue, j.urgency+1, func(o *job, urgency int) int { return o.urgency - urgency })
	s.queue = slices.Insert(s.queue, i, j)
	return true
}

// remove drops a job that waits.
func (s *slotServer) remove(j *job) {
	s.queue = slices.DeleteFunc(s.queue, func(o *job) bool { return o == j })
}

// free ends a running job and starts the next one.
func (c *queueCluster) free(s *slotServer) {
	s.running--
	if len(s.queue) == 0 {
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next.run()
}

// capacity is the number of requests per second that the servers of a service can answer.
func (c *queueCluster) capacity(name identifier.ServiceName) float64 {
	perRequest := 0.0
	for _, k := range kinds {
		if k.service == name {
			perRequest += k.share * (k.answer + readingShare*k.prompt/tokensPerMS)
		}
	}
	servers := c.readers
	if name == "ledger" {
		servers = ledgers
	}
	return float64(servers*services[name].slots) * 1000 / perRequest
}

// expired returns the part of a service's requests that waited until their caller left.
func (c *queueCluster) expired(name identifier.ServiceName) float64 {
	asked, expired := 0, 0
	for _, k := range kinds {
		if k.service == name {
			asked += c.outcomes[k.name].asked
			expired += c.outcomes[k.name].expired
		}
	}
	return float64(expired) / float64(asked)
}

func (c *queueCluster) log(label string) {
	for _, k := range kinds {
		c.t.Logf("%s %s: %+v", label, k.name, *c.outcomes[k.name])
	}
}

// overload plays a load that rises from half of what the servers can answer, and counts the
// requests of the last part.
func overload(t *testing.T, nodes, servers int, load float64, admission bool) *queueCluster {
	c := newQueueCluster(t, nodes, servers, admission)
	c.play(8*timekeeper.Second, 0.5)
	c.play(4*timekeeper.Second, load)
	c.reset()
	counted := c.outcomes
	c.play(6*timekeeper.Second, load)
	c.outcomes = map[string]*outcome{}
	c.reset()
	c.play(8*timekeeper.Second, 0.01)
	c.outcomes = counted
	c.log(fmt.Sprintf("%d nodes, load %v, admission %v:", nodes, load, admission))
	return c
}

var clusterSizes = []struct{ nodes, servers int }{
	{
		nodes:   6,
		servers: 4,
	},
	{
		nodes:   24,
		servers: 8,
	},
	{
		nodes:   80,
		servers: 12,
	},
}

// Guards against refusals while servers have room, and less urgent requests served first.
func TestAdmissionUnderLoad(t *testing.T) {
	for _, size := range clusterSizes[:maxClusterSizes] {
		for _, load := range []float64{0.5, 1.5, 3} {
			t.Run(fmt.Sprintf("%d nodes, load %v", size.nodes, load), func(t *testing.T) {
				off := overload(t, size.nodes, size.servers, load, false)
				on := overload(t, size.nodes, size.servers, load, true)
				draft, summary, tag := on.outcomes["draft"], on.outcomes["summary"], on.outcomes["tag"]
				if load < 1 {
					require.Zero(t, draft.refused+summary.refused+tag.refused)
					require.Equal(t, draft.asked, draft.served())
					return
				}
				require.Less(t, on.expired("reader"), off.expired("reader")/5)
				require.Greater(t, draft.servedPart(), off.outcomes["draft"].servedPart())
				require.Greater(t, draft.servedPart(), summary.servedPart())
				require.Greater(t, summary.servedPart(), tag.servedPart())
				large := float64(draft.largeServed) / float64(draft.largeAsked)
				require.Greater(t, large, draft.servedPart()/2)
			})
		}
	}
}

// Guards against a crowd of refused callers that returns at once and is refused again.
func TestRefusedCallersReturnToRoom(t *testing.T) {
	var off *queueCluster
	for _, admission := range []bool{false, true} {
		c := newQueueCluster(t, clusterSizes[0].nodes, clusterSizes[0].servers, admission)
		c.play(8*timekeeper.Second, 0.5)
		c.reset()
		counted := c.outcomes
		c.retries = 10
		c.play(3*timekeeper.Second, 2)
		c.outcomes = map[string]*outcome{}
		c.reset()
		c.play(15*timekeeper.Second, 0.01)
		c.outcomes = counted
		c.log(fmt.Sprintf("admission %v:", admission))
		if !admission {
			off = c
			continue
		}
		require.Equal(t, c.outcomes["draft"].asked, c.outcomes["draft"].served())
		require.Greater(t, c.outcomes["tag"].servedPart(), off.outcomes["tag"].servedPart())
	}
}

// fullServers returns a report by which all servers of a node have the given number of requests.
func (n *node) fullServers(servers, requests int) messenger.StateUpdate {
	update := messenger.StateUpdate{InFlight: map[identifier.VMID]messenger.InFlight{}}
	for i := range servers {
		update.InFlight[serverID(i)] = messenger.InFlight{
			Running: requests,
			Prefill: 20 * timekeeper.Second,
		}
	}
	return update
}

const hopeless = 500

// newFullNode returns a node with two servers that are reported to have no room for a long time.
func newFullNode() *node {
	n := newAdmittingNode(0, 2, true)
	n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
	return n
}

// Guards against requests sent to servers that can't answer them in time.
func TestRefusesWithoutRoom(t *testing.T) {
	n := newFullNode()
	got := refusal(t, n.receive("/draft/1"))
	require.Equal(t, messenger.ReasonNoRoomInTime, got.Reason)
	require.LessOrEqual(t, got.RetryAfter, 10*timekeeper.Second/3)
	require.Positive(t, got.RetryAfter)
}

// Guards against the same at the second attempt.
func TestRefusesSecondAttemptWithoutRoom(t *testing.T) {
	n := newAdmittingNode(0, 2, true)
	send := n.sendPath(t, "/draft/1")
	n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
	require.Equal(t, messenger.ReasonNoRoomInTime, refusal(t, n.endAttempt(send, messenger.AttemptRefused, false)).Reason)
}

// Guards against a refusal of what may have run.
func TestKeepsRequestsThatMayHaveRun(t *testing.T) {
	n := newAdmittingNode(0, 2, true)
	send := n.sendPath(t, "/draft/1")
	n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
	require.IsType(t, messenger.SendExchange{}, n.endAttempt(send, messenger.AttemptBroken, false))
}

// Guards against refusals by what a node does not know.
func TestAdmitsWithoutKnownQueues(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*node)
		path    string
	}{
		{
			name:    "node that has just started",
			prepare: func(*node) {},
			path:    "/draft/1",
		},
		{
			name: "reports lost",
			prepare: func(n *node) {
				n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
				n.env.Now = n.env.Now.Add(3 * timekeeper.Second)
			},
			path: "/draft/1",
		},
		{
			name: "loads two seconds old",
			prepare: func(n *node) {
				n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
				n.env.Now = n.env.Now.Add(2 * timekeeper.Second)
			},
			path: "/draft/1",
		},
		{
			name:    "server that reports nothing",
			prepare: func(n *node) { n.StorePeerLoad(n.env.Now, "peer", n.fullServers(1, hopeless)) },
			path:    "/draft/1",
		},
		{
			name: "server of unknown slots",
			prepare: func(n *node) {
				n.env.Catalog.Routing.Backends["reader"] = catalog.Backend{Model: true}
				n.publishSlots(serverID(0), 0)
				n.publishSlots(serverID(1), 0)
				n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
			},
			path: "/draft/1",
		},
		{
			name: "most slots free at servers that are suspected",
			prepare: func(n *node) {
				for i := 2; i < 6; i++ {
					n.publish(i, messenger.ServerReady)
					n.env.Backoffs.Record(n.env.Now, serverID(i), 500)
				}
				n.StorePeerLoad(n.env.Now, "peer", n.fullServers(2, hopeless))
			},
			path: "/draft/1",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newAdmittingNode(0, 2, true)
			test.prepare(n)
			n.sendPath(t, test.path)
		})
	}
}

// Guards against callers that return before lost servers are replaced.
func TestCallersReturnAfterLossOfAllServers(t *testing.T) {
	n := newAdmittingNode(0, 2, true)
	for i := range 2 {
		n.publish(i, messenger.ServerRemoved)
	}
	for range 20 {
		got := refusal(t, n.receive("/summary/1"))
		require.Equal(t, messenger.ReasonNoServer, got.Reason)
		require.GreaterOrEqual(t, got.RetryAfter, 10*timekeeper.Second/4)
		require.LessOrEqual(t, got.RetryAfter, 10*timekeeper.Second/3)
	}
	n.env.Now = n.env.Now.Add(3 * timekeeper.Second)
	require.GreaterOrEqual(t, refusal(t, n.receive("/summary/1")).RetryAfter, 1*timekeeper.Second)
	n.publish(3, messenger.ServerReady)
	n.sendPath(t, "/summary/1")
}

// Guards against demand that vanishes with the refused requests of services without prompts.
func TestRefusedPlainRequestsAreDemand(t *testing.T) {
	n := newAdmittingNode(0, 2, true)
	full := messenger.StateUpdate{InFlight: map[identifier.VMID]messenger.InFlight{}}
	for _, ledger := range []identifier.VMID{"l-0", "l-1"} {
		full.InFlight[ledger] = messenger.InFlight{
			Running: hopeless,
			Prefill: hopeless,
		}
	}
	n.StorePeerLoad(n.env.Now, "peer", full)
	spec := n.spec("/lookup/1")
	spec.PromptTokens = 0
	require.Equal(t, messenger.NotRun, refusal(t, n.Receive(n.env, spec)).Outcome)
	require.Positive(t, n.Demand(n.env.Now, "ledger").OfferedLoad)
}
