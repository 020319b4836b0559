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

// World is what the dispatcher reads and updates of the rest of the state
// while it handles one event.
type World struct {
	Now     timekeeper.Time
	Catalog *catalog.Catalog // nil until the first configuration is known
	Servers *registrar.Table
	// Local is this node's own part of the accounts' limits, and Central what
	// it may grant where it is the node that grants centrally; nil elsewhere.
	Local   *limiter.Buckets
	Central *limiter.Buckets
	// Granter is the node that grants centrally, as far as is known, and
	// GranterDue in how long one probably is where none is known; zero where
	// nothing says.
	Granter    *Granter
	GranterDue timekeeper.Duration
	// Limits are the request rates that servers state to accept, and Permits what this
	// node grants of them where PermitsOf names no other node for a server.
	Limits     *throttler.Table
	Permits    *throttler.Permits
	PermitsOf  func(server identifier.VMID) *Granter
	Retries    *retrier.Allowance
	Suspicions *detector.Suspicions
	// Quarantine knows the requests under which servers ended.
	Quarantine *quarantiner.Quarantine
	// Versions knows the roll-outs of services, and OrdersAsOf is the instant up to
	// which this node knows what operators ordered.
	Versions   *promoter.Promoter
	OrdersAsOf timekeeper.Time
	Rand       *rand.Rand
	// Began is called with the account of each request that began to run.
	Began func(identifier.AccountID)
	// Stale tells that a newer configuration may be in force elsewhere.
	Stale bool
	// Basis is what the node knows, for its log.
	Basis messenger.Basis
}

// about returns w with what an exchange is, for the log of its decision.
func (w World) about(x *exchange) World {
	w.Basis.Route = x.route.Name
	w.Basis.Account = x.account
	w.Basis.Fingerprint = x.request
	w.Basis.Limit = x.limit
	return w
}

// Granter is the node that grants the limits of accounts centrally.
type Granter struct {
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
	// tell is set when a long prompt was sent, or read, since TellPeers.
	tell bool
}

// longPrefill is the time to read a prompt from which on peers hear of it
// at once: others that are sent to its server meanwhile wait behind it, on a
// calm day over a second where a prompt of 50,000 tokens was.
const longPrefill = 120 * timekeeper.Millisecond

// TellPeers reports whether peers should hear at once of what this node has at
// the servers, and forgets that.
func (d *Dispatcher) TellPeers() bool {
	tell := d.tell
	d.tell = false
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
	track promoter.Track
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
func (d *Dispatcher) Began(w World, e messenger.ExchangeBegan) {
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok || x.current.began {
		return
	}
	f := x.current
	f.began = true
	d.loads.read(f.server, f.prefill)
	d.tell = d.tell || f.prefill >= longPrefill
	f.prefill = 0
	w.Versions.Began(f.track, w.Now.Sub(f.sent), f.usual)
	if f.learn && !f.track.Exposed() {
		d.estimator(x.service).Learn(f.server, f.work, w.Now.Sub(f.sent))
	}
	w.Suspicions.Observe(w.Now, f.server, detector.Observation{
		Kind:             detector.FirstToken,
		Latency:          w.Now.Sub(f.sent),
		PredictedLatency: f.predicted,
	})
	d.count(w, x)
}

// count counts a request once as one that began to run.
func (d *Dispatcher) count(w World, x *exchange) {
	if x.begun {
		return
	}
	x.begun = true
	if x.account != "" && w.Began != nil {
		w.Began(x.account)
	}
}

// Ended drops an exchange of which nothing more follows.
func (d *Dispatcher) Ended(w World, e messenger.ExchangeEnded) {
	x, ok := d.exchanges[e.Exchange]
	if !ok {
		return
	}
	delete(d.exchanges, e.Exchange)
	if x.current == nil {
		return
	}
	if !x.current.began {
		d.index.Drop(x.current.server, x.spec.Prefix)
	}
	if e.Result == messenger.AttemptComplete {
		w.Suspicions.Observe(w.Now, x.current.server, detector.Observation{Kind: detector.Completed})
		w.Quarantine.Completed(w.Now, x.request)
	}
	d.noteEnd(w, x, e.Result, e.ServerEnded)
	w.Versions.Ended(x.current.track, promoter.End{
		Result:      e.Result,
		Began:       x.current.began,
		Took:        w.Now.Sub(x.current.sent),
		Predicted:   x.current.usual,
		Events:      e.Events,
		EventsTook:  e.EventsTook,
		ServerEnded: e.ServerEnded,
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
func (w World) keeps(server identifier.VMID) identifier.Tokens {
	s, ok := w.Servers.Server(server)
	if !ok || w.Catalog == nil || w.Catalog.Routing == nil {
		return 0
	}
	return w.Catalog.Routing.Backends[s.Service].Memory * keptPercent / 100
}

// Kept takes in which parts of prompts servers keep, as a peer reported. A node that
// relays passes on what is new.
func (d *Dispatcher) Kept(w World, parts []messenger.KeptPart, passOn bool) {
	for _, p := range parts {
		if s, ok := w.Servers.Server(p.Server); ok && s.State != messenger.ServerRemoved {
			d.index.Reported(w.Now, p, w.keeps(p.Server), passOn)
		}
	}
}

// NewlyKept returns the parts of prompts of which peers hear that servers
// keep them.
func (d *Dispatcher) NewlyKept(now timekeeper.Time) []messenger.KeptPart { return d.index.News(now) }

// RelayedKept returns those of them that a relay passes on.
func (d *Dispatcher) RelayedKept(now timekeeper.Time) []messenger.KeptPart {
	return d.index.RelayedNews(now)
}

// AllKept returns all that is remembered of what servers keep, for a peer that
// joined.
func (d *Dispatcher) AllKept() []messenger.KeptPart { return d.index.All() }

// Gone forgets what a server kept that is no more.
func (d *Dispatcher) Gone(w World, server identifier.VMID) {
	d.unexplained.ended(w, server)
	d.index.Forget(server)
	for _, e := range d.estimators {
		e.Forget(server)
	}
}
