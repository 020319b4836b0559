package limiter

import (
	"math"
	"sort"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// demandWindow is the time over which demand is smoothed. It is longer than the
	// time between two requests of a small account at one node; otherwise the share
	// would follow the last request.
	demandWindow = 10 * timekeeper.Second
	// floorPart is the part of each limit that is shared evenly even if the account
	// exceeds its limit.
	floorPart = 0.1
	// headroom is the factor by which all nodes together may exceed a limit
	// permanently, so that inexact shares do not cause refusals of an account within
	// its limit.
	headroom = 1.1
	// baselineRequests and baselineTokens are added to each node's demand per second,
	// so that shares become equal when demand is negligible.
	baselineRequests = 0.05
	baselineTokens   = 50
	// shareDoublingTime is the time in which a share may double. Within the second that
	// demand reports take to reach all live nodes, a share grows at most 1.8 times,
	// which with the headroom stays below Overshoot.
	shareDoublingTime = 1200 * timekeeper.Millisecond
	// maxDemandDelay is the maximum age of demand reports. The rate that a node borrows
	// from the unused part of a limit is bounded by what the burst covers in this time.
	maxDemandDelay = 1 * timekeeper.Second
	// costlyPart is the part of a limit's burst that is reserved for costly requests. A
	// request is costly if its penalty is at least costlyRatio times the geometric mean
	// of the account's penalties. With a lower ratio more of them would take the place of
	// many cheap requests.
	costlyPart  = 0.1
	costlyRatio = 4
	// costlyWindow is the time after the last costly request for which the reserve is
	// kept. An account without costly requests needs none.
	costlyWindow = 2 * timekeeper.Minute
	// penaltySmoothing is the weight of the newest request in the mean of the
	// penalties.
	penaltySmoothing = 0.01
	// minReportedDemand is the demand per second below which an account is not
	// reported.
	minReportedDemand = 0.01
)

// Overshoot is the maximum factor by which all nodes together may exceed a limit, both
// in rate and in burst, if demand reports take no longer than a second. One request per
// node may be admitted in addition. The rate is exceeded by this factor only until the
// demand reports arrive, and by headroom afterwards. The bursts of all nodes sum to
// twice the limit's burst, because callers move between nodes and leave parts of it
// unused.
const Overshoot = 2

// Demand is the demand of an account at one node, per second, whether admitted or not.
type Demand struct {
	Requests float64
	Tokens   float64
}

// account is the state of one client account on this node.
type account struct {
	updatedAt timekeeper.Time
	demand    Demand
	// meanLogPenalty is the moving average of the logarithms of the requests'
	// penalties.
	meanLogPenalty float64
	// lastCostly is the time of the last costly request, and recentCostly reports
	// whether it is within costlyWindow.
	lastCostly   timekeeper.Time
	recentCostly bool
	requests     limit
	tokens       limit
}

// limit is this node's part of one limit of an account.
type limit struct {
	bucket
	share    float64
	hasShare bool
}

// SetPeers replaces the demand at each live peer. Peers that are missing no longer
// count as nodes. Accounts that the catalog does not contain are ignored.
func (l *Limits) SetPeers(_ timekeeper.Time, peers map[identifier.VMID]map[identifier.AccountID]Demand) {
	l.nodes = len(peers) + 1
	clear(l.peerDemand)
	for _, vm := range sortedPeers(peers) {
		for id, d := range peers[vm] {
			if !l.hasAccount(id) {
				continue
			}
			sum := l.peerDemand[id]
			sum.Requests += max(d.Requests, 0)
			sum.Tokens += max(d.Tokens, 0)
			l.peerDemand[id] = sum
		}
	}
}

func (l *Limits) hasAccount(id identifier.AccountID) bool {
	if l.catalog == nil {
		return false
	}
	_, ok := l.catalog.Accounts[id]
	return ok
}

// sortedPeers returns the peers in a fixed order, because sums of floating-point
// numbers depend on their order.
func sortedPeers(peers map[identifier.VMID]map[identifier.AccountID]Demand) []identifier.VMID {
	vms := make([]identifier.VMID, 0, len(peers))
	for vm := range peers {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, k int) bool { return vms[i] < vms[k] })
	return vms
}

// Demand returns this node's own recent demand, to be reported to its peers.
func (l *Limits) Demand(now timekeeper.Time) map[identifier.AccountID]Demand {
	demands := make(map[identifier.AccountID]Demand, len(l.accounts))
	for id, acc := range l.accounts {
		d := acc.demandAt(now)
		if d.Requests >= minReportedDemand || d.Tokens >= minReportedDemand {
			demands[id] = d
		}
	}
	return demands
}

func (l *Limits) account(now timekeeper.Time, id identifier.AccountID) *account {
	acc, ok := l.accounts[id]
	if !ok {
		acc = &account{updatedAt: now}
		l.accounts[id] = acc
	}
	return acc
}

// refill updates demand, shares, rates and levels to now.
func (l *Limits) refill(now timekeeper.Time, acc *account, spec catalog.Account) {
	elapsed := max(now.Sub(acc.updatedAt), 0)
	acc.demand = acc.demandAt(now)
	acc.updatedAt = max(acc.updatedAt, now)
	others := l.peerDemand[spec.ID]
	share := l.targetShare(acc.demand.Requests, others.Requests, baselineRequests, spec.RequestsPerSecond)
	acc.requests.update(elapsed, l.boundGrowth(share, &acc.requests, elapsed), l.borrowedRate(acc.demand.Requests+others.Requests, spec.RequestsPerSecond, spec.RequestBurst), spec.RequestsPerSecond, max(spec.RequestBurst, 1), 1)
	share = l.targetShare(acc.demand.Tokens, others.Tokens, baselineTokens, spec.TokensPerSecond)
	acc.tokens.update(elapsed, l.boundGrowth(share, &acc.tokens, elapsed), l.borrowedRate(acc.demand.Tokens+others.Tokens, spec.TokensPerSecond, spec.TokenBurst), spec.TokensPerSecond, spec.TokenBurst, 1)
}

func (l *limit) update(elapsed timekeeper.Duration, share, borrowed, rate, burst, minBurst float64) {
	l.refill(elapsed)
	l.share = share
	l.hasShare = true
	l.configure(rate*share*headroom+borrowed, max(burst*min(share*Overshoot, 1), minBurst))
}

// borrowedRate returns the rate in excess of its share that a node may admit because
// the account leaves it unused.
//
// All of an account's callers may connect to one node, whose share rises only with the
// demand that it sees. Until then the node uses what others leave unused. Several nodes
// may use the same part at once, so the borrowed rates are bounded: they sum to no more
// than the account's burst until all nodes know of each other's demand.
func (l *Limits) borrowedRate(demand, rate, burst float64) float64 {
	if !l.rules.ShareUnused || l.nodes < 2 {
		return 0
	}
	others := float64(l.nodes - 1)
	return max(0, min((rate-demand)*others/(others+1), burst/(others*maxDemandDelay.Seconds())))
}

// targetShare returns the share of a limit that is due to this node by its demand: its
// demand plus an equal part of the unused limit, relative to the sum over all nodes.
//
// With shares in proportion to demand alone, a node without demand would have almost no
// share, and callers that move from node to node would be refused at each new one
// although their account uses a fraction of its limit.
func (l *Limits) targetShare(demand, peerDemand, baseline, limit float64) float64 {
	nodes := float64(l.nodes)
	equal := 1 / nodes
	if !l.rules.ShareByDemand {
		return equal
	}
	if l.rules.ShareUnused {
		baseline = max(baseline, (limit-demand-peerDemand)/nodes)
	}
	part := (demand + baseline) / (demand + peerDemand + baseline*nodes)
	if !l.rules.Floor {
		return part
	}
	return floorPart*equal + (1-floorPart)*part
}

// boundGrowth bounds the growth of a share.
//
// When a burst of requests arrives at all nodes at once, each node sees its own demand
// before it receives that of the others. Without a bound, each would take the whole
// limit. Shares that sum to one, and at most double until the demand reports arrive,
// sum to at most two.
func (l *Limits) boundGrowth(target float64, current *limit, elapsed timekeeper.Duration) float64 {
	if !l.rules.SlowRise {
		return target
	}
	previous := current.share
	if !current.hasShare {
		previous = 1 / float64(l.nodes)
	}
	return min(target, previous*math.Exp2(float64(elapsed)/float64(shareDoublingTime)))
}

// demandAt returns the smoothed demand, decayed to now.
func (a *account) demandAt(now timekeeper.Time) Demand {
	decay := math.Exp(-float64(max(now.Sub(a.updatedAt), 0)) / float64(demandWindow))
	return Demand{
		Requests: a.demand.Requests * decay,
		Tokens:   a.demand.Tokens * decay,
	}
}

// observe adds a request to the demand and to the mean of the penalties.
func (a *account) observe(req Request) {
	a.demand.Requests += 1 / demandWindow.Seconds()
	a.demand.Tokens += float64(req.Tokens) / demandWindow.Seconds()
	logPenalty := logPenaltyOf(req)
	if a.meanLogPenalty == 0 {
		a.meanLogPenalty = logPenalty
	}
	a.meanLogPenalty += penaltySmoothing * (logPenalty - a.meanLogPenalty)
	if a.costly(req) {
		a.lastCostly = a.updatedAt
	}
	a.recentCostly = a.lastCostly > 0 && a.updatedAt.Sub(a.lastCostly) < costlyWindow
}

// costly reports whether a request's penalty is far above the geometric mean of the
// account's penalties. A few large penalties would dominate an arithmetic mean.
//
// The requests of one account compete for its limit. Without the distinction, costly
// requests would be refused in proportion during a burst of cheap ones, at a hundred
// times the penalty.
func (a *account) costly(req Request) bool {
	return logPenaltyOf(req) >= a.meanLogPenalty+math.Log(costlyRatio)
}

func logPenaltyOf(req Request) float64 { return math.Log(max(float64(req.Target.Penalty), 1)) }
