// Package limiter decides whether a request is admitted.
//
// Each client account has limits in requests and in tokens that hold over all nodes.
//
// Limits decides on model requests without a lock or a coordinator: each node enforces
// a share of each limit, in proportion to the account's recent demand at this node and
// at its peers. Further rules protect the pool of backend servers: a request that can't
// meet its deadline is refused, some slots are reserved for interactive requests, and
// under overload the requests with the lowest penalty are shed first, beginning with
// accounts that exceed their fair share.
//
// Buckets decides on opaque exchanges: the holder of a lease grants most of each limit,
// and every node grants a small part by itself.
//
// No request is queued here: a verdict is final, and a refusal states when a retry
// makes sense.
//
// The package is pure: time is an argument and nothing is random. Nothing is safe for
// concurrent use. All tables are bounded by the accounts and services of the catalog.
package limiter

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Rules enables the rules one by one, so that the effect of each can be measured.
type Rules struct {
	// AccountLimits enforces the accounts' limits.
	AccountLimits bool
	// ShareByDemand divides a limit by demand. Without it each node has an equal share.
	ShareByDemand bool
	// ShareUnused divides the unused part of a limit evenly.
	ShareUnused bool
	// SlowRise bounds the growth rate of a node's share.
	SlowRise bool
	// Floor gives each node a small minimum share of each limit.
	Floor bool
	// CostlyFirst reserves a part of a limit for the account's costly requests.
	CostlyFirst bool
	// Deadline refuses requests that can't complete before their deadline.
	Deadline bool
	// Reserve keeps slots free for interactive requests.
	Reserve bool
	// Shed refuses requests when the pool is overloaded.
	Shed bool
	// ShedByPenalty sheds the requests with the lowest penalty first. Without it all
	// are shed in proportion.
	ShedByPenalty bool
	// FairShare sheds the use of accounts above their fair share first.
	FairShare bool
	// SpreadReturns spreads the retry times of refused callers.
	SpreadReturns bool
}

// AllRules returns Rules with every rule enabled.
func AllRules() Rules {
	return Rules{
		AccountLimits: true,
		ShareByDemand: true,
		ShareUnused:   true,
		SlowRise:      true,
		Floor:         true,
		CostlyFirst:   true,
		Deadline:      true,
		Reserve:       true,
		Shed:          true,
		ShedByPenalty: true,
		FairShare:     true,
		SpreadReturns: true,
	}
}

// Config configures Limits. The zero Rules disable all rules: see AllRules.
type Config struct {
	Rules Rules
}

// Request is a request for admission.
type Request struct {
	Account  identifier.AccountID
	Service  identifier.ServiceName
	Priority catalog.Priority
	// Tokens is the maximum number of tokens in prompt and answer.
	Tokens   identifier.Tokens
	Deadline timekeeper.Time
	// Predicted is the predicted time to completion on the best server.
	Predicted timekeeper.Duration
	Target    catalog.Target
	// FreeSlots, Slots and Waiting are totals over the service's pool. If Slots is
	// zero, the rules about the pool do not apply.
	FreeSlots int
	Slots     int
	Waiting   int
}

// Verdict is the decision on a Request. RetryAfter is set on refusal; zero means that a
// retry makes no sense.
type Verdict struct {
	OK         bool
	Reason     messenger.Reason
	RetryAfter timekeeper.Duration
}

// Limits holds the state of all accounts and pools on one node.
type Limits struct {
	rules    Rules
	catalog  *catalog.Catalog
	accounts map[identifier.AccountID]*account
	pools    map[identifier.PoolName]*pool
	// nodes is the number of live nodes, this one included. peerDemand is the sum of
	// the peers' demand, by account.
	nodes       int
	peerDemand  map[identifier.AccountID]Demand
	retrySpread retrySpreader
}

// New returns Limits without a catalog, which refuse every request.
func New(c Config) *Limits {
	return &Limits{
		rules:      c.Rules,
		accounts:   make(map[identifier.AccountID]*account),
		pools:      make(map[identifier.PoolName]*pool),
		nodes:      1,
		peerDemand: make(map[identifier.AccountID]Demand),
	}
}

// SetCatalog replaces the catalog, and drops accounts and services that it does not
// contain.
func (l *Limits) SetCatalog(_ timekeeper.Time, c *catalog.Catalog) {
	l.catalog = c
	for id := range l.accounts {
		if _, ok := c.Accounts[id]; !ok {
			delete(l.accounts, id)
		}
	}
	for name, p := range l.pools {
		if _, ok := c.Pools[name]; !ok {
			delete(l.pools, name)
			continue
		}
		p.prune(c)
	}
}

// Admit decides on a request. If it admits the request, it takes the request's tokens
// from the account's limits.
func (l *Limits) Admit(now timekeeper.Time, req Request) Verdict {
	if l.catalog == nil {
		return Verdict{
			Reason:     messenger.ReasonNoConfiguration,
			RetryAfter: unconfiguredRetry,
		}
	}
	spec, ok := l.catalog.Accounts[req.Account]
	if !ok {
		return Verdict{Reason: messenger.ReasonAccountLimit}
	}
	service, ok := l.catalog.Services[req.Service]
	if !ok {
		return Verdict{Reason: messenger.ReasonUnknownService}
	}
	acc := l.account(now, req.Account)
	l.refill(now, acc, spec)
	acc.observe(req)
	p := l.pool(service.Pool)
	if v := l.checkDeadline(now, req, p); !v.OK {
		return v
	}
	if v := l.checkAccount(acc, spec, req); !v.OK {
		return v
	}
	if v := l.checkPool(now, req, p, p.observe(now, req)); !v.OK {
		return v
	}
	acc.requests.take(1)
	acc.tokens.take(float64(req.Tokens))
	return Verdict{OK: true}
}

// Settle returns the tokens that an admitted request reserved but did not use, or takes
// those that it used in excess of its reservation.
func (l *Limits) Settle(now timekeeper.Time, id identifier.AccountID, reserved, used identifier.Tokens) {
	if l.catalog == nil {
		return
	}
	spec, ok := l.catalog.Accounts[id]
	if !ok {
		return
	}
	acc := l.account(now, id)
	l.refill(now, acc, spec)
	acc.tokens.refund(float64(reserved - used))
}

func (l *Limits) checkDeadline(now timekeeper.Time, req Request, p *pool) Verdict {
	if !l.rules.Deadline || !now.Add(req.Predicted).After(req.Deadline) {
		return Verdict{OK: true}
	}
	v := Verdict{Reason: messenger.ReasonDeadline}
	if req.Slots > 0 && req.FreeSlots == 0 {
		v.RetryAfter = l.spread(p.drainTime(req))
	}
	return v
}

func (l *Limits) checkAccount(acc *account, spec catalog.Account, req Request) Verdict {
	if !l.rules.AccountLimits {
		return Verdict{OK: true}
	}
	reserve := 0.0
	if l.rules.CostlyFirst && !acc.costly(req) && acc.recentCostly {
		reserve = costlyPart
	}
	wait := max(acc.requests.wait(1, reserve), acc.tokens.wait(float64(req.Tokens), reserve))
	if wait == 0 {
		return Verdict{OK: true}
	}
	return Verdict{
		Reason:     messenger.ReasonAccountLimit,
		RetryAfter: l.spread(min(max(wait, minRetry), maxRetry)),
	}
}

func (l *Limits) checkPool(now timekeeper.Time, req Request, p *pool, e *entry) Verdict {
	if req.Slots <= 0 {
		return Verdict{OK: true}
	}
	if l.rules.Reserve && p.reserved(req) || l.rules.Shed && p.shouldShed(now, l, req, e) {
		return Verdict{
			Reason:     messenger.ReasonOverload,
			RetryAfter: l.spread(p.drainTime(req)),
		}
	}
	return Verdict{OK: true}
}
