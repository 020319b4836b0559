package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/sizer"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// gatewayHoldOff and gatewayMaxHoldOff bound the time without work of a
	// suspected server: it is one of a dozen, and faults last some seconds.
	gatewayHoldOff    = 1 * timekeeper.Second
	gatewayMaxHoldOff = 8 * timekeeper.Second
	gatewayProbeTime  = 3 * timekeeper.Second
	gatewayProbes     = 2
	// retryShare is how much of a retry each request earns. It leaves a part of the
	// users' bound to nodes whose requests are few and to resumed streams.
	retryShare = 0.15
	// retryExtra is the retries of a service in retrySpan, of all nodes together,
	// beyond that, and retryNodeExtra those of each node: a stream that broke off at a
	// node with few requests goes on elsewhere, also right after its start. The users
	// allow 40 and two a node, so that both fit twice, for a loss of all nodes, and a
	// third time where a node has some two requests a second.
	retryExtra     = 12
	retryNodeExtra = 1
	retrySpan      = 10 * timekeeper.Second

	// dutyLease is the lease of all duties.
	dutyLease leaser.Name = "duties"
	// leaseTerm is how long a holder that died keeps others out. Its renewals,
	// three a term, are calls to the store that are paid for.
	leaseTerm = 3 * timekeeper.Second
	// dutyNodes is how many nodes follow the lease and may come to hold it:
	// a zone's loss and one failure more leave one.
	dutyNodes = 3
	// settleTime is how long a node that has just started waits before it takes
	// itself for one of the first for a purpose: until it hears of its peers
	// it is the first of all. A lease that its last holder left behind lapses
	// later than that.
	settleTime = 1500 * timekeeper.Millisecond
	// mostNodes is the part of the nodes that the platform's list names of which a
	// node has heard when it need not wait for settleTime: of those first for a
	// purpose it then knows most, so that few take themselves for one in vain.
	mostNodes = 0.9
	// leastSettle is how long it waits in any case: where all start for the first
	// time, the list that the first of them read names hardly anyone.
	leastSettle = 700 * timekeeper.Millisecond
	// serverReaders and configReaders are how many nodes read the store while
	// peers hear from them; each read is paid for.
	serverReaders = 2
	configReaders = 4
	// serversStale and configStale are the ages of what peers tell past which
	// a node reads the store itself. Servers that are leaving must get nothing
	// two seconds after their notice, and configurations be in force in two.
	serversStale = 1100 * timekeeper.Millisecond
	configStale  = 4 * timekeeper.Second
	// configDoubt is the age past which unknown routes and keys are not
	// refused for good.
	configDoubt = 6 * timekeeper.Second

	// shareEachTime is the spacing of the shares to each peer.
	shareEachTime = 500 * timekeeper.Millisecond
	// wantAfter is how long after its start a node that has not read all servers from
	// the store asks its peers for them.
	wantAfter = 500 * timekeeper.Millisecond
	// relayedWindow is the same as shareWindow for one of two relays: each node of
	// its zone hears of an entry from both, twice.
	relayedWindow = 600 * timekeeper.Millisecond
	// newcomerTime is for how long a peer that joined or came back hears of all
	// entries: it may not reach the store, and would know no server.
	newcomerTime = 2 * timekeeper.Second
	// shareWindow is for how long a changed entry is reported again: each peer
	// hears of it four times.
	shareWindow = 2 * timekeeper.Second
	// sharePeers is the most peers that a node tells all of them what it knows;
	// where there are more, relays pass it on.
	sharePeers = 16
	planEvery  = 500 * timekeeper.Millisecond
	// fetchPause is the spacing of fetches of a peer's configuration.
	fetchPause = 300 * timekeeper.Millisecond
	// acceptWhileLeaving is how long a leaving node takes new requests. Callers
	// keep its address for some seconds; one that is refused comes back
	// elsewhere, which costs it one of its few tries.
	acceptWhileLeaving = 3 * timekeeper.Second
	// lingerLeaving is how long a leaving node without requests stays: callers
	// that have not heard of the stop would find its port closed.
	lingerLeaving = 2500 * timekeeper.Millisecond
)

// GatewayConfig sets up a node that serves opaque exchanges.
type GatewayConfig struct {
	// LeaderTasks makes the holder of the lease order servers from the platform and
	// report usage to it.
	LeaderTasks bool
	UsageWindow timekeeper.Duration
	UsageLate   timekeeper.Duration
	// Share is the part of a service's requests that a version which is not trusted
	// yet may get, and Slack a number beside.
	Share float64
	Slack float64
}

func (*GatewayConfig) suspicions() detector.Config {
	return detector.Config{
		Rules:        detector.AllRules(),
		HoldOff:      gatewayHoldOff,
		MaxHoldOff:   gatewayMaxHoldOff,
		ProbeTimeout: gatewayProbeTime,
		Probes:       gatewayProbes,
	}
}

func newRetries() *retrier.Allowance {
	return retrier.NewAllowance(retrier.AllowanceConfig{
		Share: retryShare,
		Span:  retrySpan,
	})
}

// gateway is the part of the state that opaque exchanges need.
type gateway struct {
	config      GatewayConfig
	self        identifier.VMID
	incarnation identifier.Incarnation
	catalog     *catalog.Catalog
	data        []byte
	// confirmed is the instant as of which no newer configuration was known.
	confirmed timekeeper.Time
	servers   *registrar.Table
	exchanges *dispatcher.Dispatcher
	retries   *retrier.Allowance
	// quarantine is that of the reducer.
	quarantine *quarantiner.Quarantine
	usage      *accountant.Accountant
	sizes      *sizer.Sizer
	versions   *promoter.Promoter
	leases     *leaser.Table
	holding    identifier.Fence
	// limits are the request rates that servers accept.
	limits *throttler.Table
	// permits are what this node grants of them.
	permits *throttler.Permits
	local   *limiter.Buckets
	// central is what this node grants while it holds the lease.
	central *limiter.Buckets
	// granter is the peer that was heard last to hold the lease.
	granter      identifier.VMID
	granterFence identifier.Fence
	granterHeard timekeeper.Time
	// silent counts the questions that it did not answer since.
	silent int
	// listed is how many nodes the platform's list named.
	listed int
	// startedAt is the first tick, and settled tells that the node has had
	// time to hear of its peers since.
	startedAt timekeeper.Time
	settled   bool
	// candidate tells that the node was ever one that may hold the duties.
	candidate bool
	// leaseRead tells that the node has read the lease's stream, and quarantineRead
	// that it has read that of the requests that are refused.
	leaseRead      bool
	quarantineRead bool
	nextShare      timekeeper.Time
	nextRelay      timekeeper.Time
	// shareRounds counts the shares that were sent.
	shareRounds int
	// relayNews tells that a server's entry changed since the last sums.
	relayNews bool
	// relaySince is when this node became a relay, or zero while it is none.
	relaySince timekeeper.Time
	nextPlan   timekeeper.Time
	nextFetch  timekeeper.Time
	// newcomers are the peers that joined or came back lately, with the
	// instant until which they hear of all entries.
	newcomers map[identifier.VMID]timekeeper.Time
	// wanting are the peers that want to hear of all servers, and whole tells that
	// this node knows all.
	wanting map[identifier.VMID]bool
	whole   bool
	// many tells that nodes are so many that relays pass news on.
	many bool
	// gathered is what newcomers were told last.
	gathered *entries
	draining bool
	leaveAt  timekeeper.Time
	exiting  bool
}

func newGateway(c Config, quarantine *quarantiner.Quarantine) *gateway {
	return &gateway{
		retries:     newRetries(),
		quarantine:  quarantine,
		config:      *c.Gateway,
		self:        c.Self,
		incarnation: c.Incarnation,
		servers:     registrar.New(),
		newcomers:   map[identifier.VMID]timekeeper.Time{},
		wanting:     map[identifier.VMID]bool{},
		exchanges: dispatcher.New(dispatcher.Config{
			Self: c.Self,
			Zone: c.Zone,
		}),
		usage: accountant.New(accountant.Config{
			Window: c.Gateway.UsageWindow,
			Late:   c.Gateway.UsageLate,
		}),
		sizes: sizer.New(),
		versions: promoter.New(promoter.Config{
			Self:        c.Self,
			Incarnation: c.Incarnation,
			Share:       c.Gateway.Share,
			Slack:       c.Gateway.Slack,
		}),
		limits:  throttler.New(),
		permits: throttler.NewPermits(),
		local:   limiter.NewLocal(),
		leases: leaser.New(leaser.Config{
			Self:        c.Self,
			Incarnation: c.Incarnation,
			TTL:         leaseTerm,
			Retention:   c.LogRetention,
		}),
	}
}

func (g *gateway) revision() identifier.Revision {
	if g.catalog == nil {
		return 0
	}
	return g.catalog.Revision
}

// gatewayEvent hands an event to the parts that serve opaque exchanges.
func (r *Reducer) gatewayEvent(w *conductor.Env, body messenger.EventBody) []messenger.Effect {
	g := r.gateway
	if g == nil {
		return nil
	}
	switch b := body.(type) {
	case messenger.ExchangeReceived:
		return r.withNews(w, g.exchanges.Receive(r.exchangeWorld(w), b.Spec))
	case messenger.ExchangeBegan:
		g.exchanges.Began(r.exchangeWorld(w), b)
		return r.withNews(w)
	case messenger.ExchangeAttemptEnded:
		effect := g.exchanges.AttemptEnded(r.exchangeWorld(w), b)
		r.tellEndsSoon(w)
		return r.withNews(w, effect)
	case messenger.ExchangeEnded:
		g.exchanges.Ended(r.exchangeWorld(w), b)
		r.tellEndsSoon(w)
	case messenger.CatalogPublished:
		return r.catalogPublished(w, b)
	case messenger.CatalogConfirmed:
		g.confirmed = w.Now
	case messenger.ServersPublished:
		g.whole = g.whole || b.All
		return r.serversChanged(w, g.servers.ApplyRead(w.Now, b.Servers, b.All), true)
	case messenger.StateUpdateReceived:
		return r.shareReceived(w, b)
	case messenger.ServersOrdered:
		return r.serversOrdered(w, b)
	case messenger.UsageReported:
		return r.usageReported(b)
	case messenger.ServerLimitReceived:
		return r.serverLimitHeard(w, b)
	case messenger.PermitRequested:
		return r.permitAsked(w, b)
	case messenger.PermitAnswered:
		return r.permitAnswered(w, b)
	case messenger.RolloutsClaimed:
		return r.rolloutsClaimed(w, b)
	case messenger.RolloutStored:
		return r.rolloutKept(w, b)
	case messenger.LimitAnswered:
		r.granterAnswered(w, b.Unknown, b.NotGranting)
		return r.withNews(w, g.exchanges.LimitAnswered(r.exchangeWorld(w), b))
	case messenger.LimitRequested:
		return []messenger.Effect{
			messenger.AnswerLimit{
				Ticket: b.Ticket,
				Answer: dispatcher.GrantLimit(r.exchangeWorld(w), b.Account, b.Tokens),
			},
		}
	}
	return nil
}

func (r *Reducer) exchangeWorld(w *conductor.Env) dispatcher.Env {
	g := r.gateway
	out := dispatcher.Env{
		Now:             w.Now,
		Catalog:         g.catalog,
		Servers:         g.servers,
		Local:           g.local,
		Retries:         g.retries,
		Suspicions:      r.suspicions,
		Quarantine:      r.quarantine,
		Versions:        g.versions,
		OrdersAsOf:      g.confirmed,
		Rand:            r.rand,
		OnBegan:         func(a identifier.AccountID) { g.usage.Began(w.Now, a) },
		Limits:          g.limits,
		Permits:         g.permits,
		PermitAllocator: func(server identifier.VMID) *dispatcher.Allocator { return r.permitsOf(w, server) },
		ConfigStale:     w.Now.Sub(g.confirmed) > configDoubt,
		Inputs: messenger.DecisionInputs{
			Revision:    g.revision(),
			RevisionAge: age(w.Now, g.confirmed),
			ServersAge:  age(w.Now, g.servers.AsOf()),
		},
	}
	if _, _, held := g.leases.Held(dutyLease, w.Now); held {
		out.Central = g.central
		return out
	}
	if out.Allocator = r.granterNow(w); out.Allocator != nil {
		return out
	}
	out.AllocatorDue = max(g.granterDue().Sub(w.Now), 0)
	return out
}

// age returns how long ago an instant was, or a negative span where it is none.
func age(now, at timekeeper.Time) timekeeper.Duration {
	if at == 0 {
		return -1
	}
	return now.Sub(at)
}

// catalogPublished puts a configuration in force if it is newer than the one
// that is, whatever path it came by. An older one never comes back.
func (r *Reducer) catalogPublished(w *conductor.Env, e messenger.CatalogPublished) []messenger.Effect {
	g := r.gateway
	if e.FromStore {
		g.confirmed = w.Now
	}
	g.versions.ApplyOrders(w.Now, e.Orders)
	out := r.noteRollouts(w)
	if e.Catalog == nil || e.Catalog.Revision <= g.revision() {
		return out
	}
	g.catalog = e.Catalog
	g.data = e.Data
	g.local.Forget(e.Catalog)
	out = append(out, messenger.TimelineEntry{
		Kind:   "config_in_force",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("revision=%d direct=%t", e.Catalog.Revision, e.FromStore),
	})
	if e.FromStore {
		out = append(out, r.shareNow(w)...)
	}
	return out
}

// serversChanged tells the time line, and the peers where this node heard of
// the change first.
func (r *Reducer) serversChanged(w *conductor.Env, changed []messenger.PublishedServer, direct bool) []messenger.Effect {
	if len(changed) == 0 {
		return nil
	}
	r.gateway.nextRelay = w.Now
	r.gateway.relayNews = true
	var out []messenger.Effect
	for _, s := range changed {
		out = append(out, messenger.TimelineEntry{
			Kind: messenger.TimelineKind("server_" + string(s.State)),
			VM:   s.Server,
			Detail: fmt.Sprintf("service=%s zone=%s market=%s offset=%d leaves_in=%s direct=%t",
				s.Service, s.Zone, s.Market, s.Offset, s.LeavesIn, direct) + versionText(s.Version),
		})
		switch s.State {
		case messenger.ServerReady:
			r.gateway.versions.ObserveVersion(w.Now, s.Service, s.Version)
		case messenger.ServerLeaving:
			r.gateway.exchanges.ServerLeaving(s.Server)
		case messenger.ServerRemoved:
			r.suspicions.Forget(s.Server)
			r.gateway.exchanges.ServerRemoved(r.exchangeWorld(w), s.Server)
			r.gateway.limits.Forget(s.Server)
			r.gateway.permits.Forget(s.Server)
		}
	}
	if direct {
		out = append(out, r.shareNow(w)...)
	}
	return out
}

// tickGateway lets time pass for the exchanges and the duties.
func (r *Reducer) tickGateway(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	out := r.serversChanged(w, g.servers.Tick(w.Now), true)
	if g.startedAt == 0 {
		g.startedAt = w.Now
	}
	g.settled = g.settled || w.Now.Sub(g.startedAt) >= settleTime || r.heardMost(w.Now)
	if g.settled && !g.candidate {
		g.candidate = r.ranking.Chosen(string(dutyLease), dutyNodes)
	}
	r.shareGrants(w)
	g.limits.Tick(w.Now)
	if !w.Now.Before(g.nextShare) {
		out = append(out, r.shareNow(w)...)
	}
	out = append(out, r.relayNow(w)...)
	out = append(out, r.tickDuties(w)...)
	out = append(out, r.tickRollouts(w)...)
	out = append(out, r.tickQuarantine(w)...)
	if g.draining && !g.exiting && !w.Now.Before(g.leaveAt) && g.exchanges.InFlight() == 0 {
		g.exiting = true
		out = append(out, messenger.Exit{})
	}
	return out
}

// heardMost reports whether a node that has just started has heard of most of the
// nodes that there are.
func (r *Reducer) heardMost(now timekeeper.Time) bool {
	listed := r.gateway.listed
	return listed > 1 && now.Sub(r.gateway.startedAt) >= leastSettle &&
		float64(r.members.Count(now, cutMemory)) >= mostNodes*float64(listed)
}

// gatewayDrain begins a planned stop: callers are sent elsewhere at once, and
// the node stays until what it took has ended.
func (r *Reducer) gatewayDrain(w *conductor.Env, e messenger.DrainStarted) []messenger.Effect {
	g := r.gateway
	g.draining = true
	g.leaveAt = w.Now.Add(lingerLeaving)
	g.exchanges.Leave(w.Now.Add(acceptWhileLeaving))
	g.leases.ReleaseAll()
	marked := r.membersChanged(w, r.members.MarkLeaving(w.Now, r.config.Self, e.Deadline))
	return append(r.tickGossip(w), marked...)
}
