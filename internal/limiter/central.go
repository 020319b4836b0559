package limiter

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// centralPart is the part of each limit that the central node grants, and
	// localPart what all nodes together grant beside it. Their sum is above
	// one by less than the users' window tolerates, which is a tenth and
	// 140,000 tokens in eight seconds, so that an account within its limit is
	// not refused for what the parts leave over.
	centralPart = 0.95
	localPart   = 0.12
	// alonePart is what all nodes together grant that can't ask the central
	// node.
	alonePart = 1.0
	// aloneStart is the part of a burst that nodes begin with which find that
	// nobody grants centrally. What the central bucket held is gone with it; with
	// nothing, accounts within their limits were refused until each node's part
	// had grown to the size of a request. creditPause keeps nodes that lose and
	// find the central node in turn from beginning so each time.
	aloneStart  = 0.2
	creditPause = 10 * timekeeper.Second
	// startPart is the part of a burst that a new central node begins with: it
	// does not know what the one before it granted in the last seconds.
	startPart = 0.25
	// localBurst is the part of its part of a burst that a node may save up
	// beside the central node, and localStart what a node begins with: all
	// nodes may have been killed at once, and a node that is killed again and
	// again must not save up anew each time.
	localBurst = 0.5
	localStart = 0.5
	// debtPart is the part of a burst by which all local parts together may go
	// into debt. Without a bound each node lets one request of any size pass, and
	// many nodes that start at once exceed the account's limit together.
	//
	// Up to fewNodes the parts are larger, and nodes that start while nobody grants
	// centrally begin with fewStart of a burst together: callers that come back
	// after all nodes were down ask for more than a second's part at once.
	debtPart    = 0.4
	fewNodes    = 12
	fewDebtPart = 0.72
	fewStart    = 0.8
	// lightPart is the part of a limit in tokens that is kept for light requests,
	// and lightSize the part of a burst up to which a request is light. A long
	// prompt takes the bucket of an account at its limit into debt for seconds,
	// and would refuse all lookups meanwhile, though these weigh next to nothing.
	// What light requests leave goes to the others.
	lightPart = 0.03
	lightSize = 0.005
	// leastRetry and mostRetry bound the time after which a refused caller may
	// come back.
	leastRetry = 100 * timekeeper.Millisecond
	mostRetry  = 3 * timekeeper.Second
)

// Buckets is one node's part of the accounts' limits: the central part, which
// one node at a time grants, as it holds a lease, or one of the equal local
// parts. It is pure and not safe for concurrent use.
type Buckets struct {
	// part and burst are the parts of rate and burst that it may grant.
	part  float64
	burst float64
	start float64
	// debt is the part of a burst by which a request may take a bucket into
	// debt; zero where one request of any size may.
	debt float64
	// alone tells that nobody grants centrally, and spells counts how often that
	// began.
	alone  bool
	spells int
	limit  map[identifier.AccountID]*limits
}

// limits are an account's buckets. Light requests take their tokens from a
// bucket of their own first.
type limits struct {
	at       timekeeper.Time
	requests bucket
	tokens   bucket
	light    bucket
	// spell is the last spell of granting alone that the account saw, and
	// credited when it was given tokens for one.
	spell    int
	credited timekeeper.Time
}

// NewCentral returns the buckets of the central node.
func NewCentral() *Buckets {
	return &Buckets{
		part:  centralPart,
		burst: centralPart,
		start: startPart,
		limit: map[identifier.AccountID]*limits{},
	}
}

// SetReachable sets the number of nodes, the central node included, from which the
// central node recently received a message, and the number of all nodes. A node that
// it does not hear from may be cut off and granting its own part, so the central node
// must not grant that part.
//
// A node grants alone only once it has not heard of the central node for longer
// than the central node waits before it takes the node's part off. So the parts
// never sum to more than the larger of alonePart and centralPart + localPart,
// also while nodes are cut off, killed and restarted.
func (b *Buckets) SetReachable(heard, nodes int) {
	b.part = centralPart * float64(heard) / float64(max(nodes, heard, 1))
	b.burst = b.part
}

// NewLocal returns the buckets of one of a number of nodes: see SetNodes.
func NewLocal() *Buckets {
	b := &Buckets{
		start: localStart,
		limit: map[identifier.AccountID]*limits{},
	}
	b.SetNodes(1, false)
	return b
}

// SetNodes sets the number of nodes that share the local part, and whether this
// one is alone: it can't ask the central node. The number has to count nodes
// that were not heard for a while: they may only be cut off.
func (b *Buckets) SetNodes(nodes int, alone bool) {
	b.part = localPart / float64(max(nodes, 1))
	b.debt = 0
	b.start = localStart
	switch {
	case nodes > fewNodes:
		b.debt = debtPart / float64(nodes)
	case nodes > 1:
		b.debt = fewDebtPart / float64(nodes)
		if alone {
			b.start = fewStart
		}
	}
	b.burst = b.part * localBurst
	if alone && !b.alone {
		b.spells++
	}
	b.alone = alone
	if alone {
		b.part = alonePart / float64(max(nodes, 1))
		b.burst = b.part
	}
}

// Take grants a request and its tokens to an account, or says when coming back
// makes sense. A bucket that is not empty goes into debt by one request, as
// requests are often larger than what a node has at a time; a local part only so
// far that the debts of all nodes together stay a part of one burst.
func (b *Buckets) Take(now timekeeper.Time, spec catalog.Account, tokens identifier.Tokens) (timekeeper.Duration, bool) {
	l := b.limits(now, spec)
	from := l.bucketFor(spec, tokens)
	wait := max(l.requests.wait(1, 0), from.wait(float64(tokens), 0))
	if wait > 0 {
		return min(max(wait, leastRetry), mostRetry), false
	}
	l.requests.take(1)
	from.take(float64(tokens))
	return 0, true
}

// bucketFor returns the bucket that a request takes its tokens from.
func (l *limits) bucketFor(spec catalog.Account, tokens identifier.Tokens) *bucket {
	if float64(tokens) <= spec.TokenBurst*lightSize && l.light.wait(float64(tokens), 0) == 0 {
		return &l.light
	}
	return &l.tokens
}

// limits brings an account's buckets to the present.
func (b *Buckets) limits(now timekeeper.Time, spec catalog.Account) *limits {
	l := b.limit[spec.ID]
	if l == nil {
		l = &limits{
			at:    now,
			spell: b.spells,
		}
		l.requests.begin(spec.RequestBurst * b.burst * b.start)
		l.tokens.begin(spec.TokenBurst * b.burst * b.start * (1 - lightPart))
		l.light.begin(spec.TokenBurst * b.burst * b.start * lightPart)
		b.set(l, spec)
		b.limit[spec.ID] = l
	}
	passed := max(now.Sub(l.at), 0)
	l.at = max(l.at, now)
	l.requests.refill(passed)
	l.tokens.refill(passed)
	l.tokens.giveBack(l.light.refill(passed))
	b.set(l, spec)
	if l.spell != b.spells {
		l.spell = b.spells
		b.credit(now, l, spec)
	}
	return l
}

// credit gives an account what a node begins with that grants alone.
func (b *Buckets) credit(now timekeeper.Time, l *limits, spec catalog.Account) {
	if l.credited != 0 && now.Sub(l.credited) < creditPause {
		return
	}
	l.credited = now
	l.requests.giveBack(spec.RequestBurst * b.burst * aloneStart)
	l.tokens.giveBack(spec.TokenBurst * b.burst * aloneStart)
}

// set gives an account's buckets their present rates and capacities.
func (b *Buckets) set(l *limits, spec catalog.Account) {
	l.tokens.debt = spec.TokenBurst * b.debt * (1 - lightPart)
	l.light.debt = spec.TokenBurst * b.debt * lightPart
	l.requests.set(spec.RequestsPerSecond*b.part, max(spec.RequestBurst*b.burst, 1))
	l.tokens.set(spec.TokensPerSecond*b.part*(1-lightPart), max(spec.TokenBurst*b.burst*(1-lightPart), 1))
	l.light.set(spec.TokensPerSecond*b.part*lightPart, max(spec.TokenBurst*b.burst*lightPart, 1))
}

// Forget drops accounts that a catalog no longer names.
func (b *Buckets) Forget(c *catalog.Catalog) {
	for id := range b.limit {
		if _, ok := c.Accounts[id]; !ok {
			delete(b.limit, id)
		}
	}
}
