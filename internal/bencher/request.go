package bencher

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// request is one request of a caller, with what became of it.
type request struct {
	id      identifier.RequestID
	account identifier.AccountID
	client  int
	kind    *Kind
	arrival timekeeper.Time
	prompt  identifier.Tokens
	answer  identifier.Tokens
	max     identifier.Tokens
	prefix  []identifier.PrefixHash
	// entitled tells that the account was within its limits, by one exact
	// count over all nodes.
	entitled bool

	deadline  timekeeper.Time
	firstAt   timekeeper.Time
	delivered float64
	attempts  int
	returns   int
	prefilled bool
	ended     bool
	current   *attempt
	node      *node

	avoidServers map[identifier.VMID]bool
	avoidZones   map[identifier.Zone]bool
}

func (r *request) plain() bool { return r.kind.Service.Kind == catalog.PlainService }

// context is how many tokens an engine must have read to go on.
func (r *request) context() identifier.Tokens {
	return r.prompt + identifier.Tokens(r.delivered)
}

// arrivals draws the requests of a seed. They do not depend on the variant.
type arrivals struct {
	deployment Deployment
	rng        *rand.Rand
	count      int
	documents  map[identifier.ServiceName][]uint64
	allowances map[identifier.AccountID]*allowance
}

func newArrivals(d Deployment, c *catalog.Catalog, seed uint64) *arrivals {
	a := &arrivals{
		deployment: d,
		rng:        rand.New(rand.NewPCG(seed, 1)),
		documents:  make(map[identifier.ServiceName][]uint64),
		allowances: make(map[identifier.AccountID]*allowance),
	}
	for id, spec := range c.Accounts {
		a.allowances[id] = newAllowance(spec)
	}
	return a
}

// all draws every request of a run, in the order of their arrival.
func (a *arrivals) all() []*request {
	var found []*request
	now := 0.0
	for {
		now += a.rng.ExpFloat64() / a.peakRate() * float64(timekeeper.Second)
		at := timekeeper.Time(now)
		if at.Sub(0) >= runTime {
			return found
		}
		if r, ok := a.draw(at); ok {
			found = append(found, r)
		}
	}
}

// flashing tells whether a flash crowd is on; the crowd comes from the
// largest account.
func flashing(at timekeeper.Time) bool {
	t := at.Sub(0)
	return t >= flashStart && t < flashEnd || t >= secondFlash && t < waveThree+timekeeper.Minute
}

// peakRate is a bound on the rate of arrivals; draw thins them out.
func (a *arrivals) peakRate() float64 {
	total := 0.0
	for _, k := range a.deployment.Kinds {
		total += k.Rate * flashFactor
	}
	return total
}

func (a *arrivals) draw(at timekeeper.Time) (*request, bool) {
	kind := a.drawKind()
	account := a.drawAccount()
	busy := kind.FlashCrowd && account == 0 && flashing(at)
	if !busy && a.rng.Float64() > 1/flashFactor {
		return nil, false
	}
	a.count++
	r := &request{
		id:       identifier.RequestID(fmt.Sprintf("r%07d", a.count)),
		account:  a.deployment.Accounts[account].ID,
		client:   a.rng.IntN(clientsByAccount),
		kind:     kind,
		arrival:  at,
		deadline: at.Add(kind.Service.Deadline),
		answer:   between(a.rng, kind.Answer),
	}
	if !r.plain() {
		r.prompt = between(a.rng, kind.Prompt)
		r.max = identifier.Tokens(maxTokensFactor * float64(r.answer))
		r.prefix = a.prefix(kind, r.account)
	}
	r.entitled = a.allowances[r.account].take(at, float64(r.prompt+r.max))
	return r, true
}

func (a *arrivals) drawKind() *Kind {
	x := a.rng.Float64() * a.peakRate() / flashFactor
	for i := range a.deployment.Kinds {
		k := &a.deployment.Kinds[i]
		if x -= k.Rate; x < 0 {
			return k
		}
	}
	return &a.deployment.Kinds[0]
}

func (a *arrivals) drawAccount() int {
	x := a.rng.Float64()
	for i, s := range a.deployment.Accounts {
		if x -= s.Share; x < 0 {
			return i
		}
	}
	return 0
}

func between(rng *rand.Rand, bounds [2]int) identifier.Tokens {
	return identifier.Tokens(bounds[0] + rng.IntN(bounds[1]-bounds[0]+1))
}

// prefix names the blocks that a prompt shares with others.
func (a *arrivals) prefix(k *Kind, account identifier.AccountID) []identifier.PrefixHash {
	var blocks []identifier.PrefixHash
	for i := range k.AccountBlocks {
		blocks = append(blocks, block(string(k.Service.Name), string(account), uint64(i)))
	}
	if k.DocumentBlocks == 0 {
		return blocks
	}
	document := a.document(k)
	for i := range k.DocumentBlocks {
		blocks = append(blocks, block(string(account)+string(k.Service.Name), fmt.Sprint(document), uint64(i)))
	}
	return blocks
}

func block(a, b string, n uint64) identifier.PrefixHash {
	return identifier.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", a, b, n)))
}

// document draws one of the current documents, and now and then puts a new
// one in its place.
func (a *arrivals) document(k *Kind) uint64 {
	current := a.documents[k.Service.Name]
	for len(current) < k.Documents {
		current = append(current, a.rng.Uint64())
	}
	a.documents[k.Service.Name] = current
	i := a.rng.IntN(len(current))
	document := current[i]
	if a.rng.IntN(k.RequestsPerDocument) == 0 {
		current[i] = a.rng.Uint64()
	}
	return document
}

// allowance is the exact count of an account's limits, against which the
// nodes' shares are judged: a request within it that is refused is a miss.
type allowance struct {
	spec     catalog.Account
	at       timekeeper.Time
	requests float64
	tokens   float64
}

func newAllowance(spec catalog.Account) *allowance {
	return &allowance{
		spec:     spec,
		requests: spec.RequestBurst,
		tokens:   spec.TokenBurst,
	}
}

func (w *allowance) take(now timekeeper.Time, tokens float64) bool {
	passed := now.Sub(w.at).Seconds()
	w.at = now
	w.requests = min(w.requests+passed*w.spec.RequestsPerSecond, w.spec.RequestBurst)
	w.tokens = min(w.tokens+passed*w.spec.TokensPerSecond, w.spec.TokenBurst)
	if w.requests < 1 || w.tokens < tokens {
		return false
	}
	w.requests--
	w.tokens -= tokens
	return true
}
