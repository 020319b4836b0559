package bencher

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// request is a caller's request and its progress.
type request struct {
	id           identifier.RequestID
	account      identifier.AccountID
	clientIndex  int
	kind         *Kind
	arrival      timekeeper.Time
	promptTokens identifier.Tokens
	answerTokens identifier.Tokens
	maxTokens    identifier.Tokens
	prefixHashes []identifier.PrefixHash
	// withinLimits reports whether the account was within its limits on
	// arrival, by an exact count over all nodes.
	withinLimits bool

	deadline       timekeeper.Time
	firstAt        timekeeper.Time
	delivered      float64
	attempts       int
	refusalRetries int
	prefilled      bool
	ended          bool
	current        *attempt
	node           *node

	avoidServers map[identifier.VMID]bool
	avoidZones   map[identifier.Zone]bool
}

func (r *request) plain() bool { return r.kind.Service.Kind == catalog.PlainService }

// context returns the number of tokens that an engine must have processed
// before it can generate the next one.
func (r *request) context() identifier.Tokens {
	return r.promptTokens + identifier.Tokens(r.delivered)
}

// arrivals draws the requests of a seed, independently of the variant.
type arrivals struct {
	deployment    Deployment
	rng           *rand.Rand
	drawn         int
	documents     map[identifier.ServiceName][]uint64
	limitCounters map[identifier.AccountID]*limitCounter
}

func newArrivals(d Deployment, c *catalog.Catalog, seed uint64) *arrivals {
	a := &arrivals{
		deployment:    d,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		documents:     make(map[identifier.ServiceName][]uint64),
		limitCounters: make(map[identifier.AccountID]*limitCounter),
	}
	for id, spec := range c.Accounts {
		a.limitCounters[id] = newLimitCounter(spec)
	}
	return a
}

// drawAll draws every request of a run, in the order of arrival.
func (a *arrivals) drawAll() []*request {
	var requests []*request
	now := 0.0
	for {
		now += a.rng.ExpFloat64() / a.peakRate() * float64(timekeeper.Second)
		at := timekeeper.Time(now)
		if at.Sub(0) >= runTime {
			return requests
		}
		if r, ok := a.draw(at); ok {
			requests = append(requests, r)
		}
	}
}

// inFlashCrowd reports whether a flash crowd is in progress.
func inFlashCrowd(at timekeeper.Time) bool {
	t := at.Sub(0)
	return t >= flashStart && t < flashEnd || t >= secondFlashStart && t < thirdWave+timekeeper.Minute
}

// peakRate returns an upper bound on the arrival rate in requests a second;
// draw thins the arrivals to the current rate.
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
	inFlashCrowd := kind.FlashCrowd && account == 0 && inFlashCrowd(at)
	if !inFlashCrowd && a.rng.Float64() > 1/flashFactor {
		return nil, false
	}
	a.drawn++
	r := &request{
		id:           identifier.RequestID(fmt.Sprintf("r%07d", a.drawn)),
		account:      a.deployment.Accounts[account].ID,
		clientIndex:  a.rng.IntN(clientsPerAccount),
		kind:         kind,
		arrival:      at,
		deadline:     at.Add(kind.Service.Deadline),
		answerTokens: drawTokens(a.rng, kind.Answer),
	}
	if !r.plain() {
		r.promptTokens = drawTokens(a.rng, kind.Prompt)
		r.maxTokens = identifier.Tokens(maxTokensFactor * float64(r.answerTokens))
		r.prefixHashes = a.drawPrefix(kind, r.account)
	}
	r.withinLimits = a.limitCounters[r.account].consume(at, float64(r.promptTokens+r.maxTokens))
	return r, true
}

func (a *arrivals) drawKind() *Kind {
	remainder := a.rng.Float64() * a.peakRate() / flashFactor
	for i := range a.deployment.Kinds {
		kind := &a.deployment.Kinds[i]
		if remainder -= kind.Rate; remainder < 0 {
			return kind
		}
	}
	return &a.deployment.Kinds[0]
}

func (a *arrivals) drawAccount() int {
	remainder := a.rng.Float64()
	for i, s := range a.deployment.Accounts {
		if remainder -= s.Share; remainder < 0 {
			return i
		}
	}
	return 0
}

func drawTokens(rng *rand.Rand, bounds [2]int) identifier.Tokens {
	return identifier.Tokens(bounds[0] + rng.IntN(bounds[1]-bounds[0]+1))
}

// drawPrefix returns the hashes of the blocks that a prompt shares with others.
func (a *arrivals) drawPrefix(kind *Kind, account identifier.AccountID) []identifier.PrefixHash {
	var blocks []identifier.PrefixHash
	for i := range kind.AccountBlocks {
		blocks = append(blocks, blockHash(string(kind.Service.Name), string(account), uint64(i)))
	}
	if kind.DocumentBlocks == 0 {
		return blocks
	}
	document := a.drawDocument(kind)
	for i := range kind.DocumentBlocks {
		blocks = append(blocks, blockHash(string(account)+string(kind.Service.Name), fmt.Sprint(document), uint64(i)))
	}
	return blocks
}

func blockHash(scope, subject string, n uint64) identifier.PrefixHash {
	return identifier.PrefixHash(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", scope, subject, n)))
}

// drawDocument draws one of the current documents and occasionally replaces it
// with a new one for later requests.
func (a *arrivals) drawDocument(kind *Kind) uint64 {
	current := a.documents[kind.Service.Name]
	for len(current) < kind.Documents {
		current = append(current, a.rng.Uint64())
	}
	a.documents[kind.Service.Name] = current
	i := a.rng.IntN(len(current))
	document := current[i]
	if a.rng.IntN(kind.RequestsPerDocument) == 0 {
		current[i] = a.rng.Uint64()
	}
	return document
}

// limitCounter counts an account's use exactly, over all nodes. A request that
// is refused although the counter permits it counts as a miss.
type limitCounter struct {
	spec      catalog.Account
	updatedAt timekeeper.Time
	requests  float64
	tokens    float64
}

func newLimitCounter(spec catalog.Account) *limitCounter {
	return &limitCounter{
		spec:     spec,
		requests: spec.RequestBurst,
		tokens:   spec.TokenBurst,
	}
}

func (c *limitCounter) consume(now timekeeper.Time, tokens float64) bool {
	passed := now.Sub(c.updatedAt).Seconds()
	c.updatedAt = now
	c.requests = min(c.requests+passed*c.spec.RequestsPerSecond, c.spec.RequestBurst)
	c.tokens = min(c.tokens+passed*c.spec.TokensPerSecond, c.spec.TokenBurst)
	if c.requests < 1 || c.tokens < tokens {
		return false
	}
	c.requests--
	c.tokens -= tokens
	return true
}
