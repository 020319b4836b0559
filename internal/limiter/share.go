package limiter

import (
	"math"
	"sort"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// demandWindow is the time over which demand is smoothed.
	demandWindow = 2 * timekeeper.Second
	// floorPart is the part of each limit that is shared evenly, so that a
	// node without demand so far can admit its first requests.
	floorPart = 0.1
	// idleRequests and idleTokens are a demand so small that it tells
	// nothing: below it the shares tend to equal ones.
	idleRequests = 0.05
	idleTokens   = 50
	// doubling is the time in which a share may double. It is longer than
	// news takes to reach all live nodes.
	doubling = 1 * timekeeper.Second
	// negligible is the demand below which an account is not reported.
	negligible = 0.01
)

// Overshoot is the factor by which all nodes together may exceed a limit
// while news of demand is on its way, bursts aside, where news takes no
// longer than the doubling time of a share.
const Overshoot = 2

// Demand is what an account asks for at one node, per second, admitted or not.
type Demand struct {
	Requests float64
	Tokens   float64
}

// account is the state of one client account on this node.
type account struct {
	at       timekeeper.Time
	demand   Demand
	requests limit
	tokens   limit
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
	share := l.share(acc.demand.Requests, others.Requests, idleRequests)
	acc.requests.advance(passed, l.limitShare(share, &acc.requests, passed), spec.RequestsPerSecond, max(spec.RequestBurst, 1), 1)
	share = l.share(acc.demand.Tokens, others.Tokens, idleTokens)
	acc.tokens.advance(passed, l.limitShare(share, &acc.tokens, passed), spec.TokensPerSecond, spec.TokenBurst, 1)
}

func (l *limit) advance(passed timekeeper.Duration, share, rate, burst, least float64) {
	l.refill(passed)
	l.share = share
	l.settled = true
	l.set(rate*share, max(burst*share, least))
}

// share is the part of a limit that this node's demand calls for.
func (l *Limits) share(own, others, idle float64) float64 {
	nodes := float64(l.nodes)
	equal := 1 / nodes
	if !l.rules.ShareByDemand {
		return equal
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
func (a *account) note(tokens identifier.Tokens) {
	a.demand.Requests += 1 / demandWindow.Seconds()
	a.demand.Tokens += float64(tokens) / demandWindow.Seconds()
}
