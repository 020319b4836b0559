package dispatcher

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/sharer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// shareInterval is the time after which the shares of a service are computed again.
	// Reports of peers arrive less often.
	shareInterval = 100 * timekeeper.Millisecond
	// overShareRetry is the base retry delay of a request that is refused for its
	// account's share: the time in which shares follow a change of demand.
	overShareRetry = 1 * timekeeper.Second
	// noAccount is the key under which work is measured that is not attributed to an account.
	noAccount identifier.AccountHash = 0
)

// fairness holds the accounts' shares of each service. It is nil if accounts have none.
type fairness struct {
	sharer *sharer.Sharer
	meters map[identifier.ServiceName]*sharer.Meter
	// served measures the work that servers began, under no account.
	served map[identifier.ServiceName]*sharer.Meter
	// updatedAt is the time of the last division of each service.
	updatedAt map[identifier.ServiceName]timekeeper.Time
}

func newFairness(enabled bool) *fairness {
	if !enabled {
		return nil
	}
	return &fairness{
		sharer:    sharer.New(),
		meters:    map[identifier.ServiceName]*sharer.Meter{},
		served:    map[identifier.ServiceName]*sharer.Meter{},
		updatedAt: map[identifier.ServiceName]timekeeper.Time{},
	}
}

// offered counts work that an account's callers offer to a service.
func (f *fairness) offered(now timekeeper.Time, service identifier.ServiceName, account identifier.AccountID, work timekeeper.Duration) {
	if f == nil {
		return
	}
	add(f.meters, now, service, sharer.HashOf(account), work)
}

// began counts work that a server of a service began.
func (f *fairness) began(now timekeeper.Time, service identifier.ServiceName, work timekeeper.Duration) {
	if f == nil {
		return
	}
	add(f.served, now, service, noAccount, work)
}

func add(meters map[identifier.ServiceName]*sharer.Meter, now timekeeper.Time, service identifier.ServiceName, account identifier.AccountHash, work timekeeper.Duration) {
	m := meters[service]
	if m == nil {
		m = sharer.NewMeter()
		meters[service] = m
	}
	m.Add(now, account, work)
}

// report adds to a node's demand the work that its callers offer to a service and that
// servers began for them.
func (f *fairness) report(now timekeeper.Time, service identifier.ServiceName, demand *messenger.ServiceDemand) {
	if f == nil {
		return
	}
	if m := f.meters[service]; m != nil {
		demand.Accounts = m.Loads(now)
	}
	if m := f.served[service]; m != nil {
		demand.ServedLoad = m.Loads(now)[noAccount]
	}
}

// share decides whether an admitted request is within its account's share, and makes one
// beyond it less urgent.
func (d *Dispatcher) share(env Env, x *exchange) {
	if d.fairness == nil {
		return
	}
	d.divide(env, x.service)
	if !d.fairness.sharer.Short(x.service) {
		return
	}
	x.share = messenger.ShareWithin
	excess := d.fairness.sharer.Excess(x.service, sharer.HashOf(x.account))
	if excess > 0 && env.Rand.Float64() < excess {
		x.share = messenger.ShareExceeded
		x.urgency = max(x.urgency, excessUrgency(env.Catalog.Routing, x.route, x.account))
	}
}

// excessUrgency returns the urgency of a request beyond its account's share: that of the next
// rank of accounts, after all requests within the shares of its own rank. If there are
// accounts of the next rank, which must not be served before, it is the last urgency of its
// own rank.
func excessUrgency(routing *catalog.Routing, route *catalog.Route, account identifier.AccountID) int {
	next := routing.AccountRanks[account] + 1
	for _, rank := range routing.AccountRanks {
		if rank == next {
			return min(next*rankStep-1, maxUrgency)
		}
	}
	return min(next*rankStep+route.Rank, maxUrgency)
}

// overShare returns the refusal of a request beyond its account's share that its caller would
// give up before the best server begins to answer, or nil.
func (d *Dispatcher) overShare(env Env, x *exchange) *messenger.Refusal {
	if x.share != messenger.ShareExceeded {
		return nil
	}
	c, ok := d.choose(env, x)
	if !ok || c.predicted < x.patienceEnd().Sub(env.Now) {
		return nil
	}
	return notRunRefusal(messenger.ReasonOverShare, jitter(env, overShareRetry))
}

// divide updates the shares of a service if they are older than shareInterval.
func (d *Dispatcher) divide(env Env, service identifier.ServiceName) {
	f := d.fairness
	if last, known := f.updatedAt[service]; known && env.Now.Sub(last) < shareInterval {
		return
	}
	f.updatedAt[service] = env.Now
	servers := slices.DeleteFunc(slices.Clone(env.Servers.ServersOf(service)), func(s *registrar.Server) bool {
		return s.State != messenger.ServerReady || s.Displaced
	})
	slots := 0
	for _, s := range servers {
		slots += d.slotCount(env, s)
	}
	demand := d.accountDemand(env.Now, service)
	f.sharer.Update(service, sharer.Service{
		Servers: len(servers),
		Slots:   slots,
		Running: demand.Running,
		Served:  demand.ServedLoad,
		Claims:  env.claims(demand.Accounts),
	})
}

// accountDemand returns the demand of all nodes' callers for a service, by account.
func (d *Dispatcher) accountDemand(now timekeeper.Time, service identifier.ServiceName) messenger.ServiceDemand {
	sum := d.serviceDemand(service).report(now)
	d.fairness.report(now, service, &sum)
	for report := range d.loads.freshReports(now) {
		sum = addDemand(sum, report.demand[service], 1)
	}
	return sum
}

// claims returns the claims of accounts that offer work, with weights by their limits. Those
// that the configuration does not contain count as requests without an account.
func (env Env) claims(loads map[identifier.AccountHash]float64) []sharer.Claim {
	known := map[identifier.AccountHash]identifier.AccountID{}
	for account := range env.Catalog.Routing.AccountRanks {
		known[sharer.HashOf(account)] = account
	}
	claims := make([]sharer.Claim, 0, len(loads))
	for _, hash := range slices.Sorted(maps.Keys(loads)) {
		account := known[hash]
		claims = append(claims, sharer.Claim{
			Account: hash,
			Rank:    env.Catalog.Routing.AccountRanks[account],
			Weight:  env.Catalog.Accounts[account].TokensPerSecond,
			Load:    loads[hash],
		})
	}
	return claims
}

// addLoads adds loads to sum, or subtracts them if sign is -1, and returns sum.
func addLoads(sum, loads map[identifier.AccountHash]float64, sign int) map[identifier.AccountHash]float64 {
	if sum == nil && len(loads) > 0 {
		sum = make(map[identifier.AccountHash]float64, len(loads))
	}
	for account, load := range loads {
		sum[account] = max(sum[account]+float64(sign)*load, 0)
	}
	return sum
}
