package dispatcher

import (
	"cmp"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// shortRetry is the base retry delay of a refused caller if nothing better is
	// known. Peers' updates arrive within it.
	shortRetry = 200 * timekeeper.Millisecond
	// noServerRetry is the base retry delay if no server is available; a new one takes
	// seconds.
	noServerRetry = 1 * timekeeper.Second
	// leavingRetry is the retry delay that a leaving node returns. It is short because
	// the retry reaches another node.
	leavingRetry = 20 * timekeeper.Millisecond
	// maxUrgency is the last rank that servers accept.
	maxUrgency = 9
	// rankStep is the number of ranks of routes within one rank of an account.
	rankStep = 3
	// maxObservedQueue is the queued prefill of a server up to which a request's first
	// event is used to observe the server's rates.
	maxObservedQueue = 10 * timekeeper.Millisecond
	// minAttemptTime is the remaining time below which no attempt is started.
	minAttemptTime = 5 * timekeeper.Millisecond
)

// Receive admits and sends a request, requests a part of its account's limit, or
// refuses it.
func (d *Dispatcher) Receive(env Env, spec messenger.ExchangeSpec) messenger.Effect {
	x, refusal := d.match(env, spec)
	if refusal != nil {
		return d.refuse(env, spec.Exchange, refusal)
	}
	env = env.forExchange(x)
	if refusal := d.quarantined(env, x); refusal != nil {
		if !env.Quarantine.TakeTrial(env.Now, x.fingerprint, x.parts...) {
			return d.refuse(env, spec.Exchange, refusal)
		}
		x.onTrial = true
	}
	if x.resumes() {
		return d.resume(env, x)
	}
	return d.receive(env, x)
}

// receive admits an exchange, requests a part of its account's limit, or refuses it.
func (d *Dispatcher) receive(env Env, x *exchange) messenger.Effect {
	if env.Paths.NoPath(env.Now) {
		return d.refuseNoPath(env, x)
	}
	c, ok := d.choose(env, x)
	if !ok {
		return d.refuseNoServer(env, x)
	}
	if decision := d.decideAdmission(env, x, c); decision.Refused() {
		return d.refuseNoRoom(env, x, c, decision)
	}
	d.exchanges[x.spec.Exchange] = x
	return d.admit(env, x)
}

// quarantined returns the refusal of a quarantined request, or nil.
func (d *Dispatcher) quarantined(env Env, x *exchange) *messenger.Refusal {
	retryAfter, refused := env.Quarantine.Refuses(env.Now, x.fingerprint, x.parts...)
	if !refused {
		return nil
	}
	return notRunRefusal(messenger.ReasonServersEnded, retryAfter)
}

// start sends an admitted request for the first time. It checks the quarantine again,
// because servers may have ended during the same request at other nodes while the limit
// was requested.
func (d *Dispatcher) start(env Env, x *exchange) messenger.Effect {
	if refusal := d.quarantined(env, x); refusal != nil && !x.onTrial {
		return d.refuse(env.forExchange(x), x.spec.Exchange, refusal)
	}
	d.share(env, x)
	if refusal := d.overShare(env, x); refusal != nil {
		d.recordRefusedDemand(env, x)
		return d.refuse(env.forExchange(x), x.spec.Exchange, refusal)
	}
	effect, ok := d.place(env, x)
	if !ok {
		return d.refuseNoServer(env, x)
	}
	env.Retries.Requested(env.Now, x.service)
	return effect
}

func (d *Dispatcher) refuseNoServer(env Env, x *exchange) messenger.Effect {
	// Refused requests count as demand. Otherwise demand would vanish with the servers,
	// and no new ones would be ordered.
	d.recordRefusedDemand(env, x)
	retryAfter := noServerRetry
	if env.Inputs.ServersAge < 0 {
		// This node has just started and will receive the servers shortly.
		retryAfter = shortRetry
	}
	if due, waiting := d.nextServerIn(env, x); waiting {
		retryAfter = due
	}
	return d.refuse(env, x.spec.Exchange, notRunRefusal(env.noServerReason(x), d.noServerDelay(env, x, retryAfter)))
}

// noServerReason returns the reason why no server can receive an exchange.
func (env Env) noServerReason(x *exchange) messenger.Reason {
	if env.Brittle.Service(x.service) {
		return messenger.ReasonNoRoom
	}
	return messenger.ReasonNoServer
}

// refuseNoPath refuses a request because this node reaches no server. The caller's next
// request may reach another node.
func (d *Dispatcher) refuseNoPath(env Env, x *exchange) messenger.Effect {
	d.recordRefusedDemand(env, x)
	return d.refuse(env, x.spec.Exchange, notRunRefusal(messenger.ReasonNoPath, jitter(env, shortRetry)))
}

// recordRefusedDemand counts a refused request as if a server had run it that has the
// shared parts of its prompt cached.
func (d *Dispatcher) recordRefusedDemand(env Env, x *exchange) {
	work := x.work(indexer.SharedTokens(x.spec.Prefix))
	d.offered(env, x, d.estimator(env, x.service).PrefillTime("", work))
}

// offered counts the work of a request that occupies a server for the given time.
func (d *Dispatcher) offered(env Env, x *exchange, work timekeeper.Duration) {
	d.serviceDemand(x.service).add(env.Now, work)
	d.fairness.offered(env.Now, x.service, x.account, work)
}

// work returns the work of a request for an otherwise idle server that has cached the
// given number of its prompt tokens.
func (x *exchange) work(cached identifier.Tokens) estimator.Work {
	return estimator.Work{
		Uncached: max(x.spec.PromptTokens-cached, 0),
		Cached:   cached,
	}
}

// match finds a request's route, account, service and deadline.
func (d *Dispatcher) match(env Env, spec messenger.ExchangeSpec) (*exchange, *messenger.Refusal) {
	if env.Catalog == nil || env.Catalog.Routing == nil {
		return nil, notRunRefusal(messenger.ReasonNoConfiguration, jitter(env, shortRetry))
	}
	if len(d.exchanges) >= d.config.MaxExchanges {
		return nil, notRunRefusal(messenger.ReasonOverload, jitter(env, shortRetry))
	}
	routing := env.Catalog.Routing
	route, ok := routing.Find(spec.Host, spec.Path)
	if !ok {
		return nil, unknownRefusal(env, messenger.ReasonUnknownRoute)
	}
	account, ok := accountOf(routing, route, spec.Key)
	if !ok {
		return nil, unknownRefusal(env, messenger.ReasonUnknownKey)
	}
	x := &exchange{
		spec:        spec,
		fingerprint: fingerprint(spec, account),
		route:       route,
		account:     account,
		service:     route.Service(placer.Fraction(string(cmp.Or(spec.ResumedRequest, spec.Request)))),
		urgency:     urgency(routing, route, account),
		deadline:    deadline(spec, route),
	}
	for _, p := range messenger.SharedParts(spec.Prefix) {
		x.parts = append(x.parts, quarantiner.PartOf(x.service, p.Hash))
	}
	switch {
	case x.deadline.Sub(env.Now) < minAttemptTime:
		return nil, notRunRefusal(messenger.ReasonDeadline, 0)
	case d.leaving && env.Now.After(d.refuseAfter):
		return nil, notRunRefusal(messenger.ReasonLeaving, leavingRetry)
	}
	return x, nil
}

// unknownRefusal refuses a request that does not match the configuration. If a newer
// configuration may be in force elsewhere, the caller is asked to retry.
func unknownRefusal(env Env, reason messenger.Reason) *messenger.Refusal {
	if env.ConfigStale {
		return notRunRefusal(messenger.ReasonNoConfiguration, jitter(env, shortRetry))
	}
	return notRunRefusal(reason, 0)
}

func notRunRefusal(reason messenger.Reason, retryAfter timekeeper.Duration) *messenger.Refusal {
	return &messenger.Refusal{
		Reason:     reason,
		Outcome:    messenger.NotRun,
		RetryAfter: retryAfter,
	}
}

func accountOf(routing *catalog.Routing, route *catalog.Route, key string) (identifier.AccountID, bool) {
	if account, ok := routing.Account(key); ok {
		return account, true
	}
	return "", route.Public || !routing.NeedsKeys()
}

// fingerprint identifies a request by its caller and its content. All keys of an
// account are the same caller; without an account the key is the caller.
func fingerprint(spec messenger.ExchangeSpec, account identifier.AccountID) identifier.Fingerprint {
	caller := string(account)
	if account == "" {
		caller = spec.Key
	}
	return quarantiner.FingerprintOf(caller, spec.Content)
}

func urgency(routing *catalog.Routing, route *catalog.Route, account identifier.AccountID) int {
	return min(max(routing.AccountRanks[account]*rankStep+route.Rank, 0), maxUrgency)
}

func deadline(spec messenger.ExchangeSpec, route *catalog.Route) timekeeper.Time {
	timeout := route.Timeout
	if spec.TimeLimit > 0 && (timeout <= 0 || spec.TimeLimit < timeout) {
		timeout = spec.TimeLimit
	}
	return spec.Received.Add(timeout)
}

// send starts an attempt, in place of the current one if that has stalled.
func (d *Dispatcher) send(env Env, x *exchange, c choice) messenger.Effect {
	if x.current != nil {
		d.endStalled(env, x)
	}
	x.attempt++
	x.countedAttempts++
	x.tried = append(x.tried, c.server.Server)
	x.current = &attempt{
		server:       c.server.Server,
		version:      c.server.Version,
		sent:         env.Now,
		predicted:    c.predicted,
		prefill:      c.prefill,
		occupied:     c.occupied,
		work:         c.work,
		observeRates: c.queuedPrefill <= maxObservedQueue && c.copyTime == 0,
		brittle:      env.Brittle.Service(x.service),
	}
	x.current.track = env.Versions.RecordSent(x.service, x.route.Name, c.server)
	x.current.baseline = d.baselineTime(env, x, c)
	d.queue(env, x, c)
	d.loads.sent(c.server.Server, c.prefill)
	d.index.AddSent(env.Now, c.server.Server, x.spec.Prefix, env.cacheCapacity(c.server.Server))
	d.notifyPeers = d.notifyPeers || c.prefill >= longPrefill
	d.serviceDemand(x.service).running++
	d.offered(env, x, c.occupied)
	env.Suspicions.Observe(env.Now, c.server.Server, detector.Observation{Kind: detector.Sent})
	first, next := d.eventTimeouts(x, max(c.predicted, x.current.queued.predicted))
	inputs := env.forExchange(x).Inputs
	inputs.Candidates = c.candidateCount
	inputs.Predicted = c.predicted
	inputs.ServerFactor = c.factor
	inputs.Version = c.server.Version
	copyFrom := ""
	if c.copyFrom != nil {
		copyFrom = c.copyFrom.Address
	}
	_, limited := env.Limits.Rate(c.server.Server)
	return messenger.SendExchange{
		CopyFrom:          copyFrom,
		Limited:           limited,
		Brittle:           x.current.brittle,
		Inputs:            inputs,
		Exchange:          x.spec.Exchange,
		Attempt:           x.attempt,
		Server:            c.server.Server,
		Address:           c.server.Address,
		Path:              env.Paths.To(env.Now, c.server.Server, c.server.Zone),
		Account:           x.account,
		Route:             x.route,
		Urgency:           x.urgency,
		Deadline:          x.deadline,
		FirstEventTimeout: first,
		NextEventTimeout:  next,
		Movable:           d.isMovable(env, x),
	}
}

func (d *Dispatcher) refuse(env Env, id identifier.ExchangeID, r *messenger.Refusal) messenger.Effect {
	delete(d.exchanges, id)
	return messenger.RefuseExchange{
		Exchange: id,
		Refusal:  *r,
		Inputs:   env.Inputs,
	}
}

// jitter returns a random delay between one and two times base, which spreads the
// retries of refused callers.
func jitter(env Env, base timekeeper.Duration) timekeeper.Duration {
	return base + timekeeper.Duration(env.Rand.Int64N(int64(base)))
}
