// Package catalog declares what a valid configuration says: the services, the
// client accounts that call them, the pools of backend servers behind them and
// the prices of VMs. A Catalog is immutable once built; package configurer
// builds it from the operators' folder, and all decision packages read it.
package catalog

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Catalog is one accepted state of the configuration.
type Catalog struct {
	// Revision is the log offset of the last accepted change in it.
	Revision identifier.Revision
	Services map[identifier.ServiceName]Service
	Accounts map[identifier.AccountID]Account
	Pools    map[identifier.PoolName]Pool
	Classes  map[identifier.VMClass]Class
	Zones    map[identifier.Zone]ZoneSpec
	// LogRetention is how long the platform's log keeps a record, as the
	// operators were told by the platform.
	LogRetention timekeeper.Duration
	// Routing is nil where no routes of opaque exchanges are published.
	Routing *Routing
}

// ServiceKind tells what stands behind a service.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is answered by model engines, as streams of tokens.
	ModelService ServiceKind = "model"
	// PlainService is answered by plain servers, as one whole body.
	PlainService ServiceKind = "plain"
)

// Priority orders work when there is not room for all of it. A larger value
// goes first.
type Priority int

// The priorities of services.
const (
	Batch       Priority = 0
	Standard    Priority = 1
	Interactive Priority = 2
)

// Service is what callers ask for.
type Service struct {
	Name     identifier.ServiceName
	Kind     ServiceKind
	Pool     identifier.PoolName
	Model    identifier.ModelName
	Priority Priority
	// Long marks requests that must survive any announced reclaim once they
	// are accepted.
	Long bool
	// Idempotent tells that a request may be run again with no harm.
	Idempotent bool
	// Deadline bounds a request whose caller set no bound of its own.
	Deadline timekeeper.Duration
	// MaxBody bounds the caller's body.
	MaxBody identifier.Bytes
	// MaxTokens bounds the answer of a model service.
	MaxTokens identifier.Tokens
	// RetryPercent is the retry budget: retries per hundred requests.
	RetryPercent int
	// KeyWindow is how long an idempotency key is remembered. It is shorter
	// than the log's retention.
	KeyWindow timekeeper.Duration
}

// Account is a client account.
type Account struct {
	ID identifier.AccountID
	// KeyHashes are the SHA-256 sums, in lower-case hexadecimal, of the keys
	// that authenticate the account.
	KeyHashes []string
	// RequestsPerSecond and TokensPerSecond limit the account over all nodes.
	// The burst is what the account may use at once.
	RequestsPerSecond float64
	RequestBurst      float64
	TokensPerSecond   float64
	TokenBurst        float64
	Targets           map[identifier.ServiceName]Target
}

// Target is what an account is owed for one service, and what a miss costs.
type Target struct {
	FirstToken timekeeper.Duration
	Completion timekeeper.Duration
	Penalty    identifier.Money
}

// Pool is a group of like backend servers.
type Pool struct {
	Name identifier.PoolName
	Kind ServiceKind
	// ChecksFence tells that the servers refuse an order with an old fencing
	// number.
	ChecksFence bool
	// OrderTime is the longest time that an order may take on a server.
	OrderTime timekeeper.Duration
	Class     identifier.VMClass
	// Slots is how many requests one server runs at once.
	Slots int
	// TokensPerSecond is the pace of one stream on an unloaded server;
	// PrefillPerSecond is the pace at which it reads prompts.
	TokensPerSecond  float64
	PrefillPerSecond float64
	// Min and Max bound the number of servers.
	Min int
	Max int
	// OnDemandPercent is the least share of servers that are not reclaimable.
	OnDemandPercent int
	// KVBytesPerToken is the size of one token's KV cache entry.
	KVBytesPerToken identifier.Bytes
	// TransferRate is the bandwidth for KV exports of one server.
	TransferRate identifier.BytesPerSecond
}

// Market tells how a VM was bought.
type Market string

// The markets.
const (
	Reclaimable Market = "reclaimable"
	OnDemand    Market = "on_demand"
)

// Class is a class of VM.
type Class struct {
	Name identifier.VMClass
	// Prices holds the price of an hour by zone and market.
	Prices map[identifier.Zone]map[Market]identifier.Money
}

// ZoneSpec is an availability zone.
type ZoneSpec struct {
	Name   identifier.Zone
	Region identifier.Region
}

// Price returns the price of an hour of class c in zone z, and whether it is
// known.
func (c *Catalog) Price(class identifier.VMClass, zone identifier.Zone, market Market) (identifier.Money, bool) {
	p, ok := c.Classes[class].Prices[zone][market]
	return p, ok
}

// Target returns what account a is owed for service s. An account without a
// target of its own is owed the service's deadline at no penalty.
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
