package bencher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The course of a run, the same for both deployments. These constants, and
// those of the deployments, were fixed before the first result was read.
const (
	warmUp      = 1 * timekeeper.Minute
	runTime     = 45 * timekeeper.Minute
	drainTime   = 10 * timekeeper.Minute
	flashStart  = 8 * timekeeper.Minute
	flashEnd    = 14 * timekeeper.Minute
	flashFactor = 4.0
	// The three zone waves: a plain one, one that spreads to a second zone
	// while nothing reclaimable is to be had anywhere, and one in the middle
	// of a second, shorter flash crowd.
	waveOne       = 17 * timekeeper.Minute
	waveTwo       = 25 * timekeeper.Minute
	waveTwoSpread = 8 * timekeeper.Second
	waveThree     = 40 * timekeeper.Minute
	secondFlash   = 39 * timekeeper.Minute
	// holderChange is when the lease passes to another node.
	holderChange = 21 * timekeeper.Minute
	// One engine lies: it is slow and reports no load. Another goes silent
	// while its load reports go on.
	slowStart   = 31 * timekeeper.Minute
	slowEnd     = 34 * timekeeper.Minute
	slowFactor  = 0.2
	silentStart = 36 * timekeeper.Minute
	silentEnd   = 37 * timekeeper.Minute
	// waveJitter moves each of these by up to so much, by the seed.
	waveJitter = 20 * timekeeper.Second
	// singleReclaims is how many single VMs of an hour are reclaimed.
	singleReclaims = 0.2
	// zoneExhausted is how long a reclaimed zone refuses reclaimable purchases, and
	// allExhausted how long all zones do after the second wave.
	zoneExhausted = 6 * timekeeper.Minute
	allExhausted  = 4 * timekeeper.Minute
	// refusedPercent and lostPercent are the purchases refused at any time,
	// and those whose answer is lost.
	refusedPercent = 5
	lostPercent    = 2
)

// The pictures that nodes have of servers and of each other.
const (
	pollEvery    = 1 * timekeeper.Second
	publishEvery = 500 * timekeeper.Millisecond
	reportLag    = 300 * timekeeper.Millisecond
	// missedPercent of the polls go unanswered, gapPercent of the cache
	// events' batches are lost.
	missedPercent = 5
	gapPercent    = 2
	gossipEvery   = 1 * timekeeper.Second
	minNoticeLag  = 50 * timekeeper.Millisecond
	maxNoticeLag  = 400 * timekeeper.Millisecond
	listLag       = 2 * timekeeper.Second
	planEvery     = 3 * timekeeper.Second
	leaseTime     = 10 * timekeeper.Second
	// clientKeep is how long a caller keeps the address it was given.
	clientKeep       = 30 * timekeeper.Second
	clientsByAccount = 4
	// maxReturns is how often a refused caller comes back.
	maxReturns = 2
)

// Weights and boot of new VMs.
const (
	engineBoot = 45 * timekeeper.Second
	// weightTime is the time that the weight store needs for one engine; it
	// serves one after the other.
	weightTime = 25 * timekeeper.Second
	plainBoot  = 20 * timekeeper.Second
	buyTime    = 1 * timekeeper.Second
)

// Kind is a kind of request.
type Kind struct {
	Service catalog.Service
	Target  catalog.Target
	// Rate is the mean number of requests a second, over all accounts.
	Rate float64
	// Prompt and Answer bound the tokens, drawn evenly between them; for a
	// plain service Answer bounds the milliseconds of work.
	Prompt [2]int
	Answer [2]int
	// AccountBlocks of the prompt are shared by the requests of an account,
	// DocumentBlocks by the requests about one document, of which Documents
	// are current and each is the subject of about RequestsPerDocument requests.
	AccountBlocks       int
	DocumentBlocks      int
	Documents           int
	RequestsPerDocument int
	// FlashCrowd tells that flash crowds are of this kind.
	FlashCrowd bool
}

// AccountSpec is a client account with its share of the requests.
type AccountSpec struct {
	ID    identifier.AccountID
	Share float64
}

// Deployment is all that is fixed of a run.
type Deployment struct {
	Name       string
	Nodes      int
	Zones      []identifier.Zone
	NoticeTime timekeeper.Duration
	Kinds      []Kind
	Accounts   []AccountSpec
	Pools      []catalog.Pool
	Classes    []catalog.Class
}

// limitFactor is how far an account's limits lie above its mean use, and
// burstTime the use that it may save up.
const (
	limitFactor = 2.5
	burstTime   = 20 * timekeeper.Second
)

// catalogOf builds the catalog of a deployment.
func catalogOf(d Deployment) *catalog.Catalog {
	c := &catalog.Catalog{
		Revision: 1,
		Services: make(map[identifier.ServiceName]catalog.Service),
		Accounts: make(map[identifier.AccountID]catalog.Account),
		Pools:    make(map[identifier.PoolName]catalog.Pool),
		Classes:  make(map[identifier.VMClass]catalog.Class),
		Zones:    make(map[identifier.Zone]catalog.ZoneSpec),
	}
	requests, tokens := 0.0, 0.0
	targets := make(map[identifier.ServiceName]catalog.Target)
	for _, k := range d.Kinds {
		c.Services[k.Service.Name] = k.Service
		targets[k.Service.Name] = k.Target
		requests += k.Rate
		tokens += k.Rate * k.meanTokens()
	}
	for _, a := range d.Accounts {
		c.Accounts[a.ID] = catalog.Account{
			ID:                a.ID,
			RequestsPerSecond: requests * a.Share * limitFactor,
			RequestBurst:      requests * a.Share * burstTime.Seconds(),
			TokensPerSecond:   tokens * a.Share * limitFactor,
			TokenBurst:        tokens * a.Share * burstTime.Seconds(),
			Targets:           targets,
		}
	}
	for _, p := range d.Pools {
		c.Pools[p.Name] = p
	}
	for _, class := range d.Classes {
		c.Classes[class.Name] = class
	}
	for _, z := range d.Zones {
		c.Zones[z] = catalog.ZoneSpec{Name: z}
	}
	return c
}

// meanTokens is the mean of what a request reserves.
func (k Kind) meanTokens() float64 {
	if k.Service.Kind == catalog.PlainService {
		return 0
	}
	return float64(k.Prompt[0]+k.Prompt[1])/2 + maxTokensFactor*float64(k.Answer[0]+k.Answer[1])/2
}

// maxTokensFactor is how far callers' max_tokens lie above the answers.
const maxTokensFactor = 1.3

// prices builds the price list of a class, in thousandths of a coin an hour.
func prices(zones []identifier.Zone, reclaimable, onDemand []int) map[identifier.Zone]map[catalog.Market]identifier.Money {
	list := make(map[identifier.Zone]map[catalog.Market]identifier.Money)
	for i, z := range zones {
		list[z] = map[catalog.Market]identifier.Money{
			catalog.Reclaimable: identifier.Money(reclaimable[i]) * milliCoin,
			catalog.OnDemand:    identifier.Money(onDemand[i]) * milliCoin,
		}
	}
	return list
}

const milliCoin = identifier.CurrencyUnit / 1000
