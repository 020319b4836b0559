// Package limiter decides at once whether a request is admitted.
//
// Each client account has a limit in requests and in tokens that holds over
// all nodes. There is no lock and no coordinator: each node enforces a share
// of the limit, which is its own part of the account's recent demand as the
// nodes tell each other of it. Above the limits stand rules about the pool of
// backend servers: what cannot meet its deadline is refused, interactive work
// keeps a reserve of slots, and under overload the work that costs least
// penalty is shed first, beginning with accounts that use more than their
// fair share.
//
// Nothing waits here and nothing is held back: a verdict is final, and a
// refusal says when coming back makes sense.
//
// Everything is pure: time is an argument and nothing is drawn at random.
// Nothing is safe for concurrent use. All tables are bounded by the accounts
// and services of the catalog.
package limiter

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Rules switches the rules on and off, for measurement.
type Rules struct {
	// AccountLimits enforces the accounts' limits.
	AccountLimits bool
	// ShareByDemand shares a limit by demand; without it each node has the
	// same part.
	ShareByDemand bool
	// ShareUnused shares evenly what no node is asked for.
	ShareUnused bool
	// SlowRise bounds how fast a node's share may grow.
	SlowRise bool
	// Floor gives every node a small part of each limit.
	Floor bool
	// CostlyFirst keeps the last of a limit for the account's costly requests.
	CostlyFirst bool
	// Deadline refuses what cannot be done in time.
	Deadline bool
	// Reserve keeps slots free for interactive work.
	Reserve bool
	// Shed refuses work when the pool is overloaded.
	Shed bool
	// ShedByPenalty sheds what costs least first; without it all work alike.
	ShedByPenalty bool
	// FairShare sheds accounts above their fair share first.
	FairShare bool
	// SpreadReturns spreads the times at which refused callers come back.
	SpreadReturns bool
}

// AllRules returns the rules with each one on.
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

// Config sets up Limits. Zero Rules mean that all rules are off: see AllRules.
type Config struct {
	Rules Rules
}

// Request is a request to admit.
type Request struct {
	Account  identifier.AccountID
	Service  identifier.ServiceName
	Priority catalog.Priority
	// Tokens is the most that prompt and answer may come to.
	Tokens   identifier.Tokens
	Deadline timekeeper.Time
	// Predicted is the time to completion on the best server.
	Predicted timekeeper.Duration
	Target    catalog.Target
	// FreeSlots, Slots and Waiting describe the service's whole pool. With
	// Slots zero the rules about the pool do not apply.
	FreeSlots int
	Slots     int
	Waiting   int
}

// Verdict is the answer to a Request. RetryAfter is set on refusal; zero means
// that coming back makes no sense.
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
	// nodes counts the live nodes, this one included; others is the peers'
	// demand by account.
	nodes   int
	others  map[identifier.AccountID]Demand
	returns returns
}

// New returns Limits without a catalog, which refuse everything.
func New(c Config) *Limits {
	return &Limits{
		rules:    c.Rules,
		accounts: make(map[identifier.AccountID]*account),
		pools:    make(map[identifier.PoolName]*pool),
		nodes:    1,
		others:   make(map[identifier.AccountID]Demand),
	}
}

// SetCatalog puts a catalog in force. Accounts and services that it no longer
// names are forgotten.
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

// Admit decides on a request, and takes what it may use from its account's
// limits if it is admitted.
func (l *Limits) Admit(now timekeeper.Time, a Request) Verdict {
	if l.catalog == nil {
		return Verdict{
			Reason:     messenger.ReasonNoConfiguration,
			RetryAfter: unconfiguredRetry,
		}
	}
	spec, ok := l.catalog.Accounts[a.Account]
	if !ok {
		return Verdict{Reason: messenger.ReasonAccountLimit}
	}
	service, ok := l.catalog.Services[a.Service]
	if !ok {
		return Verdict{Reason: messenger.ReasonUnknownService}
	}
	acc := l.account(now, a.Account)
	l.refill(now, acc, spec)
	acc.note(a)
	p := l.pool(service.Pool)
	if v := l.checkDeadline(now, a, p); !v.OK {
		return v
	}
	if v := l.checkAccount(acc, spec, a); !v.OK {
		return v
	}
	if v := l.checkPool(now, a, p, p.note(now, a)); !v.OK {
		return v
	}
	acc.requests.take(1)
	acc.tokens.take(float64(a.Tokens))
	return Verdict{OK: true}
}

// Settle gives back the tokens that an admitted request reserved and did not
// use, or takes those it used beyond.
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
	acc.tokens.giveBack(float64(reserved - used))
}

func (l *Limits) checkDeadline(now timekeeper.Time, a Request, p *pool) Verdict {
	if !l.rules.Deadline || !now.Add(a.Predicted).After(a.Deadline) {
		return Verdict{OK: true}
	}
	v := Verdict{Reason: messenger.ReasonDeadline}
	if a.Slots > 0 && a.FreeSlots == 0 {
		v.RetryAfter = l.spread(p.drainTime(a))
	}
	return v
}

func (l *Limits) checkAccount(acc *account, spec catalog.Account, a Request) Verdict {
	if !l.rules.AccountLimits {
		return Verdict{OK: true}
	}
	keep := 0.0
	if l.rules.CostlyFirst && !acc.costly(a) && acc.expectsCostly {
		keep = costlyPart
	}
	wait := max(acc.requests.wait(1, keep), acc.tokens.wait(float64(a.Tokens), keep))
	if wait == 0 {
		return Verdict{OK: true}
	}
	return Verdict{
		Reason:     messenger.ReasonAccountLimit,
		RetryAfter: l.spread(min(max(wait, minRetry), maxRetry)),
	}
}

func (l *Limits) checkPool(now timekeeper.Time, a Request, p *pool, e *entry) Verdict {
	if a.Slots <= 0 {
		return Verdict{OK: true}
	}
	if l.rules.Reserve && p.reserved(a) || l.rules.Shed && p.sheds(now, l, a, e) {
		return Verdict{
			Reason:     messenger.ReasonOverload,
			RetryAfter: l.spread(p.drainTime(a)),
		}
	}
	return Verdict{OK: true}
}
