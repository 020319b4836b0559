package catalog

import (
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Repetition tells which requests of a route may run more than once.
type Repetition string

// The kinds of repetition.
const (
	// Repeatable requests may run any number of times.
	Repeatable Repetition = "repeatable"
	// AtMostOnce requests run at most once.
	AtMostOnce Repetition = "once"
	// Resumable requests are streams: a later run may go on behind the last
	// event that was delivered, and never starts over behind it.
	Resumable Repetition = "resumed"
)

// Route says what becomes of the requests of one host under one path prefix.
// Their bodies are opaque: they go to a backend server of a service unchanged,
// and so does its answer.
type Route struct {
	Name       identifier.RouteName
	Host       string
	PathPrefix string
	Repetition Repetition
	// Stream tells that answers are streams of events.
	Stream bool
	// Timeout is the longest time for which a request is kept waiting.
	Timeout timekeeper.Duration
	// Target is the time within which an answer, or its first event, earns
	// its full worth.
	Target timekeeper.Duration
	// MaxGap is the longest pause between events of a stream that is on time.
	MaxGap timekeeper.Duration
	// Attempts bounds the backend servers that one request may be sent to.
	Attempts int
	// Rank orders routes when there is not room for all; zero goes first.
	Rank int
	// Public routes need no key.
	Public bool
	Split  []Split
}

// Split is a service's part of a route.
type Split struct {
	Service identifier.ServiceName
	Weight  float64
}

// Service returns the service for a request that fell on point, in [0, 1).
func (r *Route) Service(point float64) identifier.ServiceName {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := point * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}

// Fleet bounds the backend servers of a service that may be ordered, in each
// availability zone.
type Fleet struct {
	Min int
	Max int
	// BootTime is the time from an order until a new server serves.
	BootTime timekeeper.Duration
	// ZonePrices holds the price of a second of a server by zone.
	ZonePrices map[identifier.Zone]float64
}

// Backend is what is published of the servers behind a service.
type Backend struct {
	// Slots is how many requests one server runs at once; zero for plain
	// services, whose servers say so themselves.
	Slots int
	// Model tells that the servers are model engines.
	Model bool
	// KVTokens is the number of tokens that an engine caches; zero
	// if unknown.
	KVTokens identifier.Tokens
	// CopyTokensPerMS is the rate at which an engine copies cached tokens
	// from another one; zero if it can not.
	CopyTokensPerMS float64
	// Fleet is nil where the servers can't be ordered.
	Fleet *Fleet
}

// Routing is the part of a catalog by which opaque exchanges are routed.
type Routing struct {
	routesByHost  map[string][]*Route
	accountsByKey map[string]identifier.AccountID
	Backends      map[identifier.ServiceName]Backend
	// DefaultTokens is charged for a request that states no token counts,
	// by account.
	DefaultTokens map[identifier.AccountID]identifier.Tokens
	// AccountRanks order the accounts; zero goes first.
	AccountRanks map[identifier.AccountID]int
	MaxBody      identifier.Bytes
}

// NewRouting indexes routes by host and keys by account.
func NewRouting(routes []*Route, keys map[string]identifier.AccountID) *Routing {
	r := &Routing{
		routesByHost:  map[string][]*Route{},
		accountsByKey: keys,
		Backends:      map[identifier.ServiceName]Backend{},
		DefaultTokens: map[identifier.AccountID]identifier.Tokens{},
		AccountRanks:  map[identifier.AccountID]int{},
	}
	for _, route := range routes {
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], route)
	}
	for _, sameHost := range r.routesByHost {
		slices.SortStableFunc(sameHost, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return r
}

// Find returns the route of a host with the longest prefix of a path.
func (r *Routing) Find(host, path string) (*Route, bool) {
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// Account returns the account that holds a key.
func (r *Routing) Account(key string) (identifier.AccountID, bool) {
	a, ok := r.accountsByKey[key]
	return a, ok
}

// NeedsKeys reports whether requests need a key unless their route is public.
func (r *Routing) NeedsKeys() bool { return len(r.AccountRanks) > 0 }
