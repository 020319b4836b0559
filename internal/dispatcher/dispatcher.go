// Package dispatcher leads opaque exchanges through their life on this node:
//
//	received -> refused
//	received -> asking the limit -> sent <-> attempt ended -> ended
//
// A request whose bytes mean nothing to the system is matched to a route,
// counted against its account's limit and sent to a backend server of the
// route's service. What may follow an attempt that fails hangs on what the
// route allows and on what the attempt can have done:
//
//   - receive.go admits a request or refuses it.
//   - limit.go counts it against its account's limit.
//   - choose.go picks the server.
//   - permit.go asks for a permit where the server states a limit for all nodes.
//   - version.go says of which version it may be, and notes what became of it.
//   - repeat.go decides what follows an attempt.
//   - ended.go notes the requests under which servers ended.
//   - subset.go says which servers it picks from where they are very many.
//   - load.go keeps what is in flight at the servers, of this node and others.
//
// Everything is pure: time and randomness are arguments. Nothing is safe for
// concurrent use.
package dispatcher

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// defaultMaxExchanges bounds the exchanges of one node: the descriptors of a
// node allow for fewer connections.
const defaultMaxExchanges = 4096

// Config says which node the dispatcher works for.
type Config struct {
	Self identifier.VMID
	Zone identifier.Zone
	// MaxExchanges bounds the exchanges at a time; zero stands for a default.
	MaxExchanges int
}

// Env is what the dispatcher reads and updates of the rest of the state
// while it handles one event.
type Env struct {
	Now     timekeeper.Time
	Catalog *catalog.Catalog // nil until the first configuration is known
	Servers *registrar.Table
	// Local is this node's own part of the accounts' limits, and Central what
	// it may grant where it is the node that grants centrally; nil elsewhere.
	Local   *limiter.Buckets
	Central *limiter.Buckets
	// Allocator is the node that grants centrally, as far as is known, and
	// GranterDue in how long one probably is where none is known; zero where
	// nothing says.
	Allocator    *Allocator
	AllocatorDue timekeeper.Duration
	// Limits are the request rates that servers state to accept, and Permits what this
	// node grants of them where PermitsOf names no other node for a server.
	Limits          *throttler.Table
	Permits         *throttler.Permits
	PermitAllocator func(server identifier.VMID) *Allocator
	Retries         *retrier.Allowance
	Suspicions      *detector.Suspicions
	// Quarantine knows the requests under which servers ended.
	Quarantine *quarantiner.Quarantine
	// Versions knows the roll-outs of services, and OrdersAsOf is the instant up to
	// which this node knows what operators ordered.
	Versions   *promoter.Promoter
	OrdersAsOf timekeeper.Time
	Rand       *rand.Rand
	// OnBegan is called with the account of each request that began to run.
	OnBegan func(identifier.AccountID)
	// ConfigStale tells that a newer configuration may be in force elsewhere.
	ConfigStale bool
	// Inputs is what the node knows, for its log.
	Inputs messenger.DecisionInputs
}

// about returns w with what an exchange is, for the log of its decision.
func (env Env) about(x *exchange) Env {
	env.Inputs.Route = x.route.Name
	env.Inputs.Account = x.account
	env.Inputs.Fingerprint = x.request
	env.Inputs.Limit = x.limit
	return env
}

// Allocator is the node that grants the limits of accounts centrally.
type Allocator struct {
	Node    identifier.VMID
	Address string
}

// Dispatcher is the exchanges of one node.
type Dispatcher struct {
	config    Config
	subset    subset
	exchanges map[identifier.ExchangeID]*exchange
	loads     loads
	index     *indexer.Index
	// estimators are what was learned of each service's servers.
	estimators map[identifier.ServiceName]*estimator.Estimator
	services   map[identifier.ServiceName]*demand
	// unexplained are the requests that servers had which fell silent.
	unexplained unexplained
	// refuseAfter is the instant from which new requests are refused because
	// the node is leaving, or Never.
	refuseAfter timekeeper.Time
	leaving     bool
	// notifyPeers is set when a long prompt was sent, or read, since TellPeers.
	notifyPeers bool
}

// longPrefill is the time to read a prompt from which on peers hear of it
// at once: others that are sent to its server meanwhile wait behind it, on a
// calm day over a second where a prompt of 50,000 tokens was.
const longPrefill = 120 * timekeeper.Millisecond

// NotifyPeers reports whether peers should hear at once of what this node has at
// the servers, and forgets that.
func (d *Dispatcher) NotifyPeers() bool {
	tell := d.notifyPeers
	d.notifyPeers = false
	return tell
}

// exchange is one request on its way.
type exchange struct {
	spec messenger.ExchangeSpec
	// request is what the exchange asks, and its caller.
	request identifier.Fingerprint
	route   *catalog.Route
	service identifier.ServiceName
	account identifier.AccountID
	urgency int
	// deadline is the end of the caller's patience or of the route's timeout.
	deadline timekeeper.Time
	attempt  identifier.AttemptNumber
	// counted is the number of servers that may have run it and still exist.
	counted int
	tried   []identifier.VMID
	// asked are the servers that a permit was asked for, and among those that the first
	// was chosen from; ended is the end of the attempt before.
	asked []identifier.VMID
	among []identifier.VMID
	ended messenger.ExchangeAttemptEnded
	// limit tells who decided on the account's limit.
	limit messenger.LimitSource
	// mayHaveRun tells that an attempt may have run.
	mayHaveRun bool
	begun      bool
	current    *flight
}

// flight is an attempt under way.
type flight struct {
	server    identifier.VMID
	sent      timekeeper.Time
	predicted timekeeper.Duration
	// prefill is the time to read the prompt; zero once the answer began.
	prefill timekeeper.Duration
	// work is what the prediction was of; learn tells that nothing else was
	// ahead of it, so that the rates of the server show in its answer.
	work  estimator.Work
	learn bool
	began bool
	// track is where the request is counted while its service moves to another
	// version, and usual the time that servers of the old one would take.
	track promoter.TrackedAttempt
	usual timekeeper.Duration
}

// New returns a dispatcher without exchanges.
func New(c Config) *Dispatcher {
	if c.MaxExchanges == 0 {
		c.MaxExchanges = defaultMaxExchanges
	}
	return &Dispatcher{
		config:      c,
		subset:      subsetOf(c.Self),
		exchanges:   map[identifier.ExchangeID]*exchange{},
		loads:       newLoads(),
		index:       indexer.New(),
		estimators:  map[identifier.ServiceName]*estimator.Estimator{},
		services:    map[identifier.ServiceName]*demand{},
		unexplained: unexplained{},
		refuseAfter: timekeeper.Never,
	}
}

// InFlight returns the number of exchanges that have not ended.
func (d *Dispatcher) InFlight() int { return len(d.exchanges) }

// Leave begins a planned stop: requests that arrive after an instant are
// refused, because they might not end before the node does.
func (d *Dispatcher) Leave(refuseAfter timekeeper.Time) {
	d.leaving = true
	d.refuseAfter = refuseAfter
}

// Began notes the first byte, or the first event, of an answer.
func (d *Dispatcher) Began(env Env, e messenger.ExchangeBegan) {
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok || x.current.began {
		return
	}
	f := x.current
	f.began = true
	d.loads.read(f.server, f.prefill)
	d.notifyPeers = d.notifyPeers || f.prefill >= longPrefill
	f.prefill = 0
	env.Versions.RecordResponseStart(f.track, env.Now.Sub(f.sent), f.usual)
	if f.learn && !f.track.Exposed() {
		d.estimator(x.service).Observe(f.server, f.work, env.Now.Sub(f.sent))
	}
	env.Suspicions.Observe(env.Now, f.server, detector.Observation{
		Kind:             detector.FirstToken,
		Latency:          env.Now.Sub(f.sent),
		PredictedLatency: f.predicted,
	})
	d.count(env, x)
}

// count counts a request once as one that began to run.
func (d *Dispatcher) count(env Env, x *exchange) {
	if x.begun {
		return
	}
	x.begun = true
	if x.account != "" && env.OnBegan != nil {
		env.OnBegan(x.account)
	}
}

// Ended drops an exchange of which nothing more follows.
func (d *Dispatcher) Ended(env Env, e messenger.ExchangeEnded) {
	x, ok := d.exchanges[e.Exchange]
	if !ok {
		return
	}
	delete(d.exchanges, e.Exchange)
	if x.current == nil {
		return
	}
	if !x.current.began {
		d.index.Remove(x.current.server, x.spec.Prefix)
	}
	if e.Result == messenger.AttemptComplete {
		env.Suspicions.Observe(env.Now, x.current.server, detector.Observation{Kind: detector.Completed})
		env.Quarantine.Completed(env.Now, x.request)
	}
	d.noteEnd(env, x, e.Result, e.ServerEnded)
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{
		Result:          e.Result,
		ResponseStarted: x.current.began,
		Elapsed:         env.Now.Sub(x.current.sent),
		Predicted:       x.current.usual,
		Events:          e.Events,
		EventsDuration:  e.EventsDuration,
		ServerEnded:     e.ServerEnded,
	})
	d.land(x)
}

// land takes the current attempt out of the count of what is in flight.
func (d *Dispatcher) land(x *exchange) {
	d.loads.landed(x.current.server, x.current.prefill)
	d.demand(x.service).running--
	x.current = nil
}

// current returns an exchange whose current attempt is the given one.
func (d *Dispatcher) current(id identifier.ExchangeID, n identifier.AttemptNumber) (*exchange, bool) {
	x, ok := d.exchanges[id]
	if !ok || x.current == nil || x.attempt != n {
		return nil, false
	}
	return x, true
}

// keeps is how many tokens of shared parts a server is taken to keep; zero
// where that is not known.
func (env Env) keeps(server identifier.VMID) identifier.Tokens {
	s, ok := env.Servers.Server(server)
	if !ok || env.Catalog == nil || env.Catalog.Routing == nil {
		return 0
	}
	return env.Catalog.Routing.Backends[s.Service].Memory * keptPercent / 100
}

// MergeCachedPrefixes takes in which parts of prompts servers keep, as a peer reported. A node that
// relays passes on what is new.
func (d *Dispatcher) MergeCachedPrefixes(env Env, parts []messenger.CachedPrefix, passOn bool) {
	for _, p := range parts {
		if s, ok := env.Servers.Server(p.Server); ok && s.State != messenger.ServerRemoved {
			d.index.Merge(env.Now, p, env.keeps(p.Server), passOn)
		}
	}
}

// CachedPrefixUpdates returns the parts of prompts of which peers hear that servers
// keep them.
func (d *Dispatcher) CachedPrefixUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return d.index.Updates(now)
}

// RelayedCachedPrefixUpdates returns those of them that a relay passes on.
func (d *Dispatcher) RelayedCachedPrefixUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return d.index.RelayedUpdates(now)
}

// CachedPrefixes returns all that is remembered of what servers keep, for a peer that
// joined.
func (d *Dispatcher) CachedPrefixes() []messenger.CachedPrefix { return d.index.All() }

// ServerRemoved forgets what a server kept that is no more.
func (d *Dispatcher) ServerRemoved(env Env, server identifier.VMID) {
	d.unexplained.ended(env, server)
	d.index.Forget(server)
	for _, e := range d.estimators {
		e.Forget(server)
	}
}
