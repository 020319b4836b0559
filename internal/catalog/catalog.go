// Package catalog declares the contents of a valid configuration: services, client
// accounts, pools of backend servers, prices of VMs, and routes. A Catalog is
// immutable once built. Package configurer builds it from the operators' folder,
// package platform from the record in the platform's store.
package catalog

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Catalog is an accepted revision of the configuration.
type Catalog struct {
	// Revision is the log offset of the last accepted change in it.
	Revision identifier.Revision
	Services map[identifier.ServiceName]Service
	Accounts map[identifier.AccountID]Account
	Pools    map[identifier.PoolName]Pool
	Classes  map[identifier.VMClass]Class
	Zones    map[identifier.Zone]ZoneSpec
	// LogRetention is the time for which the platform's log keeps a record, as
	// configured by the operators.
	LogRetention timekeeper.Duration
	// Routing is nil if no routes of opaque exchanges are published.
	Routing *Routing
}

// ServiceKind is the kind of backend servers behind a service.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is answered by model engines, as streams of tokens.
	ModelService ServiceKind = "model"
	// PlainService is answered by plain servers, with a single body.
	PlainService ServiceKind = "plain"
)

// Priority orders requests when capacity is short. A larger value is served first.
type Priority int

// The priorities of services.
const (
	Batch       Priority = 0
	Standard    Priority = 1
	Interactive Priority = 2
)

// Service is a service that callers send requests to.
type Service struct {
	Name     identifier.ServiceName
	Kind     ServiceKind
	Pool     identifier.PoolName
	Model    identifier.ModelName
	Priority Priority
	// Long marks a service whose accepted requests must survive any announced
	// reclaim.
	Long bool
	// Idempotent marks a service whose requests may run more than once.
	Idempotent bool
	// Deadline is the time limit of requests whose caller sets none.
	Deadline timekeeper.Duration
	// MaxBody bounds the size of a request body.
	MaxBody identifier.Bytes
	// MaxTokens bounds the length of an answer of a model service.
	MaxTokens identifier.Tokens
	// RetryPercent is the retry budget in retries per hundred requests.
	RetryPercent int
	// KeyWindow is the time for which an idempotency key is deduplicated. It is
	// shorter than the log's retention.
	KeyWindow timekeeper.Duration
}

// Account is a client account.
type Account struct {
	ID identifier.AccountID
	// KeyHashes are the SHA-256 sums, in lower-case hexadecimal, of the keys
	// that authenticate the account.
	KeyHashes []string
	// RequestsPerSecond and TokensPerSecond limit the account's rate over all
	// nodes. The bursts are the sizes of the token buckets.
	RequestsPerSecond float64
	RequestBurst      float64
	TokensPerSecond   float64
	TokenBurst        float64
	Targets           map[identifier.ServiceName]Target
}

// Target holds the latency targets of an account for a service, and the penalty
// for a miss.
type Target struct {
	FirstToken timekeeper.Duration
	Completion timekeeper.Duration
	Penalty    identifier.Money
}

// Pool is a group of identical backend servers.
type Pool struct {
	Name identifier.PoolName
	Kind ServiceKind
	// ChecksFence marks servers that reject an order with an old fencing number.
	ChecksFence bool
	// OrderTime is the time within which a server has executed an order sent to it.
	OrderTime timekeeper.Duration
	Class     identifier.VMClass
	// Slots is the number of requests that one server runs concurrently.
	Slots int
	// TokensPerSecond is the output rate of one stream on an unloaded server,
	// and PrefillPerSecond its rate of prefilling prompts, in tokens.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// Min and Max bound the number of servers.
	Min int
	Max int
	// OnDemandPercent is the minimum percentage of on-demand servers.
	OnDemandPercent int
	// KVBytesPerToken is the size of one token's KV cache entry.
	KVBytesPerToken identifier.Bytes
	// TransferRate is the bandwidth of one server for exports of its KV cache.
	TransferRate identifier.BytesPerSecond
}

// Market is the market in which a VM is bought.
type Market string

// The markets.
const (
	Reclaimable Market = "reclaimable"
	OnDemand    Market = "on_demand"
)

// Class is a class of VM.
type Class struct {
	Name identifier.VMClass
	// Prices holds the hourly price by zone and market.
	Prices map[identifier.Zone]map[Market]identifier.Money
}

// ZoneSpec is an availability zone.
type ZoneSpec struct {
	Name   identifier.Zone
	Region identifier.Region
}

// Price returns the hourly price of a VM of the class, and whether it is known.
func (c *Catalog) Price(class identifier.VMClass, zone identifier.Zone, market Market) (identifier.Money, bool) {
	p, ok := c.Classes[class].Prices[zone][market]
	return p, ok
}

// Target returns the target of an account for a service. For an account without one
// it is the service's deadline, without penalty.
func (c *Catalog) Target(account identifier.AccountID, service identifier.ServiceName) Target {
	if t, ok := c.Accounts[account].Targets[service]; ok {
		return t
	}
	return Target{
		FirstToken: c.Services[service].Deadline,
		Completion: c.Services[service].Deadline,
		Penalty:    0,
	}
}
