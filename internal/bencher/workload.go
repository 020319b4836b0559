package bencher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The schedule of a run, the same for all deployments.
const (
	warmUp      = 1 * timekeeper.Minute
	runTime     = 45 * timekeeper.Minute
	drainTime   = 10 * timekeeper.Minute
	flashStart  = 8 * timekeeper.Minute
	flashEnd    = 14 * timekeeper.Minute
	flashFactor = 4.0
	// Zones are reclaimed three times: a single zone; then two zones in quick
	// succession while all zones are out of capacity; then one zone during a
	// second, shorter flash crowd.
	firstWave        = 17 * timekeeper.Minute
	secondWave       = 25 * timekeeper.Minute
	secondWaveSpread = 8 * timekeeper.Second
	thirdWave        = 40 * timekeeper.Minute
	secondFlashStart = 39 * timekeeper.Minute
	// leaderChange is when the lease passes to another node.
	leaderChange = 21 * timekeeper.Minute
	// One engine is slow and reports itself idle. Later an engine stops
	// generating while its load reports continue.
	slowStart       = 31 * timekeeper.Minute
	slowEnd         = 34 * timekeeper.Minute
	slowSpeedFactor = 0.2
	stallStart      = 36 * timekeeper.Minute
	stallEnd        = 37 * timekeeper.Minute
	// waveJitter bounds the random delay of each fault.
	waveJitter = 20 * timekeeper.Second
	// reclaimsPerVMHour is the mean number of single reclaims per VM and hour.
	reclaimsPerVMHour = 0.2
	// A reclaimed zone refuses purchases of reclaimable VMs for
	// zoneExhaustedTime; all zones do so for allZonesExhaustedTime from the
	// second wave on.
	zoneExhaustedTime     = 6 * timekeeper.Minute
	allZonesExhaustedTime = 4 * timekeeper.Minute
	// refusedPercent of the purchases of reclaimable VMs are refused at any
	// time; the responses to lostResponsePercent of all purchases are lost.
	refusedPercent      = 5
	lostResponsePercent = 2
)

// Delays and losses of the information that nodes have about servers and peers.
const (
	pollInterval    = 1 * timekeeper.Second
	publishInterval = 500 * timekeeper.Millisecond
	reportLag       = 300 * timekeeper.Millisecond
	// missedPollPercent of the polls are not answered;
	// cacheEventLossPercent of the batches of cache events are lost.
	missedPollPercent     = 5
	cacheEventLossPercent = 2
	gossipInterval        = 1 * timekeeper.Second
	minNoticeLag          = 50 * timekeeper.Millisecond
	maxNoticeLag          = 400 * timekeeper.Millisecond
	listLag               = 2 * timekeeper.Second
	planInterval          = 3 * timekeeper.Second
	leaseTime             = 10 * timekeeper.Second
	// addressMaxAge is the time for which a caller uses one node's address.
	addressMaxAge     = 30 * timekeeper.Second
	clientsPerAccount = 4
	// maxRefusalRetries is the number of times a caller retries after a
	// refusal.
	maxRefusalRetries = 2
)

// Startup times of new VMs.
const (
	engineBootTime = 45 * timekeeper.Second
	// weightLoadTime is the time the weight store needs for one engine; it
	// serves engines one at a time.
	weightLoadTime = 25 * timekeeper.Second
	plainBootTime  = 20 * timekeeper.Second
	purchaseTime   = 1 * timekeeper.Second
)

// Kind describes the requests to one service.
type Kind struct {
	Service catalog.Service
	Target  catalog.Target
	// Rate is the mean number of requests per second over all accounts.
	Rate float64
	// Prompt and Answer are the inclusive bounds of uniformly drawn token
	// counts. For a plain service Answer bounds the milliseconds of work.
	Prompt [2]int
	Answer [2]int
	// All requests of an account share AccountBlocks prefix blocks; requests
	// about the same document share another DocumentBlocks. Documents is the
	// number of current documents; each is replaced after a mean of
	// RequestsPerDocument requests.
	AccountBlocks       int
	DocumentBlocks      int
	Documents           int
	RequestsPerDocument int
	// FlashCrowd reports whether flash crowds send requests of this kind.
	FlashCrowd bool
}

// AccountSpec is a client account and its share of the requests.
type AccountSpec struct {
	ID    identifier.AccountID
	Share float64
}

// Deployment describes the nodes, zones, pools and workload of a run.
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

// An account's limits are limitFactor times its mean use; its burst is the mean
// use of limitBurstTime.
const (
	limitFactor    = 2.5
	limitBurstTime = 20 * timekeeper.Second
)

// catalogOf returns the catalog of a deployment.
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
			RequestBurst:      requests * a.Share * limitBurstTime.Seconds(),
			TokensPerSecond:   tokens * a.Share * limitFactor,
			TokenBurst:        tokens * a.Share * limitBurstTime.Seconds(),
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

// meanTokens returns the mean number of tokens that a request reserves.
func (k Kind) meanTokens() float64 {
	if k.Service.Kind == catalog.PlainService {
		return 0
	}
	return float64(k.Prompt[0]+k.Prompt[1])/2 + maxTokensFactor*float64(k.Answer[0]+k.Answer[1])/2
}

// maxTokensFactor is the ratio of callers' max_tokens to the answer's length.
const maxTokensFactor = 1.3

// prices returns the price list of a class from hourly prices in milliUnits.
func prices(zones []identifier.Zone, reclaimable, onDemand []int) map[identifier.Zone]map[catalog.Market]identifier.Money {
	list := make(map[identifier.Zone]map[catalog.Market]identifier.Money)
	for i, z := range zones {
		list[z] = map[catalog.Market]identifier.Money{
			catalog.Reclaimable: identifier.Money(reclaimable[i]) * milliUnit,
			catalog.OnDemand:    identifier.Money(onDemand[i]) * milliUnit,
		}
	}
	return list
}

const milliUnit = identifier.CurrencyUnit / 1000
