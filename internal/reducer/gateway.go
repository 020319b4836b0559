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
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/sizer"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// gatewayHoldOff and gatewayMaxHoldOff bound the time for which a suspected server
	// receives no requests. They are short because a service may have only a dozen
	// servers.
	gatewayHoldOff      = 1 * timekeeper.Second
	gatewayMaxHoldOff   = 8 * timekeeper.Second
	gatewayProbeTimeout = 3 * timekeeper.Second
	gatewayProbes       = 2
	// retryFraction is the fraction of a retry that each request earns. It leaves a
	// part of the allowed retries to nodes with few requests and to resumed streams.
	retryFraction = 0.15
	// extraRetries is the number of additional retries of a service per retryWindow
	// over all nodes, and extraRetriesPerNode the number that each node adds. They
	// allow a node with few requests, or one that has just started, to resume broken
	// streams. A total of 40 and two per node is tolerated, so the budget may be used
	// twice, as after a loss of all nodes, and a third time if each node gets about two
	// requests per second.
	extraRetries        = 12
	extraRetriesPerNode = 1
	retryWindow         = 10 * timekeeper.Second

	// leaderLease is the lease of all leader tasks.
	leaderLease leaser.Name = "duties"
	// leaseTTL is the time after which the lease of a dead holder expires. A holder
	// renews it three times per leaseTTL, and each renewal is a paid call to the store.
	leaseTTL = 3 * timekeeper.Second
	// leaderNodes is the number of nodes that follow the lease and may hold it. After
	// the loss of a zone and of another node, one of them remains.
	leaderNodes = 3
	// vacancyTime is the time after the end of the last known holder's lease in which further
	// nodes acquire it and all nodes learn of that: a term and its margin since they read of it,
	// the delay of attempts, and leaderAnnounceTime. After it, leaderNodes more may hold it.
	vacancyTime = 6 * timekeeper.Second
	// settleTime is the time after its start for which a node does not regard itself as
	// one of the first ranked nodes: until it knows its peers, it is the first of all.
	// A lease of a previous holder expires later than that.
	settleTime = 1500 * timekeeper.Millisecond
	// settledFraction is the fraction of the nodes in the platform's list that a node
	// has to know before it may skip the rest of settleTime. It then knows most of the
	// first ranked nodes, so that few nodes take themselves for one of them in vain.
	settledFraction = 0.9
	// minSettleTime is the minimum settle time: when all nodes start for the first
	// time, the list read by the first of them is almost empty.
	minSettleTime = 700 * timekeeper.Millisecond
	// serverReaders is the number of nodes that read the servers from the store while their
	// peers receive the records from them. Each read is a paid call.
	serverReaders = 2
	// maxServersAge and maxConfigAge are the ages of received records from which a node
	// reads the store itself. Leaving servers must get no requests from 2 s after their
	// notice, and a configuration must be in force within 2 s.
	maxServersAge = 1100 * timekeeper.Millisecond
	maxConfigAge  = 4 * timekeeper.Second
	// maxTrustedConfigAge is the age of the configuration from which unknown routes and
	// keys are not refused permanently.
	maxTrustedConfigAge = 6 * timekeeper.Second

	// updateInterval is the time between state updates to each peer.
	updateInterval = 500 * timekeeper.Millisecond
	// serversRequestDelay is the time after its start from which a node that has not
	// read all servers from the store requests them from its peers.
	serversRequestDelay = 500 * timekeeper.Millisecond
	// updateRepeats is the number of rounds in which a relay reports a changed server
	// entry. Each node of its zone receives an entry twice from each of two relays.
	updateRepeats = 2
	// newPeerTime is the time for which a peer that joined or returned receives all
	// entries, because it may be unable to read the store.
	newPeerTime = 2 * timekeeper.Second
	// maxAcceptedAge is the time without an update that continues the earlier ones after
	// which a node of a large cluster requests all servers. Two relays send one each
	// within it.
	maxAcceptedAge = 1 * timekeeper.Second
	// serversRequestInterval is the minimum time between requests for all servers.
	serversRequestInterval = 2 * timekeeper.Second
	// updateWindow is the time for which a node that is not a relay reports a changed
	// server entry. Each peer receives it four times.
	updateWindow = 2 * timekeeper.Second
	// maxDirectPeers is the maximum number of peers to which each node sends its
	// updates directly. In larger clusters relays forward them.
	maxDirectPeers = 16
	planInterval   = 500 * timekeeper.Millisecond
	// peerFetchInterval is the minimum time between fetches of a peer's configuration.
	peerFetchInterval = 300 * timekeeper.Millisecond
	// drainAcceptTime is the time for which a draining node accepts new requests.
	// Callers keep its address for some seconds, and a rejection costs them one of few
	// retries.
	drainAcceptTime = 3 * timekeeper.Second
	// minDrainTime is the minimum time for which a draining node keeps its port open,
	// for callers that do not know of the drain.
	minDrainTime = 2500 * timekeeper.Millisecond
)

// GatewayConfig configures a node that serves opaque exchanges.
type GatewayConfig struct {
	// LeaderTasks makes the holder of the lease order servers from the platform and
	// report usage to it.
	LeaderTasks bool
	UsageWindow timekeeper.Duration
	UsageLate   timekeeper.Duration
	// Share is the fraction of a service's requests that an untrusted version may get.
	// Slack is a number of requests that it may get in addition.
	Share float64
	Slack float64
	// LimitWindow is the span in which an account may use its rate and one burst.
	LimitWindow timekeeper.Duration
	// MoveStreams makes running streams leave servers that are about to end.
	MoveStreams bool
	// ServerDrain is the time for which a leaving server serves on, or zero if unknown.
	ServerDrain timekeeper.Duration
	// SharedRates makes nodes share what their answers show of the servers' speeds.
	SharedRates bool
	// Admission makes the node refuse requests that no server can answer in time.
	Admission bool
	// FairShares gives each account a share of a service that is short of capacity.
	FairShares bool
}

func (*GatewayConfig) suspicions() detector.Config {
	return detector.Config{
		Rules:        detector.AllRules(),
		HoldOff:      gatewayHoldOff,
		MaxHoldOff:   gatewayMaxHoldOff,
		ProbeTimeout: gatewayProbeTimeout,
		Probes:       gatewayProbes,
	}
}

func newRetries() *retrier.Allowance {
	return retrier.NewAllowance(retrier.AllowanceConfig{
		Share: retryFraction,
		Span:  retryWindow,
	})
}

// gateway is the part of the state for opaque exchanges.
type gateway struct {
	config      GatewayConfig
	self        identifier.VMID
	incarnation identifier.Incarnation
	catalog     *catalog.Catalog
	catalogData []byte
	// configRead is the freshness of the configuration, and serversRead that of the servers.
	configRead  freshness
	serversRead freshness
	// storeReturned is the last read that ended an outage of the store.
	storeReturned freshness
	servers       *registrar.Table
	exchanges     *dispatcher.Dispatcher
	retries       *retrier.Allowance
	// quarantine is the table of the Reducer.
	quarantine *quarantiner.Quarantine
	usage      *accountant.Accountant
	sizes      *sizer.Sizer
	versions   *promoter.Promoter
	leases     *leaser.Table
	heldFence  identifier.Fence
	// serverLimits are the request rates that servers accept.
	serverLimits *throttler.Table
	// permits are the permits that this node grants for limited servers.
	permits *throttler.Permits
	// backoffs are the times until which servers asked this node to send nothing.
	backoffs *throttler.Backoffs
	// brittle are the services whose servers state to be brittle.
	brittle *throttler.Brittle
	// slots are the requests of other nodes at the brittle servers whose slots this node
	// allocates.
	slots *throttler.Slots
	// origins are the versions at which streams began.
	origins *resumer.Table
	// paths are the paths on which this node connects to servers, and tunnels the number of
	// connections that it has open for peers.
	paths       *pathfinder.Finder
	tunnels     int
	localLimits *limiter.Buckets
	// centralLimits are the account limits that this node grants while it holds the
	// lease.
	centralLimits *limiter.Buckets
	// allocator is the peer that last reported to hold the lease, directly or through
	// relays, and allocatorSeen the freshness of that report.
	allocator      identifier.VMID
	allocatorFence identifier.Fence
	allocatorSeen  freshness
	// unanswered is the number of requests to the allocator without an answer since
	// its last report.
	unanswered int
	// grantor is the node from which this node requests parts of the limits.
	grantor grantor
	// announcements counts the reports of this node that it holds the lease.
	announcements uint64
	// listedNodes is the number of nodes in the platform's list.
	listedNodes int
	// startedAt is the time of the first tick. settled reports whether the node has had
	// time to learn of its peers since.
	startedAt timekeeper.Time
	settled   bool
	// leaderCandidate reports whether the node was ever one of those that may hold the
	// lease, and standIn whether it may hold it because none of these does.
	leaderCandidate bool
	standIn         bool
	// holderUntil is the time until which a node may hold the lease, as far as this node knows.
	holderUntil timekeeper.Time
	// leaseRead, quarantineRead and originsRead report whether the node has read the stream of
	// leases, that of refused requests and that of the origins of streams.
	leaseRead      bool
	quarantineRead bool
	originsRead    bool
	// nextVersions is the time of the next check which services have several versions.
	nextVersions timekeeper.Time
	nextUpdate   timekeeper.Time
	nextRelay    timekeeper.Time
	// updateRounds counts the rounds of state updates.
	updateRounds int
	// relayPending reports whether a server's entry changed since the last sums were
	// sent.
	relayPending bool
	// relaySince is the time at which this node became a relay, or zero if it is none.
	relaySince timekeeper.Time
	nextPlan   timekeeper.Time
	nextFetch  timekeeper.Time
	// newPeers are the peers that recently joined or returned, with the time until
	// which they receive all entries.
	newPeers map[identifier.VMID]timekeeper.Time
	// serversRequested are the peers that requested all servers. knowsAllServers
	// reports whether this node knows all servers.
	serversRequested map[identifier.VMID]bool
	knowsAllServers  bool
	// continuity tells which relays' changes this node has received without a gap.
	continuity continuity
	// nextServersRequest is the earliest time of the next request for all servers.
	nextServersRequest timekeeper.Time
	// listOutdated is set if the store may have lost this node's entry in its list.
	listOutdated bool
	// round is the number of rounds of sums that this node has sent as a relay, and
	// roundTimes the times of the last ones, oldest first.
	round      uint64
	roundTimes [updateRepeats]timekeeper.Time
	// usesRelays reports whether the cluster is so large that relays forward updates, and
	// relaysSilent that none of them has sent any for too long.
	usesRelays   bool
	relaysSilent bool
	// cachedEntries is the last result of allEntries.
	cachedEntries *entries
	draining      bool
	earliestExit  timekeeper.Time
	exiting       bool
}

func newGateway(c Config, quarantine *quarantiner.Quarantine) *gateway {
	return &gateway{
		retries:          newRetries(),
		quarantine:       quarantine,
		config:           *c.Gateway,
		self:             c.Self,
		incarnation:      c.Incarnation,
		servers:          registrar.New(),
		newPeers:         map[identifier.VMID]timekeeper.Time{},
		serversRequested: map[identifier.VMID]bool{},
		exchanges: dispatcher.New(dispatcher.Config{
			Self:        c.Self,
			Zone:        c.Zone,
			MoveStreams: c.Gateway.MoveStreams,
			ServerDrain: c.Gateway.ServerDrain,
			SharedRates: c.Gateway.SharedRates,
			Admission:   c.Gateway.Admission,
			FairShares:  c.Gateway.FairShares,
		}),
		usage: accountant.New(accountant.Config{
			Window:         c.Gateway.UsageWindow,
			MaxReportDelay: c.Gateway.UsageLate,
		}),
		sizes: sizer.New(),
		versions: promoter.New(promoter.Config{
			Self:        c.Self,
			Incarnation: c.Incarnation,
			Share:       c.Gateway.Share,
			Slack:       c.Gateway.Slack,
		}),
		serverLimits: throttler.New(),
		permits:      throttler.NewPermits(),
		backoffs:     throttler.NewBackoffs(),
		brittle:      throttler.NewBrittle(),
		slots:        throttler.NewSlots(),
		origins:      resumer.New(),
		localLimits:  limiter.NewLocal(),
		leases: leaser.New(leaser.Config{
			Self:        c.Self,
			Incarnation: c.Incarnation,
			TTL:         leaseTTL,
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

// gatewayEvent passes an event to the parts that serve opaque exchanges.
func (r *Reducer) gatewayEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	if r.gateway == nil {
		return nil
	}
	return append(r.exchangeEvent(env, body), r.gateway.exchanges.MoveEffects()...)
}

func (r *Reducer) exchangeEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	g := r.gateway
	switch b := body.(type) {
	case messenger.ExchangeReceived:
		return r.withUpdates(env, g.exchanges.Receive(r.exchangeEnv(env), b.Spec))
	case messenger.ExchangeBegan:
		g.exchanges.Began(r.exchangeEnv(env), b)
		return r.withUpdates(env)
	case messenger.ExchangeAttemptEnded, messenger.ExchangeStalled:
		return r.attemptEvent(env, b)
	case messenger.ExchangeMoved:
		g.exchanges.Moved(r.exchangeEnv(env), b)
		return r.withUpdates(env)
	case messenger.ExchangeEnded:
		g.exchanges.Ended(r.exchangeEnv(env), b)
		r.scheduleSuspectUpdate(env)
		return r.slotReports(env)
	case messenger.CatalogPublished:
		return r.catalogPublished(env, b)
	case messenger.CatalogConfirmed:
		g.configRead.observe(env.Now, g.self, g.incarnation)
	case messenger.ServersPublished:
		return r.serversPublished(env, b)
	case messenger.ServersUnavailable:
		g.servers.StoreUnavailable(env.Now)
	case messenger.StateUpdateReceived:
		return r.stateUpdateReceived(env, b)
	case messenger.ServersOrdered:
		return r.serversOrdered(env, b)
	case messenger.UsageReported:
		return r.usageReported(b)
	case messenger.ServerLimitReceived, messenger.ServerLeavingReceived, messenger.ServerBrittleReceived:
		return r.serverStated(env, body)
	case messenger.SlotRequested, messenger.SlotAnswered, messenger.SlotsReported:
		return r.slotEvent(env, body)
	case messenger.StreamLocated, messenger.StreamRequested, messenger.StreamsReported:
		return r.streamEvent(env, body)
	case messenger.PermitRequested, messenger.PermitAnswered:
		return r.permitEvent(env, body)
	case messenger.RolloutsClaimed:
		return r.rolloutsClaimed(env, b)
	case messenger.RolloutStored:
		return r.rolloutStored(env, b)
	case messenger.LimitAnswered, messenger.LimitRequested:
		return r.limitEvent(env, body)
	}
	return nil
}

// attemptEvent decides on an attempt that has ended or stalled.
func (r *Reducer) attemptEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.ExchangeAttemptEnded:
		return r.attemptEnded(env, b)
	case messenger.ExchangeStalled:
		return r.exchangeStalled(env, b)
	}
	return nil
}

// attemptEnded decides what follows an attempt, unless that has to wait for a move.
func (r *Reducer) attemptEnded(env *conductor.Env, e messenger.ExchangeAttemptEnded) []messenger.Effect {
	effect := r.gateway.exchanges.AttemptEnded(r.exchangeEnv(env), e)
	r.scheduleSuspectUpdate(env)
	if effect == nil {
		return r.slotReports(env)
	}
	return append(r.withUpdates(env, effect), r.slotReports(env)...)
}

// exchangeStalled decides whether another server takes over from one that sends nothing.
func (r *Reducer) exchangeStalled(env *conductor.Env, e messenger.ExchangeStalled) []messenger.Effect {
	effect := r.gateway.exchanges.Stalled(r.exchangeEnv(env), e)
	r.scheduleSuspectUpdate(env)
	return append(r.withUpdates(env, effect), r.slotReports(env)...)
}

// limitEvent applies an event of the central parts of the accounts' limits.
func (r *Reducer) limitEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.LimitAnswered:
		r.grantorAnswered(env, b)
		return r.withUpdates(env, r.gateway.exchanges.LimitAnswered(r.exchangeEnv(env), b))
	case messenger.LimitRequested:
		return []messenger.Effect{
			messenger.AnswerLimit{
				Ticket: b.Ticket,
				Answer: dispatcher.GrantLimit(r.exchangeEnv(env), b.Account, b.Tokens),
			},
		}
	}
	return nil
}

func (r *Reducer) exchangeEnv(env *conductor.Env) dispatcher.Env {
	g := r.gateway
	exchangeEnv := dispatcher.Env{
		Now:             env.Now,
		Catalog:         g.catalog,
		Servers:         g.servers,
		Local:           g.localLimits,
		Retries:         g.retries,
		Suspicions:      r.suspicions,
		Quarantine:      r.quarantine,
		Versions:        g.versions,
		OrdersAsOf:      g.configRead.asOf,
		Rand:            r.rand,
		OnBegan:         func(a identifier.AccountID) { g.usage.RequestBegan(env.Now, a) },
		Limits:          g.serverLimits,
		Permits:         g.permits,
		Backoffs:        g.backoffs,
		Brittle:         g.brittle,
		Slots:           g.slots,
		SlotAllocator:   r.slotAllocator,
		OwnSlots:        r.ownSlots,
		Paths:           g.paths,
		Origins:         g.origins,
		OriginPeers:     r.originPeers,
		Nodes:           len(r.ranking.Peers()) + 1,
		OriginsRead:     r.gateway.startedAt != 0 && env.Now.Sub(r.gateway.startedAt) >= originsReadTime,
		PermitAllocator: func(server identifier.VMID) *dispatcher.Allocator { return r.permitAllocator(env, server) },
		ConfigStale:     env.Now.Sub(g.configRead.asOf) > maxTrustedConfigAge,
		Inputs: messenger.DecisionInputs{
			Revision:    g.revision(),
			RevisionAge: age(env.Now, g.configRead.asOf),
			ServersAge:  age(env.Now, g.servers.AsOf()),
		},
	}
	_, _, held := g.leases.Held(leaderLease, env.Now)
	r.updateGrantor(env.Now, held)
	r.setGrantor(&exchangeEnv, held)
	return exchangeEnv
}

// age returns the time since an instant, or a negative duration if the instant is zero.
func age(now, at timekeeper.Time) timekeeper.Duration {
	if at == 0 {
		return -1
	}
	return now.Sub(at)
}

// catalogPublished applies a configuration if it is newer than the current one, whether
// it came from the store or from a peer.
func (r *Reducer) catalogPublished(env *conductor.Env, e messenger.CatalogPublished) []messenger.Effect {
	g := r.gateway
	if e.FromStore {
		g.configRead.observe(env.Now, g.self, g.incarnation)
	}
	g.versions.ApplyOrders(env.Now, e.Orders)
	if e.All {
		g.versions.WithdrawMissing(env.Now, e.OrderedServices, e.End)
	}
	out := r.recordRollouts(env)
	if e.Catalog == nil || e.Catalog.Revision <= g.revision() {
		return out
	}
	g.catalog = e.Catalog
	g.catalogData = e.Data
	g.localLimits.Forget(e.Catalog)
	out = append(out, messenger.TimelineEntry{
		Kind:   "config_in_force",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("revision=%d direct=%t", e.Catalog.Revision, e.FromStore),
	})
	if e.FromStore {
		out = append(out, r.sendUpdates(env)...)
	}
	g.relayAtOnce(env.Now)
	return out
}

// serversPublished applies a read of the store and notifies the peers. In large clusters
// the relays are notified even if nothing has changed, because the time of the read reaches
// the other nodes over several hops.
func (r *Reducer) serversPublished(env *conductor.Env, e messenger.ServersPublished) []messenger.Effect {
	g := r.gateway
	g.knowsAllServers = g.knowsAllServers || e.All
	g.serversRead.observe(env.Now.Add(-e.Age), g.self, g.incarnation)
	g.continuity.storeRead(env.Now)
	missing := 0
	if e.All {
		missing = g.servers.CountMissing(e.Servers)
	}
	defersUntil := g.servers.DefersUntil()
	changed := g.servers.ApplyRead(env.Now, e)
	if g.servers.DefersUntil().After(defersUntil) {
		g.storeReturned.observe(env.Now, g.self, g.incarnation)
	}
	var out []messenger.Effect
	if missing > 0 {
		out = append(out, messenger.TimelineEntry{
			Kind: "servers_missing",
			VM:   r.config.Self,
			Detail: fmt.Sprintf("entries=%d end=%d missing=%d kept=%d", len(e.Servers), e.End,
				missing, g.servers.CountMissing(e.Servers)),
		})
	}
	if len(changed) == 0 && g.usesRelays {
		return append(out, r.sendToRelays(env)...)
	}
	return append(out, r.serversChanged(env, changed, true)...)
}

// serversChanged applies changed servers, and notifies the peers if this node read the
// change from the store.
func (r *Reducer) serversChanged(env *conductor.Env, changed []messenger.PublishedServer, direct bool) []messenger.Effect {
	if len(changed) == 0 {
		return nil
	}
	out := r.applyChangedServers(env, changed, direct)
	if direct {
		out = append(out, r.sendUpdates(env)...)
	}
	return out
}

// applyChangedServers updates what is known of changed servers, and records the changes in
// the time line.
func (r *Reducer) applyChangedServers(env *conductor.Env, changed []messenger.PublishedServer, direct bool) []messenger.Effect {
	r.gateway.relayAtOnce(env.Now)
	r.gateway.cachedEntries = nil
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
			r.gateway.versions.ObserveVersion(env.Now, s.Service, s.Version)
		case messenger.ServerLeaving:
			r.gateway.exchanges.ServerLeaving(s.Server)
		case messenger.ServerRemoved:
			r.suspicions.Forget(s.Server)
			r.gateway.paths.Forget(s.Server)
			r.gateway.exchanges.ServerRemoved(r.exchangeEnv(env), s.Server)
			out = append(out, r.inheritServerLimit(env, s.Server)...)
		}
	}
	return append(out, r.moveStreams(env)...)
}

// moveStreams moves running streams away from leaving servers.
func (r *Reducer) moveStreams(env *conductor.Env) []messenger.Effect {
	if !r.gateway.config.MoveStreams {
		return nil
	}
	r.gateway.exchanges.MoveStreams(r.exchangeEnv(env))
	return r.gateway.exchanges.MoveEffects()
}

// Moving reports whether the server of an exchange was called to stop its stream.
func (r *Reducer) Moving(id identifier.ExchangeID) bool {
	return r.gateway != nil && r.gateway.exchanges.Moving(id)
}

// tickGateway advances the exchanges and the leader tasks to the current time.
func (r *Reducer) tickGateway(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	changed, dropped := g.servers.Tick(env.Now)
	out := r.serversChanged(env, changed, true)
	for _, server := range dropped {
		g.serverLimits.Forget(server)
		g.permits.Forget(server)
		g.backoffs.Forget(server)
		g.brittle.Forget(server)
		g.slots.Forget(server)
	}
	if g.startedAt == 0 {
		g.startedAt = env.Now
	}
	g.settled = g.settled || env.Now.Sub(g.startedAt) >= settleTime || r.knowsMostNodes(env.Now)
	out = append(out, r.tickCandidacy(env)...)
	out = append(out, r.recordRelays(env)...)
	r.divideLimits(env)
	g.serverLimits.Tick(env.Now)
	g.backoffs.Tick(env.Now)
	out = append(out, r.tickBrittle(env)...)
	out = append(out, r.moveStreams(env)...)
	if !env.Now.Before(g.nextUpdate) {
		out = append(out, r.sendUpdates(env)...)
	}
	out = append(out, r.reportStreams(env)...)
	out = append(out, r.saveStreams(env)...)
	out = append(out, r.sendSums(env)...)
	out = append(out, r.tickLeaderTasks(env)...)
	out = append(out, r.tickRollouts(env)...)
	out = append(out, r.tickQuarantine(env)...)
	out = append(out, r.tickPaths(env)...)
	if g.draining && !g.exiting && !env.Now.Before(g.earliestExit) && g.exchanges.InFlight() == 0 && g.tunnels == 0 {
		g.exiting = true
		out = append(out, messenger.Exit{})
	}
	return out
}

// knowsMostNodes reports whether a node that has just started knows most of the listed
// nodes.
func (r *Reducer) knowsMostNodes(now timekeeper.Time) bool {
	listed := r.gateway.listedNodes
	return listed > 1 && now.Sub(r.gateway.startedAt) >= minSettleTime &&
		float64(r.members.Count(now, nodeRetention)) >= settledFraction*float64(listed)
}

// gatewayDrain begins a planned stop: callers are sent to other nodes at once, and the
// node stays until its exchanges have ended.
func (r *Reducer) gatewayDrain(env *conductor.Env, e messenger.DrainStarted) []messenger.Effect {
	g := r.gateway
	g.draining = true
	// What is accepted needs time to end.
	accept := min(drainAcceptTime, max(e.Deadline.Sub(env.Now), 0)/2)
	g.earliestExit = env.Now.Add(min(minDrainTime, accept))
	g.exchanges.Leave(env.Now.Add(accept))
	g.leases.ReleaseAll()
	marked := r.membersChanged(env, r.members.MarkLeaving(env.Now, r.config.Self, e.Deadline))
	return append(r.tickGossip(env), marked...)
}
