package limiter

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// centralPart is the part of each limit that the central node grants. localPart is
	// the part that all nodes together grant in addition. Their sum exceeds one, so
	// that an account within its limit is not refused for tokens left unused in some
	// part; the excess is within the tolerated tenth and 140,000 tokens in 8 s.
	centralPart = 0.95
	localPart   = 0.12
	// standalonePart is the part of each limit that all nodes together grant while they
	// can't reach the central node.
	standalonePart = 1.0
	// standaloneStart is the part of a burst that is credited to nodes when they lose
	// the central node, because the tokens saved in the central bucket are lost with
	// it. Without the credit, accounts within their limits would be refused until each
	// node's tokens suffice for a request. creditInterval is the minimum time between
	// credits, for nodes that repeatedly lose and regain the central node.
	standaloneStart = 0.2
	creditInterval  = 10 * timekeeper.Second
	// centralStart is the part of a burst with which a new central node starts: it does
	// not know what its predecessor granted in the last seconds.
	centralStart = 0.25
	// standbyStart is the same for a standby: it suffices for one request of any size.
	standbyStart = 0.01
	// localBurst is the part of its part of a burst that a node may save while it can
	// reach the central node. localStart is the part of that with which it starts: all
	// nodes may have been killed at once, and a node that is killed repeatedly must not
	// start full each time.
	localBurst = 0.5
	localStart = 0.5
	// totalDebtPart is the part of a burst by which all local buckets together may go
	// into debt. Without a bound each node would admit one request of any size, and
	// many nodes that start at once would exceed the account's limit together.
	//
	// Up to smallClusterNodes the bound is smallClusterDebtPart, and nodes that start
	// without a central node start with smallClusterStart of their bursts: after a
	// total outage, callers return at once with more than the requests of one second.
	totalDebtPart        = 0.4
	smallClusterNodes    = 12
	smallClusterDebtPart = 0.72
	smallClusterStart    = 0.8
	// lightPart is the part of a token limit that is reserved for light requests.
	// lightSize is the largest part of a burst that a light request takes. Without the
	// reserve, one long prompt would take the bucket of an account at its limit into
	// debt for seconds, and all lookups of the account would be refused meanwhile.
	// Unused tokens of the reserve go to the other requests.
	lightPart = 0.03
	lightSize = 0.005
	// minGrantRetry and maxGrantRetry bound the retry time of a refused request.
	minGrantRetry = 100 * timekeeper.Millisecond
	maxGrantRetry = 3 * timekeeper.Second
)

// Buckets is one node's part of the accounts' limits: either the central part, which
// the holder of a lease grants, or one of the equal local parts. It is pure and not
// safe for concurrent use.
type Buckets struct {
	// ratePart and burstPart are the parts of the rate and the burst that it may grant.
	ratePart  float64
	burstPart float64
	// initialPart is the part of burstPart with which a new bucket starts.
	initialPart float64
	// debtPart is the part of a burst by which a request may take a bucket into debt.
	// Zero means no bound.
	debtPart float64
	// standalone reports whether no central node can be asked. standalonePeriods is the
	// number of times that this began.
	standalone        bool
	standalonePeriods int
	// window is the span in which an account may use its rate and one burst, or zero if
	// its burst is only what it saved.
	window   timekeeper.Duration
	accounts map[identifier.AccountID]*accountBuckets
}

// accountBuckets are the buckets of one account. Light requests take tokens from the
// light bucket first.
type accountBuckets struct {
	updatedAt timekeeper.Time
	requests  bucket
	tokens    bucket
	light     bucket
	// createdAt is the time of the first request. The others are what was granted within
	// Buckets.window, of the tokens from each bucket.
	createdAt       timekeeper.Time
	grantedRequests window
	grantedTokens   window
	grantedLight    window
	// standalonePeriod is the value of Buckets.standalonePeriods at the last request.
	// creditedAt is the time of the last credit.
	standalonePeriod int
	creditedAt       timekeeper.Time
}

// CentralConfig configures the buckets of a central node.
type CentralConfig struct {
	// Window is the span in which limits are judged: an account may use its rate and one
	// burst in it. If it is zero, a burst is refilled at the rate only.
	Window timekeeper.Duration
}

// NewCentral returns the buckets of the central node.
func NewCentral(c CentralConfig) *Buckets {
	return &Buckets{
		window:      c.Window,
		ratePart:    centralPart,
		burstPart:   centralPart,
		initialPart: centralStart,
		accounts:    map[identifier.AccountID]*accountBuckets{},
	}
}

// NewStandby returns the buckets of a node that grants in place of a central node. They
// start almost empty, because the central node may have granted whole bursts just before.
func NewStandby() *Buckets {
	b := NewCentral(CentralConfig{})
	b.initialPart = standbyStart
	return b
}

// SetReachable sets the number of nodes, the central node included, from which the
// central node recently received a message, and the number of all nodes. The other
// nodes may be partitioned and grant their parts themselves, so the central node does
// not grant these.
//
// A node becomes standalone only if it has received no message of the central node for
// longer than the central node waits before it deducts the node's part. So the parts
// never sum to more than the larger of standalonePart and centralPart + localPart, even
// while nodes are partitioned, killed and restarted.
func (b *Buckets) SetReachable(reachable, nodes int) {
	b.ratePart = centralPart * float64(reachable) / float64(max(nodes, reachable, 1))
	b.burstPart = b.ratePart
}

// NewLocal returns the local buckets of one node. SetNodes sets the number of nodes
// that share the limits.
func NewLocal() *Buckets {
	b := &Buckets{
		initialPart: localStart,
		accounts:    map[identifier.AccountID]*accountBuckets{},
	}
	b.SetNodes(1, false)
	return b
}

// SetNodes sets the number of nodes that share the limits, and whether this node is
// standalone, that is, can't ask the central node. The number must include nodes that
// have not responded recently, because they may only be partitioned.
func (b *Buckets) SetNodes(nodes int, standalone bool) {
	b.ratePart = localPart / float64(max(nodes, 1))
	b.debtPart = 0
	b.initialPart = localStart
	switch {
	case nodes > smallClusterNodes:
		b.debtPart = totalDebtPart / float64(nodes)
	case nodes > 1:
		b.debtPart = smallClusterDebtPart / float64(nodes)
		if standalone {
			b.initialPart = smallClusterStart
		}
	}
	b.burstPart = b.ratePart * localBurst
	if standalone && !b.standalone {
		b.standalonePeriods++
	}
	b.standalone = standalone
	if standalone {
		b.ratePart = standalonePart / float64(max(nodes, 1))
		b.burstPart = b.ratePart
	}
}

// Take grants a request and its tokens to an account, or returns the time after which a
// retry makes sense. A bucket that is not empty may go into debt by one request,
// because a request is often larger than what one node holds. The debt of a local
// bucket is bounded, so that the debts of all nodes stay within a part of one burst.
func (b *Buckets) Take(now timekeeper.Time, spec catalog.Account, tokens identifier.Tokens) (timekeeper.Duration, bool) {
	l := b.bucketsOf(now, spec)
	tokenBucket := b.tokenBucketFor(now, l, spec, tokens)
	wait := max(l.requests.wait(1, 0), tokenBucket.wait(float64(tokens), 0), b.windowWait(now, l, spec, tokenBucket))
	if wait > 0 {
		return min(max(wait, minGrantRetry), maxGrantRetry), false
	}
	l.requests.take(1)
	tokenBucket.take(float64(tokens))
	l.recordGrant(tokenBucket, tokens)
	return 0, true
}

// windowWait returns the time until an account may use more requests and tokens of a
// bucket within the window, or zero if it may now.
func (b *Buckets) windowWait(now timekeeper.Time, l *accountBuckets, spec catalog.Account, from *bucket) timekeeper.Duration {
	if b.window == 0 {
		return 0
	}
	var wait timekeeper.Duration
	if !l.requests.unlimited() {
		wait = l.grantedRequests.wait(now, b.windowLimit(spec.RequestsPerSecond, spec.RequestBurst))
	}
	if l.tokens.unlimited() {
		return wait
	}
	limit := b.windowLimit(spec.TokensPerSecond, spec.TokenBurst)
	if from == &l.light {
		return max(wait, l.grantedLight.wait(now, limit*lightPart))
	}
	return max(wait, l.grantedTokens.wait(now, limit*(1-lightPart)))
}

// windowLimit returns what may be granted within the window of a limit.
func (b *Buckets) windowLimit(rate, burst float64) float64 {
	return b.window.Seconds()*rate*b.ratePart + burst*b.burstPart
}

// recordGrant counts a granted request in the window.
func (l *accountBuckets) recordGrant(from *bucket, tokens identifier.Tokens) {
	l.grantedRequests.add(1)
	if from == &l.light {
		l.grantedLight.add(float64(tokens))
		return
	}
	l.grantedTokens.add(float64(tokens))
}

// refillRate returns the rate at which an account's bucket is refilled. Once the grants of
// a whole window are known, its burst is refilled within the window too: otherwise an
// account that always asks for more would have the burst once only.
func (b *Buckets) refillRate(l *accountBuckets, rate, burst float64) float64 {
	if b.window == 0 || rate <= 0 || l.updatedAt.Sub(l.createdAt) < b.window {
		return rate
	}
	return rate + burst/b.window.Seconds()
}

// IsLight reports whether a request takes its tokens from the reserve for light requests, if
// that has any.
func IsLight(spec catalog.Account, tokens identifier.Tokens) bool {
	return float64(tokens) <= spec.TokenBurst*lightSize
}

// tokenBucketFor returns the bucket from which a request takes its tokens.
func (b *Buckets) tokenBucketFor(now timekeeper.Time, l *accountBuckets, spec catalog.Account, tokens identifier.Tokens) *bucket {
	if !IsLight(spec, tokens) || l.light.wait(float64(tokens), 0) > 0 {
		return &l.tokens
	}
	if b.windowWait(now, l, spec, &l.light) > 0 {
		return &l.tokens
	}
	return &l.light
}

// bucketsOf returns an account's buckets, refilled up to now.
func (b *Buckets) bucketsOf(now timekeeper.Time, spec catalog.Account) *accountBuckets {
	l := b.accounts[spec.ID]
	if l == nil {
		l = &accountBuckets{
			updatedAt:        now,
			standalonePeriod: b.standalonePeriods,
			createdAt:        now,
			grantedRequests:  window{span: b.window},
			grantedTokens:    window{span: b.window},
			grantedLight:     window{span: b.window},
		}
		l.requests.startAt(spec.RequestBurst * b.burstPart * b.initialPart)
		l.tokens.startAt(spec.TokenBurst * b.burstPart * b.initialPart * (1 - lightPart))
		l.light.startAt(spec.TokenBurst * b.burstPart * b.initialPart * lightPart)
		b.configure(l, spec)
		b.accounts[spec.ID] = l
	}
	elapsed := max(now.Sub(l.updatedAt), 0)
	l.updatedAt = max(l.updatedAt, now)
	if b.window > 0 {
		l.grantedRequests.advance(now)
		l.grantedTokens.advance(now)
		l.grantedLight.advance(now)
	}
	l.requests.refill(elapsed)
	l.tokens.refill(elapsed)
	l.tokens.refund(l.light.refill(elapsed))
	b.configure(l, spec)
	if l.standalonePeriod != b.standalonePeriods {
		l.standalonePeriod = b.standalonePeriods
		b.credit(now, l, spec)
	}
	return l
}

// credit adds the tokens that an account receives when the node becomes standalone.
func (b *Buckets) credit(now timekeeper.Time, l *accountBuckets, spec catalog.Account) {
	if l.creditedAt != 0 && now.Sub(l.creditedAt) < creditInterval {
		return
	}
	l.creditedAt = now
	l.requests.refund(spec.RequestBurst * b.burstPart * standaloneStart)
	l.tokens.refund(spec.TokenBurst * b.burstPart * standaloneStart)
}

// configure sets the current rates, capacities and debt bounds of an account's buckets.
func (b *Buckets) configure(l *accountBuckets, spec catalog.Account) {
	l.tokens.maxDebt = spec.TokenBurst * b.debtPart * (1 - lightPart)
	l.light.maxDebt = spec.TokenBurst * b.debtPart * lightPart
	requestRate := b.refillRate(l, spec.RequestsPerSecond, spec.RequestBurst) * b.ratePart
	tokenRate := b.refillRate(l, spec.TokensPerSecond, spec.TokenBurst) * b.ratePart
	l.requests.configure(requestRate, max(spec.RequestBurst*b.burstPart, 1))
	l.tokens.configure(tokenRate*(1-lightPart), max(spec.TokenBurst*b.burstPart*(1-lightPart), 1))
	l.light.configure(tokenRate*lightPart, max(spec.TokenBurst*b.burstPart*lightPart, 1))
}

// Forget drops accounts that the catalog does not contain.
func (b *Buckets) Forget(c *catalog.Catalog) {
	for id := range b.accounts {
		if _, ok := c.Accounts[id]; !ok {
			delete(b.accounts, id)
		}
	}
}
