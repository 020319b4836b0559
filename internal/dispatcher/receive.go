package dispatcher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/indexer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// soon is when a refused caller may come back where nothing better is
	// known: by then peers' news has reached this node, and other callers are
	// spread over as long again.
	soon = 200 * timekeeper.Millisecond
	// bootWait is the same where no server is left: a new one takes seconds.
	bootWait = 1 * timekeeper.Second
	// leavingWait sends a caller to another node at once.
	leavingWait = 20 * timekeeper.Millisecond
	// maxUrgency is the last rank that servers know.
	maxUrgency = 9
	// rankStep is the room that an account's rank leaves to those of routes.
	rankStep = 3
	// learnAhead is the time that a server may have to read ahead of a request
	// from whose answer its rates are learned.
	learnAhead = 10 * timekeeper.Millisecond
	// leastTime is the time below which an attempt can't end in time.
	leastTime = 5 * timekeeper.Millisecond
)

// Receive admits a request and sends it, asks for a part of its account's
// limit, or refuses it.
func (d *Dispatcher) Receive(env Env, spec messenger.ExchangeSpec) messenger.Effect {
	x, refusal := d.match(env, spec)
	if refusal != nil {
		return d.refuse(env, spec.Exchange, refusal)
	}
	env = env.about(x)
	if refusal := d.quarantined(env, x); refusal != nil {
		return d.refuse(env, spec.Exchange, refusal)
	}
	if _, ok := d.choose(env, x); !ok {
		return d.refuseForServers(env, x)
	}
	d.exchanges[spec.Exchange] = x
	return d.admit(env, x)
}

// quarantined returns the refusal of a request that no server may get, or nil.
func (d *Dispatcher) quarantined(env Env, x *exchange) *messenger.Refusal {
	after, refused := env.Quarantine.Refuses(env.Now, x.request)
	if !refused {
		return nil
	}
	return notRun(messenger.ReasonServersEnded, after)
}

// start sends an admitted request for the first time. Servers may have ended under it
// at other nodes while its account's limit was asked for.
func (d *Dispatcher) start(env Env, x *exchange) messenger.Effect {
	if refusal := d.quarantined(env, x); refusal != nil {
		return d.refuse(env.about(x), x.spec.Exchange, refusal)
	}
	effect, ok := d.place(env, x)
	if !ok {
		return d.refuseForServers(env, x)
	}
	env.Retries.Requested(env.Now, x.service)
	return effect
}

func (d *Dispatcher) refuseForServers(env Env, x *exchange) messenger.Effect {
	// What was asked for in vain is still asked for: without it the demand
	// would vanish with the servers, and no new ones be ordered.
	d.noteRefusal(env, x)
	again := bootWait
	if env.Inputs.ServersAge < 0 {
		// This node has just started and hears of the servers in a moment.
		again = soon
	}
	if after, limited := d.permitIn(env, x); limited {
		again = after
	}
	return d.refuse(env, x.spec.Exchange, notRun(messenger.ReasonNoServer, spread(env, again)))
}

// noteRefusal counts a request that was refused as if a server had taken it that
// keeps the shared parts of its prompt.
func (d *Dispatcher) noteRefusal(env Env, x *exchange) {
	work := x.work(indexer.SharedTokens(x.spec.Prefix))
	d.demand(x.service).note(env.Now, d.estimator(x.service).PrefillTime("", work))
}

// work is what a server that keeps so much of the prompt, and has nothing else, has to do.
func (x *exchange) work(kept identifier.Tokens) estimator.Work {
	return estimator.Work{
		Uncached: max(x.spec.PromptTokens-kept, 0),
		Cached:   kept,
	}
}

// match finds a request's route, account, service and deadline.
func (d *Dispatcher) match(env Env, spec messenger.ExchangeSpec) (*exchange, *messenger.Refusal) {
	if env.Catalog == nil || env.Catalog.Routing == nil {
		return nil, notRun(messenger.ReasonNoConfiguration, spread(env, soon))
	}
	if len(d.exchanges) >= d.config.MaxExchanges {
		return nil, notRun(messenger.ReasonOverload, spread(env, soon))
	}
	routing := env.Catalog.Routing
	route, ok := routing.Find(spec.Host, spec.Path)
	if !ok {
		return nil, unknown(env, messenger.ReasonUnknownRoute)
	}
	account, ok := accountOf(routing, route, spec.Key)
	if !ok {
		return nil, unknown(env, messenger.ReasonUnknownKey)
	}
	x := &exchange{
		spec:     spec,
		request:  fingerprint(spec, account),
		route:    route,
		account:  account,
		service:  route.Service(point(spec.Request)),
		urgency:  urgency(routing, route, account),
		deadline: deadline(spec, route),
	}
	switch {
	case x.deadline.Sub(env.Now) < leastTime:
		return nil, notRun(messenger.ReasonDeadline, 0)
	case d.leaving && env.Now.After(d.refuseAfter):
		return nil, notRun(messenger.ReasonLeaving, leavingWait)
	}
	return x, nil
}

// unknown refuses a request that the configuration does not know. Where a
// newer one may be in force elsewhere that would be a guess, so the caller is
// told to come back instead.
func unknown(env Env, reason messenger.Reason) *messenger.Refusal {
	if env.ConfigStale {
		return notRun(messenger.ReasonNoConfiguration, spread(env, soon))
	}
	return notRun(reason, 0)
}

func notRun(reason messenger.Reason, after timekeeper.Duration) *messenger.Refusal {
	return &messenger.Refusal{
		Reason:     reason,
		Outcome:    messenger.NotRun,
		RetryAfter: after,
	}
}

func accountOf(routing *catalog.Routing, route *catalog.Route, key string) (identifier.AccountID, bool) {
	if account, ok := routing.Account(key); ok {
		return account, true
	}
	return "", route.Public || !routing.NeedsKeys()
}

// fingerprint names what a caller asks. An account may have several keys, and callers
// without an account may have one.
func fingerprint(spec messenger.ExchangeSpec, account identifier.AccountID) identifier.Fingerprint {
	caller := string(account)
	if account == "" {
		caller = spec.Key
	}
	return quarantiner.FingerprintOf(caller, spec.Content)
}

// point maps a request to [0, 1), the same for each of its attempts.
func point(r identifier.RequestID) float64 {
	const bits = 53 // what a float64 holds exactly
	return float64(xxhash.Sum64String(string(r))>>(64-bits)) / (1 << bits)
}

func urgency(routing *catalog.Routing, route *catalog.Route, account identifier.AccountID) int {
	return min(max(routing.Ranks[account]*rankStep+route.Rank, 0), maxUrgency)
}

func deadline(spec messenger.ExchangeSpec, route *catalog.Route) timekeeper.Time {
	wait := route.Timeout
	if spec.TimeLimit > 0 && (wait <= 0 || spec.TimeLimit < wait) {
		wait = spec.TimeLimit
	}
	return spec.Received.Add(wait)
}

// send starts an attempt.
func (d *Dispatcher) send(env Env, x *exchange, c choice) messenger.Effect {
	x.attempt++
	x.counted++
	x.tried = append(x.tried, c.server.Server)
	x.current = &flight{
		server:    c.server.Server,
		sent:      env.Now,
		predicted: c.predicted,
		prefill:   c.prefill,
		work:      c.work,
		learn:     c.ahead <= learnAhead && c.copying == 0,
	}
	x.current.track = env.Versions.RecordSent(x.service, x.route.Name, c.server)
	x.current.usual = d.usual(x, c)
	d.loads.sent(c.server.Server, c.prefill)
	d.index.AddSent(env.Now, c.server.Server, x.spec.Prefix, env.keeps(c.server.Server))
	d.notifyPeers = d.notifyPeers || c.prefill >= longPrefill
	d.demand(x.service).running++
	d.demand(x.service).note(env.Now, c.occupied)
	env.Suspicions.Observe(env.Now, c.server.Server, detector.Observation{Kind: detector.Sent})
	first, next := d.silence(x, c.predicted)
	basis := env.about(x).Inputs
	basis.Candidates = c.candidates
	basis.Predicted = c.predicted
	basis.Version = c.server.Version
	copyFrom := ""
	if c.copyFrom != nil {
		copyFrom = c.copyFrom.Address
	}
	_, limited := env.Limits.Rate(c.server.Server)
	return messenger.SendExchange{
		CopyFrom:          copyFrom,
		Limited:           limited,
		Inputs:            basis,
		Exchange:          x.spec.Exchange,
		Attempt:           x.attempt,
		Server:            c.server.Server,
		Address:           c.server.Address,
		Account:           x.account,
		Route:             x.route,
		Urgency:           x.urgency,
		Deadline:          x.deadline,
		FirstEventTimeout: first,
		NextEventTimeout:  next,
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

// spread draws a wait between one and two times base, so that refused callers
// don't come back all at once.
func spread(env Env, base timekeeper.Duration) timekeeper.Duration {
	return base + timekeeper.Duration(env.Rand.Int64N(int64(base)))
}
