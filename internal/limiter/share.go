package limiter

import (
	"math"
	"sort"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// demandWindow is the time over which demand is smoothed. It is longer than
	// the time between two requests of a small account at one node: over a
	// shorter one the share jumps to whichever node was asked last.
	demandWindow = 10 * timekeeper.Second
	// floorPart is the part of each limit that is shared evenly even when the
	// account asks for more than its limit.
	floorPart = 0.1
	// headroom is how far the nodes together let an account go beyond its
	// limit for good, so that an error of the shares costs no account within
	// its limit a request.
	headroom = 1.1
	// idleRequests and idleTokens are a demand so small that it tells
	// nothing: below it the shares tend to equal ones.
	idleRequests = 0.05
	idleTokens   = 50
	// doubling is the time in which a share may double. In a second, by which
	// news has reached all live nodes, it grows 1.8 times, which with the
	// headroom stays below Overshoot.
	doubling = 1200 * timekeeper.Millisecond
	// lendTime is how late news of demand is at most. A node lends itself what
	// no node asks for at a rate that the burst pays for in that time.
	lendTime = 1 * timekeeper.Second
	// costlyPart is the part of a limit's burst that is kept for costly requests,
	// and worthWeight the weight of the newest request in their mean.
	// A request is costly from costlyRatio times the mean penalty on: more of them
	// would take the place of many cheap ones.
	costlyPart  = 0.1
	costlyRatio = 4
	// costlyMemory is how long the last of a limit is kept after the last costly
	// request: an account that has none needs nothing kept.
	costlyMemory = 2 * timekeeper.Minute
	worthWeight  = 0.01
	// negligible is the demand below which an account is not reported.
	negligible = 0.01
)

// Overshoot is the factor by which all nodes together may exceed a limit, rate
// and burst alike, and one request a node besides, where news of demand takes
// no longer than a second. The rate is exceeded so far only while the news is
// on its way; for good it is held to 1.1 times the limit. The burst is dealt
// out twice, because callers wander between nodes and leave parts of it behind.
const Overshoot = 2

// Demand is what an account asks for at one node, per second, admitted or not.
type Demand struct {
	Requests float64
	Tokens   float64
}

// account is the state of one client account on this node.
type account struct {
	at     timekeeper.Time
	demand Demand
	// worth follows the mean logarithm of the penalties of its requests.
	worth float64
	// costlyAt is when the last costly request came, and expectsCostly that it is
	// not long ago.
	costlyAt      timekeeper.Time
	expectsCostly bool
	requests      limit
	tokens        limit
}

// limit is this node's part of one limit of an account.
type limit struct {
	bucket
	share   float64
	settled bool
}

// SetPeers takes in the demand at each live peer. Peers that are missing no
// longer count as nodes. Accounts that the catalog does not name are left out.
func (l *Limits) SetPeers(_ timekeeper.Time, peers map[identifier.VMID]map[identifier.AccountID]Demand) {
	l.nodes = len(peers) + 1
	clear(l.others)
	for _, vm := range sortedPeers(peers) {
		for id, d := range peers[vm] {
			if !l.names(id) {
				continue
			}
			sum := l.others[id]
			sum.Requests += max(d.Requests, 0)
			sum.Tokens += max(d.Tokens, 0)
			l.others[id] = sum
		}
	}
}

func (l *Limits) names(id identifier.AccountID) bool {
	if l.catalog == nil {
		return false
	}
	_, ok := l.catalog.Accounts[id]
	return ok
}

// sortedPeers fixes the order of summation, because sums of floating-point
// numbers depend on it.
func sortedPeers(peers map[identifier.VMID]map[identifier.AccountID]Demand) []identifier.VMID {
	vms := make([]identifier.VMID, 0, len(peers))
	for vm := range peers {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, k int) bool { return vms[i] < vms[k] })
	return vms
}

// Demand returns this node's own recent demand, to be told to its peers.
func (l *Limits) Demand(now timekeeper.Time) map[identifier.AccountID]Demand {
	demands := make(map[identifier.AccountID]Demand, len(l.accounts))
	for id, acc := range l.accounts {
		d := acc.demandAt(now)
		if d.Requests >= negligible || d.Tokens >= negligible {
			demands[id] = d
		}
	}
	return demands
}

func (l *Limits) account(now timekeeper.Time, id identifier.AccountID) *account {
	acc, ok := l.accounts[id]
	if !ok {
		acc = &account{at: now}
		l.accounts[id] = acc
	}
	return acc
}

// refill brings shares, rates and levels to the present.
func (l *Limits) refill(now timekeeper.Time, acc *account, spec catalog.Account) {
	passed := max(now.Sub(acc.at), 0)
	acc.demand = acc.demandAt(now)
	acc.at = max(acc.at, now)
	others := l.others[spec.ID]
	share := l.share(acc.demand.Requests, others.Requests, idleRequests, spec.RequestsPerSecond)
	acc.requests.advance(passed, l.limitShare(share, &acc.requests, passed), l.lent(acc.demand.Requests+others.Requests, spec.RequestsPerSecond, spec.RequestBurst), spec.RequestsPerSecond, max(spec.RequestBurst, 1), 1)
	share = l.share(acc.demand.Tokens, others.Tokens, idleTokens, spec.TokensPerSecond)
	acc.tokens.advance(passed, l.limitShare(share, &acc.tokens, passed), l.lent(acc.demand.Tokens+others.Tokens, spec.TokensPerSecond, spec.TokenBurst), spec.TokensPerSecond, spec.TokenBurst, 1)
}

func (l *limit) advance(passed timekeeper.Duration, share, lent, rate, burst, least float64) {
	l.refill(passed)
	l.share = share
	l.settled = true
	l.set(rate*share*headroom+lent, max(burst*min(share*Overshoot, 1), least))
}

// lent is the rate beyond its share that a node may admit because the account
// leaves it unused.
//
// All of an account's callers may come to one node, whose share rises only with
// the demand that it sees. Until then it takes what the others leave. They may
// take the same at the same moment, so the rates lent add up to no more than
// the account's burst by the time that all know of each other's demand.
func (l *Limits) lent(asked, rate, burst float64) float64 {
	if !l.rules.ShareUnused || l.nodes < 2 {
		return 0
	}
	others := float64(l.nodes - 1)
	return max(0, min((rate-asked)*others/(others+1), burst/(others*lendTime.Seconds())))
}

// share is the part of a limit that this node's demand calls for: what it is
// asked for, and an equal part of what no node is asked for.
//
// Shares in proportion to demand alone leave a node almost nothing until it
// has seen demand, and callers who wander from node to node are refused at
// each new one although their account uses a fraction of its limit.
func (l *Limits) share(own, others, idle, limit float64) float64 {
	nodes := float64(l.nodes)
	equal := 1 / nodes
	if !l.rules.ShareByDemand {
		return equal
	}
	if l.rules.ShareUnused {
		idle = max(idle, (limit-own-others)/nodes)
	}
	part := (own + idle) / (own + others + idle*nodes)
	if !l.rules.Floor {
		return part
	}
	return floorPart*equal + (1-floorPart)*part
}

// limitShare bounds the growth of a share.
//
// When a crowd arrives at all nodes at once, each sees its own demand before
// it hears of the others', takes the whole limit for itself, and the account
// gets it as many times over as there are nodes. Shares that summed to one
// and at most double until the news is round sum to two at most.
func (l *Limits) limitShare(target float64, was *limit, passed timekeeper.Duration) float64 {
	if !l.rules.SlowRise {
		return target
	}
	before := was.share
	if !was.settled {
		before = 1 / float64(l.nodes)
	}
	return min(target, before*math.Exp2(float64(passed)/float64(doubling)))
}

// demandAt is the demand as smoothed by the time now.
func (a *account) demandAt(now timekeeper.Time) Demand {
	keep := math.Exp(-float64(max(now.Sub(a.at), 0)) / float64(demandWindow))
	return Demand{
		Requests: a.demand.Requests * keep,
		Tokens:   a.demand.Tokens * keep,
	}
}

// note adds one request to the demand.
func (a *account) note(ask Request) {
	a.demand.Requests += 1 / demandWindow.Seconds()
	a.demand.Tokens += float64(ask.Tokens) / demandWindow.Seconds()
	worth := worthOf(ask)
	if a.worth == 0 {
		a.worth = worth
	}
	a.worth += worthWeight * (worth - a.worth)
	if a.costly(ask) {
		a.costlyAt = a.at
	}
	a.expectsCostly = a.costlyAt > 0 && a.at.Sub(a.costlyAt) < costlyMemory
}

// costly tells whether a request carries far more penalty than the account's
// others, by their geometric mean: in the arithmetic one a few reports
// outweigh all the rest.
//
// The requests of one account compete for its limit, and the limit says nothing
// of which to refuse. In a crowd of lookups a report would be refused like any
// of them, at a hundred times the penalty.
func (a *account) costly(ask Request) bool { return worthOf(ask) >= a.worth+math.Log(costlyRatio) }

func worthOf(ask Request) float64 { return math.Log(max(float64(ask.Target.Penalty), 1)) }
