// Package dispatcher handles opaque exchanges on this node. An exchange passes through
// these states:
//
//	received -> refused
//	received -> requesting the limit -> sent <-> attempt ended -> ended
//
// The content of an opaque request is not interpreted. The request is matched to a
// route, counted against its account's limit and sent to a backend server of the
// route's service. Whether another attempt may follow a failed one depends on the route
// and on whether the failed attempt may have run.
//
// The package is organized as follows:
//
//   - receive.go admits or refuses a request.
//   - admission.go refuses requests that no server can answer in time.
//   - limit.go counts it against its account's limit.
//   - returning.go spreads the callers that take up streams beyond a limit.
//   - hold.go applies the allocator's last refusal of an account to its next requests.
//   - fairness.go divides services that are short of capacity between accounts.
//   - choose.go chooses the server.
//   - permit.go requests permits for servers that state a limit for all nodes together.
//   - slot.go requests slots at brittle servers, which end if they have to reject requests.
//   - origin.go finds the version that began a stream which a caller resumes.
//   - version.go selects the version of the service and the baseline it is compared with.
//   - repeat.go decides what follows an attempt.
//   - stall.go decides whether another server takes over from one that sends nothing.
//   - move.go moves running streams away from leaving servers.
//   - ended.go records the requests during which servers ended.
//   - subset.go selects the servers that this node uses if a service has very many.
//   - factors.go shares the servers' speeds with other nodes.
//   - load.go and sum.go track the requests in flight at the servers, of this and other nodes.
//
// All functions are deterministic: time and randomness are passed in. Nothing is safe
// for concurrent use.
package dispatcher

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/admitter"
	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/mover"
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// defaultMaxExchanges is below the number of connections that a node's limit on file
// descriptors allows.
const defaultMaxExchanges = 4096

// Config identifies the node and bounds its exchanges.
type Config struct {
	Self identifier.VMID
	Zone identifier.Zone
	// MaxExchanges bounds the concurrent exchanges; zero means the default.
	MaxExchanges int
	// MoveStreams makes running streams leave servers that are about to end.
	MoveStreams bool
	// ServerDrain is the time for which a leaving server serves on if it states none and is not
	// reclaimable, or zero if it is not known.
	ServerDrain timekeeper.Duration
	// SharedRates makes the servers' factors follow from the answers of all nodes.
	SharedRates bool
	// Admission makes the node refuse requests that no server can answer in time.
	Admission bool
	// FairShares gives each account a share of a service that is short of capacity.
	FairShares bool
}

// Env is the state outside the dispatcher that it reads and updates while it handles
// one event.
type Env struct {
	Now     timekeeper.Time
	Catalog *catalog.Catalog // nil until a configuration is loaded
	Servers *registrar.Table
	// Local is this node's own part of the accounts' limits. Central is the central
	// part and is nil unless this node is the allocator.
	Local   *limiter.Buckets
	Central *limiter.Buckets
	// Allocator is the peer that grants the central part of limits, or nil. If it is
	// nil, AllocatorDue estimates the time until there is one; zero means unknown.
	Allocator    *Allocator
	AllocatorDue timekeeper.Duration
	// Limits are the request rates that servers state. Permits are what this node
	// grants of them for the servers for which PermitAllocator returns nil.
	Limits          *throttler.Table
	Permits         *throttler.Permits
	PermitAllocator func(server identifier.VMID) *Allocator
	// Backoffs are the servers that rejected requests of this node and asked for a pause.
	Backoffs *throttler.Backoffs
	// Brittle are the services whose servers end if they have to reject many requests.
	Brittle *throttler.Brittle
	// Slots are the requests of other nodes at the servers of those groups for which
	// SlotAllocator returns nil: this node allocates their slots. OwnSlots returns how many of
	// a server's slots this node may use while the allocator of its group is unreachable.
	Slots         *throttler.Slots
	SlotAllocator func(group string) *Allocator
	OwnSlots      func(group string, slots int) int
	Retries       *retrier.Allowance
	Suspicions    *detector.Suspicions
	// Paths are the paths on which this node connects to servers.
	Paths *pathfinder.Finder
	// Quarantine counts the servers that ended while they ran the same request.
	Quarantine *quarantiner.Quarantine
	// Origins are the versions at which streams began, and OriginPeers returns the addresses of
	// the peers to ask for those that this node does not know, and the time after which they
	// know what live nodes report.
	Origins     *resumer.Table
	OriginPeers func(identifier.StreamKey) ([]string, timekeeper.Duration)
	// Nodes is the number of nodes, this one included.
	Nodes int
	// OriginsRead reports that an origin which no peer knows is not in the log either.
	OriginsRead bool
	// Versions tracks the rollouts of services. OrdersAsOf is the time up to which this
	// node has read the operators' orders.
	Versions   *promoter.Promoter
	OrdersAsOf timekeeper.Time
	Rand       *rand.Rand
	// OnBegan is called with the account of each request that began to run.
	OnBegan func(identifier.AccountID)
	// ConfigStale reports that a newer configuration may be in force on other nodes.
	ConfigStale bool
	// Inputs is logged with each decision.
	Inputs messenger.DecisionInputs
}

// forExchange returns env with the inputs of x's decision filled in.
func (env Env) forExchange(x *exchange) Env {
	env.Inputs.Route = x.route.Name
	env.Inputs.Account = x.account
	env.Inputs.Fingerprint = x.fingerprint
	env.Inputs.Limit = x.limitSource
	env.Inputs.Share = x.share
	return env
}

// Allocator is the peer that grants account limits or permits.
type Allocator struct {
	Node    identifier.VMID
	Address string
}

// Dispatcher holds the exchanges of one node and the state from which it chooses
// servers.
type Dispatcher struct {
	config    Config
	subset    subset
	exchanges map[identifier.ExchangeID]*exchange
	loads     loads
	index     *indexer.Index
	// estimators predict the answer times of each service's servers.
	estimators map[identifier.ServiceName]*estimator.Estimator
	// calibrator holds the servers' factors, or is nil if they are not shared.
	calibrator *calibrator.Calibrator
	// admitter is nil if admission is switched off.
	admitter *admitter.Admitter
	demands  map[identifier.ServiceName]*demand
	slots    slots
	// limitHolds are the accounts that the allocator refused.
	limitHolds map[identifier.AccountID]limitHold
	// returning are the tokens of streams that were refused and will be taken up again.
	returning map[identifier.AccountID]returningTokens
	fairness  *fairness
	// originQueries is the number of exchanges that wait for the origin of their stream.
	originQueries int
	// unresponsive are the requests that servers left unanswered.
	unresponsive unresponsiveServers
	// refuseAfter is the time from which a leaving node refuses new requests, or Never.
	refuseAfter timekeeper.Time
	leaving     bool
	// notifyPeers is set when a server is sent a long prompt or has read one.
	notifyPeers bool
	// moves are the moves of running streams, and paces the times between the events of each
	// service's streams. moveEffects are the effects of moves since the last MoveEffects.
	moves       *mover.Table
	paces       map[identifier.ServiceName]*mover.Pace
	moveEffects []messenger.Effect
}

// longPrefill is the prefill time from which peers are notified of a prompt at once,
// because requests that they send to the same server would wait behind it, for over a
// second behind a prompt of 50,000 tokens.
const longPrefill = 120 * timekeeper.Millisecond

// NotifyPeers reports whether this node's load should be sent to peers at once, and
// clears the request to do so.
func (d *Dispatcher) NotifyPeers() bool {
	notify := d.notifyPeers
	d.notifyPeers = false
	return notify
}

// exchange is the state of one request.
type exchange struct {
	spec messenger.ExchangeSpec
	// fingerprint identifies the request's content and its caller.
	fingerprint identifier.Fingerprint
	// parts identify the parts of its prompt that other requests may share.
	parts []identifier.Fingerprint
	// onTrial reports that the request is sent although a part of its prompt is refused.
	onTrial bool
	route   *catalog.Route
	service identifier.ServiceName
	account identifier.AccountID
	urgency int
	// share states whether the request is within its account's share.
	share messenger.ShareState
	// deadline is the earlier of the caller's time limit and the route's timeout.
	deadline timekeeper.Time
	attempt  identifier.AttemptNumber
	// countedAttempts is the number of attempts that may have run on a server that
	// still exists. The route bounds it.
	countedAttempts int
	tried           []identifier.VMID
	// permitServers are the servers for which a permit was requested. permitCandidates
	// are those from which the first of them was chosen. lastEnded is the end of the
	// previous attempt.
	permitServers    []identifier.VMID
	permitCandidates []identifier.VMID
	lastEnded        messenger.ExchangeAttemptEnded
	slotRequest      slotRequest
	// limitSource is who decided on the account's limit.
	limitSource messenger.LimitSource
	// limitRequests is the number of nodes that were asked for a part of the limit.
	limitRequests int
	// mayHaveRun reports whether any attempt may have run.
	mayHaveRun   bool
	usageCounted bool
	// begun reports that the stream has begun, at a server of version.
	begun   bool
	version identifier.Version
	current *attempt
	// beganAt is the time of the stream's first event, over all attempts.
	beganAt timekeeper.Time
	// moves is the number of moves of the stream, and continued reports that an attempt
	// continued it from the memory of an earlier one. withheld is the end of an attempt that a
	// move has yet to decide on.
	moves     int
	continued bool
	withheld  messenger.ExchangeAttemptEnded
	// stalled is the last report that the current attempt has stalled.
	stalled messenger.ExchangeStalled
}

// attempt is an attempt in flight.
type attempt struct {
	server    identifier.VMID
	version   identifier.Version
	sent      timekeeper.Time
	predicted timekeeper.Duration
	// prefill is the predicted time to read the prompt, or zero once the answer has
	// begun.
	prefill timekeeper.Duration
	// occupied is the time for which the request occupies the server.
	occupied timekeeper.Duration
	// work is the input of the prediction. observeRates is set if nothing was queued
	// ahead of the request, so that the time to its first event shows the rates of the
	// server.
	work         estimator.Work
	observeRates bool
	// brittle reports that the server was brittle, so that the end of the attempt frees a slot.
	brittle bool
	began   bool
	// stalled reports that the server has once sent nothing in time.
	stalled bool
	// framed reports that the end of the answer is not that of its connection. continues
	// reports that the attempt goes on from the memory of an earlier one.
	framed    bool
	continues bool
	queued    queuedAttempt
	// track is the version under which a rollout counts the request. baseline is the
	// predicted time to the first event without what is known of this server.
	track    promoter.TrackedAttempt
	baseline timekeeper.Duration
}

// New returns a Dispatcher without exchanges.
func New(c Config) *Dispatcher {
	if c.MaxExchanges == 0 {
		c.MaxExchanges = defaultMaxExchanges
	}
	d := &Dispatcher{
		config:       c,
		subset:       subsetOf(c.Self),
		exchanges:    map[identifier.ExchangeID]*exchange{},
		loads:        newLoads(),
		index:        indexer.New(),
		estimators:   map[identifier.ServiceName]*estimator.Estimator{},
		demands:      map[identifier.ServiceName]*demand{},
		fairness:     newFairness(c.FairShares),
		slots:        newSlots(),
		limitHolds:   map[identifier.AccountID]limitHold{},
		returning:    map[identifier.AccountID]returningTokens{},
		unresponsive: unresponsiveServers{},
		refuseAfter:  timekeeper.Never,
		moves:        mover.NewTable(),
		paces:        map[identifier.ServiceName]*mover.Pace{},
	}
	if c.SharedRates {
		d.calibrator = calibrator.New()
	}
	if c.Admission {
		d.admitter = admitter.New()
	}
	return d
}

// InFlight returns the number of exchanges that have not ended.
func (d *Dispatcher) InFlight() int { return len(d.exchanges) }

// Leave begins a planned stop. Requests that arrive after refuseAfter are refused,
// because the node may stop before they end.
func (d *Dispatcher) Leave(refuseAfter timekeeper.Time) {
	d.leaving = true
	d.refuseAfter = refuseAfter
}

// Began handles the first byte or the first event of an answer.
func (d *Dispatcher) Began(env Env, e messenger.ExchangeBegan) {
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok || x.current.began {
		return
	}
	current := x.current
	current.began = true
	current.framed = e.Framed
	d.moveBegan(env, x)
	if !x.begun && x.isResumable() {
		x.bind(current.version)
		env.Origins.Began(env.Now, resumer.KeyOf(x.account, x.spec.Request), messenger.StreamOrigin{
			Service: x.service,
			Version: x.version,
		})
	}
	d.dequeue(env, x)
	d.loads.promptRead(current.server, current.prefill)
	d.notifyPeers = d.notifyPeers || current.prefill >= longPrefill
	current.prefill = 0
	d.fairness.began(env.Now, x.service, current.occupied)
	env.Backoffs.Served(current.server, current.sent)
	if e.Peer == "" {
		env.Paths.Answered(env.Now, current.server, current.sent)
	}
	env.Versions.RecordResponseStart(current.track, env.Now.Sub(current.sent), current.baseline)
	if current.observeRates && !current.track.Exposed() && !d.delayedByOthers(env, x.service, current) {
		d.refreshFactors(env, x.service)
		d.estimator(env, x.service).Observe(current.server, current.work, env.Now.Sub(current.sent))
	}
	env.Suspicions.Observe(env.Now, current.server, detector.Observation{
		Kind:             detector.FirstToken,
		Latency:          env.Now.Sub(current.sent),
		PredictedLatency: current.predicted,
	})
	d.countUsage(env, x)
}

// countUsage counts a request towards its account's usage, once per request.
func (d *Dispatcher) countUsage(env Env, x *exchange) {
	if x.usageCounted {
		return
	}
	x.usageCounted = true
	if x.account != "" && env.OnBegan != nil {
		env.OnBegan(x.account)
	}
}

// Ended removes an exchange that is complete or abandoned.
func (d *Dispatcher) Ended(env Env, e messenger.ExchangeEnded) {
	x, ok := d.exchanges[e.Exchange]
	if !ok {
		return
	}
	delete(d.exchanges, e.Exchange)
	d.movedStreamEnded(env, x, e)
	if x.current == nil {
		return
	}
	if e.Attempt != 0 && e.Attempt != x.attempt {
		d.replacementUnsent(env, x, e.Result)
		return
	}
	if !x.current.began {
		d.index.Remove(x.current.server, x.spec.Prefix)
	}
	if e.Result == messenger.AttemptComplete {
		env.Suspicions.Observe(env.Now, x.current.server, detector.Observation{Kind: detector.Completed})
		env.Quarantine.Completed(env.Now, x.fingerprint, x.parts...)
	}
	d.recordServerEnd(env, x, e.Result, e.ServerEnded)
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{
		Result:          e.Result,
		ResponseStarted: x.current.began,
		Elapsed:         env.Now.Sub(x.current.sent),
		Predicted:       x.current.baseline,
		Events:          e.Events,
		EventsDuration:  e.EventsDuration,
		ServerEnded:     e.ServerEnded,
		PathBroken:      env.Paths.Broken(x.current.server),
	})
	d.leaveServer(env, x, e.Result == messenger.AttemptComplete)
	d.removeAttempt(x)
}

// removeAttempt removes the current attempt from the load in flight.
func (d *Dispatcher) removeAttempt(x *exchange) {
	d.loads.ended(x.current.server, x.current.prefill)
	if x.current.brittle {
		d.slots.ended[x.current.server] = true
	}
	d.serviceDemand(x.service).running--
	x.current = nil
}

// current returns an exchange if n is its current attempt.
func (d *Dispatcher) current(id identifier.ExchangeID, n identifier.AttemptNumber) (*exchange, bool) {
	x, ok := d.exchanges[id]
	if !ok || x.current == nil || x.attempt != n {
		return nil, false
	}
	return x, true
}

// cacheCapacity returns the number of prompt tokens that a server is assumed to cache,
// or zero if that is not known.
func (env Env) cacheCapacity(server identifier.VMID) identifier.Tokens {
	s, ok := env.Servers.Server(server)
	if !ok || env.Catalog == nil || env.Catalog.Routing == nil {
		return 0
	}
	return env.Catalog.Routing.Backends[s.Service].KVTokens * cachePercent / 100
}

// MergeCachedPrefixes merges the cached prefixes that a peer reported. If passOn is
// set, those that are new to this node are also reported to its own peers.
func (d *Dispatcher) MergeCachedPrefixes(env Env, parts []messenger.CachedPrefix, passOn bool) {
	for _, p := range parts {
		if s, ok := env.Servers.Server(p.Server); ok && s.State != messenger.ServerRemoved {
			d.index.Merge(env.Now, p, env.cacheCapacity(p.Server), passOn)
		}
	}
}

// CachedPrefixUpdates returns the recently added cached prefixes to report to peers.
func (d *Dispatcher) CachedPrefixUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return d.index.Updates(now)
}

// RelayedCachedPrefixUpdates returns the part of CachedPrefixUpdates that a relay
// passes on.
func (d *Dispatcher) RelayedCachedPrefixUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return d.index.RelayedUpdates(now)
}

// CachedPrefixes returns the known cached prefixes, up to a bound, for a peer that has
// just joined.
func (d *Dispatcher) CachedPrefixes() []messenger.CachedPrefix { return d.index.All() }

// ServerRemoved drops what is known of a removed server. The requests that it left
// unanswered shortly before count as ones during which it ended.
func (d *Dispatcher) ServerRemoved(env Env, server identifier.VMID) {
	d.unresponsive.serverRemoved(env, server)
	d.index.Forget(server)
	delete(d.slots.received, server)
	for _, e := range d.estimators {
		e.Forget(server)
	}
	if d.calibrator != nil {
		d.calibrator.Forget(env.Now, server)
	}
}
